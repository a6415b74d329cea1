"""Signals that arrive while a process starts, before it has its own handlers.

The modules that this one imports are loaded by the interpreter itself, so that it can
be called before all others are imported.
"""

import os
import signal


def handle_signals_while_starting():
    """Ignore SIGHUP, and end with status 0 at SIGTERM: nothing has begun yet.

    By default, either would end the process as if it had failed. The settings, which a
    SIGHUP announces, are read after this.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))
