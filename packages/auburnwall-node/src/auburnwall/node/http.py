"""The node's HTTP interface for callers and operators; see ``docs/ref/http.md``."""

import json
from contextlib import ExitStack
from typing import NamedTuple

import bottle

from auburnwall.base.logs import event, recent_events
from auburnwall.routing.exceptions import BadRequestError, RequestError
from auburnwall.routing.problem import problem_of

from .callers import CallerDisconnectedError, make_handler, watch_disconnect
from .gateway import read_json, request_id
from .status import status_of
from .webserver import (
    JSON_TYPE,
    METRICS_TYPE,
    PROBLEM_TYPE,
    SSE_TYPE,
    CountedApp,
    memory_of,
    new_server,
    read_body,
)

# Begins the paths of requests that a graceful shutdown waits for.
CALLERS_PREFIX = "/v1/"
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
BURN_REPORT_PERIOD_S = 86_400
REQUEST_ID_KEY = "auburnwall.request_id"


class Call(NamedTuple):
    """A caller's HTTP request."""

    method: str
    headers: dict
    body: bytes


class HttpServer:
    """The HTTP server on the node's address."""

    def __init__(self, components):
        cfg = components.cfg
        handler = make_handler(cfg.write_stall_s, cfg.most_body_bytes)
        app = make_app(components)
        self._server = new_server(cfg.address, app, handler_class=handler)

    def start(self):
        """Start accepting connections."""
        self._server.start()

    def stop(self):
        """Stop accepting connections and close the open ones."""
        self._server.stop(timeout=1.0)


def make_app(components):
    """Return the WSGI application with all routes."""
    app = bottle.Bottle()
    callers, operators = _CallerApi(components), _OperatorApi(components)
    app.route("/v1/entrypoints", "GET", callers.entry_points)
    app.route("/v1/models", "GET", callers.models)
    app.route("/v1/chat/completions", "POST", callers.completion)
    app.route("/v1/completions", "POST", callers.completion)
    app.route("/v1/services/<name>/<path:path>", METHODS, callers.service)
    app.route("/metrics", "GET", operators.metrics)
    app.route("/admin/status", "GET", operators.status)
    app.route("/admin/burn", "GET", operators.burn)
    app.route("/admin/events", "GET", operators.events)
    app.route("/admin/drain", "POST", operators.drain)
    app.default_error_handler = _framework_error
    return CountedApp(app, components.gateway, CALLERS_PREFIX)


class _CallerApi:
    """Handlers of the routes for callers."""

    def __init__(self, components):
        self._components = components

    def entry_points(self):
        """Return the entry points for a caller and how long to use them, in seconds."""
        components = self._components
        data_center = bottle.request.query.get(
            "data_center", components.cfg.data_center
        )
        points = [
            point._asdict() for point in components.gateway.entry_points(data_center)
        ]
        hold_s = components.cfg.entry_hold_s
        bottle.response.headers["Cache-Control"] = f"max-age={int(hold_s)}"
        return _json({"entrypoints": points, "hold_s": hold_s})

    def models(self):
        """List the models that the caller's team may use."""
        try:
            self._components.gateway.require_accepting()
            request = self._read_request("", "")
        except RequestError as exc:
            return self._problem(exc)
        names = self._components.gateway.models(request.team)
        rows = [
            {"id": name, "object": "model", "owned_by": "auburnwall"} for name in names
        ]
        return _json({"object": "list", "data": rows})

    def completion(self):
        """Serve a chat or text completion, as a stream or as one response."""
        try:
            with self._limit_answer():
                return self._complete()
        except RequestError as exc:
            return self._problem(exc)
        except CallerDisconnectedError:
            return b""

    def service(self, name, path):
        """Serve a call to a plain service."""
        try:
            with self._limit_answer():
                return self._call_service(name, path)
        except RequestError as exc:
            return self._problem(exc)

    def _call_service(self, name, path):
        components = self._components
        idempotency_key = bottle.request.headers.get("Idempotency-Key", "")
        components.gateway.require_accepting(idempotency_key)
        service = components.gateway.service(name)
        query = bottle.request.query_string
        request = self._read_request(name, f"/{path}" + (f"?{query}" if query else ""))
        with components.burn.track(request, components.cfg.data_center) as outcome:
            answer = components.service_calls.serve(
                request,
                service,
                components.gateway.service_dispatcher(name),
                idempotency_key,
            )
            outcome.record_complete()
        return _respond(request, answer)

    def _limit_answer(self):
        """Return a context that a stop of the node ends while it can still answer."""
        return self._components.drain.stop_time.limit_answer(_current_request_id())

    def _complete(self):
        components = self._components
        body = self._read_body()
        fields = read_json(body)
        components.gateway.require_accepting()
        request = self._read_request(_model_of(fields), bottle.request.path, body)
        dispatcher = components.gateway.model_dispatcher(request)
        with ExitStack() as stack:
            stack.enter_context(watch_disconnect(bottle.request.environ))
            outcome = stack.enter_context(
                components.burn.track(request, components.cfg.data_center)
            )
            if not fields.get("stream"):
                answer = components.completions.complete(request, dispatcher)
                outcome.record_complete()
                return _respond(request, answer)
            stream = components.completions.stream(request, dispatcher)
            stack.callback(stream.close)
            first_events = next(stream)
            outcome.record_first_token()
            bottle.response.content_type = SSE_TYPE
            bottle.response.headers["X-Request-Id"] = request.request_id
            bottle.response.headers["Cache-Control"] = "no-store"
            return _relay(first_events, stream, outcome, stack.pop_all())

    def _read_request(self, target, path, body=None):
        req = bottle.request
        headers = {**dict(req.headers.items()), "X-Request-Id": _current_request_id()}
        call = Call(req.method, headers, self._read_body() if body is None else body)
        return self._components.gateway.read_request(call, target, path)

    def _read_body(self):
        req, max_bytes = bottle.request, self._components.cfg.most_body_bytes
        with self._components.drain.stop_time.limit_body():
            # The framework decodes chunks once more, and reads on beyond the limit.
            stream, account = req.environ["wsgi.input"], _memory()
            return read_body(stream, req.content_length, max_bytes, account.add_body)

    def _problem(self, exc):
        gateway = self._components.gateway
        current_id = _current_request_id()
        points = (
            [point.url for point in gateway.entry_points("")]
            if exc.status == 503
            else ()
        )
        problem = problem_of(exc, current_id, points)
        bottle.response.status = exc.status
        bottle.response.headers["X-Request-Id"] = current_id
        if "retry_after_s" in problem:
            bottle.response.headers["Retry-After"] = str(problem["retry_after_s"])
        event(
            "request refused",
            request=current_id,
            step=exc.step,
            peer=exc.peer,
            status=exc.status,
            ran=exc.ran,
            why=exc.detail,
        )
        return _json(problem, PROBLEM_TYPE)


