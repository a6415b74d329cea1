"""Serve completions, with retries at other groups.

Each attempt takes one slot and makes one exchange with a group. Completions are safe
to retry: after a failure the request goes to another group, within the retry budget
and the deadline. A stream that breaks off is resumed there after the last event that
the caller has received.
"""

import json
from contextlib import closing, contextmanager

import gevent

from auburnwall.base import memory
from auburnwall.base.http import READ_BYTES
from auburnwall.base.logs import event

from .event_stream import is_event_stream
from .exceptions import UNKNOWN, ExchangeError, RequestError
from .sse import DONE, TruncatedStreamError, error_event, split_events, text_of
from .stop_time import STOP_STEP

# Bounds of the timeout for each read from a response. Between them, the timeout is the
# time left until the caller's deadline.
MAX_READ_TIMEOUT_S = 15.0
MIN_READ_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 4
RESUME_FIELD = "auburnwall_resume"
GROUP_HEADER = "X-Auburnwall-Group"
GENERATION_HEADER = "X-Auburnwall-Generation"
DEADLINE_HEADER = "X-Auburnwall-Deadline-Ms"


class Completions:
    """Serves completions from admission to the last byte of the response."""

    def __init__(self, exchanges, engine, budget, clock):
        self._exchanges = exchanges
        self._engine = engine
        self._budget = budget
        self._clock = clock

    def complete(self, request, dispatcher):
        """Return the complete ``Answer``; raise ``RequestError``."""
        retry_state = _RetryState(self, request)
        while True:
            with (
                retry_state.correct_ran(),
                dispatcher.slot(request, retry_state.avoid) as slot,
            ):
                retry_state.group_view = slot.group_view
                headers = self._headers(request, slot)
                try:
                    answer = self._exchanges.exchange_complete(
                        request,
                        slot.group_view.address,
                        headers,
                        self._read_timeout_s(request),
                    )
                    return self._require_ok(answer, slot.group_view)
                except ExchangeError as exc:
                    retry_state.record_failure(exc)

    def stream(self, request, dispatcher):
        """Yield the events of the response, as bytes.

        Raises ``RequestError`` only before the first event. A later error is yielded
        as the last event.
        """
        with closing(memory.budget.open(request.request_id)) as account:
            yield from self._stream(request, dispatcher, account)

    def _stream(self, request, dispatcher, account):
        retry_state, sent_events = _RetryState(self, request), []
        while True:
            try:
                with (
                    retry_state.correct_ran(),
                    dispatcher.slot(request, retry_state.avoid) as slot,
                ):
                    retry_state.group_view = slot.group_view
                    try:
                        for events in self._events(request, slot, sent_events):
                            # All are needed to resume the stream.
                            sent_events.append(events)
                            account.add(len(events))
                            yield events
                            if account.error:
                                raise _too_large_error(account.error, slot)
                        return
                    except ExchangeError as exc:
                        # The caller already has the whole stream.
                        if sent_events and sent_events[-1].endswith(DONE):
                            return
                        retry_state.record_failure(exc)
                    except RequestError as exc:
                        if exc.step == STOP_STEP:
                            # The answer must not wait for the group.
                            gevent.spawn(self._cancel, slot.group_view, request)
                        raise
                    except BaseException:
                        self._cancel(slot.group_view, request)
                        raise
            except RequestError as exc:
                if not sent_events:
                    raise
                yield error_event(_error_body(exc, request))
                return

    def _events(self, request, slot, sent_events):
        address = slot.group_view.address
        body = _resume_body(request.body, sent_events) if sent_events else None
        headers = self._headers(request, slot)
        read_timeout_s = self._read_timeout_s(request)
        with self._exchanges.open(
            request, address, headers, read_timeout_s, body
        ) as resp:
            if resp.status != 200:
                self._raise_backend_error(resp.status, resp.read(4096), slot.group_view)
            if not is_event_stream(resp.headers):
                raise ExchangeError(
                    f"the type is {resp.headers.get('Content-Type')}",
                    step="read stream",
                    peer=slot.group_view.name,
                    sent=True,
                )
            try:
                yield from split_events(self._pieces(resp, request, slot))
            except TruncatedStreamError as exc:
                raise ExchangeError(
                    str(exc), step="read stream", peer=slot.group_view.name, sent=True
                ) from exc

    def _pieces(self, resp, request, slot):
        """Yield the body of a response until the request's deadline.

        Raises ``ExchangeError`` then, whatever bytes arrive.
        """
        now = self._clock.monotonic()
        ends_at = max(request.deadline, now + MIN_READ_TIMEOUT_S)
        too_slow = ExchangeError(
            f"no complete stream within {ends_at - now:.1f} s",
            step="read stream",
            peer=slot.group_view.name,
            sent=True,
        )
        pieces = iter(resp.stream(READ_BYTES))
        while (left_s := ends_at - self._clock.monotonic()) > 0:
            with gevent.Timeout(left_s, too_slow):
                data = next(pieces, None)
            if data is None:
                return
            yield data
        raise too_slow

    def _require_ok(self, answer, group_view):
        if answer.status != 200:
            self._raise_backend_error(answer.status, answer.body, group_view)
        return answer

    def _raise_backend_error(self, status, body, group_view):
        """Raise the error for a response whose status isn't 200.

        Client errors other than statuses 408, 409 and 429 are final and raise
        ``RequestError``. All other statuses raise ``ExchangeError``, which is retried.
        """
        detail = body[:500].decode("utf-8", "replace")
        if 400 <= status < 500 and status not in (408, 409, 429):
            raise RequestError(
                status,
                "Refused by the model",
                detail,
                ran=UNKNOWN,
                step="backend answer",
                peer=group_view.name,
            )
        raise ExchangeError(
            f"status {status}: {detail}",
            step="backend answer",
            peer=group_view.name,
            sent=True,
        )

    def _read_timeout_s(self, request):
        """Return the timeout for each read from a backend server, in seconds."""
        remaining_s = request.deadline - self._clock.monotonic()
        return min(MAX_READ_TIMEOUT_S, max(MIN_READ_TIMEOUT_S, remaining_s))

    def _headers(self, request, slot):
        remaining_ms = max(
            0, round((request.deadline - self._clock.monotonic()) * 1000)
        )
        return {
            "Content-Type": "application/json",
            GROUP_HEADER: slot.group_view.name,
            GENERATION_HEADER: str(slot.group_view.generation),
            DEADLINE_HEADER: str(remaining_ms),
        }

    def _cancel(self, group_view, request):
        """Cancel a request at its group; an error is only logged."""
        try:
            self._engine.cancel(group_view.address, request.request_id)
        except Exception as exc:
            event(
                "cancel failed",
                request=request.request_id,
                peer=group_view.name,
                why=str(exc),
            )


