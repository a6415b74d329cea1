"""Tells retried calls from new ones by the time that the caller has left.

Traffic pattern: during a shortage, refused callers retry, and so do callers that lost
their node. Counted as new calls they double the apparent demand, and a response to
them appears able to meet the objective.
"""

from collections import defaultdict, deque

# Recent calls per route from which the typical time is derived.
RECENT_CALLS = 64
# Fraction of recent calls that may state an unusually long time, so that a few callers
# with a long deadline do not make all others look retried.
LONG_DEADLINE_FRACTION = 0.1
# Largest relative difference between the times that new callers of a route allow. A
# caller with less time left has called before: refused callers retry with two thirds
# of their time at most.
DEADLINE_SPREAD_FRACTION = 0.2


class RetriedCallDetector:
    """The time that the callers of each route allow on their first call."""

    def __init__(self):
        self._recent_by_route = defaultdict(lambda: deque(maxlen=RECENT_CALLS))

    def elapsed_s(self, route, time_left_s):
        """Return how much of a caller's time had passed before this call, in seconds.

        ``time_left_s`` is the time that the caller states. Returns 0 for a caller that
        may be a new one.
        """
        recent = self._recent_by_route[route]
        recent.append(time_left_s)
        usual_s = sorted(recent, reverse=True)[
            int(LONG_DEADLINE_FRACTION * len(recent))
        ]
        is_retried = time_left_s < (1 - DEADLINE_SPREAD_FRACTION) * usual_s
        return usual_s - time_left_s if is_retried else 0.0
