"""A budget for sending requests again that holds over all nodes together.

In any window a service may get no more repeats than a share of its requests and some
more. Each node takes its own requests' share and an equal part of what goes beyond,
so that the sum holds without asking anyone, also while nodes come and go.
"""

from collections import deque


class SharedRetryBudget:
    """This node's part of the budget of one service.

    ``nodes`` returns how many nodes share the fixed part. ``margin`` is the part of
    the budget that is used, since windows and the count of nodes are not the same
    everywhere.
    """

    def __init__(self, share, reserve, window_s, nodes, clock, *, margin=0.7):
        self._share = share
        self._reserve = reserve
        self._window_s = window_s
        self._nodes = nodes
        self._clock = clock
        self._margin = margin
        self._requests = deque()
        self._repeats = deque()

    def note_request(self):
        """Count a caller's request."""
        self._requests.append(self._clock.monotonic())

    def take(self):
        """Return whether one request may be sent again, and count it."""
        now = self._clock.monotonic()
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        reserve = self._reserve / max(1, self._nodes())
        allowed = self._margin * (self._share * len(self._requests) + reserve)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True
