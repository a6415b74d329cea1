"""A retry budget that holds across all nodes without coordination.

In any window of time, the retries of a service are limited to a share of its requests
plus a fixed reserve. Each node may use the share of its own requests and an equal part
of the reserve, so the total limit also holds while nodes join and leave.
"""

from collections import deque


class SharedRetryBudget:
    """This node's part of one service's retry budget.

    ``share`` is the number of retries per request, and ``reserve`` the number of
    further retries of all nodes together within ``window_s`` seconds. ``nodes`` returns
    the number of nodes that divide the reserve. Only the fraction ``margin`` of the
    budget is used, because windows and counts of nodes differ a little between nodes.
    """

    def __init__(self, share, reserve, window_s, nodes, clock, *, margin=0.7):
        self._share = share
        self._reserve = reserve
        self._window_s = window_s
        self._nodes = nodes
        self._clock = clock
        self._margin = margin
        self._requests = deque()
        self._retries = deque()

    def note_request(self):
        """Count a caller's request."""
        self._requests.append(self._clock.monotonic())

    def take(self):
        """Return whether one retry may be sent, and count it if so."""
        if not self.may_take():
            return False
        self._retries.append(self._clock.monotonic())
        return True

    def give_back(self):
        """Count a retry that was taken and not sent no longer."""
        if self._retries:
            self._retries.pop()

    def may_take(self):
        """Return whether one retry may be sent."""
        now = self._clock.monotonic()
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
        reserve = self._reserve / max(1, self._nodes())
        allowed = self._margin * (self._share * len(self._requests) + reserve)
        return len(self._retries) + 1 <= allowed
