"""Telling callers that come back from new ones.

Load pattern: in a shortage callers that were refused come back, and so do those whose
node was lost. Taken for new ones they make the demand look twice as high as it is, and
an answer to them looks as if it could still be in time.
"""

from collections import defaultdict, deque

# Calls of a route that are looked back on.
CALLS = 64
# Part of them that may have more time than usual: a few callers with much patience do
# not make all others look as if they had come back.
UNUSUAL_PART = 0.1
# Callers of one route differ by up to this part in the time that they allow; one that
# has less left has called before. Refused callers come back with two thirds at most.
SPREAD_PART = 0.2


class RetriedCallDetector:
    """The time that callers of each route have when they first call."""

    def __init__(self):
        self._left = defaultdict(lambda: deque(maxlen=CALLS))

    def elapsed_s(self, route, left_s):
        """Return how much of a caller's time had passed before this call, in seconds.

        ``left_s`` is what it says that it has left. The result is 0 for a caller that
        may be a new one.
        """
        seen = self._left[route]
        seen.append(left_s)
        usual_s = sorted(seen, reverse=True)[int(UNUSUAL_PART * len(seen))]
        is_retried = left_s < (1 - SPREAD_PART) * usual_s
        return usual_s - left_s if is_retried else 0.0
