"""Connections of callers: detect disconnected callers and stalled ones."""

import re
from contextlib import contextmanager
from http.client import HTTPException, responses
from socket import IPPROTO_TCP, TCP_NODELAY

import gevent
from gevent.pywsgi import Input, WSGIHandler
from gevent.socket import wait_read

from auburnwall.base.http_reader import (
    MAX_LINES_BYTES,
    TOKEN,
    FramingError,
    IncompleteMessageError,
    MessageReader,
    check_fields,
)
from auburnwall.base.logs import event
from auburnwall.base.sockets import has_ended, has_unread, send_available

SOCKET_KEY = "auburnwall.socket"
# Largest number of bytes in a request for each byte of its body: a chunk with one byte
# has five bytes of framing, and some callers add an extension.
MAX_BYTES_PER_BODY_BYTE = 16
# Interval at which a timeout that finds unread bytes looks again, in seconds, and how
# often it does. A sender that always has bytes there is not waited for longer.
UNREAD_RECHECK_S = 0.01
MAX_UNREAD_RECHECKS = 50
# Characters of a reason that are logged.
MAX_WHY_CHARS = 200
# The first line of a request. ``gevent`` also takes other spaces, other versions and
# characters that cannot be passed on.
_REQUEST_LINE = re.compile(TOKEN + r" [!-~]+ HTTP/1\.\d\r?\n")


class CallerDisconnectedError(Exception):
    """The caller disconnected, so nobody waits for the response."""


class CallerStalledError(OSError):
    """The caller stopped reading its response."""


class RequestHeadError(ValueError):
    """A request head is bad, cut off or too long; ``status`` is the response's."""

    def __init__(self, status, why=""):
        super().__init__(why or responses[status])
        self.status = status


@contextmanager
def watch_disconnect(environ):
    """Raise ``CallerDisconnectedError`` in the current task if the caller disconnects.

    Watches until the block ends or the caller sends further data, such as its next
    request. Without a socket in ``environ`` it watches nothing.
    """
    sock, request_task = environ.get(SOCKET_KEY), gevent.getcurrent()
    if sock is None:
        yield
        return
    watch_task = gevent.spawn(_raise_on_disconnect, sock, request_task)
    try:
        yield
    finally:
        watch_task.kill(block=False)


def _raise_on_disconnect(sock, request_task):
    try:
        wait_read(sock.fileno())
        # What woke this task may have been read by the next request since.
        disconnected = has_ended(sock)
    except OSError:
        disconnected = True
    if disconnected:
        gevent.kill(request_task, CallerDisconnectedError("the caller disconnected"))


class _BodyReader(Input):
    """Reads the body of a request, and nothing behind an error within it.

    ``is_broken`` is whether there was one, so that the next request begins nowhere.
    """

    __slots__ = ("is_broken",)

    def __init__(self, rfile, *args):
        super().__init__(rfile, *args)
        self.is_broken = False
        if self.chunked_input:
            self.rfile = _ChunkReader(rfile, self)

    def read(self, length=None):
        """Return up to ``length`` bytes; raises ``OSError`` for a bad body."""
        try:
            return super().read(length)
        except ValueError as exc:
            self.give_up()
            # The base class takes a line without a digit for a chunk's size.
            raise FramingError("a chunk without a size") from exc
        except BaseException:
            self.give_up()
            raise

    def give_up(self):
        """Read nothing more of the body, so that no other request can follow it."""
        self.is_broken = self._chunked_input_error = True


class _ChunkReader:
    """Reads the chunks of ``body`` for it; a line feed by itself ends no line of them.

    The base class reads the lines byte by byte, and takes one for a part of a line
    that another reader takes for its end.
    """

    def __init__(self, rfile, body):
        self._read = rfile.read
        self._body = body
        self._last = b""

    def read(self, size):
        """Return up to ``size`` bytes; raises ``FramingError`` for a bad line."""
        data = self._read(size)
        if data == b"\n" and self._last != b"\r":
            body = self._body
            if body.position >= body.chunk_length:
                raise FramingError("a line feed within the line of a chunk")
        self._last = data
        return data


class ReadTimeout:
    """Raises ``error`` in a task that still waits for bytes after ``seconds``.

    A context manager. As long as bytes lie unread in ``sock`` the task may read them
    first: its timers fire late if the node runs late, and the event loop learns of a
    few dozen sockets at a time only.
    """

    def __init__(self, sock, seconds, error):
        self._sock = sock
        self._seconds = seconds
        self._error = error
        self._rechecks_left = MAX_UNREAD_RECHECKS

    def __enter__(self):
        # Of what happens at the same time, the event loop handles sockets first.
        self._timer = gevent.get_hub().loop.timer(
            self._seconds, UNREAD_RECHECK_S, priority=-1
        )
        self._timer.start(self._expire, gevent.getcurrent(), update=True)
        return self

    def __exit__(self, *exc_info):
        self._timer.stop()
        self._timer.close()

    def _expire(self, task):
        if self._rechecks_left and has_unread(self._sock):
            self._rechecks_left -= 1
            return
        self._timer.stop()
        task.throw(self._error)


