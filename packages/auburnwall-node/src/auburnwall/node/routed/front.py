"""HTTP server for callers: checks and routes requests and relays the responses."""

import json
from contextlib import ExitStack
from http.client import responses

import gevent
from absl import logging

from auburnwall.base.http import keepalive_options
from auburnwall.base.logs import event
from auburnwall.base.sockets import has_unread
from auburnwall.routing.attempt import MAX_LATE_S
from auburnwall.routing.call import Call
from auburnwall.routing.exceptions import UNKNOWN, RequestError
from auburnwall.routing.problem import problem_of

from ..callers import (
    CallerDisconnectedError,
    CallerStalledError,
    ReadTimeout,
    RequestHeadError,
    make_handler,
    watch_disconnect,
)
from ..webserver import (
    PROBLEM_TYPE,
    CountedApp,
    body_too_slow_error,
    memory_of,
    new_listener,
    new_server,
    read_body,
)
from .connections import (
    AWAIT_SERVER,
    BAD_HEAD,
    CALLER_CLOSED,
    IDLE_TIMEOUT,
    LAST_RESPONSE,
    STOPPING,
    UNFINISHED,
    WRITE,
)

HANDLER_KEY = "auburnwall.call"
# Time after which a blocked write to a caller ends its connection, in seconds. It is
# longer than any caller's deadline.
WRITE_STALL_S = 15.0
# Time for a write that begins when the time of its stream is over, in seconds.
MIN_WRITE_S = 0.05
# TCP options that detect a vanished caller: one that has not acknowledged data for
# 15 s, or has not answered the keepalive probes sent every 5 s on an idle connection.
CALLER_SOCKET_OPTIONS = keepalive_options(probe_s=5, user_timeout_ms=15_000)
# Bytes of a header line in addition to name and value: colon, space, CR and LF.
HEADER_OVERHEAD_BYTES = 4
# Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG = 1_024


class Front:
    """The WSGI application for callers; ``gateway`` is a ``Gateway``."""

    def __init__(self, gateway, clock):
        self._gateway = gateway
        self._clock = clock

    def __call__(self, environ, start_response):
        """Serve one request."""
        running = environ[HANDLER_KEY].running
        call = self._read_head(environ)
        request_id = running.request_id = self._gateway.request_id(call)
        call.memory.request_id = request_id
        with ExitStack() as stack:
            try:
                call = self._read_body(environ, call)
                running.step = AWAIT_SERVER
                stack.enter_context(watch_disconnect(environ))
                request = self._gateway.resolve(call)
                reply = self._gateway.forwarder.serve(request)
            except RequestError as exc:
                return self._respond_with_problem(start_response, exc, request_id)
            except CallerDisconnectedError:
                event(
                    "caller disconnected",
                    request=request_id,
                    step="before the answer",
                    at=running.step,
                    by="caller",
                    **running.fields(),
                )
                raise
            except Exception as exc:
                event(
                    "unexpected error",
                    level=logging.ERROR,
                    exc_info=exc,
                    request=request_id,
                )
                error = RequestError(
                    500, "Internal error", repr(exc), ran=UNKNOWN, step="serve"
                )
                return self._respond_with_problem(start_response, error, request_id)
            call.memory.add_ender(environ[HANDLER_KEY].end_write)
            return self._respond(start_response, reply, request, running, stack)

    def _read_head(self, environ):
        handler = environ[HANDLER_KEY]
        headers = tuple(handler.headers.items())
        now = self._clock.monotonic()
        account = memory_of(environ)
        return Call(handler.command, handler.path, headers, b"", now, account)

    def _read_body(self, environ, call):
        handler, stream, body = environ[HANDLER_KEY], environ["wsgi.input"], b""
        length = handler.content_length or 0
        if length or stream.chunked_input:
            time_s = self._gateway.body_time_s(call)
            with (
                self._gateway.stop_time.limit_body(),
                ReadTimeout(handler.socket, time_s, body_too_slow_error(time_s)),
            ):
                body = read_body(
                    stream,
                    length,
                    self._gateway.limits().body_bytes,
                    call.memory.add_body,
                )
        return call._replace(body=body, arrived_at=self._clock.monotonic())

    def _respond(self, start_response, reply, request, running, stack):
        self._gateway.note_response_start()
        headers = reply.headers + self._connection_headers()
        complete = isinstance(reply.body, bytes)
        if complete:
            headers.append(("Content-Length", str(len(reply.body))))
        start_response(_status_line(reply.status), headers)
        if complete:
            self._gateway.record_response(request, reply.status)
            return [reply.body]
        # The exchange with the server lasts as long as its bytes are written.
        running.write_by = request.deadline + MAX_LATE_S
        body = _StreamBody(reply.body, request, running, self._gateway, stack.pop_all())
        body.status = reply.status
        return body

    def _respond_with_problem(self, start_response, exc, request_id):
        event(
            "request failed",
            request=request_id,
            status=exc.status,
            step=exc.step,
            peer=exc.peer,
            ran=exc.ran,
            why=exc.detail,
            retry_after_s=exc.retry_after_s and round(exc.retry_after_s, 2),
            **exc.provenance,
        )
        body = json.dumps(problem_of(exc, request_id)).encode()
        headers = [
            ("Content-Type", PROBLEM_TYPE),
            ("Content-Length", str(len(body))),
            *self._gateway.request_id_headers(request_id),
            *self._connection_headers(),
        ]
        if exc.retry_after_s is not None and exc.status in (429, 503):
            headers.append(("Retry-After", f"{exc.retry_after_s:.2f}"))
        if exc.status in (400, 408, 413, 431):
            headers.append(("Connection", "close"))
        start_response(_status_line(exc.status), headers)
        self._gateway.record_problem(exc)
        return [body]

    def _connection_headers(self):
        return [("Connection", "close")] if self._gateway.stopping() else []


