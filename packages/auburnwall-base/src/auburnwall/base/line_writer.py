"""A writer for log lines that never blocks the task that logs."""

from collections import deque

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

# Lines that are buffered while the log's reader is slow; further lines are dropped and
# counted. A line has about 300 bytes, so the buffer stays below 1 MB.
MAX_LINES = 3_000
# A batch is complete when it reaches this size, the usual capacity of a pipe.
BATCH_BYTES = 65_536


class LineWriter:
    """A bounded buffer of lines that one task writes to a file descriptor.

    It has the methods ``write`` and ``flush`` of a text stream, so a log handler can
    use it. ``dropped`` counts the lines dropped because the buffer was full, plus one
    for each batch whose write failed.
    """

    def __init__(self, descriptor, max_lines=MAX_LINES):
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines = deque()
        self._wake = Event()
        self._task = None
        self._reported_dropped = 0
        self.dropped = 0

    def write(self, text):
        """Buffer one line, or drop and count it if the buffer is full."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(text)
        if self._task is None:
            make_nonblocking(self._descriptor)
            self._task = gevent.spawn(self._run)
        self._wake.set()

    def flush(self):
        """Do nothing; ``drain`` waits for the buffered lines at exit."""

    def close(self):
        """Do nothing; the descriptor belongs to the process."""

    def drain(self, timeout_s):
        """Wait until the buffer is empty, for at most ``timeout_s`` seconds."""
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
                # The log's reader is gone, and there is no other place to report it.
                self.dropped += 1
                return

    def _take_batch(self):
        lines, size = [], 0
        if self.dropped > self._reported_dropped:
            self._reported_dropped = self.dropped
            lines.append(f'{{"event": "log lines dropped", "total": {self.dropped}}}\n')
        while self._lines and size < BATCH_BYTES:
            lines.append(self._lines.popleft())
            size += len(lines[-1])
        return "".join(lines).encode("utf-8", "replace")
