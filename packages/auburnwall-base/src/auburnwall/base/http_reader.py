"""Reads HTTP messages from peers, which may send anything and without end.

The parsers of the standard library, ``urllib3`` and ``gevent`` read lines and data from
a file object. They loop as long as data is available, without a limit on their number
and without letting other tasks run, and take the end of the connection for the end of a
head. A file object of this module adds the limits and tells the two ends apart.
"""

import io
import re
from collections import deque
from email import errors
from http.client import (
    SWITCHING_PROTOCOLS,
    HTTPException,
    HTTPResponse,
    parse_headers,
)

import gevent
from urllib3 import HTTPConnectionPool, PoolManager
from urllib3.connection import HTTPConnection

from . import memory
from .digits import parse_digits
from .turns import turns

# Reads of a socket in a row, none of which waited for data, after which a task waits
# for its next turn so that others can run.
MAX_READS_PER_TURN = 2
# Calls after which a task looks whether its turn has lasted too long: bytes that are
# read one by one take a thousand times as long as in one piece.
CALLS_PER_CHECK = 64
# Largest total size of lines that follow each other without data, in bytes: those of a
# head with its interim responses, or those between two pieces of a body.
MAX_LINES_BYTES = 256 * 1024
# Size from which lines count in the memory of this process, in bytes.
COUNTED_LINES_BYTES = 16 * 1024
# Bytes behind a response that are kept, to see whether a response begins there.
MAX_UNREAD_BYTES = 64
# Responses to earlier requests that are read past before the one that is due.
MAX_STALE_RESPONSES = 2
# Largest body of such a response, in bytes, and the longest time to read it, in
# seconds: it was written before the response that is due, and that one is waited for.
MAX_STALE_BYTES = 1024 * 1024
MAX_STALE_S = 0.5
# Requests of a connection whose responses are told from the one that is due.
MAX_ANSWERED_IDS = 64
# The line before a chunk: its size, and extensions that mean nothing here. ``int`` also
# takes signs, prefixes and underscores for parts of a number.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;[^\r\n]*)?\r?\n")
_CHUNK_END = b"\r\n"
# The begin of a response, also where something else is due.
STATUS_LINE = re.compile(rb"HTTP/\d\.\d +\d{3}")
# The first line of a response, whose status is interim or final. Other classes mean
# nothing, and the parser also takes other spaces and forms of a number.
_FIRST_LINE = re.compile(rb"HTTP/1\.\d [1-5]\d\d(?: [^\r\n]*)?\r?\n")
# The pattern of a method or of the name of a field.
TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# What may follow the last chunk: fields, and the empty line at the end.
_TRAILER_LINE = re.compile(rb"(?:%s:[^\r\n]*)?\r?\n" % TOKEN.encode())
# The name of a field. The parser takes all but spaces, colons and control characters.
_FIELD_NAME = re.compile(TOKEN)
# What the parser notes of a body in several parts, which it looks for behind the head.
_BODY_DEFECTS = (
    errors.CloseBoundaryNotFoundDefect,
    errors.InvalidMultipartContentTransferEncodingDefect,
    errors.MultipartInvariantViolationDefect,
    errors.NoBoundaryInMultipartDefect,
    errors.StartBoundaryNotFoundDefect,
)
# The methods that are called for each line and each piece of data.
_readline, _read = io.BufferedReader.readline, io.BufferedReader.read


class MessageTooLongError(HTTPException, OSError):
    """A message, or its lines without data between them, exceed their limit."""


class IncompleteMessageError(HTTPException, ConnectionError):
    """The connection ended within a message."""


class FramingError(HTTPException, OSError):
    """A message does not say clearly where it, its head or its lines end."""


