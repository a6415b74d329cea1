"""What nodes tell each other about the nodes that they have heard of."""

from typing import NamedTuple

from auburnwall.wire.peer.ttypes import NodeStatus, Pulse


class PeerStatus(NamedTuple):
    """What is known of a peer; ``heard_at`` is when its heartbeat was received.

    ``cut_off`` is whether it does not reach the model servers of a service,
    ``lost_services`` are all services that it does not reach.
    """

    incarnation: str
    ready: bool
    stopping: bool
    reads_tables: bool
    has_traffic: bool
    cut_off: bool
    lost_services: tuple
    heard_at: float


class Heartbeat(NamedTuple):
    """The last heartbeat that a peer sent to this node itself.

    ``reports`` is whether the peer reports to this node, as to its relay.
    """

    pulse: Pulse
    received_at: float
    reports: bool


class ConfigStatus(NamedTuple):
    """The version of the configuration that a node goes by, ``None`` if not told.

    ``is_current`` is whether the node would refuse a request for good by it: it has
    confirmed the version after its start, and its copy is recent enough.
    """

    version: int | None = None
    is_current: bool = False


class PublishedStatuses:
    """The statuses in this node's digests, and the version at which each changed.

    ``version`` rises with each change. Lost nodes are remembered for the callers that
    have them still.
    """

    def __init__(self):
        self.version = 0
        self.changed_at = {}
        self._content = {}
        self._lost_at = {}

    def update(self, statuses):
        """Take over the statuses of the live nodes, by name."""
        content = {
            name: status._replace(heard_at=0.0) for name, status in statuses.items()
        }
        changed = [n for n, status in content.items() if self._content.get(n) != status]
        lost = [name for name in self._content if name not in content]
        if not changed and not lost:
            return
        self.version += 1
        self.changed_at.update(dict.fromkeys(changed, self.version))
        for name in changed:
            self._lost_at.pop(name, None)
        self._lost_at.update(dict.fromkeys(lost, self.version))
        self._content = content

    def nodes_since(self, version):
        """Return the ``NodeStatus`` of each node that changed after ``version``."""
        return [
            to_wire(name, status, 0)
            for name, status in self._content.items()
            if self.changed_at[name] > version
        ]

    def lost_since(self, version):
        """Return the names of the nodes lost after ``version``."""
        return [name for name, at in self._lost_at.items() if at > version]


def status_of(source, heard_at):
    """Return the ``PeerStatus`` in a heartbeat or in a relay's list of nodes."""
    return PeerStatus(
        source.incarnation,
        source.ready,
        source.stopping,
        source.reads_tables,
        source.has_traffic,
        bool(source.cut_off),
        tuple(source.lost_services or ()),
        heard_at,
    )


def config_status_of(source):
    """Return the ``ConfigStatus`` in a heartbeat or a digest."""
    return ConfigStatus(source.config_version, bool(source.config_is_current))


def to_wire(name, status, age_s):
    """Return a node's status as ``NodeStatus``, heard of ``age_s`` seconds ago."""
    return NodeStatus(
        name,
        status.incarnation,
        status.ready,
        status.stopping,
        status.reads_tables,
        status.has_traffic,
        int(1000 * age_s),
        status.cut_off,
        list(status.lost_services or ()),
    )


def member_statuses(heartbeats, now):
    """Return the ``NodeStatus`` of the senders and of the nodes that report to these.

    Each has the age that it has at the time ``now``.
    """
    statuses = [to_wire(h.pulse.node, h.pulse, now - h.received_at) for h in heartbeats]
    for heartbeat in heartbeats:
        passed_ms = int(1000 * (now - heartbeat.received_at))
        for member in heartbeat.pulse.members or ():
            statuses.append(
                to_wire(member.node, member, (member.age_ms + passed_ms) / 1000)
            )
    return statuses
