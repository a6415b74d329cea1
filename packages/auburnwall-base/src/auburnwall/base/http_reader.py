"""Reads HTTP messages from peers, which may send anything and without end.

The parsers of the standard library, ``urllib3`` and ``gevent`` read lines and data from
a file object. They loop as long as data is available, without a limit on their number
and without letting other tasks run, and take the end of the connection for the end of a
head. A file object of this module adds the limits and tells the two ends apart.
"""

import io
import time
from http.client import HTTPException, HTTPResponse

import gevent
from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection

# Time after which a task that reads without waiting lets other tasks run, in seconds.
MAX_TURN_S = 0.005
# Time for the others then, in seconds. With a sleep of 0 the event loop would run this
# task again and again before it looks at any socket.
TURN_PAUSE_S = 0.001
# A read that takes longer has waited for data, while other tasks could run, in seconds.
MIN_WAIT_S = 0.001
# Largest total size of lines that follow each other without data, in bytes: those of a
# head with its interim responses, or those between two pieces of a body.
MAX_LINES_BYTES = 256 * 1024


class MessageTooLongError(HTTPException, OSError):
    """A message, or its lines without data between them, exceed their limit."""


class IncompleteMessageError(HTTPException, ConnectionError):
    """The connection ended within a message."""


class _TurnTakingReader(io.RawIOBase):
    """Reads from ``raw`` and lets other tasks run if it never waits for data.

    Timeouts and interrupts of the reading task take effect then. Once ``bytes_left`` is
    used up, reads raise ``MessageTooLongError``; it is ``None`` without a limit.
    """

    def __init__(self, raw):
        self.bytes_left = None
        self.bytes_read = 0
        self._raw = raw
        self._turn_began_at = time.monotonic()

    def readable(self):
        """Return true."""
        return True

    def fileno(self):
        """Return the file descriptor of the socket."""
        return self._raw.fileno()

    def readinto(self, buffer):
        """Read available data, or wait for some; return the number of bytes."""
        started_at = time.monotonic()
        if started_at - self._turn_began_at > MAX_TURN_S:
            gevent.sleep(TURN_PAUSE_S)
            started_at = self._turn_began_at = time.monotonic()
        count = self._raw.readinto(buffer)
        ended_at = time.monotonic()
        if ended_at - started_at > MIN_WAIT_S:
            self._turn_began_at = ended_at
        self.bytes_read += count or 0
        if self.bytes_left is not None and count:
            self.bytes_left -= count
            if self.bytes_left < 0:
                raise MessageTooLongError("the message is too long")
        return count

    def close(self):
        """Close this reader and the one below it."""
        self._raw.close()
        super().close()


class MessageReader(io.BufferedReader):
    """A file object for a parser of HTTP messages.

    ``buffered`` is the file object that a socket's ``makefile("rb")`` returns, from
    which nothing has been read yet; it is not usable afterwards.
    """

    def __init__(self, buffered):
        self._socket_reader = _TurnTakingReader(buffered.detach())
        super().__init__(self._socket_reader)
        self._bytes_parsed = 0
        self._lines_bytes = 0
        self._begun = False

    def begin_message(self, max_bytes=None):
        """Begin a further message, of up to ``max_bytes`` bytes if that is given.

        Reads beyond that raise ``MessageTooLongError``.
        """
        self._socket_reader.bytes_left = max_bytes
        self._lines_bytes = 0
        self._begun = False

    @property
    def unread_bytes(self):
        """Return how many bytes have arrived that no parser has read."""
        return self._socket_reader.bytes_read - self._bytes_parsed

    def readline(self, size=-1):
        """Return the next line, or its first ``size`` bytes if it is longer.

        The line is empty if the connection has ended and no message has begun. Raises
        ``IncompleteMessageError`` if the connection ends anywhere else, and
        ``MessageTooLongError`` beyond the limit.
        """
        max_bytes = MAX_LINES_BYTES - self._lines_bytes + 1
        if size >= 0:
            max_bytes = min(size, max_bytes)
        line = super().readline(max_bytes)
        self._bytes_parsed += len(line)
        if len(line) < max_bytes and not line.endswith(b"\n") and (line or self._begun):
            raise IncompleteMessageError(f"the connection ended after {line[-64:]!r}")
        self._begun = True
        self._lines_bytes += len(line)
        if self._lines_bytes > MAX_LINES_BYTES:
            raise MessageTooLongError(f"over {MAX_LINES_BYTES} bytes without data")
        return line

    def read(self, size=-1):
        """Return up to ``size`` bytes of data, fewer only at the connection's end."""
        return self._count(super().read(size))

    def read1(self, size=-1):
        """Return up to ``size`` bytes of data, with one read of the socket at most."""
        return self._count(super().read1(size))

    def readinto(self, buffer):
        """Read data into ``buffer`` and return the number of bytes."""
        self._lines_bytes = 0
        count = super().readinto(buffer)
        self._bytes_parsed += count
        return count

    def _count(self, data):
        self._lines_bytes = 0
        self._bytes_parsed += len(data)
        return data


class _Response(HTTPResponse):
    """The response below ``urllib3``'s, read by a ``MessageReader``."""

    def __init__(self, sock, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.fp = MessageReader(self.fp)


class Connection(HTTPConnection):
    """A connection of ``urllib3`` whose responses a ``MessageReader`` reads.

    It counts as closed, and is not reused, if the peer has sent more than a response.
    """

    _last_reader = None

    def response_class(self, *args, **kwargs):
        """Return the response that is read next; the base class calls this."""
        resp = _Response(*args, **kwargs)
        self._last_reader = resp.fp
        return resp

    @property
    def is_connected(self):
        """Return whether the connection is open and nothing is left to read."""
        reader = self._last_reader
        return (reader is None or not reader.unread_bytes) and super().is_connected

    def close(self):
        """Close the connection; a new one may be opened."""
        self._last_reader = None
        super().close()


class _ConnectionPool(HTTPConnectionPool):
    ConnectionCls = Connection


class ConnectionPools(PoolManager):
    """A ``PoolManager`` whose connections are those of this module."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.pool_classes_by_scheme = {"http": _ConnectionPool}
