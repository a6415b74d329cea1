"""Give each request a place at a server, or tell its caller when to come back."""

from collections import defaultdict
from typing import NamedTuple

from gevent.event import AsyncResult

from auburnwall.base.logs import event

from .admission import FairQueue, Waiting
from .exceptions import OverloadedError
from .load_shedding import Shortage, WaitClass, WaitContext, decide_wait, wait_class_of
from .placement import choose_candidate

# Time between two tries to place what waits, while nothing else wakes the queue.
TRY_AGAIN_S = 0.05
# Requests that wait for one model or service at this node.
MAX_WAITING = 256
# Places of a model or service that late requests leave free while places are short:
# the one that has just been given back, from which the next caller is served in time.
RESERVED_IN_TIME = 1
# Part of its objective that a request is expected to need at its server at most: where
# most answers begin late, some still begin in time.
MAX_START_PART = 0.7


class Place(NamedTuple):
    """Leave to send one request to ``candidate``, which had ``load`` others."""

    candidate: object
    load: int


class _EvictedError(Exception):
    """A waiting request has left its queue without a place."""


class _Line:
    """Those that wait for one model or service, a queue for each class."""

    def __init__(self):
        self.queues = {
            WaitClass.RESUMING: FairQueue(MAX_WAITING),
            WaitClass.IN_TIME: FairQueue(MAX_WAITING, newest_first=True),
            WaitClass.LATE: FairQueue(MAX_WAITING),
        }
        self.shortage = Shortage()

    def __len__(self):
        return sum(len(queue) for queue in self.queues.values())

    def ahead(self, wait_class):
        """Return how many requests are given places before a new one."""
        if wait_class is WaitClass.IN_TIME:
            return len(self.queues[WaitClass.RESUMING])
        return sum(len(queue) for at, queue in self.queues.items() if at <= wait_class)


