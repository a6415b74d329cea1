"""What nodes tell each other: life, load, demand, doubts, and tables that one of them
cannot read.

Every node calls every other one unless it was called by it a moment ago, so that one
call a period serves both. The period grows with the number of nodes, which bounds
what a node spends on it.
"""

from typing import NamedTuple

from auburnwall.base.logs import event
from auburnwall.state.table.base import TableRecord
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import Pulse, TableRow, TableRows

# Calls a second that a node begins at most for its pulses.
MAX_PULSES_PER_S = 50.0
# A peer that was not heard of for this long is not named to callers, in seconds: within
# the few seconds in which they may still be sent to a node that is gone.
HEARD_S = 2.5
# The same in periods, where the period is long.
HEARD_PERIODS = 3
# Age up to which a peer's counts of its requests are counted as present load.
LOAD_S = 2.0
# A peer that was just called or heard of is not called again within this part of the
# period.
SPARE_PART = 0.7


# A node that was not heard of for this long is taken out of the table, in seconds.
FORGOTTEN_S = 30.0


class PeerView(NamedTuple):
    """A peer's last pulse and when it came."""

    pulse: Pulse
    heard_at: float


class Peers:
    """Exchange pulses with the nodes of the fleet's table."""

    def __init__(self, identity, state, pool, own_pulse, clock, period_s):
        self.views = {}
        self.on_suspects = lambda names, node: None
        self._identity = identity
        self._state = state
        self._pool = pool
        self._own_pulse = own_pulse
        self._clock = clock
        self._period_s = period_s
        self._calling = set()
        self._missed_from = {}

    def follow(self, tasks):
        """Keep one task for each peer in the fleet's table."""
        for name in self._state.nodes:
            if name != self._identity.node and name not in self._calling:
                self._calling.add(name)
                tasks.spawn(self._call_loop, name)
        for name in [name for name in self.views if name not in self._state.nodes]:
            del self.views[name]

    def period_s(self):
        """Return the time between two pulses to the same peer."""
        return max(self._period_s, len(self._state.nodes) / MAX_PULSES_PER_S)

    def live(self):
        """Return the pulses of the peers that were heard of lately, by node."""
        limit_s = max(HEARD_S, HEARD_PERIODS * self.period_s())
        floor = self._clock.monotonic() - limit_s
        return {
            name: view.pulse
            for name, view in self.views.items()
            if view.heard_at >= floor and self._is_current(name, view.pulse)
        }

    def unreachable(self):
        """Return the nodes of the table that were not heard of for a long time."""
        now = self._clock.monotonic()
        others = [name for name in self._state.nodes if name != self._identity.node]
        self._missed_from = {
            name: self._missed_from.get(name, now)
            for name in others
            if name not in self.live()
        }
        return sorted(
            name
            for name, since in self._missed_from.items()
            if now - since >= FORGOTTEN_S
        )

    def able_to_plan(self):
        """Return incarnations by node of those that may plan, this one included."""
        own = self._own_pulse()
        pulses = {**self.live(), self._identity.node: own}
        return {
            name: pulse.incarnation
            for name, pulse in pulses.items()
            if pulse.reads_tables and not pulse.stopping
        }

    def load(self, name):
        """Return the requests that peers said they have at a group or server."""
        floor = self._clock.monotonic() - max(LOAD_S, 2 * self.period_s())
        return sum(
            view.pulse.running.get(name, 0)
            for view in self.views.values()
            if view.heard_at >= floor
        )

    def take(self, pulse):
        """Take a peer's pulse."""
        known = self.views.get(pulse.node)
        self.views[pulse.node] = PeerView(pulse, self._clock.monotonic())
        if known is None:
            event("peer heard", peer=pulse.node, incarnation=pulse.incarnation)
        if pulse.suspects:
            self.on_suspects(pulse.suspects, pulse.node)

    def address(self, name):
        """Return the address of a peer that was heard of lately."""
        return self._state.nodes[name].peer

    def call(self, address, name, *args):
        """Call a peer; raise ``PeerUnavailableError``."""
        return self._pool.call(address, name, *args)

    def _is_current(self, name, pulse):
        node = self._state.nodes.get(name)
        return node is not None and node.incarnation == pulse.incarnation

    def _call_loop(self, name):
        failing = False
        try:
            while node := self._state.nodes.get(name):
                view, now = self.views.get(name), self._clock.monotonic()
                period_s = self.period_s()
                if view is None or now - view.heard_at >= SPARE_PART * period_s:
                    failing = self._call(node, failing)
                self._clock.sleep(period_s)
        finally:
            self._calling.discard(name)

    def _call(self, node, failing):
        """Exchange pulses; return whether the peer is out of reach."""
        try:
            self.take(self._pool.call(node.peer, "pulse", self._own_pulse()))
        except PeerUnavailableError as exc:
            if not failing:
                event("peer lost", peer=node.node, why=exc.detail)
            return True
        if failing:
            event("peer regained", peer=node.node)
        return False


class RoutedHandler:
    """Answer peers' calls."""

    def __init__(self, peers, own_pulse, replicas, engine):
        self._peers = peers
        self._own_pulse = own_pulse
        self._replicas = replicas
        self._engine = engine

    def pulse(self, mine):
        """Take a peer's pulse and return this node's."""
        self._peers.take(mine)
        return self._own_pulse()

    def rows(self, table, from_offset):
        """Return what this node has read of a table from an offset on."""
        replica = self._replicas[table]
        records, whole = replica.since(from_offset)
        age_s = replica.age()
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
        """Return whether this node reaches a server."""
        return self._engine.answers(server, address)


def learn_from_peer(replica, rows, asked_at):
    """Take what a peer has read of a table; return whether it helped."""
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
        replica.learn(records, rows.end, complete_at)
    return True
