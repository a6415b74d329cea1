"""A local copy of one table that never goes back."""

from collections import deque
from itertools import dropwhile

from auburnwall.base.logs import event

from ..exceptions import LogTruncatedError
from .base import TableRecord

# Records that a node keeps for peers that cannot read the table themselves. At some
# 50 changes a second this is the last minute.
RELAY_RECORDS = 3_000


class TableReplica:
    """Follow a table and tell ``listeners`` of each record, removals included.

    ``end`` is the offset up to which the copy is complete, -1 before the first
    reading; ``complete_at`` is the moment at which it was known to be complete, on
    the node's monotonic clock, or ``None``.
    """

    def __init__(self, table, client, clock):
        self.table = table
        self.entries = {}
        self.end = -1
        self.complete_at = None
        self.listeners = []
        self._client = client
        self._clock = clock
        self._recent = deque(maxlen=RELAY_RECORDS)

    def age(self):
        """Return seconds since the copy was known to be complete, or ``None``."""
        if self.complete_at is None:
            return None
        return self._clock.monotonic() - self.complete_at

    def refresh(self, wait_s):
        """Read what is new, waiting up to ``wait_s`` for it; start over if need be.

        Raises ``LogUnavailableError``.
        """
        asked_at = self._clock.monotonic()
        if self.end < 0:
            self._start_over(asked_at)
            return
        try:
            batch = self._client.read(self.table, self.end, wait_s=wait_s)
        except LogTruncatedError as exc:
            event("table history dropped", table=self.table, oldest=exc.oldest)
            self._start_over(asked_at)
            return
        self.learn(batch.records, batch.end, asked_at)

    def learn(self, records, end, complete_at):
        """Take records in order of offset, from the table or from a peer's copy."""
        for record in dropwhile(lambda r: r.offset < self.end, records):
            self._take(record)
        if end >= self.end:
            self.end = end
            self.complete_at = max(self.complete_at or complete_at, complete_at)

    def learn_written(self, offset, entries, complete_at):
        """Take what a conditional write of this node has added at the end."""
        records = [
            TableRecord(offset + number, key, value)
            for number, (key, value) in enumerate(entries)
        ]
        self.learn(records, offset + len(records), complete_at)

    def since(self, offset):
        """Return the records from ``offset`` on for a peer.

        The second value tells whether these are the newest of each key instead,
        since some of the records asked for are no longer at hand.
        """
        if offset >= self.end >= 0:
            return [], False
        if self._recent and self._recent[0].offset <= offset:
            return list(dropwhile(lambda r: r.offset < offset, self._recent)), False
        return sorted(self.entries.values()), True

    def replace(self, records, end, complete_at):
        """Take the newest records of all keys; what they lack has been removed."""
        if end < self.end:
            return
        found = {record.key for record in records}
        gone = [
            TableRecord(max(self.end, 0), key, None)
            for key in self.entries
            if key not in found
        ]
        self._recent.clear()
        for record in gone + sorted(records):
            self._take(record, relayed=False)
        self.end = end
        self.complete_at = max(self.complete_at or complete_at, complete_at)

    def _start_over(self, asked_at):
        batch = self._client.newest(self.table)
        self.replace(batch.records, batch.end, asked_at)

    def _take(self, record, relayed=True):
        known = self.entries.get(record.key)
        if known is not None and known.offset > record.offset:
            return
        if relayed:
            self._recent.append(record)
        if known is not None and known.offset == record.offset:
            return
        if record.value is None:
            self.entries.pop(record.key, None)
        else:
            self.entries[record.key] = record
        for listener in self.listeners:
            listener(record)