class _RetryState:
    """Counts the failed attempts of one request and decides whether to retry.

    ``avoid`` holds the names of the groups that failed, and ``group_view`` is the
    group of the present attempt.
    """

    def __init__(self, completions, request):
        self._budget = completions._budget
        self._clock = completions._clock
        self._request = request
        self._failures = 0
        self._any_sent = False
        self.group_view = None
        self.avoid = frozenset()
        self._budget.note_request()

    @contextmanager
    def correct_ran(self):
        """Set ``ran`` of a ``RequestError`` to ``unknown`` if anything has been sent.

        An error of the last attempt alone could say ``not run`` although an earlier
        attempt reached a server.
        """
        try:
            yield
        except RequestError as exc:
            if self._any_sent:
                exc.ran = UNKNOWN
            raise

    def record_failure(self, exc):
        """Record a failed attempt; raise ``RequestError`` if it was the last one."""
        self._failures += 1
        self._any_sent = self._any_sent or exc.sent
        self.avoid |= {self.group_view.name}
        event(
            "exchange failed",
            request=self._request.request_id,
            step=exc.step,
            peer=self.group_view.name,
            why=exc.detail,
        )
        deadline_passed = self._clock.monotonic() >= self._request.deadline
        if deadline_passed or self._failures >= MAX_ATTEMPTS or not self._budget.take():
            raise RequestError(
                502,
                "Backend server failed",
                exc.detail,
                ran=UNKNOWN if self._any_sent else "not run",
                step=exc.step,
                peer=exc.peer,
                retry_after_s=1.0,
            ) from exc


def _too_large_error(exc, slot):
    return RequestError(
        502,
        "Stream too large",
        exc.detail,
        ran=UNKNOWN,
        step=exc.step,
        peer=slot.group_view.name,
    )


def _resume_body(body, sent_events):
    """Return the request body that makes a group continue after ``sent_events``."""
    text, pieces = text_of(sent_events)
    return json.dumps(
        {**json.loads(body), RESUME_FIELD: {"text": text, "pieces": pieces}}
    ).encode()


def _error_body(exc, request):
    return {
        "message": exc.detail,
        "type": exc.title,
        "ran": exc.ran,
        "step": exc.step,
        "peer": exc.peer,
        "request_id": request.request_id,
    }
