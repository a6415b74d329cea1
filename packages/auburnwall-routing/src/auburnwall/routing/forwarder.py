"""Serves a routed request: places it, sends it, and retries it at another server.

A request is retried only if the server stated that it did not run it, if nothing was
sent, or if its route allows it to run more than once. A stream that breaks off is
resumed after the last complete event that the caller has.
"""

from collections.abc import Callable
from typing import NamedTuple

from .exceptions import ExchangeError
from .hop_by_hop import end_to_end_headers
from .in_flight import DeadlineExceededError, StalledError
from .request_attempts import RequestAttempts


class Reply(NamedTuple):
    """The response for the caller, which may still be arriving from the server.

    ``body`` is bytes or an iterator of bytes.
    """

    status: int
    headers: list
    body: object


class ForwarderDeps(NamedTuple):
    """The components that the forwarder and its attempts use.

    ``placer`` gives slots, ``channels`` holds the connections to servers, and
    ``in_flight`` tracks exchanges. ``header_names`` are the platform's own headers.
    ``time_to_start`` holds the mean time until a response starts, ``notices`` what
    servers say of themselves, ``crash_evidence`` which prompt parts and requests crash
    them. ``reach`` is the node's ``ServerReach``, ``node`` its name.
    ``is_ranked(request)`` returns whether servers are told the request's urgency.
    """

    placer: object
    channels: object
    in_flight: object
    header_names: object
    clock: object
    time_to_start: object
    notices: object
    crash_evidence: object
    reach: object
    node: str
    is_ranked: Callable = lambda request: False


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
        if not request.forwarded_by:
            # Otherwise the node to which the caller sent it has counted it.
            budget.note_request()
        attempts = RequestAttempts(self._deps, request, budget)
        attempt = attempts.next_attempt()
        headers = end_to_end_headers(attempt.headers)
        if request.route.streams and 200 <= attempt.status < 300:
            return self._reply_with_stream(attempts, attempt, headers)
        return self._reply_with_body(attempts, attempt)

    def _reply_with_body(self, attempts, attempt):
        """Return a reply whose body is complete."""
        while True:
            try:
                body = attempt.read_body()
                attempts.log_response(attempt, "answered")
                return Reply(attempt.status, end_to_end_headers(attempt.headers), body)
            except (ExchangeError, StalledError, DeadlineExceededError) as exc:
                attempts.check_retry_after_failure(attempt, exc)
            finally:
                attempt.close()
            attempt = attempts.next_attempt()

    def _reply_with_stream(self, attempts, attempt, headers):
        """Return a reply whose body is resumed at another server if it breaks off.

        Waits for the first event, so that a server that fails earlier only delays the
        response.
        """
        events = self._resumed_events(attempts, attempt)
        try:
            first = next(events, b"")
        except BaseException:
            events.close()
            raise
        return Reply(
            attempts.first_status,
            attempts.first_headers or headers,
            _StreamBody(first, events),
        )

    def _resumed_events(self, attempts, attempt):
        """Yield the bytes of a stream, resumed at other servers when it breaks off.

        Each item holds one or more complete events. Raises ``RequestError`` if the
        stream can't be resumed.
        """
        count = 0
        while True:
            try:
                try:
                    for event_bytes in attempt.events():
                        attempts.record_events(attempt)
                        yield event_bytes
                    if not attempts.has_events:
                        attempts.keep_first_head(attempt)
                    elif not attempt.splitter.count:
                        # A stream that breaks off before its end has more events.
                        raise _no_continuation(attempt, "no further event")
                    attempts.log_response(attempt, "streamed")
                    count += attempt.splitter.count
                    self._note_stream(attempts.request, count)
                    return
                except (ExchangeError, StalledError, DeadlineExceededError) as exc:
                    attempts.check_retry_after_failure(attempt, exc)
            finally:
                attempt.close()
            count += attempt.splitter.count
            attempt = self._resume(attempts)

    def _resume(self, attempts):
        """Return the attempt that resumes the stream after what the caller has."""
        while True:
            attempt = attempts.next_attempt()
            if attempts.has_events:
                is_suitable = attempt.is_event_stream
            else:
                is_suitable = 200 <= attempt.status < 300
            if is_suitable:
                return attempt
            attempt.close()
            content_type = attempt.headers.get("Content-Type")
            detail = f"status {attempt.status}, type {content_type}"
            attempts.check_retry_after_failure(
                attempt, _no_continuation(attempt, detail)
            )


def _no_continuation(attempt, detail):
    """Return the error for a response that does not continue a stream."""
    return ExchangeError(
        detail, step="resume", peer=attempt.candidate.server, sent=True
    )


class _StreamBody:
    """Iterates over the bytes of a stream; ``close`` ends the attempt in flight."""

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
