"""Serve completions: one slot, one exchange, resumed elsewhere if it breaks.

Completions may be repeated: a group that fails is given up for another one, within
the retry budget and the deadline. A caller that has part of a stream gets the rest
of it from there on.
"""

import json
from contextlib import contextmanager

from auburnwall.base.logs import event

from .exceptions import UNKNOWN, ExchangeError, RequestError
from .exchange import READ_BYTES
from .sse import DONE, TruncatedStreamError, error_event, split_events, text_of

SILENCE_S = 15.0
MIN_SILENCE_S = 0.5
MAX_TRIES = 4
RESUME_FIELD = "auburnwall_resume"
GROUP_HEADER = "X-Auburnwall-Group"
GENERATION_HEADER = "X-Auburnwall-Generation"
DEADLINE_HEADER = "X-Auburnwall-Deadline-Ms"


class Completions:
    """The path of a completion from admission to the last byte."""

    def __init__(self, exchanges, engine, budget, clock):
        self._exchanges = exchanges
        self._engine = engine
        self._budget = budget
        self._clock = clock

    def whole(self, request, dispatcher):
        """Return the whole ``Answer``; raise ``RequestError``."""
        tries = _Tries(self, request)
        while True:
            with tries.truthful(), dispatcher.slot(request, tries.avoid) as slot:
                tries.view = slot.view
                headers = self._headers(request, slot)
                try:
                    answer = self._exchanges.whole(
                        request, slot.view.address, headers, self._silence(request)
                    )
                    return self._checked(answer, slot.view)
                except ExchangeError as exc:
                    tries.note(exc)

    def stream(self, request, dispatcher):
        """Yield the answer's events; raise ``RequestError`` before the first one.

        After the first event an error becomes the last event.
        """
        tries, sent = _Tries(self, request), []
        while True:
            try:
                with tries.truthful(), dispatcher.slot(request, tries.avoid) as slot:
                    tries.view = slot.view
                    try:
                        for events in self._events(request, slot, sent):
                            sent.append(events)
                            yield events
                        return
                    except ExchangeError as exc:
                        if sent and sent[-1].endswith(DONE):
                            return
                        tries.note(exc)
                    except RequestError:
                        raise
                    except BaseException:
                        self._cancel(slot.view, request)
                        raise
            except RequestError as exc:
                if not sent:
                    raise
                yield error_event(_brief(exc, request))
                return

    def _events(self, request, slot, sent):
        address = slot.view.address
        body = _resumed(request.body, sent) if sent else None
        headers = self._headers(request, slot)
        silence_s = self._silence(request)
        with self._exchanges.open(request, address, headers, silence_s, body) as resp:
            if resp.status != 200:
                self._refuse(resp.status, resp.read(4096), slot.view)
            try:
                yield from split_events(resp.stream(READ_BYTES))
            except TruncatedStreamError as exc:
                raise ExchangeError(
                    str(exc), step="read stream", peer=slot.view.name, sent=True
                ) from exc

    def _checked(self, answer, view):
        if answer.status != 200:
            self._refuse(answer.status, answer.body, view)
        return answer

    def _refuse(self, status, body, view):
        """Turn a backend server's refusal into an error that is retried or final."""
        detail = body[:500].decode("utf-8", "replace")
        if 400 <= status < 500 and status not in (408, 409, 429):
            raise RequestError(
                status,
                "Refused by the model",
                detail,
                ran=UNKNOWN,
                step="backend answer",
                peer=view.name,
            )
        raise ExchangeError(
            f"status {status}: {detail}",
            step="backend answer",
            peer=view.name,
            sent=True,
        )

    def _silence(self, request):
        """Return how long a backend server may be silent, in seconds."""
        left = request.deadline - self._clock.monotonic()
        return min(SILENCE_S, max(MIN_SILENCE_S, left))

    def _headers(self, request, slot):
        left_ms = max(0, round((request.deadline - self._clock.monotonic()) * 1000))
        return {
            "Content-Type": "application/json",
            GROUP_HEADER: slot.view.name,
            GENERATION_HEADER: str(slot.view.generation),
            DEADLINE_HEADER: str(left_ms),
        }

    def _cancel(self, view, request):
        try:
            self._engine.cancel(view.address, request.request_id)
        except Exception as exc:
            event(
                "cancel failed",
                request=request.request_id,
                peer=view.name,
                why=str(exc),
            )


class _Tries:
    """Groups that have failed a request, and whether it may be tried once more."""

    def __init__(self, path, request):
        self._budget = path._budget
        self._clock = path._clock
        self._request = request
        self._count = 0
        self._sent = False
        self.view = None
        self.avoid = frozenset()
        self._budget.note_request()

    @contextmanager
    def truthful(self):
        """Let no refusal say ``not run`` once anything has been sent."""
        try:
            yield
        except RequestError as exc:
            if self._sent:
                exc.ran = UNKNOWN
            raise

    def note(self, exc):
        """Record a failure; raise the final ``RequestError`` if it was the last."""
        self._count += 1
        self._sent = self._sent or exc.sent
        self.avoid |= {self.view.name}
        event(
            "exchange failed",
            request=self._request.request_id,
            step=exc.step,
            peer=self.view.name,
            why=exc.detail,
        )
        late = self._clock.monotonic() >= self._request.deadline
        if late or self._count >= MAX_TRIES or not self._budget.take():
            raise RequestError(
                502,
                "Backend server failed",
                exc.detail,
                ran=UNKNOWN if self._sent else "not run",
                step=exc.step,
                peer=exc.peer,
                retry_after_s=1.0,
            ) from exc


def _resumed(body, sent):
    text, pieces = text_of(sent)
    return json.dumps(
        {**json.loads(body), RESUME_FIELD: {"text": text, "pieces": pieces}}
    ).encode()


def _brief(exc, request):
    return {
        "message": exc.detail,
        "type": exc.title,
        "ran": exc.ran,
        "step": exc.step,
        "peer": exc.peer,
        "request_id": request.request_id,
    }
