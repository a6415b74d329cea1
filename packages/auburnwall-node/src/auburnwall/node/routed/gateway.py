"""Turn a caller's call into a routed request with route, team, deadline and model."""

from uuid import uuid4

from auburnwall.base.digits import parse_digits
from auburnwall.routing.call import (
    RoutedRequest,
    fingerprint_of,
    key_of,
    prompt_parts_of,
    work_of,
)
from auburnwall.routing.exceptions import BadRequestError, RequestError
from auburnwall.routing.forwarded import FORWARDED_BY, max_servers_of
from auburnwall.routing.retried_calls import RetriedCallDetector
from auburnwall.routing.routes import ClientLimits, pick_target, rank_of_route
from auburnwall.routing.step_model import Work
from auburnwall.routing.stop_time import stopping_error

from .start_stages import FIRST_RESPONSE

# Largest deadline of a caller, in milliseconds; a route has a limit of its own.
MAX_DEADLINE_MS = 10**9
# Longest time for the body of a request, in seconds; it has less if its caller has.
MAX_BODY_TIME_S = 60.0


class Gateway:
    """Resolve calls for the front and count the running requests.

    Each request is served inside ``with gateway`` until its response is written, which
    counts it in ``running``.
    ``idle_since`` is the time at which a request last ended. Once ``stop_begun`` is
    true, connections are closed after the current response; once ``refusing`` is true,
    new requests are refused. ``stop_time`` is what the stop leaves to requests.
    """

    def __init__(
        self,
        source,
        forwarder,
        header_names,
        clock,
        rng,
        metrics,
        demand,
        stop_time,
        stages,
        start_gate,
    ):
        self.forwarder = forwarder
        self.running = 0
        self.idle_since = clock.monotonic()
        self.stop_begun = False
        self.refusing = False
        self.stop_time = stop_time
        self._source = source
        self._header_names = header_names
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._demand = demand
        self._stages = stages
        self._start_gate = start_gate
        self._retried_calls = RetriedCallDetector()

    def __enter__(self):
        self.running += 1
        return self

    def __exit__(self, *exc_info):
        self.running -= 1
        self.idle_since = self._clock.monotonic()

    def limits(self):
        """Return the ``ClientLimits`` in force."""
        table = self._source.table
        return table.config.limits if table else ClientLimits()

    def stopping(self):
        """Return whether connections are closed after the current response."""
        return self.stop_begun

    def request_id(self, call):
        """Return the caller's request ID, or a new one."""
        return call.header(self._header_names.request_id) or uuid4().hex

    def request_id_headers(self, request_id):
        """Return the response headers that carry the request ID."""
        return [(self._header_names.request_id, request_id)] if request_id else []

    def note_response_start(self):
        """Record that a server's response begins, which ends the node's start."""
        self._stages.note(FIRST_RESPONSE)

    def record_response(self, request, status):
        """Record the response of a server to a request."""
        duration_s = self._clock.monotonic() - request.call.arrived_at
        self._metrics.record_response(request.route.name, status, duration_s)

    def record_problem(self, exc):
        """Record an error response of this node."""
        self._metrics.record_problem(exc.status, exc.step)

    def resolve(self, call):
        """Return the ``RoutedRequest`` for a call.

        Raises ``RequestError`` if this node cannot serve the call.
        """
        self._start_gate.wait(self._stated_time_left_s(call))
        table = self._source.table
        if table is None:
            raise self._start_gate.starting_error(
                "this node has no configuration yet", self._stated_time_left_s(call)
            )
        if self.refusing:
            raise stopping_error("this node is stopping")
        path = call.path.partition("?")[0]
        route = table.find(call.header("Host") or "", path)
        if route is None:
            raise self._denied(call, 404, "No such route", path, step="find route")
        team = self._team(table.config, route, call)
        return self._new_request(table.config, route, team, call)

    def _team(self, config, route, call):
        if config.teams_by_key is None or route.anonymous:
            return None
        team = config.team_of(key_of(call))
        if team is None:
            raise self._denied(call, 401, "Unknown key", "", step="check key")
        return team

    def _denied(self, call, status, title, detail, step):
        """Return the error for a request that the configuration does not allow.

        Callers do not come back after it. So while a newer version may have been in
        force for longer than allowed, the request is refused as not run instead.
        """
        provenance = self._source.provenance()
        if self._source.is_current():
            return RequestError(status, title, detail, step=step, provenance=provenance)
        retry_after_s = self._start_gate.retry_after_s(self._stated_time_left_s(call))
        return RequestError(
            503,
            "Configuration out of date",
            f"{title} in a configuration that may be out of date",
            step=step,
            retry_after_s=retry_after_s,
            provenance=provenance,
        )

    def _new_request(self, config, route, team, call):
        if not call.header(self._header_names.request_id):
            # Servers refuse such a request, and no response could be told to be its.
            raise BadRequestError(f"{self._header_names.request_id} is missing")
        service = pick_target(route, self._rng)
        engine = config.services[service].engine if service in config.services else None
        model = (call.header(self._header_names.model) or "") if engine else ""
        rank = rank_of_route(route)
        if team is not None and team.priority is not None:
            rank = team.priority
        forwarded_by = call.header(FORWARDED_BY) or ""
        if forwarded_by:
            route = route._replace(max_servers=max_servers_of(call, route))
        deadline, elapsed_s = self._deadline(route, call)
        time_left_s = deadline - self._clock.monotonic()
        self._start_gate.check_servers(engine is not None, time_left_s)
        request = RoutedRequest(
            call,
            self.request_id(call),
            route,
            service,
            team.name if team else "",
            model,
            work_of(call, self._header_names, engine) if engine else Work(0, 1),
            deadline,
            rank,
            strip_key=config.teams_by_key is not None,
            elapsed_s=elapsed_s,
            prompt_parts=self._prompt_parts(call) if engine else (),
            fingerprint=fingerprint_of(call, team.name if team else ""),
            forwarded_by=forwarded_by,
        )
        self.stop_time.check(request)
        if not forwarded_by:
            # Otherwise the node to which the caller sent it has recorded it.
            self._demand.record_request(request, engine)
        return request

    def _prompt_parts(self, call):
        """Return the IDs of the prompt's parts.

        Raises ``BadRequestError`` if there are too many of them.
        """
        try:
            return prompt_parts_of(call, self._header_names)
        except ValueError as exc:
            raise BadRequestError(str(exc)) from exc

    def _stated_time_left_s(self, call):
        """Return the time that a caller states to have left, ``None`` if unknown."""
        left_ms = parse_digits(
            call.header(self._header_names.deadline_ms) or "", MAX_DEADLINE_MS
        )
        if left_ms is None:
            return None
        return call.arrived_at + left_ms / 1000 - self._clock.monotonic()

    def body_time_s(self, call):
        """Return the time that a caller has to send its body, in seconds."""
        left_s = self._stated_time_left_s(call)
        return MAX_BODY_TIME_S if left_s is None else min(left_s, MAX_BODY_TIME_S)

    def _deadline(self, route, call):
        """Return the deadline and the estimated seconds since the caller's first try.

        Raises ``BadRequestError`` if the caller's deadline is not a number.
        """
        raw = call.header(self._header_names.deadline_ms)
        if raw is None:
            return call.arrived_at + route.timeout_s, 0.0
        left_ms = parse_digits(raw, MAX_DEADLINE_MS)
        if left_ms is None:
            raise BadRequestError(
                f"{self._header_names.deadline_ms}: {raw!r} is not a number"
            )
        left_s = left_ms / 1000
        elapsed_s = self._retried_calls.elapsed_s(
            (route.host, route.path_prefix), left_s
        )
        return call.arrived_at + min(route.timeout_s, left_s), elapsed_s