class _TurnTakingReader(io.RawIOBase):
    """Reads from a socket and lets other tasks run if it never waits for data.

    ``raw`` is the socket's own file object, which is closed with this one. Timeouts and
    interrupts of the reading task take effect while others run. Once ``bytes_left`` is
    used up, reads raise ``MessageTooLongError``; it is ``None`` without a limit. Once
    ``is_at_end`` is set, nothing more is read.
    """

    def __init__(self, sock, raw):
        self.bytes_left = None
        self.is_at_end = False
        self._raw = raw
        self._recv_into = sock.recv_into
        self._loop = gevent.get_hub().loop
        self._begin_turn()

    def readable(self):
        """Return true."""
        return True

    def fileno(self):
        """Return the file descriptor of the socket."""
        return self._raw.fileno()

    def readinto(self, buffer):
        """Read available data, or wait for some; return the number of bytes."""
        if self.is_at_end:
            return 0
        if self._loop.iteration != self._loop_iteration:
            # The event loop has run since, so other tasks had their turn.
            self._begin_turn()
        elif self._reads >= MAX_READS_PER_TURN:
            self._wait_for_turn()
        self._reads += 1
        count = self._recv_into(buffer)
        if self.bytes_left is not None:
            self.bytes_left -= count
            if self.bytes_left < 0:
                raise MessageTooLongError("the message is too long")
        return count

    def check_turn(self):
        """Let other tasks run if the turns of this iteration must end."""
        if turns.is_over():
            self._wait_for_turn()

    def _wait_for_turn(self):
        turns.wait()
        self._begin_turn()

    def _begin_turn(self):
        self._loop_iteration, self._reads = self._loop.iteration, 0

    def close(self):
        """Close this reader and the socket's file object."""
        self._raw.close()
        super().close()


class MessageReader(io.BufferedReader):
    """A file object for a parser of HTTP messages.

    ``buffered`` is the file object that ``sock.makefile("rb")`` has returned, from
    which nothing has been read yet; it is not usable afterwards. ``last_line`` is the
    line that was read last. Once closed, ``unread`` are the first bytes that had
    arrived and were not read.
    """

    def __init__(self, sock, buffered):
        self._socket_reader = _TurnTakingReader(sock, buffered.detach())
        super().__init__(self._socket_reader)
        self.unread = b""
        self.last_line = b""
        self._lines_bytes = 0
        self._lines_memory = None
        self._calls_left = CALLS_PER_CHECK
        self._begun = False
        self._chunk_left = None
        self._is_in_trailer = False

    def begin_message(self, max_bytes=None):
        """Begin a further message, of up to ``max_bytes`` bytes if that is given.

        Reads beyond that raise ``MessageTooLongError``.
        """
        self._socket_reader.bytes_left = max_bytes
        self._release_lines()
        self._begun = False

    def begin_chunks(self):
        """Check from now on that what is read are sound chunks.

        The parser reads the line before a chunk, its data, and the two bytes after it.
        Raises ``FramingError`` then, and for lines after the last chunk that are no
        fields.
        """
        self._chunk_left = 0

    def readline(self, size=-1):
        """Return the next line, or its first ``size`` bytes if it is longer.

        The line is empty if the connection has ended and no message has begun. Raises
        ``IncompleteMessageError`` if the connection ends anywhere else, and
        ``MessageTooLongError`` beyond the limit. Raises ``FramingError`` if the line
        holds a CR by itself, which the parser of fields takes for the end of a line, or
        if it begins a mail in a mailbox, which that parser may leave out.
        """
        self._calls_left -= 1
        if not self._calls_left:
            self._check_turn()
        max_bytes = MAX_LINES_BYTES - self._lines_bytes + 1
        if 0 <= size < max_bytes:
            max_bytes = size
        line = _readline(self, max_bytes)
        if line[-1:] != b"\n" and len(line) < max_bytes:
            if line or self._begun:
                raise IncompleteMessageError(
                    f"the connection ended after {line[-64:]!r}"
                )
            return line
        self._begun = True
        self.last_line = line
        self._lines_bytes += len(line)
        if self._lines_bytes > MAX_LINES_BYTES:
            raise MessageTooLongError(f"over {MAX_LINES_BYTES} bytes without data")
        if self._lines_bytes > COUNTED_LINES_BYTES:
            self._count_lines()
        if b"\r" in line.removesuffix(b"\n").removesuffix(b"\r"):
            raise FramingError(f"a CR within a line: {line[-64:]!r}")
        if line.startswith(b"From "):
            raise FramingError(f"a line that is no field: {line[:64]!r}")
        if self._is_in_trailer:
            if not _TRAILER_LINE.fullmatch(line):
                raise FramingError(f"bad line after the chunks: {line[:64]!r}")
            self._is_in_trailer = line != b"\r\n"
        elif self._chunk_left is not None:
            self._begin_chunk(line)
        return line

    def read(self, size=-1):
        """Return up to ``size`` bytes of data, fewer only at the connection's end."""
        self._calls_left -= 1
        if not self._calls_left:
            self._check_turn()
        self._lines_bytes = 0
        if self._lines_memory is not None:
            self._release_lines()
        data = _read(self, size)
        if self._chunk_left is not None:
            self._chunk_left -= len(data)
            if not self._chunk_left and data[-2:] != _CHUNK_END:
                raise FramingError(f"a chunk ends with {data[-2:]!r}")
        return data

    def _check_turn(self):
        self._calls_left = CALLS_PER_CHECK
        self._socket_reader.check_turn()

    def _count_lines(self):
        """Count the lines of a long head; raises ``MessageTooLongError``."""
        if self._lines_memory is None:
            self._lines_memory = memory.budget.open()
        account = self._lines_memory
        account.add(self._lines_bytes - account.held_bytes)
        if account.error:
            raise MessageTooLongError(str(account.error))

    def _release_lines(self):
        self._lines_bytes = 0
        if self._lines_memory is not None:
            self._lines_memory.close()
            self._lines_memory = None

    def _begin_chunk(self, line):
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise FramingError(f"bad line before a chunk: {line[:64]!r}")
        size = int(match[1], 16)
        # The end of the chunk is read like its data.
        self._chunk_left = size + len(_CHUNK_END) if size else None
        self._is_in_trailer = not size

    def close(self):
        """Close the reader, and the socket's file object below it."""
        if not self.closed:
            self._release_lines()
            self._socket_reader.is_at_end = True
            self.unread = self.peek(1)[:MAX_UNREAD_BYTES]
        super().close()


