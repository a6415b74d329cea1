"""The node's HTTP interface for callers and operators; see ``docs/ref/http.md``."""

import json
from contextlib import ExitStack
from typing import NamedTuple

import bottle

from auburnwall.base.logs import event, recent_events
from auburnwall.routing.exceptions import BadRequestError, RequestError
from auburnwall.routing.problem import problem_of

from .callers import CallerGoneError, hang_up_watch, make_handler
from .gateway import read_json, request_id
from .status import status_of
from .webserver import (
    JSON_TYPE,
    METRICS_TYPE,
    PROBLEM_TYPE,
    SSE_TYPE,
    new_server,
    read_body,
)

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
BURN_SINCE_S = 86_400
ID_KEY = "auburnwall.request_id"


class Call(NamedTuple):
    """What a caller sent."""

    method: str
    headers: dict
    body: bytes


class HttpServer:
    """Serve callers on the node's address."""

    def __init__(self, components):
        handler = make_handler(components.cfg.write_stall_s)
        app = make_app(components)
        self._server = new_server(components.cfg.address, app, handler_class=handler)

    def start(self):
        """Begin to accept."""
        self._server.start()

    def stop(self):
        """Stop accepting and end open connections."""
        self._server.stop(timeout=1.0)


def make_app(components):
    """Return the WSGI application."""
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
    return app


class _CallerApi:
    """Routes for callers."""

    def __init__(self, components):
        self._components = components

    def entry_points(self):
        """Answer which addresses to use and for how long."""
        components = self._components
        near = bottle.request.query.get("data_center", components.cfg.data_center)
        points = [point._asdict() for point in components.gateway.entry_points(near)]
        hold_s = components.cfg.entry_hold_s
        bottle.response.headers["Cache-Control"] = f"max-age={int(hold_s)}"
        return _json({"entrypoints": points, "hold_s": hold_s})

    def models(self):
        """List the models that the caller's team may ask for."""
        try:
            self._components.gateway.require_service()
            request = self._read("", "")
        except RequestError as exc:
            return self._problem(exc)
        names = self._components.gateway.models(request.team)
        rows = [{"id": n, "object": "model", "owned_by": "auburnwall"} for n in names]
        return _json({"object": "list", "data": rows})

    def completion(self):
        """Serve a chat or text completion, streamed or whole."""
        try:
            return self._complete()
        except RequestError as exc:
            return self._problem(exc)
        except CallerGoneError:
            return b""

    def service(self, name, path):
        """Serve a call to a plain service."""
        components = self._components
        try:
            key = bottle.request.headers.get("Idempotency-Key", "")
            components.gateway.require_service(key)
            service = components.gateway.service(name)
            query = bottle.request.query_string
            request = self._read(name, f"/{path}" + (f"?{query}" if query else ""))
            with (
                components.gateway,
                components.burn.exchange(request, components.cfg.data_center) as served,
            ):
                answer = components.service_path.serve(
                    request, service, components.gateway.service_dispatcher(name), key
                )
                served.succeeded()
            return _answer(request, answer)
        except RequestError as exc:
            return self._problem(exc)

    def _complete(self):
        components = self._components
        body = self._body()
        fields = read_json(body)
        components.gateway.require_service()
        request = self._read(_model_of(fields), bottle.request.path, body)
        dispatcher = components.gateway.model_dispatcher(request)
        with ExitStack() as stack:
            stack.enter_context(components.gateway)
            stack.enter_context(hang_up_watch(bottle.request.environ))
            served = stack.enter_context(
                components.burn.exchange(request, components.cfg.data_center)
            )
            if not fields.get("stream"):
                answer = components.completions.whole(request, dispatcher)
                served.succeeded()
                return _answer(request, answer)
            stream = components.completions.stream(request, dispatcher)
            stack.callback(stream.close)
            first = next(stream)
            served.first_token()
            bottle.response.content_type = SSE_TYPE
            bottle.response.headers["X-Request-Id"] = request.request_id
            bottle.response.headers["Cache-Control"] = "no-store"
            return _relay(first, stream, served, stack.pop_all())

    def _read(self, target, path, body=None):
        req = bottle.request
        headers = {**dict(req.headers.items()), "X-Request-Id": _stamped_id()}
        call = Call(req.method, headers, self._body() if body is None else body)
        return self._components.gateway.read_request(call, target, path)

    def _body(self):
        req, most = bottle.request, self._components.cfg.most_body_bytes
        return read_body(req.body, req.content_length, most)

    def _problem(self, exc):
        gateway = self._components.gateway
        name = _stamped_id()
        points = [p.url for p in gateway.entry_points("")] if exc.status == 503 else ()
        problem = problem_of(exc, name, points)
        bottle.response.status = exc.status
        bottle.response.headers["X-Request-Id"] = name
        if "retry_after_s" in problem:
            bottle.response.headers["Retry-After"] = str(problem["retry_after_s"])
        event(
            "request refused",
            request=name,
            step=exc.step,
            peer=exc.peer,
            status=exc.status,
            ran=exc.ran,
            why=exc.detail,
        )
        return _json(problem, PROBLEM_TYPE)


class _OperatorApi:
    """Routes for operators and scrapers."""

    def __init__(self, components):
        self._components = components

    def metrics(self):
        """Return metrics for scrapers."""
        bottle.response.content_type = METRICS_TYPE
        return self._components.metrics.exposition()

    def status(self):
        """Return the node's status."""
        return _json(status_of(self._components))

    def burn(self):
        """Return the buckets of the burn record."""
        return _json({"rows": self._components.burn.rows(BURN_SINCE_S)})

    def events(self):
        """Return recent events of this node."""
        return _json({"events": recent_events()})

    def drain(self):
        """Begin a planned stop."""
        self._components.drain.begin()
        return _json({"draining": True})


def _relay(first, stream, served, stack):
    """Yield the stream's events and release what the request holds at the end."""
    with stack:
        yield first
        last = first
        for events in stream:
            last = events
            yield events
        if last.endswith(b"data: [DONE]\n\n"):
            served.succeeded()


def _stamped_id():
    """Return the id of the current request, the same each time it is asked for."""
    environ = bottle.request.environ
    if ID_KEY not in environ:
        environ[ID_KEY] = request_id(dict(bottle.request.headers.items()))
    return environ[ID_KEY]


def _model_of(fields):
    model = fields.get("model")
    if not isinstance(model, str) or not model:
        raise BadRequestError("the field 'model' is missing or not a string")
    return model


def _answer(request, answer):
    bottle.response.status = answer.status
    for name, value in answer.headers.items():
        bottle.response.headers[name] = value
    bottle.response.headers["X-Request-Id"] = request.request_id
    return answer.body


def _json(value, content_type=JSON_TYPE):
    bottle.response.content_type = content_type
    return json.dumps(value).encode()


def _framework_error(error):
    """Answer errors of the framework itself, such as an unknown path."""
    exc = RequestError(
        error.status_code, error.status_line, str(error.body), step="find route"
    )
    bottle.response.content_type = PROBLEM_TYPE
    return json.dumps(problem_of(exc, ""))
