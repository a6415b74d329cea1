"""The attempts at one routed request: which may follow, and what each one teaches.

A request is retried only if the server stated that it did not run it, if nothing was
sent, or if its route allows it to run more than once.
"""

from functools import partial

import gevent
from gevent.event import AsyncResult

from .attempt import Attempt
from .attempt_log import AttemptLog
from .caller_stream import CallerStream
from .crash_checks import CrashChecks
from .detour import DetourAttempt
from .exceptions import (
    NOT_RUN,
    UNKNOWN,
    ExchangeError,
    OverloadedError,
    RequestError,
    no_retry_error,
)
from .hop_by_hop import end_to_end_headers
from .in_flight import DeadlineExceededError, StalledError

# Attempts at one request, including those that the server refuses to run.
MAX_ATTEMPTS = 4
# Longest wait for a slot in each attempt to resume a stream that broke off: the
# shortest pause after which callers abandon a stream, minus the time from getting the
# slot to the first event.
RESUME_WINDOW_S = 1.4
# Time after which a caller is told to retry where no better time is known.
DEFAULT_RETRY_AFTER_S = 0.5


class _Beginning(AsyncResult):
    """Whether the response of an ``attempt`` that begins elsewhere may be used."""

    def __init__(self, attempt):
        super().__init__()
        self.attempt = attempt