class _OperatorApi:
    """Handlers of the routes for operators and scrapers."""

    def __init__(self, components):
        self._components = components

    def metrics(self):
        """Return the metrics in the text format of Prometheus."""
        bottle.response.content_type = METRICS_TYPE
        return self._components.metrics.exposition()

    def status(self):
        """Return the node's status."""
        return _json(status_of(self._components))

    def burn(self):
        """Return the last day's rows for the report on error budget burn."""
        return _json({"rows": self._components.burn.rows(BURN_REPORT_PERIOD_S)})

    def events(self):
        """Return recent events of this node."""
        return _json({"events": recent_events()})

    def drain(self):
        """Start the graceful shutdown of this node."""
        self._components.drain.begin()
        return _json({"draining": True})


def _relay(first_events, stream, outcome, stack):
    """Yield the events of a stream; close ``stack`` at its end.

    Only a stream that ends with ``[DONE]`` counts as complete.
    """
    with stack:
        yield first_events
        last_events = first_events
        for events in stream:
            last_events = events
            yield events
        if last_events.endswith(b"data: [DONE]\n\n"):
            outcome.record_complete()


def _current_request_id():
    """Return the id of the current request.

    It is stored in the WSGI environment, so that each call returns the same id.
    """
    environ = bottle.request.environ
    if REQUEST_ID_KEY not in environ:
        environ[REQUEST_ID_KEY] = request_id(dict(bottle.request.headers.items()))
    return environ[REQUEST_ID_KEY]


def _memory():
    """Return the ``MemoryAccount`` of the current request, whose answer is whole."""
    return memory_of(bottle.request.environ, may_end=False)


def _model_of(fields):
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise BadRequestError("the field 'model' is missing or not a string")
    return model


def _respond(request, answer):
    """Set the status and the headers of the response; return its body."""
    bottle.response.status = answer.status
    for name, value in answer.headers.items():
        bottle.response.headers[name] = value
    bottle.response.headers["X-Request-Id"] = request.request_id
    _memory().add(len(answer.body))
    return answer.body


def _json(value, content_type=JSON_TYPE):
    bottle.response.content_type = content_type
    return json.dumps(value).encode()


def _framework_error(error):
    """Return the response to an error of the framework, such as an unknown path."""
    exc = RequestError(
        error.status_code, error.status_line, str(error.body), step="find route"
    )
    bottle.response.content_type = PROBLEM_TYPE
    return json.dumps(problem_of(exc, ""))
