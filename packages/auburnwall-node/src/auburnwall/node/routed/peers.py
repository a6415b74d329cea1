"""Heartbeats between nodes, and table records for nodes that do not read the store.

A heartbeat reports a node's liveness, load, demand and suspect groups. Every node calls
every other one, except those that called it recently: one call per period informs both
sides. The period grows with the number of nodes, which limits the cost for each node.
"""

from typing import NamedTuple

from auburnwall.base.logs import event
from auburnwall.state.table.base import TableRecord
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import Pulse, TableRow, TableRows

# Maximum rate of heartbeat calls that a node starts, per second.
MAX_HEARTBEATS_PER_S = 50.0
# Maximum age of the last heartbeat of a live peer, in seconds. It is short enough that
# the directory stops naming a lost node within the few seconds that are allowed.
MAX_HEARTBEAT_AGE_S = 2.5
# The same as a number of heartbeat periods; the longer of the two applies. Above 41
# nodes this is the longer one, as the period grows with their number.
MAX_HEARTBEAT_AGE_PERIODS = 3
# Maximum age of a heartbeat whose request counts are part of the load, in seconds. Two
# heartbeat periods apply if they are longer.
MAX_LOAD_AGE_S = 2.0
# A peer whose last heartbeat is younger than this fraction of the period is not called.
RECENT_FRACTION = 0.7
# A node that has been unreachable for this long is removed from the fleet table, in
# seconds.
REMOVE_AFTER_S = 30.0


class PeerView(NamedTuple):
    """A peer's last heartbeat and when it was received."""

    pulse: Pulse
    received_at: float


class Peers:
    """Exchange heartbeats with the other nodes of the fleet table.

    ``on_suspects(names, node)`` is called with the groups that a peer suspects.
    """

    def __init__(self, identity, state, pool, own_pulse, clock, period_s):
        self.views = {}
        self.on_suspects = lambda names, node: None
        self._identity = identity
        self._state = state
        self._pool = pool
        self._own_pulse = own_pulse
        self._clock = clock
        self._period_s = period_s
        self._called_nodes = set()
        self._unreachable_since = {}

    def call_new_peers(self, tasks):
        """Start a call loop for each new peer; drop the views of removed ones.

        The loop of a removed peer ends by itself.
        """
        for name in self._state.nodes:
            if name != self._identity.node and name not in self._called_nodes:
                self._called_nodes.add(name)
                tasks.spawn(self._call_loop, name)
        for name in [name for name in self.views if name not in self._state.nodes]:
            del self.views[name]

    def period_s(self):
        """Return the time between two heartbeats to the same peer, in seconds."""
        return max(self._period_s, len(self._state.nodes) / MAX_HEARTBEATS_PER_S)

    def live(self):
        """Return the last heartbeats of the live peers, by node.

        A peer is live if its last heartbeat is recent and comes from the incarnation
        that is in the fleet table.
        """
        limit_s = max(MAX_HEARTBEAT_AGE_S, MAX_HEARTBEAT_AGE_PERIODS * self.period_s())
        oldest_at = self._clock.monotonic() - limit_s
        return {
            name: view.pulse
            for name, view in self.views.items()
            if view.received_at >= oldest_at and self._is_current(name, view.pulse)
        }

    def nodes_to_remove(self):
        """Return the sorted names of the nodes to be removed from the fleet table.

        These have been unreachable for ``REMOVE_AFTER_S``. That time is counted from
        the first call of this method that finds the node not live; a call that finds it
        live resets the count. So this method must be called regularly.
        """
        now = self._clock.monotonic()
        others = [name for name in self._state.nodes if name != self._identity.node]
        self._unreachable_since = {
            name: self._unreachable_since.get(name, now)
            for name in others
            if name not in self.live()
        }
        return sorted(
            name
            for name, since in self._unreachable_since.items()
            if now - since >= REMOVE_AFTER_S
        )

    def planner_candidates(self):
        """Return the incarnations of the nodes that may plan, by node name.

        These read the store and are not stopping. This node can be one of them.
        """
        own = self._own_pulse()
        pulses = {**self.live(), self._identity.node: own}
        return {
            name: pulse.incarnation
            for name, pulse in pulses.items()
            if pulse.reads_tables and not pulse.stopping
        }

    def load(self, name):
        """Return how many requests the peers report in flight at a group or server."""
        oldest_at = self._clock.monotonic() - max(MAX_LOAD_AGE_S, 2 * self.period_s())
        return sum(
            view.pulse.running.get(name, 0)
            for view in self.views.values()
            if view.received_at >= oldest_at
        )

    def receive(self, pulse):
        """Store a peer's heartbeat and pass on the groups that it suspects."""
        known = self.views.get(pulse.node)
        self.views[pulse.node] = PeerView(pulse, self._clock.monotonic())
        if known is None:
            event("peer heard", peer=pulse.node, incarnation=pulse.incarnation)
        if pulse.suspects:
            self.on_suspects(pulse.suspects, pulse.node)

    def address(self, name):
        """Return the address for calls to a live peer."""
        return self._state.nodes[name].peer

    def call(self, address, method, *args):
        """Call a peer and return its response; raises ``PeerUnavailableError``."""
        return self._pool.call(address, method, *args)

    def _is_current(self, name, pulse):
        node = self._state.nodes.get(name)
        return node is not None and node.incarnation == pulse.incarnation

    def _call_loop(self, name):
        failed = False
        try:
            while node := self._state.nodes.get(name):
                view, now = self.views.get(name), self._clock.monotonic()
                period_s = self.period_s()
                if view is None or now - view.received_at >= RECENT_FRACTION * period_s:
                    failed = self._exchange(node, failed)
                self._clock.sleep(period_s)
        finally:
            self._called_nodes.discard(name)

    def _exchange(self, node, failed_before):
        """Exchange heartbeats; return whether the call failed.

        ``failed_before`` is whether the last call failed.
        """
        try:
            self.receive(self._pool.call(node.peer, "pulse", self._own_pulse()))
        except PeerUnavailableError as exc:
            if not failed_before:
                event("peer lost", peer=node.node, why=exc.detail)
            return True
        if failed_before:
            event("peer regained", peer=node.node)
        return False


