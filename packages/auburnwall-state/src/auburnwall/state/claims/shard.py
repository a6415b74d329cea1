"""Append claims to one shard's stream in batches and read the winners from it.

Usually only the shard's owner appends. Other nodes do so too when they can't reach it,
and while nodes disagree on the owner. The stream alone decides which claim wins.
"""

from typing import NamedTuple

from gevent.event import AsyncResult, Event

from ..exceptions import LogTruncatedError, LogUnavailableError, OutcomeUnknownError
from .index import ClaimIndex
from .keys import stream_of

READ_LIMIT_RECORDS = 1_000
# Time allowed for finding the winners of claims whose append got no response, and the
# wait of each read of the stream meanwhile, in seconds.
RESOLVE_TIMEOUT_S = 2.0
RESOLVE_POLL_S = 0.1
PRUNE_INTERVAL_S = 30.0


class _PendingClaim(NamedTuple):
    claim: object
    result: AsyncResult


class ClaimShard:
    """Append claims to the stream of one shard and read the winners from it.

    Claims are gathered for ``gather_s`` seconds before they are appended together.
    Winners that were appended more than ``retention_s`` seconds ago are removed.
    ``appends`` counts the attempted appends and ``appended_claims`` the claims in them,
    whether or not these won.
    """

    def __init__(self, shard_number, log, clock, *, gather_s, retention_s):
        self._stream = stream_of(shard_number)
        self._log = log
        self._clock = clock
        self._gather_s = gather_s
        self._retention_s = retention_s
        self._index = ClaimIndex()
        self._loaded = False
        self._pending = []
        self._releases = []
        self._wake = Event()
        self._pruned_at = clock.monotonic()
        self.appends = 0
        self.appended_claims = 0

    def claim(self, new_claim, timeout_s):
        """Return the winning ``Claim`` of ``new_claim.key``.

        ``new_claim`` is a ``Claim``. A second call with the same attempt is harmless.
        Raises ``StateError`` if the log does not yield the winner in time.
        """
        # Until the stream is read to its end, a winner in the index may have been
        # released by a record that is not read yet.
        winner = self._index.winner(new_claim.key) if self._loaded else None
        if winner:
            return winner
        pending = _PendingClaim(new_claim, AsyncResult())
        self._pending.append(pending)
        self._wake.set()
        if not self._clock.wait(pending.result, timeout_s):
            raise OutcomeUnknownError("no verdict in time", step="claim")
        return pending.result.get()

    def release(self, key, attempt):
        """Free a key whose winner gave up before it sent the request.

        If the append fails, the release is lost and the key stays claimed.
        """
        self._releases.append([key, attempt])
        self._wake.set()

    def run(self):
        """Append gathered claims and releases forever, one batch at a time."""
        while True:
            self._clock.wait(self._wake)
            self._clock.sleep(self._gather_s)
            self._wake.clear()
            self.flush()

    def flush(self):
        """Append one batch and set the results of its claims.

        If the log fails, the claims that have no winner yet get its error as result.
        """
        pending, self._pending = self._pending, []
        releases, self._releases = self._releases, []
        try:
            self._load_stream()
            undecided = self._resolve_decided(pending)
            if undecided or releases:
                self._append(undecided, releases)
            self._prune()
        except (LogUnavailableError, OutcomeUnknownError) as exc:
            for entry in pending:
                if not entry.result.ready():
                    entry.result.set_exception(exc)

    def _resolve_decided(self, pending):
        undecided = []
        for entry in pending:
            winner = self._index.winner(entry.claim.key)
            if winner:
                entry.result.set(winner)
            else:
                undecided.append(entry)
        return undecided

    def _append(self, pending, releases):
        payload = {
            # All fields of a claim but ``time_ms``, which the log adds.
            "claims": [list(entry.claim[:5]) for entry in pending],
            "releases": releases,
        }
        self.appends += 1
        self.appended_claims += len(pending)
        try:
            offset = self._log.append(self._stream, [payload])
        except LogUnavailableError as exc:
            if not exc.effect_possible:
                raise
            self._resolve_from_stream(pending)
            return
        while self._index.offset < offset:
            self._read(0.0)
        for entry in pending:
            entry.result.set(self._index.winner(entry.claim.key))

    def _resolve_from_stream(self, pending):
        """Read the stream to resolve claims whose append got no response.

        The claims are never appended again. Raises ``OutcomeUnknownError`` if some
        can't be resolved in time.
        """
        deadline = self._clock.monotonic() + RESOLVE_TIMEOUT_S
        while pending and self._clock.monotonic() < deadline:
            try:
                self._read(RESOLVE_POLL_S)
            except LogUnavailableError:
                self._clock.sleep(RESOLVE_POLL_S)
            pending = self._resolve_decided(pending)
        if pending:
            raise OutcomeUnknownError("the append got no answer", step="claim")

    def _load_stream(self):
        """Read the stream to its end once, so that no earlier winner is missed."""
        while not self._loaded:
            batch = self._read(0.0)
            self._loaded = self._index.offset + 1 >= batch.end

    def _read(self, wait_s):
        try:
            batch = self._log.read(
                self._stream,
                self._index.offset + 1,
                limit=READ_LIMIT_RECORDS,
                wait_s=wait_s,
            )
        except LogTruncatedError as exc:
            self._index.offset = exc.oldest - 1
            return self._read(wait_s)
        for record in batch.records:
            self._index.fold(record)
        return batch

    def _prune(self):
        now = self._clock.monotonic()
        if now - self._pruned_at >= PRUNE_INTERVAL_S:
            self._pruned_at = now
            self._index.prune((self._clock.time() - self._retention_s) * 1000)