class RequestAttempts:
    """The attempts at one request, and whether a further attempt is allowed.

    ``_possible_runs`` counts the servers that may have run the request, without that of
    the present attempt. ``_avoid`` holds the servers that must get no further attempt.
    ``_beginning`` is the attempt that begins elsewhere while the present one is still
    running, a ``_Beginning``, ``None`` without one. If the present one ends by itself,
    its task takes it from there; otherwise the search for a place owns it.

    ``_stream`` is what the caller has. Each attempt is sent the position there, and
    ``next_attempt`` returns none that has been sent another one.
    """

    def __init__(self, deps, request, budget):
        self._deps = deps
        self.request = request
        self._budget = budget
        self._crash_checks = CrashChecks(deps, request)
        self._log = AttemptLog(deps, request)
        self._avoid = frozenset()
        self._attempt_count = 0
        self._possible_runs = 0
        self._next_placement = self._next_attempt = self._beginning = None
        last_id = request.call.header(deps.header_names.last_event_id)
        self._stream = CallerStream(last_id)
        self.first_status = 0
        self.first_headers = None

    @property
    def has_events(self):
        """Return whether the caller has a part of the stream."""
        return self._stream.has_begun

    def record_events(self, attempt):
        """Record that events of an attempt are passed on to the caller now."""
        if not self._stream.has_begun:
            self.keep_first_head(attempt)
        self._stream.note_passed_on(attempt.splitter.position)
        self._log.note_events(attempt)

    def keep_first_head(self, attempt):
        """Keep status and headers of the first server whose response is passed on."""
        attempt.exchange.has_begun = True
        if self.first_headers is None:
            self.first_status = attempt.status
            self.first_headers = end_to_end_headers(attempt.headers)

    def next_attempt(self):
        """Return an attempt whose response has started.

        A stream starts after the last event that the caller has. Raises
        ``RequestError`` if no further attempt is allowed or no server has a slot.
        """
        while True:
            attempt, self._next_attempt = self._next_attempt, None
            is_open = attempt is not None
            if not is_open:
                attempt = self._start_attempt()
            try:
                if not is_open:
                    attempt.open()
                if attempt.not_run:
                    self._handle_server_refusal(attempt)
                elif self._may_retry_error(attempt):
                    attempt.close()
                else:
                    return attempt
            except (ExchangeError, StalledError, DeadlineExceededError) as exc:
                try:
                    self.check_retry_after_failure(attempt, exc)
                finally:
                    attempt.close()
            except BaseException:
                attempt.close()
                raise

    def check_retry_after_failure(self, attempt, exc):
        """Record a failed attempt and check whether a further one is allowed.

        A retry of a request that was sent is taken from the retry budget, unless the
        attempt was given up for another one, see ``place_elsewhere``. Raises
        ``RequestError`` if no further attempt is allowed.
        """
        record = partial(self._record_failure, attempt, exc)
        if isinstance(exc, StalledError):
            record()
            if exc.attempt is None:
                self._next_placement = exc.placement
                return
            self._beginning = None
            if self._take_over(exc.attempt):
                return
        elif isinstance(exc, DeadlineExceededError):
            record()
        elif self._take_beginning(attempt, record):
            return
        sent = getattr(exc, "sent", True)
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
            or self._attempt_count >= MAX_ATTEMPTS
        ):
            raise self._final_error(
                502 if self._possible_runs else 503, "Backend server failed", exc
            )
        if sent and not self._budget.take():
            raise self._final_error(502, "No repeats left", exc)

    def _record_failure(self, attempt, exc):
        """Record a failed attempt and exclude its server.

        If nothing was sent, the candidate becomes suspect, since otherwise each further
        request would be tried there again.
        """
        self._avoid |= {attempt.candidate.server}
        # StalledError and DeadlineExceededError occur only once sending has begun.
        sent = getattr(exc, "sent", True)
        self._possible_runs += sent
        if not sent:
            attempt.note_unreachable()
        self._log.note_failure(attempt, exc)
        if sent and isinstance(exc, ExchangeError) and not attempt.is_detour:
            self._crash_checks.note_failure(attempt)

    def place_elsewhere(self, attempt):
        """Return a ``Placement`` for the attempt that is to follow a running one.

        Takes a slot that costs other requests nothing, see ``Placer.search``. The retry
        is taken from the budget. Raises ``RequestError`` if there is no slot or no
        further attempt is allowed; the running attempt is worth more then and goes on.
        ``give_back`` undoes it.
        """
        return self._place_elsewhere(attempt, self._search, is_kept=True)

    def _place_elsewhere(self, attempt, find_slot, *, is_kept):
        self._stream.check_resumable()
        if self._attempt_count >= MAX_ATTEMPTS or not self._budget.may_take():
            raise no_retry_error()
        self._check_crash_causes(is_kept=is_kept)
        placement = find_slot(
            self._avoid | {attempt.candidate.server}, self._resume_window_s
        )
        try:
            self._check_placed(is_kept=is_kept)
            if not self._budget.take():
                raise no_retry_error()
        except RequestError:
            self._deps.placer.release_slot(placement)
            raise
        return placement

    def give_back(self, placement):
        """Give back the slot and the retry of an attempt that is not made."""
        self._deps.placer.release_slot(placement)
        self._budget.give_back()

    def begin_elsewhere(self, attempt, placement):
        """Return an attempt at a placement that may follow a running one.

        Its response has started, and continues what the running attempt has begun. The
        retry stays counted unless nothing was sent. Raises ``RequestError`` if there is
        no such response; the running attempt goes on then.
        """
        following = self._new_attempt(placement, self._servers_left - 1)
        # If it stalls it is given up: the request still has the running attempt.
        following.exchange.place_elsewhere = lambda: None
        self._avoid |= {following.candidate.server}
        self._possible_runs += 1
        beginning = self._beginning = _Beginning(following)
        has_begun = False
        try:
            has_begun = self._open_following(following, attempt)
        finally:
            has_ended = self._beginning is not beginning
            if not beginning.ready():
                beginning.set(has_begun)
            elif has_begun:
                # The task of the running attempt has ended as well.
                following.close()
            if not (has_ended or has_begun):
                self._beginning = None
            # The running attempt may yet be kept, also if the other one has begun.
            attempt.exchange.may_reroute = self._servers_left > 1
        if has_ended:
            # The task of the running attempt waits for this one; the search is over.
            raise gevent.GreenletExit
        if has_begun:
            return following
        detail = f"{following.candidate.server} did not take it"
        raise RequestError(502, "Not repeated", detail, ran=UNKNOWN, step="offer")

    def _open_following(self, following, attempt):
        """Open an attempt and return whether it may follow the running one."""
        try:
            following.open()
            if self._may_follow(following, attempt):
                return True
            if not following.not_run:
                detail = f"status {following.status}"
                raise ExchangeError(
                    detail, step="resume", peer=following.candidate.server, sent=True
                )
            self._possible_runs -= 1
            self._record_refusal(following)
            following.close()
        except (ExchangeError, StalledError, DeadlineExceededError) as exc:
            following.close()
            self._possible_runs -= 1
            self._record_failure(following, exc)
            if not getattr(exc, "sent", True):
                self._budget.give_back()
        except BaseException:
            following.close()
            raise
        return False

    def end_elsewhere(self, following):
        """End what ``begin_elsewhere`` returned unless the request goes on with it."""
        beginning = self._beginning
        if beginning is not None and beginning.attempt is following:
            self._beginning = None
            following.close()

    def _take_beginning(self, attempt, record):
        """Wait for what begins elsewhere; return whether the request goes on there.

        ``record()`` records how the running attempt has ended, which may take a while.
        """
        beginning, self._beginning = self._beginning, None
        if beginning is None:
            record()
            return False
        following = beginning.attempt
        try:
            record()
            is_late = not self._stream.goes_on_after(following.resume_at)
            if is_late and not beginning.ready():
                # Its response is of no use.
                beginning.set(False)
                return self._begin_again(following, attempt.exchange.search)
            if not beginning.get():
                return False
        except BaseException:
            if not beginning.ready():
                beginning.set(False)
            elif beginning.value:
                following.close()
            raise
        return self._take_over(following)

    def _take_over(self, following):
        """Let an attempt that has begun elsewhere take the place of the present one.

        If the caller has got further events since, the stream is begun once more there.
        Returns whether the request goes on there.
        """
        if not self._stream.goes_on_after(following.resume_at):
            return self._begin_again(following)
        self._possible_runs -= 1
        self._next_attempt = following
        self._allow_reroute(following)
        return True

    def _begin_again(self, following, search=None):
        """End an attempt that begins too early in the stream; keep its placement.

        The request is sent there again, which makes no further server but takes a retry
        from the budget. ``search`` is the task that still opens the attempt. Returns
        whether the request may be sent again.
        """
        placement = following.detach_placement()
        if placement is None:
            # It has failed by itself, and is recorded by the task that opens it.
            return False
        try:
            if search is None:
                following.close()
            else:
                # The server should have the end of the attempt before the next one.
                search.kill()
            is_sent = self._attempt_count < MAX_ATTEMPTS and self._budget.take()
            self._log.write(
                following,
                "continuation out of date",
                resume_after=following.resume_at and following.resume_at.id_text,
                last_event=self._stream.position.id_text,
                sent_again=is_sent,
            )
            if is_sent:
                self._possible_runs -= 1
                self._next_placement, placement = placement, None
            return is_sent
        finally:
            if placement is not None:
                self._deps.placer.release_slot(placement)

    def _may_follow(self, following, attempt):
        """Return whether a response may take the place of a running attempt."""
        if following.not_run:
            return False
        if self._stream.has_begun:
            return following.is_event_stream
        if following.status >= 500:
            # The running attempt may yet succeed.
            return False
        # A status of 0 tells that the running attempt has no response yet.
        return not 200 <= attempt.status < 300 or 200 <= following.status < 300

    @property
    def _servers_left(self):
        """Return on how many servers the request may still run."""
        return self.request.route.max_servers - self._possible_runs

    def _check_crash_causes(self, *, is_kept=False):
        """Raise ``RequestError`` if the request or a part of its prompt is blocked.

        The request is logged as refused unless its running attempt ``is_kept``.
        """
        blocked = self._crash_checks.find_blocked(is_logged=not is_kept)
        if blocked is not None:
            title, exc = blocked
            raise self._final_error(502 if self._possible_runs else 503, title, exc)

    def log_response(self, attempt, event_name):
        """Log the end of a request that got a complete response."""
        self._crash_checks.note_answer(attempt)
        self._log.note_response(attempt, event_name, self._attempt_count)

    def _start_attempt(self):
        placement, self._next_placement = self._next_placement, None
        try:
            self._stream.check_resumable()
            if placement is None:
                placement = self._place_or_fail()
            self._check_placed()
        except RequestError:
            if placement is not None:
                self._deps.placer.release_slot(placement)
            raise
        attempt = self._new_attempt(placement, self._servers_left)
        self._allow_reroute(attempt)
        return attempt

    @property
    def _resume_window_s(self):
        """Return how long a stream may wait for a slot, ``None`` before its begin."""
        return RESUME_WINDOW_S if self._stream.has_begun else None

    def _new_attempt(self, placement, servers_left):
        request, deps, resume_at = self.request, self._deps, self._stream.position
        self._attempt_count += 1
        attempt_class = DetourAttempt if placement.is_detour else Attempt
        attempt = attempt_class(deps, request, placement, resume_at, servers_left)
        attempt.exchange.has_begun = self._stream.has_begun
        attempt.limit_silence(
            may_reroute=request.route.may_run_again and servers_left > 1
        )
        self._log.note_placed(attempt, placement, self._attempt_count)
        return attempt

    def _allow_reroute(self, attempt):
        """Let an attempt of the present task be given up for another one."""
        exchange = attempt.exchange
        exchange.task = gevent.getcurrent()
        exchange.place_elsewhere = partial(self.place_elsewhere, attempt)
        exchange.give_back = self.give_back
        exchange.begin_elsewhere = partial(self.begin_elsewhere, attempt)
        exchange.end_elsewhere = self.end_elsewhere

    def _place_or_fail(self):
        self._check_crash_causes()
        resume_window_s = self._resume_window_s
        try:
            if resume_window_s is not None:
                # A stream that has begun goes on until the node exits.
                return self._deps.placer.place(
                    self.request, self._avoid, resume_window_s
                )
            return self._place(self._avoid, None)
        except OverloadedError as exc:
            if self._possible_runs:
                raise self._final_error(502, "No server left to go on at", exc) from exc
            raise

    def _place(self, avoid, resume_window_s):
        """Return a placement, for which a stop of this node leaves time."""
        with self._limit_wait(resume_window_s):
            return self._deps.placer.place(self.request, avoid, resume_window_s)

    def _search(self, avoid, resume_window_s):
        """Return a placement for a request whose running attempt is kept."""
        with self._limit_wait(resume_window_s):
            placement = self._deps.placer.search(self.request, avoid, resume_window_s)
        if placement is None:
            raise OverloadedError(
                "no slot is free elsewhere", DEFAULT_RETRY_AFTER_S, step="place"
            )
        return placement

    def _limit_wait(self, resume_window_s):
        """Return a context that ends with an error once a stop leaves no time."""
        request, stop_time = self.request, self._deps.in_flight.stop_time
        has_begun = resume_window_s is not None
        stop_time.check(request, has_begun=has_begun)
        refusal = partial(stop_time.refusal, request, has_begun=has_begun)
        return stop_time.limit_wait(request.request_id, refusal)

    def _check_placed(self, *, is_kept=False):
        """Raise ``RequestError`` if a request that has a slot must not be sent now."""
        # The request may have been blocked while it waited.
        self._check_crash_causes(is_kept=is_kept)
        if self._deps.clock.monotonic() >= self.request.deadline:
            # The node was paused, or the slot came too late.
            exc = DeadlineExceededError("out of time", step="place")
            raise self._final_error(
                504 if self._possible_runs else 503, "Out of time", exc
            )

    def _may_retry_error(self, attempt):
        """Return whether a response with a 5xx status is retried at another server.

        It is if the request has been sent to one already that responds, or if one has a
        slot; otherwise the response is the caller's. If so, takes the slot and the
        retry from the budget, counts the attempt as a possible run and excludes the
        server.
        """
        route = self.request.route
        if attempt.status < 500:
            return False
        if self._take_beginning(attempt, lambda: None):
            self._record_error(attempt)
            return True
        if not route.repeatable or attempt.is_detour:
            return False
        if self._possible_runs + 1 >= route.max_servers:
            return False
        try:
            self._next_placement = self._place_elsewhere(
                attempt, self._place, is_kept=False
            )
        except RequestError as exc:
            self._log.write(
                attempt, "failure passed on", status=attempt.status, why=str(exc)
            )
            return False
        self._record_error(attempt)
        return True

    def _record_error(self, attempt):
        """Record that a server's response is a failure, and exclude the server."""
        self._possible_runs += 1
        self._avoid |= {attempt.candidate.server}
        self._log.write(attempt, "server failed", status=attempt.status)

    def _handle_server_refusal(self, attempt):
        """Record a refusal and check whether a further attempt is allowed.

        The retry is taken from the budget. Raises ``RequestError`` if no further
        attempt is allowed.
        """
        try:
            if self._take_beginning(attempt, partial(self._record_refusal, attempt)):
                return
        finally:
            attempt.close()
        exhausted = self._attempt_count >= MAX_ATTEMPTS or not self._budget.take()
        if not exhausted:
            return
        detail = f"{attempt.candidate.server} answered {attempt.status}"
        if self._possible_runs:
            raise RequestError(
                502, "Backend server failed", detail, ran=UNKNOWN, step="offer"
            )
        raise OverloadedError(detail, DEFAULT_RETRY_AFTER_S, step="offer")

    def _record_refusal(self, attempt):
        """Record that a server stated that it did not run the request.

        Nodes send a group fewer requests than it can take, so a refusal is not due to
        load: the group is broken or closing, even if the fleet's tables do not show it
        yet. It becomes suspect, since its free slots would attract further requests. A
        server that asks for a pause is not suspect.
        """
        if self.request.model and attempt.pause_s is None:
            self._deps.in_flight.make_suspect(attempt.candidate.name)
        at_fault = attempt.headers.get(self._deps.header_names.server_at_fault, "")
        self._avoid |= {attempt.candidate.server}
        self._log.write(
            attempt, "server refused", status=attempt.status, at_fault=at_fault or None
        )

    def _final_error(self, status, title, exc):
        ran = UNKNOWN if self._possible_runs else NOT_RUN
        retry_after_s = getattr(exc, "retry_after_s", None) or DEFAULT_RETRY_AFTER_S
        return RequestError(
            status,
            title,
            exc.detail,
            ran=ran,
            step=exc.step,
            peer=exc.peer,
            retry_after_s=retry_after_s,
        )
