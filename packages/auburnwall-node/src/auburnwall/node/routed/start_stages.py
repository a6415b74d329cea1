"""The stages of a node's start, from the process to the first response.

After a restart of all nodes, callers wait for whatever the nodes wait for. Each stage
is logged once, with the time since the process began, so that an operator can see which
one took longest.
"""

from auburnwall.base.logs import event

MODULES_IMPORTED = "modules imported"
SETTINGS_READ = "settings read"
SOCKETS_OPEN = "sockets open"
CONFIGURATION_IN_FORCE = "configuration in force"
CANDIDATES_KNOWN = "candidates known"
HEARTBEATS_HEARD = "heartbeats heard"
BROKER_CHOSEN = "broker chosen"
GROUPS_KNOWN = "groups known"
FIRST_REQUEST_PLACED = "first request placed"
FIRST_RESPONSE = "first response"

# Interval between two checks of the stages that are still due, which is also the error
# of their times, in seconds.
CHECK_INTERVAL_S = 0.01
# Time since the start after which the stages still due are no longer checked, in
# seconds. A node that is alone hears no heartbeats, and one in a mesh has no broker.
MAX_WATCHED_S = 30.0


class StartStages:
    """Logs each stage of a start once, as ``start stage``.

    ``clock`` counts the seconds since boot, as ``SystemClock`` does. ``process_at`` is
    the time at which the process began on it, ``None`` if that is not known; the time
    of this call counts then. Nothing is logged before ``begin_logging``.
    """

    def __init__(self, clock, process_at=None):
        self._clock = clock
        self._began_at = clock.monotonic() if process_at is None else process_at
        self._reached = {}
        self._due_checks = {}
        self._is_logging = False

    def note(self, stage):
        """Record that the node has reached a stage; only the first time counts.

        The stages that are watched are checked before, so that none that came earlier
        is recorded later.
        """
        if stage in self._reached:
            return
        self._check_due()
        self._record(stage)

    def begin_logging(self):
        """Log the stages that were reached so far, and from now on each new one."""
        self._is_logging = True
        for stage in self._reached:
            self._log(stage)

    def watch(self, checks):
        """Note each stage when its check holds; return when none is due any more.

        ``checks`` maps stages to functions without arguments that return a bool.
        """
        ends_at = self._began_at + MAX_WATCHED_S
        self._due_checks = dict(checks)
        while self._due_checks and self._clock.monotonic() < ends_at:
            self._check_due()
            self._clock.sleep(CHECK_INTERVAL_S)
        self._due_checks.clear()

    def _record(self, stage):
        self._reached[stage] = self._clock.monotonic() - self._began_at
        if self._is_logging:
            self._log(stage)

    def _check_due(self):
        checks = self._due_checks.items()
        for stage in [stage for stage, is_reached in checks if is_reached()]:
            del self._due_checks[stage]
            self._record(stage)

    def _log(self, stage):
        event("start stage", stage=stage, since_start_s=round(self._reached[stage], 3))


def checks_of(node):
    """Return the checks of the stages that a ``RoutedNode`` reaches by itself.

    The candidates are the groups and servers that can take requests. From the stage
    ``broker chosen`` on, this node and its live peers choose the same brokers, as far
    as they know the same nodes; until then it is the only broker that it knows.
    """
    identity, fleet = node.identity, node.fleet

    def has_broker():
        own = fleet.nodes.get(identity.node)
        return (
            node.placing.brokers.are_used()
            and own is not None
            and own.incarnation == identity.incarnation
            and bool(node.peers.live())
        )

    return {
        **{
            f"{table} table read": lambda replica=replica: replica.end >= 0
            for table, replica in node.replicas.items()
        },
        CONFIGURATION_IN_FORCE: lambda: node.source.table is not None,
        CANDIDATES_KNOWN: node.candidate_index.has_candidates,
        HEARTBEATS_HEARD: lambda: bool(node.peers.live()),
        BROKER_CHOSEN: has_broker,
        GROUPS_KNOWN: node.knowledge.is_sufficient,
    }
