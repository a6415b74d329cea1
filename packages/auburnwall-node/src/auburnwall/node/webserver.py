"""Parts that all HTTP servers of a node share."""

from contextlib import ExitStack
from socket import AF_INET, AF_INET6

from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from auburnwall.base import memory
from auburnwall.base.body_buffer import BodyBuffer
from auburnwall.base.http import READ_BYTES
from auburnwall.base.http_reader import MessageTooLongError
from auburnwall.base.logs import event
from auburnwall.routing.exceptions import (
    NOT_RUN,
    BadRequestError,
    OverloadedError,
    RequestError,
)

# Where the ``MemoryAccount`` of a request is, if it holds anything.
MEMORY_KEY = "auburnwall.memory"
PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"
SSE_TYPE = "text/event-stream"
METRICS_TYPE = "text/plain; version=0.0.4"
# Time after which a caller retries whose body finds no memory, in seconds.
MEMORY_RETRY_AFTER_S = 0.5


class ServerErrorLog:
    """File object that writes the server's error output to the structured log."""

    def write(self, text):
        """Log one message."""
        if text.strip():
            event("HTTP server error", why=text.strip()[:2000])

    def flush(self):
        """Do nothing: each message is logged immediately."""


class CountedApp:
    """A WSGI application that counts its requests until their responses are written.

    Each request is served inside ``with gateway``, which lasts until the server closes
    the response, after its last byte. Only paths that begin with ``prefix`` count.
    """

    def __init__(self, app, gateway, prefix=""):
        self._app = app
        self._gateway = gateway
        self._prefix = prefix

    def __call__(self, environ, start_response):
        """Serve one request."""
        if not environ["PATH_INFO"].startswith(self._prefix):
            return self._app(environ, start_response)
        with ExitStack() as stack:
            stack.enter_context(self._gateway)
            stack.callback(_release_memory, environ)
            body = self._app(environ, start_response)
            if hasattr(body, "close"):
                stack.callback(body.close)
            return _CountedBody(body, stack.pop_all())


def memory_of(environ, *, may_end=True):
    """Return the ``MemoryAccount`` of a request, until its response is written."""
    if MEMORY_KEY not in environ:
        environ[MEMORY_KEY] = memory.budget.open(may_end=may_end)
    return environ[MEMORY_KEY]


def _release_memory(environ):
    if (account := environ.pop(MEMORY_KEY, None)) is not None:
        account.close()


class _CountedBody:
    """The body of a response, until whose ``close`` its request is running."""

    def __init__(self, body, stack):
        self._body = body
        self._stack = stack

    def __iter__(self):
        return iter(self._body)

    def close(self):
        """Release what the request holds."""
        self._stack.close()


def new_listener(address, backlog=StreamServer.backlog):
    """Return a socket that listens at ``address``; raises ``OSError``.

    Up to ``backlog`` connections wait to be accepted.
    """
    host, _, port = address.rpartition(":")
    family = AF_INET6 if ":" in host else AF_INET
    return StreamServer.get_listener((host, int(port)), backlog, family)


def new_server(address, app, *, listener=None, **options):
    """Return a ``WSGIServer`` for ``app`` at ``address`` that does not log requests.

    If there is a ``listener``, a listening socket, it is used instead of a new one.
    """
    host, _, port = address.rpartition(":")
    return WSGIServer(
        listener or (host, int(port)),
        app,
        # Without a name, the server looks up that of its address before it accepts.
        environ={"SERVER_NAME": host},
        log=None,
        error_log=ServerErrorLog(),
        **options,
    )


def read_body(stream, length, max_bytes, add_body=lambda size: None):
    """Return the body of a request.

    ``length`` is the length that the request states, 0 or less if it states none.
    ``add_body(size)`` counts what is to be held of it. Raises ``BadRequestError``: with
    status 413 if the body has over ``max_bytes`` bytes or its chunks have no end, with
    status 400 if it is cut off or its chunks are bad. Raises ``OverloadedError`` if
    there is no memory for it.
    """
    try:
        if 0 < length <= max_bytes:
            add_body(length)
            return stream.read(length)
        body = b"" if length > 0 else _read_pieces(stream, max_bytes, add_body)
    except memory.NoMemoryError as exc:
        stream.give_up()
        raise OverloadedError(exc.detail, MEMORY_RETRY_AFTER_S, step=exc.step) from exc
    except MessageTooLongError as exc:
        raise _too_large(str(exc)) from exc
    except OSError as exc:
        raise BadRequestError(f"the body is not complete: {exc}") from exc
    if max(length, len(body)) > max_bytes:
        raise _too_large(f"the body is larger than {max_bytes} bytes")
    return body


def _read_pieces(stream, max_bytes, add_body):
    """Return a body whose length is not stated, or its first bytes over a limit.

    If it does not end with its first piece, it counts as long as it may be before more
    of it is read: several that each hold a part would wait for each other.
    """
    most_bytes = int(min(max_bytes, memory.budget.largest_body_bytes))
    counted = min(READ_BYTES, max_bytes)
    add_body(counted)
    with BodyBuffer() as body:
        while body.size <= max_bytes and (data := stream.read(READ_BYTES)):
            body.add(data)
            if body.size >= counted:
                more = max(most_bytes - counted, READ_BYTES)
                add_body(more)
                counted += more
        add_body(body.size - counted)
        return body.take()


def body_too_slow_error(time_s):
    """Return the error for a body that is not complete after ``time_s`` seconds."""
    detail = f"the body is not complete after {time_s:.1f} s"
    return RequestError(408, "Body too slow", detail, ran=NOT_RUN, step="read body")


def _too_large(detail):
    return BadRequestError(detail, status=413, title="Body too large")
