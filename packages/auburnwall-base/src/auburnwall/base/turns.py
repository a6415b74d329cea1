"""The turns of tasks that never have to wait for what they read.

Failure pattern: some dozens of connections always have bytes to read. Each of their
tasks reads for a short time and then lets others run, but together they take a part of
a second for each round, in which timers and the other connections wait.
"""

import time

import gevent

# Time after which a turn ends, and shortest pause of the event loop between two turns,
# in seconds. With a sleep of 0 the loop would run a task again and again before it
# looks at any socket.
MAX_TURN_S = 0.005
TURN_PAUSE_S = 0.001


class Turns:
    """Gives one turn after the other to the tasks of a process.

    However many tasks there are, the event loop runs between any two turns.
    """

    def __init__(self):
        self._waiting = 0
        self._free_at = 0.0

    def wait(self):
        """Wait for the next turn of the current task.

        Timeouts and interrupts of the task take effect meanwhile.
        """
        now = time.perf_counter()
        begins_at = now + TURN_PAUSE_S
        if self._waiting:
            begins_at = max(begins_at, self._free_at)
        self._free_at = begins_at + MAX_TURN_S + TURN_PAUSE_S
        self._waiting += 1
        try:
            gevent.sleep(begins_at - now)
        finally:
            self._waiting -= 1


turns = Turns()