class Placer:
    """Place requests of all services.

    ``view`` offers ``candidates(request)``, ``load(candidate)``, ``is_suspect(name)``,
    ``cold_rate(candidate)`` (``None`` if it is not cold),
    ``expected_start_s(request)``, ``capacity(request)`` and ``data_center``.
    """

    def __init__(self, view, in_flight, gate, clock, rng):
        self._view = view
        self._in_flight = in_flight
        self._gate = gate
        self._clock = clock
        self._rng = rng
        self._lines = defaultdict(_Line)

    def waiting(self):
        """Return how many requests wait."""
        return sum(len(line) for line in self._lines.values())

    def place(self, request, avoid=frozenset(), patience_s=None):
        """Return a ``Place``, waiting for it if that is worth while.

        Raises ``OverloadedError`` as soon as it is known that none comes in time.
        """
        line = self._lines[request.service, request.model]
        wait_class = self._wait_class(request, patience_s)
        place = self._try_first(request, avoid, line, wait_class)
        if place is None:
            context = self._wait_context(request, line, wait_class, patience_s)
            place = self._wait(request, avoid, line, context)
        if wait_class is WaitClass.IN_TIME:
            if place is None:
                return self._place_late(request, avoid, line)
            line.shortage.note_placed()
        elif place is None:
            raise self._refusal(request, line, wait_class, patience_s)
        return place

    def _place_late(self, request, avoid, line):
        """Return a place for a request that found none while it could be in time."""
        context = self._wait_context(request, line, WaitClass.LATE)
        self._note_missed(line)
        if place := self._wait(request, avoid, line, context):
            return place
        raise self._refusal(request, line, WaitClass.LATE)

    def _try_first(self, request, avoid, line, wait_class):
        """Return a place that is free now, unless others have to be given it first."""
        if wait_class is WaitClass.LATE and len(line):
            return None
        return self._try(request, avoid, self._reserved(line, wait_class))

    def give_back(self, place):
        """Return a place and let the next request have it."""
        self._in_flight.release(place.candidate.name)
        self.pump()

    def pump(self):
        """Place what can be placed now."""
        for line in self._lines.values():
            for wait_class, queue in line.queues.items():
                while len(queue) and self._place_next(line, wait_class, queue):
                    pass

    def _wait(self, request, avoid, line, context):
        """Return a place, or ``None`` if it is not worth while to wait any longer."""
        decision = decide_wait(context)
        if not decision.wait:
            return None
        waiting = Waiting(request, avoid, AsyncResult())
        queue = line.queues[context.wait_class]
        _push(queue, waiting, decision.room)
        until = self._clock.monotonic() + decision.wait_s
        try:
            while not waiting.result.ready():
                left_s = until - self._clock.monotonic()
                if left_s <= 0:
                    return None
                if not self._clock.wait(waiting.result, min(left_s, TRY_AGAIN_S)):
                    self.pump()
            return waiting.result.get()
        except _EvictedError:
            return None
        except BaseException:
            if waiting.result.successful():
                self.give_back(waiting.result.value)
            raise
        finally:
            queue.discard(waiting)

    def _note_missed(self, line):
        """Note a miss; let those that are late know at once if places are short."""
        now = self._clock.monotonic()
        line.shortage.note_missed(now)
        if line.shortage.lasted(now):
            queue = line.queues[WaitClass.LATE]
            for waiting in queue.entries():
                queue.discard(waiting)
                waiting.result.set_exception(_EvictedError())

    def _place_next(self, line, wait_class, queue):
        """Place one of those that are next; return whether there was a place."""
        for waiting in queue.heads():
            reserved = self._reserved(line, wait_class)
            if place := self._try(waiting.request, waiting.avoid, reserved):
                queue.take(waiting)
                waiting.result.set(place)
                return True
            if not waiting.avoid:
                break
        return False

    def _reserved(self, line, wait_class):
        """Return how many free places are kept for other requests."""
        is_short = line.shortage.lasted(self._clock.monotonic()) > 0
        return RESERVED_IN_TIME if wait_class is WaitClass.LATE and is_short else 0

    def _try(self, request, avoid, reserved):
        view = self._view
        candidates = self._open_to(request, avoid)
        found = choose_candidate(
            candidates, view.load, view.data_center, self._rng, reserved
        )
        if found is None:
            return None
        rate = view.cold_rate(found)
        if rate is not None:
            self._gate.note_sent(found.server, rate)
        load = view.load(found)
        self._in_flight.reserve(found.name)
        return Place(found, load)

    def _open_to(self, request, avoid):
        """Return the candidates that may get the request now.

        A server that stands alone and is doubted is better than none at all: unlike a
        group it may just be slow.
        """
        candidates = [
            candidate
            for candidate in self._view.candidates(request)
            if candidate.server not in avoid and self._gate_open(candidate)
        ]
        sound = [c for c in candidates if not self._view.is_suspect(c.name)]
        return sound if sound or request.model else candidates

    def _gate_open(self, candidate):
        rate = self._view.cold_rate(candidate)
        return rate is None or self._gate.may_send(candidate.server, rate)

    def _wait_class(self, request, patience_s):
        objective_s = request.objective_at - self._clock.monotonic()
        return wait_class_of(
            objective_s, self._start_s(request), patience_s is not None
        )

    def _start_s(self, request):
        """Return how long a server is expected to take to begin its answer."""
        most_s = MAX_START_PART * request.route.objective_s
        return min(self._view.expected_start_s(request), most_s)

    def _wait_context(self, request, line, wait_class, patience_s=None):
        now = self._clock.monotonic()
        capacity = self._view.capacity(request)
        return WaitContext(
            wait_class=wait_class,
            ahead=line.ahead(wait_class),
            serving=capacity.serving,
            forming=capacity.forming,
            service_s=capacity.service_s,
            start_s=self._start_s(request),
            left_s=request.deadline - now,
            objective_s=request.objective_at - now,
            short_s=line.shortage.lasted(now),
            patience_s=patience_s,
        )

    def _refusal(self, request, line, wait_class, patience_s=None):
        """Log a refusal and return the error that tells when to come back."""
        context = self._wait_context(request, line, wait_class, patience_s)
        decision = decide_wait(context)
        event(
            "request refused",
            request=request.request_id,
            step="place",
            model=request.model,
            wait_class=wait_class.name.lower(),
            waiting=len(line),
            short_s=round(context.short_s, 2),
            candidates=len(self._view.candidates(request)),
            why=decision.why,
            retry_after_s=round(decision.retry_after_s, 2),
        )
        return OverloadedError(decision.why, decision.retry_after_s)


def _push(queue, waiting, room):
    """Queue ``waiting``; what has waited longest gives way if there is no room."""
    shed = [queue.push(waiting)]
    while len(queue) > room:
        oldest = queue.oldest_of_largest()
        queue.discard(oldest)
        shed.append(oldest)
    for entry in shed:
        if entry is not None:
            entry.result.set_exception(_EvictedError())