def make_handler(write_stall_s, max_body_bytes=0):
    """Return a request handler class for ``WSGIServer``.

    A write that takes longer than ``write_stall_s`` seconds raises
    ``CallerStalledError``. A request whose framing is much longer than a body of
    ``max_body_bytes`` needs is not read to its end.
    """

    class Handler(WSGIHandler):
        """Serves one caller's connection; small writes are sent immediately."""

        def __init__(self, sock, *args, **kwargs):
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            super().__init__(sock, *args, **kwargs)
            self.rfile = MessageReader(sock, self.rfile)

        def handle(self):
            """Serve the requests of the connection until it is closed."""
            try:
                super().handle()
            except (BrokenPipeError, ConnectionResetError) as exc:
                # The caller left within a head, or before the response to a bad one.
                event(
                    "caller connection closed",
                    step="read head",
                    by="caller",
                    why=str(exc),
                )

        def max_body_bytes(self):
            """Return the size of the largest body that is read, in bytes."""
            return max_body_bytes

        def read_requestline(self):
            """Wait for the next request and limit its size; raises ``OSError``."""
            framed_bytes = MAX_BYTES_PER_BODY_BYTE * self.max_body_bytes()
            self.rfile.begin_message(MAX_LINES_BYTES + framed_bytes)
            return super().read_requestline()

        def read_request(self, raw_requestline):
            """Read the head of a request; raises ``RequestHeadError`` for a bad one."""
            if not _REQUEST_LINE.fullmatch(raw_requestline):
                raise RequestHeadError(400, f"bad first line: {raw_requestline[:64]!r}")
            try:
                return super().read_request(raw_requestline)
            except RequestHeadError:
                raise
            except (FramingError, IncompleteMessageError) as exc:
                raise RequestHeadError(400, str(exc)) from exc
            except HTTPException as exc:
                raise RequestHeadError(431, str(exc)) from exc
            except (OSError, ValueError) as exc:
                raise RequestHeadError(400, str(exc)) from exc

        def MessageClass(self, *args):  # noqa: N802
            """Read the fields of a head; raises ``FramingError`` for bad ones.

            The base class leaves out a length of the body if there is another one.
            """
            headers = super().MessageClass(*args)
            check_fields(headers)
            if any("\n" in value for value in headers.values()):
                # Its value could not be echoed in a response.
                raise FramingError("a field goes on in the next line")
            return headers

        def get_environ(self):
            """Add the caller's socket for ``watch_disconnect``.

            Also the body of a request that asks for another protocol, which is not
            spoken here, ends where the request says.
            """
            environ = super().get_environ()
            environ[SOCKET_KEY] = self.socket
            body = self.wsgi_input
            self.wsgi_input = environ["wsgi.input"] = _BodyReader(
                body.rfile, body.content_length, body.socket, body.chunked_input
            )
            environ["wsgi.input_terminated"] = True
            return environ

        def handle_one_response(self):
            """Serve a request; close the connection if its body has no end."""
            super().handle_one_response()
            if self.wsgi_input.is_broken:
                self.close_connection = True

        def log_request(self):
            """Do nothing: the application logs requests."""

        def handle_error(self, kind, value, traceback):
            """Close the connection; don't log callers that disconnected or stalled."""
            if issubclass(kind, (CallerDisconnectedError, CallerStalledError)):
                self.close_connection = True
                return
            super().handle_error(kind, value, traceback)

        def _handle_client_error(self, exc):
            """Return status and response for a request head that is not accepted."""
            if not isinstance(exc, RequestHeadError):
                return super()._handle_client_error(exc)
            status = exc.status
            event("request head refused", status=status, why=str(exc)[:MAX_WHY_CHARS])
            head = f"HTTP/1.1 {status} {responses[status]}\r\nConnection: close\r\n"
            return str(status), (head + "Content-Length: 0\r\n\r\n").encode()

        def write_limit_s(self):
            """Return how long the next write may take, in seconds."""
            return write_stall_s

        def _sendall(self, data):
            # Most writes have room, and need no timer.
            sent = send_available(self.socket, data)
            self.response_length += sent
            if sent == len(data):
                return
            stalled = CallerStalledError("the caller stopped reading")
            with gevent.Timeout(self.write_limit_s(), stalled):
                super()._sendall(memoryview(data)[sent:])

    return Handler
