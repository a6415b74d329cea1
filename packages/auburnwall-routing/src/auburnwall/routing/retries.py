"""A retry budget in proportion to traffic."""


class RetryBudget:
    """Token bucket that limits retries.

    Each request adds ``share`` tokens and each retry takes one. The bucket starts full
    and holds ``reserve`` tokens, so a few retries are possible with little traffic.
    """

    def __init__(self, share, reserve):
        self._share = share
        self._max_tokens = reserve
        self._tokens = reserve

    def note_request(self):
        """Add the tokens of one request."""
        self._tokens = min(self._tokens + self._share, self._max_tokens)

    def take(self):
        """Take one token; return whether there was one, so that a retry may be sent."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
