"""Serves a routed request: places it, sends it, and retries it at another server.

A request is retried only if the server stated that it did not run it, if nothing was
sent, or if its route allows it to run more than once. A stream that breaks off is
resumed after the last complete event that the caller has.
"""

from typing import NamedTuple

from auburnwall.base.logs import event

from .attempt import Attempt
from .exceptions import NOT_RUN, UNKNOWN, ExchangeError, OverloadedError, RequestError
from .hop_by_hop import HOP_BY_HOP
from .in_flight import FIRST_EVENT_STALL_TIMEOUT_S, DeadlineExceededError, StalledError

# Attempts at one request, including those that end in a refusal to run it.
MAX_OFFERS = 4
# Retry-After time for failures that do not depend on load.
RETRY_AFTER_S = 0.5
# Time that a stream that broke off may look for another server: the shortest gap after
# which a caller abandons its stream, less the time that a first event takes.
RESUME_WINDOW_S = 1.4


class Reply(NamedTuple):
    """The response for the caller; ``body`` is bytes or an iterator of events."""

    status: int
    headers: list
    body: object


class ForwarderDeps(NamedTuple):
    """The components that the forwarder and its attempts use."""

    placer: object
    channels: object
    in_flight: object
    header_names: object
    clock: object
    start_times: object


class Forwarder:
    """Handles routed requests from their placement to the end of their responses.

    ``budget_of(service)`` returns the retry budget of a service. ``note_stream`` is
    called with the request and the number of events of each complete stream.
    """

    def __init__(self, deps, budget_of, note_stream):
        self._deps = deps
        self._budget_of = budget_of
        self._note_stream = note_stream

    def serve(self, request):
        """Return the ``Reply`` to a request.

        Raises ``RequestError`` if no server answers it.
        """
        budget = self._budget_of(request.service)
        budget.note_request()
        attempts = _RequestAttempts(self._deps, request, budget)
        attempt = attempts.next_attempt()
        headers = _end_to_end_headers(attempt.headers)
        if request.route.streams and 200 <= attempt.status < 300:
            return self._stream(attempts, attempt, headers)
        return self._whole(attempts, attempt)

    def _whole(self, attempts, attempt):
        while True:
            try:
                body = attempt.whole()
                attempts.log_response(attempt, "answered")
                return Reply(attempt.status, _end_to_end_headers(attempt.headers), body)
            except (ExchangeError, StalledError, DeadlineExceededError) as exc:
                attempts.record_failure(attempt, exc)
            finally:
                attempt.close()
            attempt = attempts.next_attempt()

    def _stream(self, attempts, attempt, headers):
        """Return a reply whose body is resumed at another server if it breaks off.

        Waits for the first event, so that a server that fails before it costs the
        caller nothing but time.
        """
        events = self._events(attempts, attempt)
        try:
            first = next(events, b"")
        except BaseException:
            events.close()
            raise
        return Reply(
            attempts.status,
            attempts.first_headers or headers,
            _StreamBody(first, events),
        )

    def _events(self, attempts, attempt):
        last_id, sent, count = None, False, 0
        while True:
            try:
                try:
                    for events in attempt.events():
                        last_id = attempt.splitter.last_id or last_id
                        attempts.record_events(attempt)
                        if not sent:
                            attempts.keep_first_head(attempt)
                            sent = True
                        yield events
                    if not sent:
                        attempts.keep_first_head(attempt)
                    attempts.log_response(attempt, "streamed")
                    count += attempt.splitter.count
                    self._note_stream(attempts.request, count)
                    return
                except (ExchangeError, StalledError, DeadlineExceededError) as exc:
                    attempts.record_failure(attempt, exc)
            finally:
                attempt.close()
            count += attempt.splitter.count
            attempt = self._resume(attempts, last_id, sent)

    def _resume(self, attempts, last_id, sent):
        """Return the attempt that resumes the stream after event ``last_id``.

        Raises ``RequestError`` if the caller has events but none had an id, because
        the point to resume from is then unknown.
        """
        if sent and last_id is None:
            raise attempts.unresumable_error()
        while True:
            attempt = attempts.next_attempt(last_id, RESUME_WINDOW_S if sent else None)
            if 200 <= attempt.status < 300:
                return attempt
            attempt.close()
            attempts.record_failure(
                attempt,
                ExchangeError(
                    f"status {attempt.status}",
                    step="resume",
                    peer=attempt.candidate.server,
                    sent=True,
                ),
            )


