"""A local replica of one table, which never reverts to older records.

The store can come back from a copy that is some seconds old. It then has a new era: it
has lost the records of those seconds and gives their offsets out again. Where the
values of a key tell which is newer, the replica goes by the newer one at once. It keeps
what it knows of the other changed keys for a time, in which their writers write them
again, and only then takes over what the store has.
"""

from itertools import dropwhile

from gevent.event import Event

from auburnwall.base.logs import event

from ..exceptions import LogTruncatedError, LogUnavailableError
from .base import TableRecord
from .order import OffsetOrder

# Keys whose recent records a node retains for peers that cannot read the table
# themselves: the last minute at about 50 changes a second.
MAX_RELAY_RECORDS = 3_000
# Time in which operators and servers have written again what the store has lost, in
# seconds.
SETTLE_S = 2.0
# Records of the history that are read after a load, to find values that an older one
# has replaced. A late write is late by seconds, so there are few between them.
HISTORY_RECORDS = 8
# Why a record of the copy is not in force: the store has lost records and its key is
# not settled, or an older value was written after a newer one.
UNSETTLED, OUTDATED = "unsettled", "outdated"
# Source of records that were read from the store; else it is the name of a peer.
STORE = "store"
# Offset of an entry from an earlier era; any record of the new era replaces it.
EARLIER_ERA_OFFSET = -1


