"""Apply the records of the control stream, read from the log or from a peer.

The follower also tracks when its state was last known to include every record of the
log. A node is *fresh* while that time is recent enough.
"""

from collections import deque
from itertools import dropwhile

from gevent.event import Event

from auburnwall.base.logs import event, warn

from .exceptions import LogTruncatedError, LogUnavailableError
from .fold import State, fold
from .records import CONTROL_STREAM
from .snapshots import SnapshotStore

READ_LIMIT_RECORDS = 500
# How long the log holds a read open while there are no new records.
LONG_POLL_S = 0.5
# Recent records that are retained for peers that cannot read the log themselves.
MAX_RELAY_RECORDS = 4_000


class Follower:
    """Hold the state of this process and apply new records to it.

    ``run`` is the task that reads the log. ``apply_relayed`` applies records from a
    peer. Both apply records in order of offset and skip those already applied, so it
    does not matter which of the two receives a record first.

    Each of ``listeners`` is called with every applied record and its verdict, and with
    ``(None, None)`` after a snapshot was restored.
    """

    def __init__(self, log, clock, backoff):
        self._log = log
        self._clock = clock
        self._backoff = backoff
        self._snapshots = SnapshotStore(log)
        self._changed = Event()
        self._complete_at = None
        self._pending_end = None
        self._recent = deque(maxlen=MAX_RELAY_RECORDS)
        self.state = State()
        self.listeners = []

    def run(self):
        """Read and apply records forever; retry with backoff after a failed read."""
        while True:
            try:
                self.read_or_restore(LONG_POLL_S)
                self._backoff.reset()
            except LogUnavailableError as exc:
                event("log read failed", step=exc.step, peer=exc.peer, why=exc.detail)
                self._clock.sleep(self._backoff.next_delay())

    def read_or_restore(self, wait_s):
        """Read one batch, or restore a snapshot if the next records have expired."""
        try:
            self.read_once(wait_s)
        except LogTruncatedError as exc:
            self.try_restore_snapshot(exc.oldest)

    def read_once(self, wait_s):
        """Read one batch and apply its records."""
        asked_at = self._clock.monotonic()
        batch = self._log.read(
            CONTROL_STREAM,
            self.state.offset + 1,
            limit=READ_LIMIT_RECORDS,
            wait_s=wait_s,
        )
        self._fold_all(batch.records)
        self._record_log_end(batch.end, asked_at)

    def apply_relayed(self, records, end, end_age_s, asked_at):
        """Apply records that a peer relays, and its last known log end.

        ``end_age_s`` is the age of that log end in seconds, or ``None`` if the peer
        does not know it. ``asked_at`` is the monotonic time just before the request to
        the peer, so the time that the request took is added to the age.
        """
        self._fold_all(dropwhile(lambda r: r.offset <= self.state.offset, records))
        if end_age_s is not None:
            self._record_log_end(end, asked_at - end_age_s)

    def try_restore_snapshot(self, oldest):
        """Restore the newest snapshot if it includes all records that have expired.

        ``oldest`` is the first offset that the log still has. If no snapshot includes
        all records before it, the method leaves the state as it is and returns after a
        delay. In both cases the state counts as not fresh until a later read of the log
        shows that it is complete.
        """
        self.mark_not_fresh()
        state = self._snapshots.newest()
        if state is None or state.offset + 1 < oldest:
            warn(
                "no snapshot covers the expired records",
                step="read snapshot",
                oldest=oldest,
            )
            self._clock.sleep(self._backoff.next_delay())
            return
        event("state restored from snapshot", step="read snapshot", offset=state.offset)
        self._recent.clear()
        self.state = state
        self._notify(None, None)

    def log_end_age_s(self):
        """Return seconds since the state was last known to be complete, or ``None``."""
        if self._complete_at is None:
            return None
        return self._clock.monotonic() - self._complete_at

    def mark_not_fresh(self):
        """Count the state as not fresh until it is next known to be complete.

        This is needed after a pause of the process, and when records were missed.
        """
        self._complete_at = None
        self._pending_end = None

    def recent_from(self, offset, limit):
        """Return up to ``limit`` recent records from ``offset`` on, to relay to a peer.

        Returns ``None`` if the record at ``offset`` is no longer in memory.
        """
        if offset > self.state.offset:
            return []
        if not self._recent or self._recent[0].offset > offset:
            return None
        return list(
            dropwhile(lambda record: record.offset < offset, list(self._recent))
        )[:limit]

    def wait_for(self, condition, timeout_s):
        """Wait until ``condition(state)`` is true and return ``True``.

        Returns ``False`` if it is not true within ``timeout_s`` seconds.
        """
        deadline = self._clock.monotonic() + timeout_s
        while not condition(self.state):
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                return False
            self._clock.wait(self._changed, remaining_s)
        return True

    def _fold_all(self, records):
        for record in records:
            if record.offset <= self.state.offset:
                continue
            verdict = fold(self.state, record)
            self._recent.append(record)
            self._notify(record, verdict)

    def _notify(self, record, verdict):
        for listener in self.listeners:
            listener(record, verdict)
        self._changed.set()
        self._changed = Event()

    def _record_log_end(self, end, known_at):
        """Update the time at which the state was last known to be complete.

        ``end`` was the log's end at ``known_at``. An end that the state has not
        reached is pending until the state reaches it. Later ends don't replace it;
        otherwise the state of a reader that is always a few records behind a growing
        log would never count as complete.
        """
        if self._pending_end is None:
            self._pending_end = (end, known_at)
        for log_end, log_end_at in (self._pending_end, (end, known_at)):
            if self.state.offset + 1 >= log_end:
                self._complete_at = max(self._complete_at or log_end_at, log_end_at)
        if self.state.offset + 1 >= self._pending_end[0]:
            self._pending_end = None
