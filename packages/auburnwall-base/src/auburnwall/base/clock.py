"""Time as the decisions see it."""

import time
from abc import ABC, abstractmethod

import gevent


class Clock(ABC):
    """Give monotonic time, wall time and sleep, so that tests can inject all three."""

    @abstractmethod
    def monotonic(self):
        """Return seconds that never go back; only differences mean anything."""

    @abstractmethod
    def time(self):
        """Return seconds since the epoch, as this VM believes them."""

    @abstractmethod
    def sleep(self, seconds):
        """Let other tasks run for ``seconds``."""

    @abstractmethod
    def wait(self, waitable, timeout_s=None):
        """Wait for a gevent ``Event`` or ``AsyncResult``; return whether it is set."""


class SystemClock(Clock):
    """Read the VM's own clocks."""

    def monotonic(self):
        """Return seconds since boot, counting those in which the VM was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def time(self):
        """Return ``time.time()``."""
        return time.time()

    def sleep(self, seconds):
        """Sleep cooperatively."""
        gevent.sleep(seconds)

    def wait(self, waitable, timeout_s=None):
        """Wait cooperatively."""
        waitable.wait(timeout_s)
        return waitable.ready()


class PauseDetector:
    """Notice that this process did not run for a while.

    A process that was stopped holds leases, credits and evidence that others may
    have given away since. ``beat`` is called often by one task.
    """

    def __init__(self, clock, limit_s):
        self._clock = clock
        self._limit_s = limit_s
        self._last = clock.monotonic()

    def beat(self):
        """Record that the process runs; return whether it had been paused."""
        now = self._clock.monotonic()
        paused = now - self._last > self._limit_s
        self._last = now
        return paused