class TableReplica:
    """Follow a table and notify ``listeners`` of each record, including removals.

    The replica holds the newest record of each key before the offset ``end``, which is
    -1 before the first read. ``order`` is the table's ``RecordOrder``. ``read_at`` is
    the last time at which the replica was known to hold all records, on the node's
    monotonic clock, or ``None``. ``source`` is where the last answer came from,
    ``STORE`` or the name of a peer.

    ``era`` is the store's era of these offsets. ``unsettled`` maps each key that an
    older copy of the store has changed to its record there, ``None`` if it has none;
    ``entries`` still holds what was known before. ``reloading`` is true while listeners
    are notified of records that may be older than their key's last record.

    ``loaded_at`` is the time at which the replica was begun, by its first load or anew.
    If ``survives_pause`` is false, it is begun anew in a new era if ``read_at`` is
    ``None`` then, because the node was paused: others may have written in that era what
    is newer than all that this node knows. ``reset_listeners`` are called before.

    ``held_listeners`` are notified of each record that is not put in force, and why:
    ``UNSETTLED`` or ``OUTDATED``.

    ``is_repeat(old, new)`` tells whether a value says nothing new. Of such records only
    ``repeat_listeners`` are notified, with the key, and peers do not get them.
    """

    def __init__(
        self,
        table,
        client,
        clock,
        *,
        order=None,
        settle_s=SETTLE_S,
        is_repeat=lambda old, new: False,
        survives_pause=True,
    ):
        self.table = table
        self.entries = {}
        self.end = -1
        self.era = 0
        self.read_at = None
        self.source = STORE
        self.reloading = False
        self.unsettled = {}
        self.listeners = []
        self.repeat_listeners = []
        self.reset_listeners = []
        self.held_listeners = []
        self.loaded_at = None
        self._client = client
        self._clock = clock
        self._order = order or OffsetOrder()
        self._settle_s = settle_s
        self._is_repeat = is_repeat
        self._survives_pause = survives_pause
        self._settle_at = 0.0
        # ``read_at`` when the first of the unsettled keys was found.
        self._complete_until = None
        # The newest record of each key that changed, by key in the order of offsets.
        self._recent = {}
        # ``_recent`` lacks no key's newest record from this offset on.
        self._recent_from = 0
        self._changed = Event()

    @property
    def complete_at(self):
        """Return the last time at which all that the table held was in force.

        It is on the node's monotonic clock, ``None`` if it is not known. While keys are
        unsettled it stands still.
        """
        if self.read_at is None or not self.unsettled:
            return self.read_at
        return self._complete_until

    def age_s(self):
        """Return the seconds since the replica was complete, or ``None``."""
        return self._seconds_since(self.complete_at)

    def read_age_s(self):
        """Return the seconds since the replica held all records, or ``None``."""
        return self._seconds_since(self.read_at)

    def _seconds_since(self, at):
        return None if at is None else self._clock.monotonic() - at

    def is_in_time(self, bound_s):
        """Return whether the replica was complete within the last ``bound_s``."""
        age_s = self.age_s()
        return age_s is not None and age_s <= bound_s

    def refresh(self, wait_s):
        """Read new records, waiting up to ``wait_s`` seconds for the first one.

        Reloads the whole table at the first call, if the next records have expired, or
        if the store has a new era. Raises ``LogUnavailableError``.

        A response without records that comes after the whole wait was written at its
        end, so the replica was complete then.
        """
        asked_at = self._clock.monotonic()
        self.settle_due()
        if self.end < 0:
            self._reload(asked_at)
            return
        try:
            batch = self._client.read(self.table, self.end, wait_s=wait_s)
        except LogTruncatedError as exc:
            event("table history dropped", table=self.table, oldest=exc.oldest)
            self._reload(asked_at, exc.oldest)
            return
        if batch.era != self.era:
            self._reload(asked_at)
        else:
            waited = self._clock.monotonic() - asked_at >= wait_s and not batch.records
            complete_at = asked_at + wait_s if waited else asked_at
            self.apply_records(
                batch.records, batch.end, complete_at if batch.at_end else None
            )
        self.settle_due()

    def apply_records(self, records, end, complete_at, source=STORE):
        """Apply records in order of offset, from the table or from a peer's replica.

        ``end`` is the offset after them. ``complete_at`` is the monotonic time at which
        they were known to be complete up to there, ``None`` if more follow. Records
        before the replica's own end are skipped. If ``end`` is before the replica's
        own, nothing changes.
        """
        self.source = source
        for record in dropwhile(lambda r: r.offset < self.end, records):
            self._apply(record)
        if end >= self.end:
            self.end = end
            if complete_at is not None:
                self.read_at = max(self.read_at or complete_at, complete_at)

    def apply_written(self, result, entries, complete_at):
        """Apply the records that a conditional write of this node has appended.

        ``result`` is the ``AppendResult``. Nothing is applied if the store has a new
        era, since the records before those written are not known then.
        """
        if result.era != self.era:
            event("written in a new era", table=self.table, era=result.era)
            return
        records = [
            TableRecord(result.offset + index, key, value)
            for index, (key, value) in enumerate(entries)
        ]
        self.apply_records(records, result.offset + len(records), complete_at)

    def wait_for_records(self, offset, wait_s):
        """Wait up to ``wait_s`` for a record for peers at ``offset`` or later."""
        if self.end < 0 or self._has_records_from(offset):
            return
        self._clock.wait(self._changed, wait_s)

    def records_for_peer(self, offset, era):
        """Return records for a peer, and whether they are the whole table.

        These are the newest records of the keys that changed from ``offset`` on;
        records that newer ones have replaced are left out, so that a peer on a slow
        link does not fall further behind. If some of the records are no longer in
        memory, or if the peer has another era, the newest record of each key is
        returned instead. Before the first read that is an empty list; ``age_s`` returns
        ``None`` then, and ``end`` is -1.
        """
        if era == self.era:
            if offset >= self.end >= 0:
                return [], False
            if self._recent_from <= offset:
                recent = self._recent.values()
                return list(dropwhile(lambda r: r.offset < offset, recent)), False
        return sorted(self.entries.values()), True

    def replace(self, records, end, complete_at, era=0, source=STORE):
        """Replace all entries by ``records``, the newest record of each key.

        Keys that are not among them are removed. Has no effect if ``end`` is older than
        the end of the replica in the same era, or if the era is older.
        """
        if era < self.era or (era == self.era and end < self.end):
            return
        self.source = source
        if era > self.era and self.end >= 0:
            if self.read_at is not None or self._survives_pause:
                self._enter_era(records, end, complete_at, era)
                return
            self._begin_anew(era)
        if self.loaded_at is None:
            self.loaded_at = self._clock.monotonic()
        self.era = era
        present_keys = {record.key for record in records}
        # A removal gets the replica's end as its offset, so that ``_apply`` doesn't
        # ignore it as older than the entry.
        removals = [
            TableRecord(max(self.end, 0), key, None)
            for key in self.entries
            if key not in present_keys and key not in self.unsettled
        ]
        changed = [r for r in records if self.unsettled.get(r.key) != r]
        self._forget_recent(end)
        self._apply_reloaded(removals + sorted(changed))
        self.end = end
        self.read_at = max(self.read_at or complete_at, complete_at)

    def settle_due(self):
        """Take over the store's records of unsettled keys when their time is over."""
        if self.unsettled and self._clock.monotonic() >= self._settle_at:
            self.settle()

    def settle(self):
        """Take over what the store has for the unsettled keys."""
        unsettled, self.unsettled = self.unsettled, {}
        event("table settled", table=self.table, era=self.era, keys=len(unsettled))
        self._apply_reloaded(
            record or TableRecord(max(self.end, 0), key, None)
            for key, record in unsettled.items()
        )

    def _reload(self, asked_at, oldest=0):
        batch = self._client.newest(self.table)
        self.replace(batch.records, batch.end, asked_at, batch.era)
        if self._order.within_era:
            self._read_history(oldest)

    def _read_history(self, oldest):
        """Look for values that an older one has replaced, in the last records."""
        start = max(self.end - HISTORY_RECORDS, oldest, 0)
        if start >= self.end:
            return
        try:
            batch = self._client.read(self.table, start, wait_s=0.0)
        except LogTruncatedError as exc:
            if exc.oldest > oldest:
                self._read_history(exc.oldest)
            return
        except LogUnavailableError as exc:
            event("table history not read", table=self.table, why=exc.detail)
            return
        if batch.era != self.era:
            return
        for record in batch.records:
            current = self.entries.get(record.key)
            if (
                record.offset < self.end
                and self._verdict(record, current) == 1
                and record.offset < current.offset
            ):
                self._apply(record, keep_for_peers=False)
                self._notify_held(current, OUTDATED)

    def _enter_era(self, records, end, complete_at, era):
        """Continue with the table of a new era; keep changed keys for a time."""
        stored = {record.key: record for record in records}
        unsettled, newer = {}, []
        for key in {*self.entries, *stored}:
            known, record = self.entries.get(key), stored.get(key)
            if record is not None and (known is None or known.value != record.value):
                verdict = self._order.compare(key, record.value, known and known.value)
            else:
                verdict = 0 if record is not None else None
            if verdict == 1:
                newer.append(record)
            elif known is not None and verdict is not None:
                self.entries[key] = known._replace(offset=record.offset)
                continue
            else:
                unsettled[key] = record
            if known is not None:
                self.entries[key] = known._replace(offset=EARLIER_ERA_OFFSET)
        event(
            "store lost records",
            table=self.table,
            era=era,
            instead_of=self.era,
            end=end,
            end_before=self.end,
            newer=len(newer),
            unsettled=len(unsettled),
        )
        if not self.unsettled:
            self._complete_until = self.read_at
        self.unsettled = unsettled
        self._settle_at = self._clock.monotonic() + self._settle_s
        self.era, self.end, self.read_at = era, end, complete_at
        self._forget_recent(end)
        self._apply_reloaded(newer)
        for record in filter(None, unsettled.values()):
            self._notify_held(record, UNSETTLED)

    def _begin_anew(self, era):
        """Count what is known for nothing against the table of a new era."""
        event("table begun anew", table=self.table, era=era, instead_of=self.era)
        self.unsettled.clear()
        self.entries = {
            key: record._replace(offset=EARLIER_ERA_OFFSET)
            for key, record in self.entries.items()
        }
        self.loaded_at = None
        for listener in self.reset_listeners:
            listener()

    def _forget_recent(self, end):
        """Give peers no recent records from before ``end``.

        After a reload there are gaps between these: overwritten records are missing.
        """
        self._recent.clear()
        self._recent_from = end

    def _has_records_from(self, offset):
        if offset < self._recent_from:
            return True
        newest = next(reversed(self._recent.values()), None)
        return newest is not None and newest.offset >= offset

    def _apply_reloaded(self, records):
        self.reloading = True
        try:
            for record in records:
                self._apply(record, keep_for_peers=False)
        finally:
            self.reloading = False

    def _apply(self, record, keep_for_peers=True):
        current = self.entries.get(record.key)
        verdict = self._verdict(record, current)
        if verdict == -1:
            self._pass_over(record, current, keep_for_peers)
            return
        if verdict != 1 and current is not None and current.offset > record.offset:
            return
        self.unsettled.pop(record.key, None)
        if (
            current is not None
            and record.value is not None
            and self._is_repeat(current.value, record.value)
        ):
            self.entries[record.key] = record
            for listener in self.repeat_listeners:
                listener(record.key)
            return
        if verdict == 1 and current.offset > record.offset:
            record = record._replace(offset=current.offset)
        if keep_for_peers:
            self._keep_for_peers(record)
        if verdict != 1 and current is not None and current.offset == record.offset:
            return
        if record.value is None:
            self.entries.pop(record.key, None)
        else:
            self.entries[record.key] = record
        for listener in self.listeners:
            listener(record)

    def _pass_over(self, record, current, keep_for_peers):
        """Keep the current value in place of a record with an older one."""
        if record.offset <= current.offset:
            return
        newer = self.entries[record.key] = current._replace(offset=record.offset)
        if keep_for_peers:
            self._keep_for_peers(newer)
        self._notify_held(record, OUTDATED)

    def _verdict(self, record, current):
        """Return how the values of a record and of its key's current one compare.

        ``None`` if only their offsets tell which is newer.
        """
        if not self._order.within_era or current is None or record.value is None:
            return None
        return self._order.compare(record.key, record.value, current.value)

    def _notify_held(self, record, why):
        for listener in self.held_listeners:
            listener(record, why)

    def _keep_for_peers(self, record):
        self._recent.pop(record.key, None)
        self._recent[record.key] = record
        if len(self._recent) > MAX_RELAY_RECORDS:
            oldest = self._recent.pop(next(iter(self._recent)))
            self._recent_from = oldest.offset + 1
        self._changed.set()
        self._changed = Event()