def check_fields(headers):
    """Raise ``FramingError`` if the fields of a head do not say where its body ends.

    Behind a line that is no field, the parser leaves out all fields, such as the
    length. The length must be stated once, in digits or by chunks.
    """
    if headers.defects:
        bad = [d for d in headers.defects if not isinstance(d, _BODY_DEFECTS)]
        if bad:
            raise FramingError(f"bad head: {bad}")
    for name in headers.keys():  # noqa: SIM118
        if not _FIELD_NAME.fullmatch(name):
            raise FramingError(f"bad name of a field: {name[:64]!r}")
    lengths = headers.get_all("Content-Length", [])
    codings = headers.get_all("Transfer-Encoding", [])
    if codings and (
        lengths or [c.strip(" \t").lower() for c in codings] != ["chunked"]
    ):
        raise FramingError(f"lengths {lengths} and codings {codings}")
    if len(lengths) > 1 or any(
        parse_digits(length.strip(" \t"), 1) is None for length in lengths
    ):
        raise FramingError(f"lengths {lengths}")


def _check_head(headers, reason):
    """Raise ``FramingError`` unless the head of a response is one sound head.

    If a head breaks off and another one follows, the parser takes both for one.
    """
    check_fields(headers)
    for text in (reason, *headers.values()):
        if STATUS_LINE.search(text.encode("latin-1")):
            raise FramingError(f"a head within a head: {text[-64:]!r}")


class _BorrowedReader:
    """Reads from a ``MessageReader`` for a parser that closes its file at the end."""

    def __init__(self, reader):
        self.read, self.readline = reader.read, reader.readline

    def close(self):
        """Do nothing: the next response is read from the same reader."""


