"""Exponential backoff with jitter."""


class Backoff:
    """Generate delays between attempts, in seconds.

    Each delay is drawn from the upper half of the range up to a ceiling. The ceiling
    starts at ``first_s`` and doubles with each delay up to ``max_s``.
    """

    def __init__(self, rng, first_s, max_s):
        self._rng = rng
        self._first_s = first_s
        self._max_s = max_s
        self._ceiling_s = first_s

    def next_delay(self):
        """Return the next delay, in seconds."""
        delay = self._rng.uniform(self._ceiling_s / 2, self._ceiling_s)
        self._ceiling_s = min(self._ceiling_s * 2, self._max_s)
        return delay

    def reset(self):
        """Start again with the first ceiling, after a success."""
        self._ceiling_s = self._first_s
