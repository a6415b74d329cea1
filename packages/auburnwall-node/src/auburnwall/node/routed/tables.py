"""Keep the copies of the platform's tables: from the store, or else from peers."""

from auburnwall.base.logs import event
from auburnwall.base.rendezvous import ranked
from auburnwall.state.exceptions import LogUnavailableError
from auburnwall.wire.exceptions import PeerUnavailableError

from .peers import learn_from_peer

# Longest wait of one reading for something new, in seconds. A reading whose connection
# has gone silent ends a little later, within the bounds for a new configuration.
LONG_POLL_S = 2.0
# A table that was not read for this long is asked of a peer, in seconds.
ASK_PEER_S = 1.0
# Time between two looks at the copies of the peer that reads the store for this node,
# in seconds, and how old these may be: a little more than the pause between two of its
# readings. Both together stay within the 2 s in which a server that leaves is noticed.
FOLLOW_S, FOLLOWED_AGE_S = 0.3, 1.0
# Time for which a node reads the store itself after the peer that reads for it did not
# answer, in seconds: until that peer is no longer heard of, if it is gone.
ALONE_S = 2.5
# Time between two readings of a store that refuses or fails, in seconds.
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0


class StoreReaders:
    """Which nodes read the store for the others: the best one of each data centre.

    ``plans()`` tells whether this node is the planner, which reads for itself.
    """

    def __init__(self, identity, state, peers, plans):
        self._identity = identity
        self._state = state
        self._peers = peers
        self._plans = plans

    def to_follow(self):
        """Return the peer whose copies this node takes, ``None`` if it reads itself."""
        if self._plans():
            return None
        mine = self._identity.node
        near = [
            name
            for name, pulse in self._peers.live().items()
            if pulse.reads_tables and not pulse.stopping and self._is_near(name)
        ]
        best = ranked("store reader", [mine, *near])[0]
        return None if best == mine else best

    def _is_near(self, name):
        return self._state.nodes[name].data_center == self._identity.data_center


class TableReader:
    """Follow one table for ever.

    ``wait_s`` is how long a reading waits for something new; ``pause_s`` returns the
    time between two readings. ``to_follow()`` names a peer that reads the table for
    this node, or returns ``None``.
    """

    def __init__(
        self,
        replica,
        peers,
        clock,
        rng,
        *,
        wait_s,
        pause_s,
        after=None,
        to_follow=lambda: None,
    ):
        self.replica = replica
        self.reads = False
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._after = after or (lambda: None)
        self._to_follow = to_follow
        self._followed = None
        self._alone_until = 0.0
        self._backoff_s = FIRST_BACKOFF_S

    def run(self):
        """Read the table for ever."""
        while True:
            self.step()

    def step(self):
        """Read once: from the peer that reads for this node, or else from the store.

        If the store gives no answer, another peer may know more.
        """
        if self._follow():
            self._clock.sleep(FOLLOW_S)
            return
        try:
            self.replica.refresh(self._wait_s)
        except LogUnavailableError as exc:
            self._note_lost(exc)
            self._ask_a_peer()
            self._clock.sleep(self._rng.uniform(0.5, 1.0) * self._backoff_s)
            self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
            return
        if not self.reads:
            event("table read", table=self.replica.table, end=self.replica.end)
        self.reads, self._backoff_s = True, FIRST_BACKOFF_S
        self._after()
        self._clock.sleep(self._pause_s())

    def _follow(self):
        """Take what the peer that reads for this node has; return whether it is new."""
        now = self._clock.monotonic()
        may_follow = self.replica.end >= 0 and now >= self._alone_until
        name = self._to_follow() if may_follow else None
        followed = name is not None and self._take_rows(name, FOLLOWED_AGE_S)
        if name is not None and not followed:
            self._alone_until = self._clock.monotonic() + ALONE_S
        if followed and self._followed != name:
            event(
                "table followed",
                table=self.replica.table,
                peer=name,
                end=self.replica.end,
                instead_of=self._followed,
            )
        self._followed = name if followed else None
        if followed:
            self.reads = False
        return followed

    def _note_lost(self, exc):
        if self.reads:
            event(
                "table lost",
                table=self.replica.table,
                step=exc.step,
                age_s=self.replica.age(),
                why=exc.detail,
            )
        self.reads = False

    def _ask_a_peer(self):
        """Take what a peer that reads the table has of it."""
        age_s, replica = self.replica.age(), self.replica
        if age_s is not None and age_s < ASK_PEER_S:
            return
        ahead = [
            name
            for name, pulse in self._peers.live().items()
            if pulse.reads_tables
            and pulse.table_ends.get(replica.table, -1) >= replica.end
        ]
        if not ahead:
            return
        self._take_rows(self._rng.choice(sorted(ahead)))

    def _take_rows(self, name, most_age_s=None):
        """Take a peer's copy if it is not too old; return whether it helped."""
        replica = self.replica
        address, asked_at = self._peers.address(name), self._clock.monotonic()
        try:
            rows = self._peers.call(address, "rows", replica.table, replica.end)
        except PeerUnavailableError as exc:
            event("table not relayed", table=replica.table, peer=name, why=exc.detail)
            return False
        if most_age_s is not None and not 0 <= rows.age_ms <= 1000 * most_age_s:
            return False
        if not learn_from_peer(replica, rows, asked_at):
            return False
        self._after()
        return True
