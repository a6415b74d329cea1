"""The turns of tasks that never have to wait for what they read.

Failure pattern: some dozens of connections always have bytes to read. Each of their
tasks reads for a short time and then lets others run, but together they take a part of
a second for each round, in which timers and the other connections wait. It begins when
the bytes of all of them arrive at once, and goes on if a task's next turn is due at a
set time: after one long round, all turns are due.
"""

import time
from collections import deque

import gevent
from gevent.hub import Waiter

# Time after which the turns of one iteration of the event loop end, and shortest pause
# of the loop between such turns, in seconds. With a sleep of 0 the loop would run a
# task again and again before it looks at any socket.
MAX_TURN_S = 0.005
TURN_PAUSE_S = 0.001


class Turns:
    """Shares out a part of each iteration of the event loop to the tasks of a process.

    However many tasks there are, together they have ``MAX_TURN_S`` in an iteration,
    and those that have to wait get their turns in the order in which they came.
    """

    def __init__(self):
        self._waiters = deque()
        self._timer = None
        self._iteration = None
        self._began_at = 0.0

    def is_over(self):
        """Return whether the turns of this iteration of the event loop must end."""
        iteration, now = gevent.get_hub().loop.iteration, time.perf_counter()
        if iteration != self._iteration:
            self._iteration, self._began_at = iteration, now
        return now - self._began_at > MAX_TURN_S

    def wait(self):
        """Wait for the next turn of the current task.

        Timeouts and interrupts of the task take effect meanwhile.
        """
        waiter = Waiter()
        self._waiters.append(waiter)
        self._start_timer()
        try:
            waiter.get()
        except BaseException:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            raise

    def _start_timer(self):
        if self._timer is None:
            self._timer = gevent.get_hub().loop.timer(TURN_PAUSE_S)
        if not self._timer.active:
            # The loop's time may be that of the begin of this iteration.
            self._timer.start(self._run, update=True)

    def _run(self):
        """Let tasks run that wait, one at least; called by the event loop."""
        is_over = False
        while self._waiters and not is_over:
            self._waiters.popleft().switch(None)
            is_over = self.is_over()
        if self._waiters:
            self._start_timer()


turns = Turns()
