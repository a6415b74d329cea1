"""The HTTP server for callers on routes: checks, routing, and the answer's way back."""

import json
from contextlib import ExitStack
from http.client import responses

import gevent

from auburnwall.base.http import keepalive_options
from auburnwall.base.logs import event
from auburnwall.routing.call import Call
from auburnwall.routing.exceptions import RequestError
from auburnwall.routing.problem import problem_of

from ..callers import (
    CallerGoneError,
    CallerStalledError,
    hang_up_watch,
    make_handler,
)
from ..webserver import PROBLEM_TYPE, new_server, read_body

CALL_KEY = "auburnwall.call"
# Time that a caller may stop reading its answer, in seconds: the longest deadline of
# any caller is shorter.
WRITE_STALL_S = 15.0
# A caller that has vanished is noticed when it has confirmed nothing for this long, or
# has not answered three probes after as long again without a byte.
CALLER_SOCKET_OPTIONS = keepalive_options(probe_s=5, unconfirmed_ms=15_000)
# What a header takes beside its name and value: colon, space and the line's end.
HEADER_EXTRA_BYTES = 4
# Connections that wait to be accepted.
BACKLOG = 1_024


class Front:
    """The WSGI application for callers.

    ``gateway`` offers ``read(call)``, which returns a ``RoutedRequest`` or raises
    ``RequestError``, ``forwarder``, ``limits()``, ``stopping()`` and ``note(...)``.
    """

    def __init__(self, gateway, clock):
        self._gateway = gateway
        self._clock = clock

    def __call__(self, environ, start_response):
        """Answer one request."""
        request_id = ""
        with ExitStack() as stack:
            try:
                call = self._read_call(environ)
                request_id = self._gateway.request_id(call)
                stack.enter_context(self._gateway)
                stack.enter_context(hang_up_watch(environ))
                request = self._gateway.read(call)
                reply = self._gateway.forwarder.serve(request)
            except RequestError as exc:
                return self._problem(start_response, exc, request_id)
            except CallerGoneError:
                event("caller gone", request=request_id, step="before the answer")
                raise
            return self._answer(start_response, reply, request, stack)

    def _read_call(self, environ):
        handler, limits = environ[CALL_KEY], self._gateway.limits()
        body = read_body(
            environ["wsgi.input"], handler.content_length or 0, limits.body_bytes
        )
        headers = tuple(handler.headers.items())
        return Call(
            handler.command, handler.path, headers, body, self._clock.monotonic()
        )

    def _answer(self, start_response, reply, request, stack):
        headers = reply.headers + self._closing()
        whole = isinstance(reply.body, bytes)
        if whole:
            headers.append(("Content-Length", str(len(reply.body))))
        start_response(_status_line(reply.status), headers)
        if whole:
            self._gateway.note(request, reply.status)
            return [reply.body]
        body = _Relay(reply.body, request, self._gateway, stack.pop_all())
        body.status = reply.status
        return body

    def _problem(self, start_response, exc, request_id):
        event(
            "request failed",
            request=request_id,
            status=exc.status,
            step=exc.step,
            peer=exc.peer,
            ran=exc.ran,
            why=exc.detail,
            retry_after_s=exc.retry_after_s and round(exc.retry_after_s, 2),
        )
        body = json.dumps(problem_of(exc, request_id)).encode()
        headers = [
            ("Content-Type", PROBLEM_TYPE),
            ("Content-Length", str(len(body))),
            *self._gateway.echo(request_id),
            *self._closing(),
        ]
        if exc.retry_after_s is not None and exc.status in (429, 503):
            headers.append(("Retry-After", f"{exc.retry_after_s:.2f}"))
        if exc.status in (400, 408, 413, 431):
            headers.append(("Connection", "close"))
        start_response(_status_line(exc.status), headers)
        self._gateway.note_problem(exc)
        return [body]

    def _closing(self):
        return [("Connection", "close")] if self._gateway.stopping() else []


class _Relay:
    """Body of a streamed answer; holds what the request holds until its end."""

    def __init__(self, events, request, gateway, stack):
        self.status = 200
        self._events = events
        self._request = request
        self._gateway = gateway
        self._stack = stack

    def __iter__(self):
        try:
            yield from self._events
        except RequestError as exc:
            event(
                "stream broken off",
                request=self._request.request_id,
                step=exc.step,
                peer=exc.peer,
                why=exc.detail,
            )
            self._gateway.note_problem(exc)
            raise
        self._gateway.note(self._request, self.status)

    def close(self):
        """End the exchange and release what the request holds."""
        self._events.close()
        self._stack.close()


class HeaderLimitError(ValueError):
    """A caller's request head goes over a limit; ``status`` is what it is told."""

    def __init__(self, status):
        super().__init__(responses[status])
        self.status = status


class CallerHandler(make_handler(WRITE_STALL_S)):
    """One caller's connection, within the limits that the configuration sets."""

    gateway = None

    def __init__(self, sock, *args, **kwargs):
        for option in CALLER_SOCKET_OPTIONS:
            sock.setsockopt(*option)
        super().__init__(sock, *args, **kwargs)

    def read_requestline(self):
        """Wait for the next request as long as the connection may be idle."""
        with gevent.Timeout(self.gateway.limits().idle_s, OSError("idle")):
            return super().read_requestline()

    def read_request(self, raw_requestline):
        """Read the head of a request within its limits of time and size."""
        limits = self.gateway.limits()
        with gevent.Timeout(limits.header_s, HeaderLimitError(408)):
            done = super().read_request(raw_requestline)
        size = len(raw_requestline) + sum(
            len(name) + len(value) + HEADER_EXTRA_BYTES
            for name, value in self.headers.items()
        )
        if size > limits.header_bytes:
            raise HeaderLimitError(431)
        self._check_framing()
        return done

    def get_environ(self):
        """Give the application the request as it was sent."""
        environ = super().get_environ()
        environ[CALL_KEY] = self
        return environ

    def handle_error(self, kind, value, traceback):
        """End the connection, so that an answer that was cut cannot look complete."""
        if issubclass(kind, RequestError):
            self.close_connection = True
            return
        if not issubclass(kind, (CallerGoneError, CallerStalledError)):
            event("handler failed", why=repr(value), step="answer")
        super().handle_error(kind, value, traceback)

    def _handle_client_error(self, exc):
        """Tell the caller which limit its request head goes over."""
        if not isinstance(exc, HeaderLimitError):
            return super()._handle_client_error(exc)
        event("request head refused", status=exc.status, why=str(exc))
        head = f"HTTP/1.1 {_status_line(exc.status)}\r\nConnection: close\r\n"
        return str(exc.status), (head + "Content-Length: 0\r\n\r\n").encode()

    def _check_framing(self):
        """Refuse a request whose end two readers could see in different places."""
        lengths = self.headers.get_all("content-length") or []
        coding = self.headers.get_all("transfer-encoding") or []
        if len(lengths) > 1 or [c.strip().lower() for c in coding] not in (
            [],
            ["chunked"],
        ):
            raise ValueError("the length of the body is not clear")


def new_front_server(address, gateway, clock):
    """Return the server for callers at ``address``."""
    handler = type("GatewayHandler", (CallerHandler,), {"gateway": gateway})
    front = Front(gateway, clock)
    return new_server(address, front, handler_class=handler, backlog=BACKLOG)


def _status_line(status):
    return f"{status} {responses.get(status, 'Status')}"
