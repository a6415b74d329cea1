"""Virtual time, which advances only when every task waits.

Timers that are due at the same time fire in the order in which they were set.
"""

import heapq
from itertools import count

import gevent
from gevent.event import Event

from auburnwall.base.clock import Clock

# Wall-clock time, as seconds since the Unix epoch, when the monotonic clock is 0.
EPOCH_S = 1_800_000_000.0
# Monotonic time at the start of a run.
START_S = 1_000.0


class VirtualTime:
    """The current time and the timers of one run."""

    def __init__(self):
        self.now = START_S
        self._timers = []
        self._sequence = count()

    def after(self, seconds):
        """Return an event that is set after ``seconds``."""
        event = Event()
        due_at = self.now + max(0.0, seconds)
        heapq.heappush(self._timers, (due_at, next(self._sequence), event))
        return event

    def run_until(self, ends_at):
        """Run all tasks and timers up to the time ``ends_at``."""
        run_until_idle()
        while self._timers and self._timers[0][0] <= ends_at:
            due_at, _, event = heapq.heappop(self._timers)
            self.now = max(self.now, due_at)
            event.set()
            run_until_idle()
        self.now = max(self.now, ends_at)


def run_until_idle():
    """Run all tasks until each of them waits for a timer or an event."""
    loop = gevent.get_hub().loop
    gevent.sleep(0)
    while loop._callbacks:
        gevent.sleep(0)


class VirtualClock(Clock):
    """One process's clock on virtual time.

    While the process is paused, its tasks stop at their next use of the clock.
    """

    def __init__(self, time, skew_s=0.0):
        self._time = time
        self._skew_s = skew_s
        self._running = Event()
        self._running.set()

    @property
    def paused(self):
        return not self._running.is_set()

    def pause(self):
        self._running.clear()

    def resume(self):
        self._running.set()

    def gate(self):
        """Block while the process is paused."""
        self._running.wait()

    def monotonic(self):
        return self._time.now

    def time(self):
        return EPOCH_S + self._time.now + self._skew_s

    def sleep(self, seconds):
        self._time.after(seconds).wait()
        self.gate()

    def wait(self, waitable, timeout_s=None):
        if timeout_s is None:
            waitable.wait()
        elif not waitable.ready():
            gevent.wait([waitable, self._time.after(timeout_s)], count=1)
        self.gate()
        return waitable.ready()
