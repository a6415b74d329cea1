"""Write log lines without ever holding up the task that logs."""

from collections import deque

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

# Lines that wait while the reader of the log is slow; more are dropped and counted.
# A line has some 300 bytes, so the buffer stays under 1 MB.
MAX_LINES = 3_000
# Bytes that one write takes at most: a pipe's usual capacity.
BATCH_BYTES = 65_536


class LineWriter:
    """A bounded buffer before a file descriptor, written out by one task.

    Has the ``write`` and ``flush`` of a text stream, so that a log handler can use it.
    ``dropped`` counts the lines that found the buffer full.
    """

    def __init__(self, descriptor, most_lines=MAX_LINES):
        self._descriptor = descriptor
        self._most = most_lines
        self._lines = deque()
        self._wake = Event()
        self._task = None
        self._dropped_told = 0
        self.dropped = 0

    def write(self, text):
        """Take one line, or count it as dropped."""
        if len(self._lines) >= self._most:
            self.dropped += 1
            return
        self._lines.append(text)
        if self._task is None:
            make_nonblocking(self._descriptor)
            self._task = gevent.spawn(self._run)
        self._wake.set()

    def flush(self):
        """Do nothing; ``drain`` writes out at the end."""

    def close(self):
        """Do nothing; the descriptor is the process's own."""

    def drain(self, timeout_s):
        """Wait until all lines are written, for ``timeout_s`` at most."""
        with gevent.Timeout(timeout_s, False):
            while self._lines:
                gevent.sleep(0.01)

    def _run(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                self._write_batch()

    def _write_batch(self):
        data = self._take_batch()
        while data:
            try:
                data = data[nb_write(self._descriptor, data) :]
            except OSError:
                # Nobody reads the log any more, and there is no other place to say so.
                self.dropped += 1
                return

    def _take_batch(self):
        parts, size = [], 0
        if self.dropped > self._dropped_told:
            self._dropped_told = self.dropped
            parts.append(f'{{"event": "log lines dropped", "total": {self.dropped}}}\n')
        while self._lines and size < BATCH_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        return "".join(parts).encode("utf-8", "replace")
