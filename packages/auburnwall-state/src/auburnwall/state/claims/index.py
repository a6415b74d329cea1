"""Index of the winning claims in one shard's stream."""

from typing import NamedTuple


class Claim(NamedTuple):
    """A claim of an idempotency key; ``attempt`` identifies one attempt of one node.

    ``digest`` is a digest of the request. ``time_ms`` is the log's time of append, or 0
    if it is not known.
    """

    key: str
    digest: str
    attempt: str
    node: str
    incarnation: str
    time_ms: int = 0


class ClaimIndex:
    """The first claim of each key of a shard, within the retention window.

    A record holds claims and releases, which are applied in this order:
    ``{"claims": [[key, digest, attempt, node, incarnation], ...],
    "releases": [[key, attempt], ...]}``. A release frees a key whose winner gave
    up before it sent anything, so that the next claim of the key wins.
    """

    def __init__(self):
        self.offset = -1
        self._winners = {}

    def __len__(self):
        return len(self._winners)

    def fold(self, record):
        """Apply one record; skip it if it was applied before."""
        if record.offset <= self.offset:
            return
        self.offset = record.offset
        for row in record.data.get("claims", ()):
            claim = Claim(*row, record.time_ms)
            self._winners.setdefault(claim.key, claim)
        for key, attempt in record.data.get("releases", ()):
            winner = self._winners.get(key)
            if winner and winner.attempt == attempt:
                del self._winners[key]

    def winner(self, key):
        """Return the claim that won ``key``, or ``None``."""
        return self._winners.get(key)

    def prune(self, before_ms):
        """Remove claims whose time of append is before ``before_ms``."""
        self._winners = {
            key: claim
            for key, claim in self._winners.items()
            if claim.time_ms >= before_ms
        }
