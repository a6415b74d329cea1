"""How many loads from the weight store may begin."""

from collections import deque


class LoadAllowance:
    """At most ``per_s`` loads begin in a second and ``at_once`` run at a time.

    Before there is traffic neither bound applies. A load counts for as long as it is
    expected to take.
    """

    WINDOW_S = 1.0

    def __init__(self):
        self._begun = deque()
        self._ends = []

    def left(self, per_s, at_once, now):
        """Return how many loads may begin at ``now``."""
        while self._begun and self._begun[0] <= now - self.WINDOW_S:
            self._begun.popleft()
        self._ends = [end for end in self._ends if end > now]
        return max(0, min(int(per_s) - len(self._begun), at_once - len(self._ends)))

    def note(self, count, load_s, now):
        """Count ``count`` loads that begin now."""
        self._begun.extend([now] * count)
        self._ends.extend([now + load_s] * count)
