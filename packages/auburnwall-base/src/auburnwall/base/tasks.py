"""Groups of greenlets, and loops that survive errors."""

import gevent
from absl import logging

from .logs import event


class TaskGroup:
    """A context manager that kills its greenlets on exit.

    >>> with TaskGroup() as tasks:
    ...     tasks.spawn(work)
    """

    def __init__(self):
        self._running = set()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.kill()

    def __len__(self):
        return len(self._running)

    def spawn(self, function, *args):
        """Run ``function`` in a greenlet of this group and return it."""
        task = gevent.spawn(function, *args)
        self._running.add(task)
        task.link(self._running.discard)
        return task

    def kill(self):
        """Kill all greenlets of the group and wait until they have ended."""
        gevent.killall(list(self._running))


RESTART_DELAY_S = 0.5


def run_restarting(clock, function, name):
    """Call ``function``, an endless loop, again whenever it returns or fails."""
    run_periodically(clock, RESTART_DELAY_S, function, name)


def run_periodically(clock, delay_s, function, name):
    """Call ``function`` in an endless loop with pauses of ``delay_s``; log its errors.

    An error in one call doesn't end the loop, because the next call starts from the
    current state.
    """
    while True:
        try:
            function()
        except Exception as exc:
            event(f"{name} failed", level=logging.ERROR, exc_info=exc, step=name)
        clock.sleep(delay_s)
