"""Clocks, and detection of pauses of this process."""

import time
from abc import ABC, abstractmethod

import gevent


class Clock(ABC):
    """Interface to monotonic time, wall time and waiting; tests can replace it."""

    @abstractmethod
    def monotonic(self):
        """Return seconds that never decrease; only differences are meaningful.

        Time in which the VM was suspended must count, because leases run out meanwhile.
        """

    @abstractmethod
    def time(self):
        """Return seconds since the epoch by this VM's clock, which may be wrong."""

    @abstractmethod
    def sleep(self, seconds):
        """Suspend this task for ``seconds`` while other tasks run."""

    @abstractmethod
    def wait(self, waitable, timeout_s=None):
        """Wait for a gevent ``Event`` or ``AsyncResult``; return whether it is ready.

        An ``AsyncResult`` is ready if it has a value or an error. Without ``timeout_s``
        the wait has no limit.
        """


class SystemClock(Clock):
    """The clocks of this VM."""

    def monotonic(self):
        """Return seconds since boot, including time in which the VM was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def time(self):
        """Return ``time.time()``."""
        return time.time()

    def sleep(self, seconds):
        """Sleep while other greenlets run."""
        gevent.sleep(seconds)

    def wait(self, waitable, timeout_s=None):
        """Wait while other greenlets run; return whether it is ready."""
        waitable.wait(timeout_s)
        return waitable.ready()


class PauseDetector:
    """Detect that this process was paused for more than ``limit_s`` seconds.

    A paused process still believes that it holds leases and credits, but others may
    have got them meanwhile, and its evidence is out of date. One task calls
    ``check_pause`` at intervals that are much shorter than the limit.
    """

    def __init__(self, clock, limit_s):
        self._clock = clock
        self._limit_s = limit_s
        self._last_beat_at = clock.monotonic()

    def check_pause(self):
        """Record a beat; return whether the process was paused since the last one."""
        now = self._clock.monotonic()
        paused = now - self._last_beat_at > self._limit_s
        self._last_beat_at = now
        return paused