class _StreamBody:
    """Body of a streamed response; keeps the request's resources until its end."""

    def __init__(self, events, request, running, gateway, stack):
        self.status = 200
        self._events = events
        self._request = request
        self._running = running
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
                by="node",
                **self._running.fields(),
            )
            self._gateway.record_problem(exc)
            raise
        self._gateway.record_response(self._request, self.status)

    def close(self):
        """End the exchange and release the request's resources."""
        self._events.close()
        self._stack.close()


class CallerHandler(make_handler(WRITE_STALL_S)):
    """One caller's connection, with the limits of the configuration.

    ``running`` is the ``RunningRequest`` on it, ``close_reason`` why it is closed if
    that happens now.
    """

    gateway = clock = connections = running = None
    _is_writing = False
    close_reason = CALLER_CLOSED

    def __init__(self, sock, *args, **kwargs):
        for option in CALLER_SOCKET_OPTIONS:
            sock.setsockopt(*option)
        super().__init__(sock, *args, **kwargs)

    def handle(self):
        """Serve the requests of the connection until it is closed."""
        with self.connections.connection(self):
            super().handle()

    def max_body_bytes(self):
        """Return the size of the largest body that is read, in bytes."""
        return self.gateway.limits().body_bytes

    def read_requestline(self):
        """Wait for the next request within the idle timeout; raises ``OSError``.

        Once its first byte is there, the rest of the line has the time of a head.
        """
        self.close_reason = CALLER_CLOSED
        self._wait_for_request()
        header_s = self.gateway.limits().header_s
        with ReadTimeout(self.socket, header_s, OSError("slow line")):
            line = super().read_requestline()
        if line:
            self.close_reason = BAD_HEAD
        return line

    def _wait_for_request(self):
        """Wait for the first byte of a request, or for the connection's end.

        Raises ``OSError`` after the idle timeout, unless bytes lie unread. If that is
        raised during the wait, the new one counts, since callers reuse connections by
        the one in force.
        """
        self.rfile.begin_message()
        began_at = self.clock.monotonic()
        idle_s = 0.0
        while idle_s < (limit_s := self.gateway.limits().idle_s):
            with gevent.Timeout(limit_s - idle_s, False):
                self.rfile.peek(1)
                return
            idle_s = self.clock.monotonic() - began_at
        if not has_unread(self.socket):
            self.close_reason = IDLE_TIMEOUT
            raise OSError("idle")

    def read_request(self, raw_requestline):
        """Read the head of a request within its limits of time and size.

        Raises ``RequestHeadError`` beyond a limit and for a bad head.
        """
        limits = self.gateway.limits()
        with ReadTimeout(self.socket, limits.header_s, RequestHeadError(408)):
            accepted = super().read_request(raw_requestline)
        size = len(raw_requestline) + sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES
            for name, value in self.headers.items()
        )
        if size > limits.header_bytes:
            raise RequestHeadError(431)
        return accepted

    def get_environ(self):
        """Add this handler, from which the application reads the request as sent."""
        environ = super().get_environ()
        environ[HANDLER_KEY] = self
        return environ

    def handle_one_response(self):
        """Serve one request whose head has been read."""
        with self.connections.request(self) as self.running:
            super().handle_one_response()
        self.running = None

    def run_application(self):
        """Serve one request; log that the caller's connection ends before its end."""
        self.close_reason = UNFINISHED
        try:
            super().run_application()
        except BaseException as exc:
            self._log_unfinished(exc)
            raise
        self.close_reason = STOPPING if self.gateway.stopping() else LAST_RESPONSE

    def _log_unfinished(self, exc):
        """Log an error that ends the response, unless it has a line of its own."""
        is_disconnected = isinstance(exc, CallerDisconnectedError)
        if is_disconnected:
            has_line = self.status is None
        elif isinstance(exc, CallerStalledError):
            has_line = False
        else:
            is_ignored = exc.args and exc.args[0] in self.ignored_socket_errors
            has_line = not (isinstance(exc, OSError) and is_ignored)
        if has_line:
            return
        is_caller = is_disconnected or self.running.step == WRITE
        event(
            "caller connection closed",
            request=self.running.request_id,
            step=self.running.step,
            by="caller" if is_caller else "node",
            why=str(exc),
            **self.running.fields(),
        )

    def _sendall(self, data):
        self.running.step, self._is_writing = WRITE, True
        try:
            super()._sendall(data)
        finally:
            self._is_writing = False
        # After an error the step stays, as it tells where that happened.
        self.running.step = AWAIT_SERVER

    def end_write(self, error):
        """End a write that waits for the caller; called by the event loop."""
        if self._is_writing:
            self.running.task.throw(CallerStalledError(error.detail))

    def write_limit_s(self):
        """Return how long the next write may take: until ``write_by``, if that is set.

        What is ready is written once more, also late.
        """
        write_by = self.running.write_by
        if write_by is None:
            return WRITE_STALL_S
        return min(max(write_by - self.clock.monotonic(), MIN_WRITE_S), WRITE_STALL_S)

    def handle_error(self, kind, value, traceback):
        """Close the connection, so that a truncated response cannot look complete."""
        if issubclass(kind, RequestError):
            self.close_connection = True
            return
        if not issubclass(kind, (CallerDisconnectedError, CallerStalledError)):
            event(
                "request handler failed",
                request=self.running.request_id,
                why=repr(value),
                step="answer",
                at=self.running.step,
                by="node",
                **self.running.fields(),
            )
        super().handle_error(kind, value, traceback)


def new_front_server(address, gateway, clock, connections, listener=None):
    """Return the HTTP server for callers at ``address``.

    ``connections`` are the ``CallerConnections`` that it counts its own in. If there is
    a ``listener``, which has ``LISTEN_BACKLOG``, it is used instead of a new socket.
    """
    attributes = {"gateway": gateway, "clock": clock, "connections": connections}
    handler = type("GatewayHandler", (CallerHandler,), attributes)
    app = CountedApp(Front(gateway, clock), gateway)
    listener = listener or new_listener(address, LISTEN_BACKLOG)
    return new_server(address, app, listener=listener, handler_class=handler)


def _status_line(status):
    return f"{status} {responses.get(status, 'Status')}"
