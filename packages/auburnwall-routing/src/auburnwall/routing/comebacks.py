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
# A caller that lacks more than this of the usual time has come back, in seconds: above
# what connecting takes, below any time that callers are told to stay away.
CAME_BACK_S = 0.05


class CallerPatience:
    """The time that callers of each route have when they first call."""

    def __init__(self):
        self._left = defaultdict(lambda: deque(maxlen=CALLS))

    def passed(self, route, left_s):
        """Return how much of a caller's time had passed before this call, in seconds.

        ``left_s`` is what it says that it has left.
        """
        seen = self._left[route]
        seen.append(left_s)
        usual_s = sorted(seen, reverse=True)[int(UNUSUAL_PART * len(seen))]
        return max(0.0, usual_s - left_s)