class _Response(HTTPResponse):
    """The response below ``urllib3``'s, read by a ``MessageReader``.

    ``is_stale(headers)`` is whether a response is to an earlier request. Such responses
    are read past; ``stale_heads`` are their headers.
    """

    def __init__(self, sock, *args, is_stale, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.fp = MessageReader(sock, self.fp)
        self.stale_heads = []
        self._is_stale = is_stale

    def begin(self):
        """Read the head of the response that is due.

        Raises ``FramingError`` if it is not one sound head, or if the body has no clear
        length. A stale response whose length is not stated is taken for the one that is
        due, since no other can follow it.
        """
        self._begin_next()
        while (
            len(self.stale_heads) < MAX_STALE_RESPONSES
            and not self.will_close
            and self._is_stale(self.headers)
        ):
            self.stale_heads.append(self.headers)
            too_slow = FramingError("a stale response does not end")
            with gevent.Timeout(MAX_STALE_S, too_slow):
                self._skip_body()
            self._begin_next()

    def _read_status(self):
        """Return version, status and reason of the next answer that is not interim.

        The base class skips 100 only, and whatever stands where its fields are due.
        """
        while True:
            version, status, reason = super()._read_status()
            line = self.fp.last_line
            if not _FIRST_LINE.fullmatch(line) or status == SWITCHING_PROTOCOLS:
                raise FramingError(f"bad status line: {line[:64]!r}")
            if status >= 200:
                return version, status, reason
            _check_head(parse_headers(self.fp), reason)

    def _begin_next(self):
        self.headers = None
        super().begin()
        _check_head(self.headers, self.reason)
        if self.chunked:
            self.fp.begin_chunks()

    def _skip_body(self):
        reader, self.fp = self.fp, _BorrowedReader(self.fp)
        try:
            body = self.read(MAX_STALE_BYTES)
            is_whole = self.fp is None
        finally:
            self.fp = reader
        if not is_whole or STATUS_LINE.search(body):
            raise FramingError("a stale response is cut short or too long")


class Connection(HTTPConnection):
    """A connection of ``urllib3`` whose responses a ``MessageReader`` reads.

    It counts as closed, and is not reused, if the peer has sent more than a response.
    A response whose header ``id_header`` names one of the ``answered_ids`` is a late
    copy: it is read past. The ids are those of requests that were answered in full on
    this connection, and never that of the request in flight. ``stale_heads`` are the
    headers of what was read past before the last response.
    """

    id_header = ""
    stale_heads = ()
    _last_reader = None

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.answered_ids = deque(maxlen=MAX_ANSWERED_IDS)

    def response_class(self, *args, method=None, **kwargs):
        """Return the response that is read next; the base class calls this."""
        # The parser takes each response to HEAD for one without a body.
        is_stale = _is_none_stale if method == "HEAD" else self._is_stale
        resp = _Response(*args, method=method, is_stale=is_stale, **kwargs)
        self._last_reader, self.stale_heads = resp.fp, resp.stale_heads
        return resp

    def _is_stale(self, headers):
        return headers.get(self.id_header) in self.answered_ids

    @property
    def is_connected(self):
        """Return whether the connection is open and nothing is left to read."""
        reader = self._last_reader
        return (reader is None or not reader.unread) and super().is_connected

    @property
    def unread(self):
        """Return the first bytes that arrived in one piece with the last response."""
        return self._last_reader.unread if self._last_reader else b""

    def connect(self):
        """Open a new connection, on which nothing has been read or answered."""
        self._last_reader = None
        self.answered_ids.clear()
        super().connect()


def _is_none_stale(headers):
    return False


class _ConnectionPool(HTTPConnectionPool):
    ConnectionCls = Connection


class ConnectionPools(PoolManager):
    """A ``PoolManager`` whose connections are those of this module."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.pool_classes_by_scheme = {"http": _ConnectionPool}
