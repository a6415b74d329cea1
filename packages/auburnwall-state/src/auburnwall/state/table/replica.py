"""A local replica of one table, which never reverts to older records."""

from collections import deque
from itertools import dropwhile

from auburnwall.base.logs import event

from ..exceptions import LogTruncatedError
from .base import TableRecord

# Recent records that a node retains for peers that cannot read the table themselves:
# the last minute at about 50 changes a second.
MAX_RELAY_RECORDS = 3_000


class TableReplica:
    """Follow a table and notify ``listeners`` of each record, including removals.

    The replica reflects all records before the offset ``end``, which is -1 before the
    first read; it holds the newest one of each key. ``complete_at`` is the last time at
    which it was known to be complete, on the node's monotonic clock, or ``None``.
    """

    def __init__(self, table, client, clock):
        self.table = table
        self.entries = {}
        self.end = -1
        self.complete_at = None
        self.listeners = []
        self._client = client
        self._clock = clock
        self._recent = deque(maxlen=MAX_RELAY_RECORDS)

    def age_s(self):
        """Return seconds since the replica was known to be complete, or ``None``."""
        if self.complete_at is None:
            return None
        return self._clock.monotonic() - self.complete_at

    def refresh(self, wait_s):
        """Read new records, waiting up to ``wait_s`` seconds for the first one.

        Reloads the whole table at the first call, or if the next records have expired.
        Raises ``LogUnavailableError``.
        """
        asked_at = self._clock.monotonic()
        if self.end < 0:
            self._reload(asked_at)
            return
        try:
            batch = self._client.read(self.table, self.end, wait_s=wait_s)
        except LogTruncatedError as exc:
            event("table history dropped", table=self.table, oldest=exc.oldest)
            self._reload(asked_at)
            return
        self.apply_records(batch.records, batch.end, asked_at)

    def apply_records(self, records, end, complete_at):
        """Apply records in order of offset, from the table or from a peer's replica.

        ``end`` is the offset after them. ``complete_at`` is the monotonic time at which
        they were known to be complete up to there. Records before the replica's own end
        are skipped. If ``end`` is before the replica's own, nothing changes.
        """
        for record in dropwhile(lambda r: r.offset < self.end, records):
            self._apply(record)
        if end >= self.end:
            self.end = end
            self.complete_at = max(self.complete_at or complete_at, complete_at)

    def apply_written(self, offset, entries, complete_at):
        """Apply the records that a conditional write of this node has appended."""
        records = [
            TableRecord(offset + index, key, value)
            for index, (key, value) in enumerate(entries)
        ]
        self.apply_records(records, offset + len(records), complete_at)

    def records_for_peer(self, offset):
        """Return records for a peer, and whether they are the whole table.

        These are the records from ``offset`` on. If some of them are no longer in
        memory, the newest record of each key is returned instead. Before the first read
        that is an empty list; ``age_s`` returns ``None`` then, and ``end`` is -1.
        """
        if offset >= self.end >= 0:
            return [], False
        if self._recent and self._recent[0].offset <= offset:
            return list(dropwhile(lambda r: r.offset < offset, self._recent)), False
        return sorted(self.entries.values()), True

    def replace(self, records, end, complete_at):
        """Replace all entries by ``records``, the newest record of each key.

        Keys that are not among them are removed. Has no effect if ``end`` is older than
        the end of the replica.
        """
        if end < self.end:
            return
        present_keys = {record.key for record in records}
        # A removal gets the replica's end as its offset, so that ``_apply`` doesn't
        # ignore it as older than the entry.
        removals = [
            TableRecord(max(self.end, 0), key, None)
            for key in self.entries
            if key not in present_keys
        ]
        # Peers must not get these records as recent ones: the removals' offsets are not
        # real, and overwritten records are missing.
        self._recent.clear()
        for record in removals + sorted(records):
            self._apply(record, keep_for_peers=False)
        self.end = end
        self.complete_at = max(self.complete_at or complete_at, complete_at)

    def _reload(self, asked_at):
        batch = self._client.newest(self.table)
        self.replace(batch.records, batch.end, asked_at)

    def _apply(self, record, keep_for_peers=True):
        current = self.entries.get(record.key)
        if current is not None and current.offset > record.offset:
            return
        if keep_for_peers:
            self._recent.append(record)
        if current is not None and current.offset == record.offset:
            return
        if record.value is None:
            self.entries.pop(record.key, None)
        else:
            self.entries[record.key] = record
        for listener in self.listeners:
            listener(record)
