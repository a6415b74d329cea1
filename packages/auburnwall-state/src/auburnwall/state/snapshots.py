"""Snapshots of the state, for nodes whose next records have expired from the log.

The settings ``snapshot_records`` and ``snapshot_s`` must be small enough that a new
snapshot is written before the records after the previous one expire.

A snapshot is split into parts, one record each. It is used only if all parts are
present and the checksum matches. One node writes snapshots, under a lease. Two
concurrent writers would do no harm; they would only write more than needed.
"""

import json
from collections import defaultdict

import xxhash

from auburnwall.base.logs import event

from .exceptions import LogTruncatedError
from .fold import State

SNAPSHOT_STREAM = "snapshots"
# Name of the lease under which a node writes snapshots.
SNAPSHOT_LEASE_NAME = "snapshots"
MAX_PART_CHARS = 65_536
READ_LIMIT_RECORDS = 200


class SnapshotStore:
    """Write snapshots to their stream and read them back."""

    def __init__(self, log):
        self._log = log

    def write(self, state):
        """Append the snapshot of ``state`` and return the number of its parts."""
        text = json.dumps(state.to_dict(), sort_keys=True, separators=(",", ":"))
        checksum = xxhash.xxh3_128_hexdigest(text.encode())
        chunks = [
            text[i : i + MAX_PART_CHARS] for i in range(0, len(text), MAX_PART_CHARS)
        ]
        for number, chunk in enumerate(chunks):
            part = {
                "offset": state.offset,
                "checksum": checksum,
                "part": number,
                "parts": len(chunks),
                "text": chunk,
            }
            self._log.append(SNAPSHOT_STREAM, [part])
        return len(chunks)

    def newest(self):
        """Return the state of the newest complete snapshot, or ``None``."""
        parts_by_snapshot = defaultdict(dict)
        for data in self._read_all():
            key = data["offset"], data["checksum"], data["parts"]
            parts_by_snapshot[key][data["part"]] = data["text"]
        for key in sorted(parts_by_snapshot, reverse=True):
            state = _assemble(parts_by_snapshot[key], *key)
            if state is not None:
                return state
        return None

    def _read_all(self):
        offset = 0
        while True:
            try:
                batch = self._log.read(
                    SNAPSHOT_STREAM, offset, limit=READ_LIMIT_RECORDS, wait_s=0.0
                )
            except LogTruncatedError as exc:
                offset = exc.oldest
                continue
            yield from (record.data for record in batch.records)
            offset += len(batch.records)
            if offset >= batch.end:
                return


class Snapshotter:
    """Write snapshots while the lease is held.

    A snapshot is due after ``every_records`` new records, or after ``every_s`` seconds
    if there is any new record. ``count`` is how many have been written.
    """

    def __init__(self, store, keeper, follower, clock, *, every_records, every_s):
        self._store = store
        self._keeper = keeper
        self._follower = follower
        self._clock = clock
        self._every_records = every_records
        self._every_s = every_s
        self._written_offset = None
        self._written_at = 0.0
        self.count = 0

    def step(self, lease_delay_s):
        """Renew or take the lease, and write a snapshot if one is due.

        ``lease_delay_s`` is how long this node waits, in seconds, before it takes a
        lease that is free; see ``LeaseKeeper.step``.
        """
        self._keeper.step(lease_delay_s)
        if self._keeper.fence() is None:
            # Another node may write snapshots until this one has the lease again.
            self._written_offset = None
            return
        if self._written_offset is None:
            newest = self._store.newest()
            self._written_offset = newest.offset if newest else -1
            self._written_at = self._clock.monotonic()
        state = self._follower.state
        new_records = state.offset - self._written_offset
        elapsed_s = self._clock.monotonic() - self._written_at
        if new_records >= self._every_records or (
            new_records and elapsed_s >= self._every_s
        ):
            self._write(state)

    def _write(self, state):
        offset = state.offset
        parts = self._store.write(state)
        self._written_offset, self._written_at = offset, self._clock.monotonic()
        self.count += 1
        event("snapshot written", step="write snapshot", offset=offset, parts=parts)


def _assemble(parts, offset, checksum, part_count):
    if len(parts) != part_count:
        return None
    text = "".join(parts[number] for number in range(part_count))
    if xxhash.xxh3_128_hexdigest(text.encode()) != checksum:
        return None
    return State.from_dict(json.loads(text))
