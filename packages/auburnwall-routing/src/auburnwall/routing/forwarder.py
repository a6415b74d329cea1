"""Serve a routed request: place it, send it, and go on elsewhere if that breaks.

A request goes out again only if the server has said that it did not run it, if nothing
was sent, or if its route allows it to run more than once. A stream that breaks goes on
after the last whole event that the caller has.
"""

from typing import NamedTuple

from auburnwall.base.logs import event

from .attempt import Attempt
from .exceptions import NOT_RUN, UNKNOWN, ExchangeError, OverloadedError, RequestError
from .hop_by_hop import HOP_BY_HOP
from .in_flight import FIRST_STILL_S, OutOfTimeError, StalledError

# Servers that one request may be offered to, counting those that refuse it unrun.
MAX_OFFERS = 4
# When a caller is told to come back after a failure that says nothing of load.
RETRY_AFTER_S = 0.5
# A stream that broke off looks for another server this long at most, in seconds: the
# shortest gap after which a caller gives its stream up, less what a first event takes.
RESUME_PATIENCE_S = 1.4


class Reply(NamedTuple):
    """The answer for the caller; ``body`` is bytes or an iterator of events."""

    status: int
    headers: list
    body: object


class ForwarderDeps(NamedTuple):
    """What attempts and the forwarder work with."""

    placer: object
    channels: object
    in_flight: object
    header_names: object
    clock: object
    start_times: object


class Forwarder:
    """The path of a routed request from its placing to the end of its answer.

    ``note_stream`` is told of each complete stream and its number of events.
    """

    def __init__(self, deps, budget_of, note_stream):
        self._deps = deps
        self._budget_of = budget_of
        self._note_stream = note_stream

    def serve(self, request):
        """Return the ``Reply``; raise ``RequestError``."""
        budget = self._budget_of(request.service)
        budget.note_request()
        tries = _Tries(self._deps, request, budget)
        attempt = tries.next_answer()
        headers = _kept_headers(attempt.headers)
        if request.route.streams and 200 <= attempt.status < 300:
            return self._stream(tries, attempt, headers)
        return self._whole(tries, attempt)

    def _whole(self, tries, attempt):
        while True:
            try:
                body = attempt.whole()
                tries.note_answer(attempt, "answered")
                return Reply(attempt.status, _kept_headers(attempt.headers), body)
            except (ExchangeError, StalledError, OutOfTimeError) as exc:
                tries.fail(attempt, exc)
            finally:
                attempt.close()
            attempt = tries.next_answer()

    def _stream(self, tries, attempt, headers):
        """Return a reply whose body goes on elsewhere if its server breaks off.

        The first event is awaited here, so that a server that fails before it costs
        the caller nothing but time.
        """
        events = self._events(tries, attempt)
        try:
            first = next(events, b"")
        except BaseException:
            events.close()
            raise
        return Reply(tries.status, tries.kept_headers or headers, _Body(first, events))

    def _events(self, tries, attempt):
        last_id, sent, count = None, False, 0
        while True:
            try:
                try:
                    for events in attempt.events():
                        last_id = attempt.splitter.last_id or last_id
                        tries.note_events(attempt)
                        if not sent:
                            tries.keep_head(attempt)
                            sent = True
                        yield events
                    if not sent:
                        tries.keep_head(attempt)
                    tries.note_answer(attempt, "streamed")
                    count += attempt.splitter.count
                    self._note_stream(tries.request, count)
                    return
                except (ExchangeError, StalledError, OutOfTimeError) as exc:
                    tries.fail(attempt, exc)
            finally:
                attempt.close()
            count += attempt.splitter.count
            attempt = self._resumed(tries, last_id, sent)

    def _resumed(self, tries, last_id, sent):
        """Return the attempt that goes on after ``last_id``.

        Without the id of an event that the caller has nobody knows where to go on.
        """
        if sent and last_id is None:
            raise tries.unresumable()
        while True:
            attempt = tries.next_answer(last_id, RESUME_PATIENCE_S if sent else None)
            if 200 <= attempt.status < 300:
                return attempt
            attempt.close()
            tries.fail(
                attempt,
                ExchangeError(
                    f"status {attempt.status}",
                    step="resume",
                    peer=attempt.candidate.server,
                    sent=True,
                ),
            )