class _RequestAttempts:
    """The attempts at one request and the rules for another one."""

    def __init__(self, deps, request, budget):
        self._deps = deps
        self.request = request
        self._budget = budget
        self._avoid = frozenset()
        self._offers = 0
        self._possible_runs = 0
        self._caller_last_id = request.call.header(deps.header_names.last_event_id)
        self.status = 0
        self.first_headers = None
        self._first_event_s = None
        self._last_events_at = request.call.arrived_at
        self._longest_pause_s = 0.0

    def record_events(self, attempt):
        """Record the time to the first event and the longest pause between events."""
        now = self._deps.clock.monotonic()
        if self._first_event_s is None:
            self._record_start(attempt, now)
            self._first_event_s = now - self.request.call.arrived_at
        else:
            self._longest_pause_s = max(
                self._longest_pause_s, now - self._last_events_at
            )
        self._last_events_at = now

    def keep_first_head(self, attempt):
        """Keep status and headers of the first server whose response is passed on."""
        if self.first_headers is None:
            self.status = attempt.status
            self.first_headers = _end_to_end_headers(attempt.headers)

    def next_attempt(self, last_id=None, resume_window_s=None):
        """Return an attempt whose response has started.

        Without ``last_id`` a stream starts where the caller requested. Raises
        ``RequestError`` if no further attempt is allowed or no server has a slot.
        """
        if last_id is None:
            last_id = self._caller_last_id
        while True:
            attempt = self._start_attempt(last_id, resume_window_s)
            try:
                attempt.open()
                if attempt.not_run:
                    self._handle_refusal(attempt)
                elif self._should_retry(attempt):
                    attempt.close()
                else:
                    return attempt
            except (ExchangeError, StalledError, DeadlineExceededError) as exc:
                attempt.close()
                self.record_failure(attempt, exc)
            except BaseException:
                attempt.close()
                raise

    def record_failure(self, attempt, exc):
        """Record a failed attempt.

        Raises ``RequestError`` if no further attempt is allowed.
        """
        self._avoid |= {attempt.candidate.server}
        sent = getattr(exc, "sent", True)
        self._possible_runs += sent
        if not sent:
            self._deps.in_flight.suspect(attempt.candidate.name)
        self._log(attempt, "attempt failed", why=exc.detail, step=exc.step)
        request = self.request
        if isinstance(exc, DeadlineExceededError):
            raise self._final_error(504, "Out of time", exc)
        if self._deps.clock.monotonic() >= request.deadline:
            raise self._final_error(
                504 if self._possible_runs else 503, "Out of time", exc
            )
        if sent and not request.route.may_run_again:
            raise self._final_error(502, "Backend server failed", exc)
        if (
            self._possible_runs >= request.route.max_servers
            or self._offers >= MAX_OFFERS
        ):
            raise self._final_error(
                502 if self._possible_runs else 503, "Backend server failed", exc
            )
        if sent and not self._budget.take():
            raise self._final_error(502, "No repeats left", exc)

    def unresumable_error(self):
        """Return the error for a stream that broke off and whose events have no ids."""
        return RequestError(
            502,
            "Stream broke off",
            "its events have no ids",
            ran=UNKNOWN,
            step="resume",
        )

    def log_response(self, attempt, event_name):
        """Log the end of a request that got a complete response."""
        exchange = attempt.exchange
        now = self._deps.clock.monotonic()
        if not exchange.events:
            self._record_start(attempt, now)
        self._log(
            attempt,
            f"request {event_name}",
            status=attempt.status,
            events=exchange.events,
            offers=self._offers,
            first_s=self._first_event_s and round(self._first_event_s, 3),
            longest_pause_s=round(self._longest_pause_s, 3),
            took_s=round(now - self.request.call.arrived_at, 3),
        )

    def _record_start(self, attempt, now):
        request = self.request
        took_s = now - attempt.exchange.started_at
        self._deps.start_times.record(request.service, request.model, took_s)

    def _start_attempt(self, last_id, resume_window_s):
        request, deps = self.request, self._deps
        try:
            placement = deps.placer.place(request, self._avoid, resume_window_s)
        except OverloadedError as exc:
            if self._possible_runs:
                raise self._final_error(502, "No server left to go on at", exc) from exc
            raise
        self._offers += 1
        attempt = Attempt(deps, request, placement, last_id)
        exchange = attempt.exchange
        may_use_another = self._possible_runs + 1 < request.route.max_servers
        exchange.may_reroute = request.route.may_run_again and may_use_another
        exchange.stall_timeout_s = (
            FIRST_EVENT_STALL_TIMEOUT_S + 0.5 * request.route.objective_s
        )
        self._log(
            attempt,
            "request placed",
            model=request.model or None,
            offer=self._offers,
            running=placement.load,
            waited_s=round(deps.clock.monotonic() - request.call.arrived_at, 3),
            resume_after=last_id,
        )
        return attempt

    def _should_retry(self, attempt):
        """Return whether a response with a 5xx status is retried at another server.

        Counts the retry against the budget.
        """
        route = self.request.route
        if attempt.status < 500 or not route.repeatable:
            return False
        if self._possible_runs + 1 >= route.max_servers or not self._budget.take():
            return False
        self._possible_runs += 1
        self._avoid |= {attempt.candidate.server}
        self._log(attempt, "server failed", status=attempt.status)
        return True

    def _handle_refusal(self, attempt):
        """Record that a server stated that it did not run the request.

        Groups can take more requests than they are sent. One that refuses is broken or
        closing, even if the tables do not show it yet, so it becomes suspect. Raises
        ``RequestError`` if no further attempt is allowed.
        """
        attempt.close()
        if self.request.model:
            self._deps.in_flight.suspect(attempt.candidate.name)
        at_fault = attempt.headers.get(self._deps.header_names.server_at_fault, "")
        self._avoid |= {attempt.candidate.server}
        self._log(
            attempt, "server refused", status=attempt.status, at_fault=at_fault or None
        )
        exhausted = self._offers >= MAX_OFFERS or not self._budget.take()
        if not exhausted:
            return
        detail = f"{attempt.candidate.server} answered {attempt.status}"
        if self._possible_runs:
            raise RequestError(
                502, "Backend server failed", detail, ran=UNKNOWN, step="offer"
            )
        raise OverloadedError(detail, RETRY_AFTER_S, step="offer")

    def _final_error(self, status, title, exc):
        ran = UNKNOWN if self._possible_runs else NOT_RUN
        retry_after_s = getattr(exc, "retry_after_s", None) or RETRY_AFTER_S
        return RequestError(
            status,
            title,
            exc.detail,
            ran=ran,
            step=exc.step,
            peer=exc.peer,
            retry_after_s=retry_after_s,
        )

    def _log(self, attempt, name, **fields):
        candidate = attempt.candidate
        event(
            name,
            request=self.request.request_id,
            peer=candidate.server,
            group=candidate.name,
            **fields,
        )


def _end_to_end_headers(headers):
    """Return a response's headers that are passed on to the caller, as pairs."""
    return [(n, v) for n, v in headers.items() if n.lower() not in HOP_BY_HOP]


class _StreamBody:
    """The events of a stream; ``close`` ends the attempt that is in flight."""

    def __init__(self, first, events):
        self._first = first
        self._events = events

    def __iter__(self):
        if self._first:
            yield self._first
        yield from self._events

    def close(self):
        """End the exchange if it is still in flight."""
        self._events.close()
