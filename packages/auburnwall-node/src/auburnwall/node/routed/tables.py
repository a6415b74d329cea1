"""Keep the copies of the platform's tables: from the store, or else from peers."""

from auburnwall.base.logs import event
from auburnwall.state.exceptions import LogUnavailableError
from auburnwall.wire.exceptions import PeerUnavailableError

from .peers import learn_from_peer

# Longest wait of one reading for something new, in seconds. A reading whose connection
# has gone silent ends a little later, within the bounds for a new configuration.
LONG_POLL_S = 2.0
# A table that was not read for this long is asked of a peer, in seconds.
ASK_PEER_S = 1.0
# Time between two readings of a store that refuses or fails, in seconds.
FIRST_BACKOFF_S, MOST_BACKOFF_S = 0.1, 1.0


class TableReader:
    """Follow one table for ever.

    ``wait_s`` is how long a reading waits for something new; ``pause_s`` returns the
    time between two readings.
    """

    def __init__(self, replica, peers, clock, rng, *, wait_s, pause_s, after=None):
        self.replica = replica
        self.reads = False
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._after = after or (lambda: None)
        self._backoff_s = FIRST_BACKOFF_S

    def run(self):
        """Read the table for ever."""
        while True:
            self.step()

    def step(self):
        """Read once, from a peer if the store gives no answer."""
        try:
            self.replica.refresh(self._wait_s)
        except LogUnavailableError as exc:
            self._note_lost(exc)
            self._ask_a_peer()
            self._clock.sleep(self._rng.uniform(0.5, 1.0) * self._backoff_s)
            self._backoff_s = min(2 * self._backoff_s, MOST_BACKOFF_S)
            return
        if not self.reads:
            event("table read", table=self.replica.table, end=self.replica.end)
        self.reads, self._backoff_s = True, FIRST_BACKOFF_S
        self._after()
        self._clock.sleep(self._pause_s())

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
            for name, pulse in self._peers.heard().items()
            if pulse.reads_tables
            and pulse.table_ends.get(replica.table, -1) >= replica.end
        ]
        if not ahead:
            return
        address = self._peers.address(self._rng.choice(sorted(ahead)))
        asked_at = self._clock.monotonic()
        try:
            rows = self._peers.call(address, "rows", replica.table, replica.end)
        except PeerUnavailableError as exc:
            event("table not relayed", table=replica.table, why=exc.detail)
            return
        if learn_from_peer(replica, rows, asked_at):
            self._after()
