"""The begin of a process: its time, its first signals, and what speeds up its imports.

The modules that this one imports are loaded by the interpreter itself, so that it can
be called before all others are imported.
"""

import os
import signal
import time

# Position of the start time among the fields of ``/proc/self/stat`` that follow the
# process's name, which ends with the last parenthesis.
START_TIME_FIELD = 19
# A stated start of the process that is longer ago is not plausible, in seconds: where a
# process has a clock of its own, the kernel's statement is of another one.
MAX_START_S = 60.0


def handle_signals_while_starting():
    """Ignore SIGHUP, and end with status 0 at SIGTERM: nothing has begun yet.

    By default, either would end the process as if it had failed. The settings, which a
    SIGHUP announces, are read after this.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))


def process_started_at():
    """Return when this process began, in seconds since boot, or ``None`` if unknown.

    The kernel states it with a resolution of 10 ms, on the clock ``CLOCK_BOOTTIME``.
    """
    try:
        with open("/proc/self/stat", encoding="utf-8", errors="replace") as file:
            fields = file.read().rpartition(")")[2].split()
        started_at = int(fields[START_TIME_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return None
    age_s = time.clock_gettime(time.CLOCK_BOOTTIME) - started_at
    return started_at if 0 <= age_s <= MAX_START_S else None


def patch_blocking_calls():
    """Replace the blocking calls of the standard library by those of gevent.

    ``gevent`` looks for plugins among all installed distributions for each module that
    it patches, 25 times in all. A node has no such plugins, so none are looked for.
    """
    from importlib import metadata

    from gevent import monkey

    find_plugins = metadata.entry_points
    metadata.entry_points = lambda **params: ()
    try:
        monkey.patch_all()
    finally:
        metadata.entry_points = find_plugins
