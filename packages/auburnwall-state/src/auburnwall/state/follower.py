"""Follow the control stream and fold it, from the log or from a peer's relay.

The follower also keeps the age of its last word of the log's end. A node is *fresh*
while it has folded all that the log held at a moment that is not long past.
"""

from collections import deque
from itertools import dropwhile

from gevent.event import Event

from auburnwall.base.logs import event, warn

from .exceptions import LogTruncatedError, LogUnavailableError
from .fold import State, fold
from .records import CONTROL_STREAM
from .snapshots import SnapshotStore

READ_LIMIT = 500
LONG_POLL_S = 0.5
RELAY_RECORDS = 4_000


class Follower:
    """Own the folded state of this process.

    ``run`` is the task that reads the log. ``learn`` takes what a peer relays. Both
    fold in order of offset, so it does not matter which of them is first.
    """

    def __init__(self, log, clock, backoff):
        self._log = log
        self._clock = clock
        self._backoff = backoff
        self._snapshots = SnapshotStore(log)
        self._changed = Event()
        self._complete_at = None
        self._pending_word = None
        self._recent = deque(maxlen=RELAY_RECORDS)
        self.state = State()
        self.listeners = []

    def run(self):
        """Read and fold for ever; a log that is out is asked again with backoff."""
        while True:
            try:
                self.read_or_start_over(LONG_POLL_S)
                self._backoff.reset()
            except LogUnavailableError as exc:
                event("log read failed", step=exc.step, peer=exc.peer, why=exc.detail)
                self._clock.sleep(self._backoff.next_delay())

    def read_or_start_over(self, wait_s):
        """Read one batch, or go on from a snapshot if it has expired."""
        try:
            self.read_once(wait_s)
        except LogTruncatedError as exc:
            self.start_over(exc.oldest)

    def read_once(self, wait_s):
        """Read one batch and fold it."""
        asked_at = self._clock.monotonic()
        batch = self._log.read(
            CONTROL_STREAM, self.state.offset + 1, limit=READ_LIMIT, wait_s=wait_s
        )
        self._fold_all(batch.records)
        self._hear_of_end(batch.end, asked_at)

    def learn(self, records, end, word_age_s, asked_at):
        """Fold records that a peer relays, with its word of the log's end.

        ``asked_at`` is the monotonic time just before the peer was asked, so that the
        word's age here is never taken for less than it is.
        """
        self._fold_all(dropwhile(lambda r: r.offset <= self.state.offset, records))
        if word_age_s is not None:
            self._hear_of_end(end, asked_at - word_age_s)

    def start_over(self, oldest):
        """Go on from the newest snapshot, since the next records have expired.

        Without a snapshot that reaches up to ``oldest`` there is nothing to go on
        from: the state stays, is not fresh, and the log is asked again later.
        """
        self.forget_log_end()
        state = self._snapshots.newest()
        if state is None or state.offset + 1 < oldest:
            warn("no snapshot to start from", step="read snapshot", oldest=oldest)
            self._clock.sleep(self._backoff.next_delay())
            return
        event("started from snapshot", step="read snapshot", offset=state.offset)
        self._recent.clear()
        self.state = state
        self._tell(None, None)

    def age(self):
        """Return seconds since the state was known to be complete, or ``None``."""
        if self._complete_at is None:
            return None
        return self._clock.monotonic() - self._complete_at

    def forget_log_end(self):
        """Trust no earlier word of the log's end, as after a pause."""
        self._complete_at = None
        self._pending_word = None

    def recent_from(self, offset, limit):
        """Return relayed records from ``offset`` on, or ``None`` if one is missing."""
        if offset > self.state.offset:
            return []
        if not self._recent or self._recent[0].offset > offset:
            return None
        return list(
            dropwhile(lambda record: record.offset < offset, list(self._recent))
        )[:limit]

    def wait_for(self, ready, timeout_s):
        """Wait until ``ready(state)`` holds; return whether it does."""
        deadline = self._clock.monotonic() + timeout_s
        while not ready(self.state):
            left = deadline - self._clock.monotonic()
            if left <= 0:
                return False
            self._clock.wait(self._changed, left)
        return True

    def _fold_all(self, records):
        for record in records:
            if record.offset <= self.state.offset:
                continue
            verdict = fold(self.state, record)
            self._recent.append(record)
            self._tell(record, verdict)

    def _tell(self, record, verdict):
        for listener in self.listeners:
            listener(record, verdict)
        self._changed.set()
        self._changed = Event()

    def _hear_of_end(self, end, known_at):
        if self._pending_word is None:
            self._pending_word = (end, known_at)
        for word_end, word_at in (self._pending_word, (end, known_at)):
            if self.state.offset + 1 >= word_end:
                self._complete_at = max(self._complete_at or word_at, word_at)
        if self.state.offset + 1 >= self._pending_word[0]:
            self._pending_word = None
