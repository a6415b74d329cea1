"""How many loads from the weight store may begin."""

from collections import deque

# Time over which the rate of beginning loads counts, in seconds. A group's servers all
# begin at once, so the rate cannot hold in every single second; the platform counts
# over the same time.
WINDOW_S = 5.0


class LoadAllowance:
    """At most ``per_s`` loads begin in a second, on the mean of the window.

    ``at_once`` run at a time, since more would take each other's rate away; a group
    with more members than that loads alone. A load counts for as long as it is expected
    to take.
    """

    def __init__(self):
        self._begun = deque()
        self._ends = []

    def left(self, per_s, at_once, largest, now, seen=0):
        """Return how many loads may begin at ``now``.

        ``largest`` is the number of members of the largest group, ``seen`` the loads
        that servers say are under way: more than this planner began if it took over,
        or if they take longer than expected.
        """
        while self._begun and self._begun[0] <= now - WINDOW_S:
            self._begun.popleft()
        self._ends = [end for end in self._ends if end > now]
        running = max(len(self._ends), seen)
        places = at_once if running else max(at_once, largest)
        rate_left = int(per_s * WINDOW_S) - len(self._begun)
        return max(0, min(rate_left, places - running))

    def note(self, count, load_s, now, *, free=False):
        """Count ``count`` loads that begin now.

        Loads that are ``free`` count for the number at once, not for the rate.
        """
        if not free:
            self._begun.extend([now] * count)
        self._ends.extend([now + load_s] * count)
