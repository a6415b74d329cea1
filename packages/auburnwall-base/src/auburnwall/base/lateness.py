"""Measures how late the event loop of this process runs its timers."""

from collections import deque

from .logs import event, warn

# How long a lateness counts as recent, in seconds.
RECENT_S = 3.0
# Lateness above which the event loop counts as late, in seconds.
LATE_S = 0.1
# Time without a lateness above that limit after which a late phase is over, in seconds.
PHASE_END_S = 1.0
# Shortest time between two log lines, in seconds.
LOG_INTERVAL_S = 1.0


class LoopLateness:
    """The lateness of the event loop: how long after its time a timer fires.

    While the loop is late, bytes that have arrived lie unread and other timers fire
    late as well. A task with a regular timer calls ``expect`` and ``record``. Begin and
    end of a phase in which a lateness exceeds ``LATE_S`` are logged; of a short phase
    soon after another, only the end.
    """

    def __init__(self, clock):
        self._clock = clock
        self._due_at = None
        # Pairs of time and lateness, each smaller than those before it.
        self._peaks = deque()
        self._phase_began_at = None
        self._phase_max_s = 0.0
        self._late_at = 0.0
        self._is_phase_logged = False
        self._logged_at = clock.monotonic() - LOG_INTERVAL_S

    def recent_s(self, since=0.0):
        """Return the largest lateness of the last ``RECENT_S`` seconds, in seconds.

        It counts that of the measuring timer if its time has come but it has not fired,
        and none of timers that fired before the time ``since``.
        """
        now = self._clock.monotonic()
        overdue_s = 0.0 if self._due_at is None else max(0.0, now - self._due_at)
        self._forget_before(now - RECENT_S)
        peak_s = next((late_s for at, late_s in self._peaks if at >= since), 0.0)
        return max(overdue_s, peak_s)

    def expect(self, due_at):
        """Record that the timer is due at the time ``due_at``."""
        self._due_at = due_at

    def record(self, late_s, now):
        """Record that the timer fired ``late_s`` seconds late at the time ``now``."""
        while self._peaks and self._peaks[-1][1] <= late_s:
            self._peaks.pop()
        self._forget_before(now - RECENT_S)
        if late_s > 0:
            self._peaks.append((now, late_s))
        if late_s > LATE_S:
            self._note_late(late_s, now)
        if self._phase_began_at is not None:
            self._log_phase(now)

    def _note_late(self, late_s, now):
        if self._phase_began_at is None:
            self._phase_began_at = now - late_s
            self._phase_max_s, self._is_phase_logged = 0.0, False
        self._phase_max_s = max(self._phase_max_s, late_s)
        self._late_at = now

    def _log_phase(self, now):
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        max_s = round(self._phase_max_s, 3)
        if now - self._late_at >= PHASE_END_S:
            for_s = round(self._late_at - self._phase_began_at, 3)
            event("event loop in time", max_s=max_s, for_s=for_s)
            self._phase_began_at, self._logged_at = None, now
        elif not self._is_phase_logged:
            warn("event loop late", late_s=max_s)
            self._is_phase_logged, self._logged_at = True, now

    def _forget_before(self, time):
        while self._peaks and self._peaks[0][0] < time:
            self._peaks.popleft()