class RoutedHandler:
    """Serve the calls of peers."""

    def __init__(self, peers, own_pulse, replicas, engine):
        self._peers = peers
        self._own_pulse = own_pulse
        self._replicas = replicas
        self._engine = engine

    def pulse(self, peer_pulse):
        """Store a peer's heartbeat and return this node's."""
        self._peers.receive(peer_pulse)
        return self._own_pulse()

    def rows(self, table, from_offset):
        """Return the records of a table from an offset on, as ``TableRows``.

        The records are from this node's copy of the table. If it no longer has all of
        them, its newest record of each key is returned, marked as ``whole``. The age of
        the copy is -1 ms if it is not known.
        """
        replica = self._replicas[table]
        records, whole = replica.records_for_peer(from_offset)
        age_s = replica.age_s()
        return TableRows(
            whole,
            replica.end,
            round(age_s * 1000) if age_s is not None else -1,
            [
                TableRow(r.offset, r.key, r.value or b"", r.value is None)
                for r in records
            ],
        )

    def reaches(self, server, address):
        """Return whether a server answers this node."""
        return self._engine.is_reachable(server, address)


def learn_from_peer(replica, rows, asked_at):
    """Apply the ``TableRows`` of a peer to this node's copy and return ``True``.

    Returns ``False`` without any change if the peer's copy is older than this one or
    its age is not known. ``asked_at`` is the monotonic time just before the call.
    """
    if rows.age_ms < 0 or rows.end < replica.end:
        return False
    records = [
        TableRecord(row.offset, row.key, None if row.removed else row.value)
        for row in rows.rows
    ]
    complete_at = asked_at - rows.age_ms / 1000
    if rows.whole:
        replica.replace(records, rows.end, complete_at)
    else:
        replica.apply_records(records, rows.end, complete_at)
    return True