class _Tries:
    """The attempts at one request, and whether another one is allowed."""

    def __init__(self, deps, request, budget):
        self._deps = deps
        self.request = request
        self._budget = budget
        self._avoid = frozenset()
        self._offers = 0
        self._ran = 0
        self._first_last_id = request.call.header(deps.header_names.last_event_id)
        self.status = 0
        self.kept_headers = None
        self._first_s = None
        self._events_at = request.call.arrived_at
        self._longest_s = 0.0

    def note_events(self, attempt):
        """Measure the time to the first event and the longest pause after it."""
        now = self._deps.clock.monotonic()
        if self._first_s is None:
            self._note_start(attempt, now)
            self._first_s = now - self.request.call.arrived_at
        else:
            self._longest_s = max(self._longest_s, now - self._events_at)
        self._events_at = now

    def keep_head(self, attempt):
        """Keep status and headers of the first server that the caller hears of."""
        if self.kept_headers is None:
            self.status = attempt.status
            self.kept_headers = _kept_headers(attempt.headers)

    def next_answer(self, last_id=None, patience_s=None):
        """Return an attempt whose answer has begun; raise ``RequestError``.

        Without ``last_id`` a stream begins where the caller asked it to.
        """
        if last_id is None:
            last_id = self._first_last_id
        while True:
            attempt = self._offer(last_id, patience_s)
            try:
                attempt.open()
                if attempt.not_run:
                    self._note_refusal(attempt)
                elif self._is_tried_again(attempt):
                    attempt.close()
                else:
                    return attempt
            except (ExchangeError, StalledError, OutOfTimeError) as exc:
                attempt.close()
                self.fail(attempt, exc)
            except BaseException:
                attempt.close()
                raise

    def fail(self, attempt, exc):
        """Record a failed attempt; raise ``RequestError`` if it was the last one."""
        self._avoid |= {attempt.candidate.server}
        sent = getattr(exc, "sent", True)
        self._ran += sent
        if not sent:
            self._deps.in_flight.suspect(attempt.candidate.name)
        self._log(attempt, "attempt failed", why=exc.detail, step=exc.step)
        request = self.request
        if isinstance(exc, OutOfTimeError):
            raise self._final(504, "Out of time", exc)
        if self._deps.clock.monotonic() >= request.deadline:
            raise self._final(504 if self._ran else 503, "Out of time", exc)
        if sent and not request.route.may_run_again:
            raise self._final(502, "Backend server failed", exc)
        if self._ran >= request.route.most_servers or self._offers >= MAX_OFFERS:
            raise self._final(502 if self._ran else 503, "Backend server failed", exc)
        if sent and not self._budget.take():
            raise self._final(502, "No repeats left", exc)

    def unresumable(self):
        """Return the error of a stream that broke off and has no ids to go on from."""
        return RequestError(
            502,
            "Stream broke off",
            "its events have no ids",
            ran=UNKNOWN,
            step="resume",
        )

    def note_answer(self, attempt, event_name):
        """Log the end of a request that was answered."""
        exchange = attempt.exchange
        now = self._deps.clock.monotonic()
        if not exchange.events:
            self._note_start(attempt, now)
        self._log(
            attempt,
            f"request {event_name}",
            status=attempt.status,
            events=exchange.events,
            offers=self._offers,
            first_s=self._first_s and round(self._first_s, 3),
            longest_pause_s=round(self._longest_s, 3),
            took_s=round(now - self.request.call.arrived_at, 3),
        )

    def _note_start(self, attempt, now):
        request = self.request
        took_s = now - attempt.exchange.began_at
        self._deps.start_times.record(request.service, request.model, took_s)

    def _offer(self, last_id, patience_s):
        request, deps = self.request, self._deps
        try:
            place = deps.placer.place(request, self._avoid, patience_s)
        except OverloadedError as exc:
            if self._ran:
                raise self._final(502, "No server left to go on at", exc) from exc
            raise
        self._offers += 1
        attempt = Attempt(deps, request, place, last_id)
        exchange = attempt.exchange
        may_go_on = self._ran + 1 < request.route.most_servers
        exchange.movable = request.route.may_run_again and may_go_on
        exchange.patience_s = FIRST_STILL_S + 0.5 * request.route.objective_s
        self._log(
            attempt,
            "request placed",
            model=request.model or None,
            offer=self._offers,
            running=place.load,
            waited_s=round(deps.clock.monotonic() - request.call.arrived_at, 3),
            resume_after=last_id,
        )
        return attempt

    def _is_tried_again(self, attempt):
        """Return whether a failure that the server answered goes to another one."""
        route = self.request.route
        if attempt.status < 500 or not route.repeatable:
            return False
        if self._ran + 1 >= route.most_servers or not self._budget.take():
            return False
        self._ran += 1
        self._avoid |= {attempt.candidate.server}
        self._log(attempt, "server failed", status=attempt.status)
        return True

    def _note_refusal(self, attempt):
        """Go on elsewhere after a server's word that it did not run the request.

        Groups bear more requests than they are given; one that refuses is broken or
        closing, though the tables may not say so yet.
        """
        attempt.close()
        if self.request.model:
            self._deps.in_flight.suspect(attempt.candidate.name)
        fault = attempt.headers.get(self._deps.header_names.server_at_fault, "")
        self._avoid |= {attempt.candidate.server}
        self._log(
            attempt, "server refused", status=attempt.status, at_fault=fault or None
        )
        spent = self._offers >= MAX_OFFERS or not self._budget.take()
        if not spent:
            return
        detail = f"{attempt.candidate.server} answered {attempt.status}"
        if self._ran:
            raise RequestError(
                502, "Backend server failed", detail, ran=UNKNOWN, step="offer"
            )
        raise OverloadedError(detail, RETRY_AFTER_S, step="offer")

    def _final(self, status, title, exc):
        ran = UNKNOWN if self._ran else NOT_RUN
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


def _kept_headers(headers):
    """Return the server's headers that concern the caller, as pairs."""
    return [(n, v) for n, v in headers.items() if n.lower() not in HOP_BY_HOP]


class _Body:
    """The events of an answer; ``close`` ends what still runs for it."""

    def __init__(self, first, events):
        self._first = first
        self._events = events

    def __iter__(self):
        if self._first:
            yield self._first
        yield from self._events

    def close(self):
        """End the exchange if it is not over."""
        self._events.close()
