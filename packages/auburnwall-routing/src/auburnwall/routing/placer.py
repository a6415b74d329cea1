"""Give each request a place at a server, or tell its caller when to come back."""

from typing import NamedTuple

from gevent.event import AsyncResult

from auburnwall.base.logs import event

from .admission import FairQueue, Waiting
from .exceptions import OverloadedError
from .placing import choose
from .refusing import Outlook, judge

# Time between two tries to place what waits, while nothing else wakes the queue.
TRY_AGAIN_S = 0.05
# Requests that wait for one model or service at this node.
MOST_WAITING = 256


class Place(NamedTuple):
    """Leave to send one request to ``candidate``, which had ``load`` others."""

    candidate: object
    load: int


class Placer:
    """Place requests of all services.

    ``world`` offers ``candidates(request)``, ``load(candidate)``, ``is_doubted(name)``,
    ``cold_rate(candidate)`` (``None`` if it is not cold), ``outlook(request)`` and
    ``data_center``.
    """

    def __init__(self, world, in_flight, gate, clock, rng):
        self._world = world
        self._in_flight = in_flight
        self._gate = gate
        self._clock = clock
        self._rng = rng
        self._queues = {}

    def waiting(self):
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._queues.values())

    def place(self, request, avoid=frozenset(), patience_s=None):
        """Return a ``Place``, waiting for it if that is worth while.

        Raises ``OverloadedError`` as soon as it is known that none comes in time.
        """
        queue = self._queue(request)
        if not len(queue) and (place := self._try(request, avoid)):
            return place
        verdict = judge(self._outlook(request, queue, patience_s))
        if not verdict.wait:
            self._log_refusal(request, verdict, queue)
            raise OverloadedError(verdict.why, verdict.retry_after_s)
        waiting = Waiting(request, avoid, AsyncResult())
        shed = queue.push(waiting)
        if shed is not None:
            shed.result.set_exception(
                OverloadedError("the queue is full", verdict.retry_after_s)
            )
        return self._wait(waiting, queue, verdict)

    def give_back(self, place):
        """Return a place and let the next request have it."""
        self._in_flight.release(place.candidate.name)
        self.pump()

    def pump(self):
        """Place what can be placed now."""
        for queue in self._queues.values():
            progress = len(queue) > 0
            while progress:
                progress = any(
                    self._place_waiting(queue, waiting) for waiting in queue.heads()
                )

    def _wait(self, waiting, queue, verdict):
        request = waiting.request
        until = self._clock.monotonic() + verdict.wait_s
        try:
            while not waiting.result.ready():
                left_s = until - self._clock.monotonic()
                if left_s <= 0:
                    self._log_refusal(request, verdict, queue)
                    raise OverloadedError(
                        f"no place within {verdict.wait_s:.2f} s",
                        verdict.retry_after_s,
                    )
                if not self._clock.wait(waiting.result, min(left_s, TRY_AGAIN_S)):
                    self.pump()
            return waiting.result.get()
        except BaseException:
            queue.discard(waiting)
            if waiting.result.successful():
                self.give_back(waiting.result.value)
            raise

    def _place_waiting(self, queue, waiting):
        place = self._try(waiting.request, waiting.avoid)
        if place is None:
            return False
        queue.take(waiting)
        waiting.result.set(place)
        return True

    def _try(self, request, avoid):
        world = self._world
        found = choose(
            self._open_to(request, avoid), world.load, world.data_center, self._rng
        )
        if found is None:
            return None
        rate = world.cold_rate(found)
        if rate is not None:
            self._gate.note_sent(found.server, rate)
        load = world.load(found)
        self._in_flight.reserve(found.name)
        return Place(found, load)

    def _open_to(self, request, avoid):
        """Return the candidates that may get the request now.

        A server that stands alone and is doubted is better than none at all: unlike a
        group it may just be slow.
        """
        candidates = [
            candidate
            for candidate in self._world.candidates(request)
            if candidate.server not in avoid and self._gate_open(candidate)
        ]
        sound = [c for c in candidates if not self._world.is_doubted(c.name)]
        return sound if sound or request.model else candidates

    def _gate_open(self, candidate):
        rate = self._world.cold_rate(candidate)
        return rate is None or self._gate.may_send(candidate.server, rate)

    def _outlook(self, request, queue, patience_s):
        now = self._clock.monotonic()
        left_s = request.deadline - now
        objective_s = request.objective_at - now
        known = self._world.outlook(request)
        return Outlook(
            waiting=len(queue),
            serving=known.serving,
            forming=known.forming,
            service_s=known.service_s,
            left_s=left_s,
            objective_s=objective_s,
            patience_s=patience_s,
        )

    def _queue(self, request):
        key = request.service, request.model
        if key not in self._queues:
            self._queues[key] = FairQueue(MOST_WAITING)
        return self._queues[key]

    def _log_refusal(self, request, verdict, queue):
        event(
            "request refused",
            request=request.request_id,
            step="place",
            model=request.model,
            waiting=len(queue),
            candidates=len(self._world.candidates(request)),
            why=verdict.why,
            retry_after_s=round(verdict.retry_after_s, 2),
        )
