"""Limit on the loads from the weight store that may begin."""

from collections import deque

# Length of the window in which the rate of new loads is limited. The servers of a group
# all begin to load at the same time, so a limit for each second would be too strict.
# The platform uses the same window.
WINDOW_S = 5.0


class LoadAllowance:
    """Limits the rate of new loads and the number of concurrent loads.

    At most ``per_s`` loads begin per second, on average over the window. At most
    ``at_once`` run concurrently, since more would only share the same bandwidth. A
    group with more members than that loads while no other load runs. A load counts as
    running for its expected duration.
    """

    def __init__(self):
        self._begin_times = deque()
        self._end_times = []

    def available_loads(self, per_s, at_once, max_members, now, reported=0):
        """Return how many loads may begin at ``now``.

        ``max_members`` is the number of members of the largest group. ``reported`` is
        the number of loads in progress that servers report. It exceeds the number that
        this planner began if an earlier planner began some of them, or if loads take
        longer than expected.
        """
        while self._begin_times and self._begin_times[0] <= now - WINDOW_S:
            self._begin_times.popleft()
        self._end_times = [end for end in self._end_times if end > now]
        running = max(len(self._end_times), reported)
        max_running = at_once if running else max(at_once, max_members)
        rate_left = int(per_s * WINDOW_S) - len(self._begin_times)
        return max(0, min(rate_left, max_running - running))

    def record_loads(self, count, load_s, now, *, unrated=False):
        """Count ``count`` loads that begin now, each of which takes ``load_s``.

        With ``unrated``, they count as concurrent loads but not towards the rate.
        """
        if not unrated:
            self._begin_times.extend([now] * count)
        self._end_times.extend([now + load_s] * count)
