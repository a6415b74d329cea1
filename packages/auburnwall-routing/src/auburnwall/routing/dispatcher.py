"""Bring waiting requests and free slots together."""

from contextlib import contextmanager
from typing import NamedTuple

import gevent
from absl import logging
from gevent.event import AsyncResult, Event

from auburnwall.base.logs import event

from .admission import FairQueue, Waiting
from .credits import Grant, RouterCredits
from .exceptions import OverloadedError, RequestError

PUMP_S = 0.05
ASK_AGAIN_S = 0.03
DRAIN_RATE_MEMORY = 0.9
FIRST_RETRY_AFTER_S = 2.0


class Slot(NamedTuple):
    """Leave to send one request to ``view``."""

    view: object
    router_credits: RouterCredits


def _explain(request, view):
    """Note why a request went where it did, for ``auburnwall explain``."""
    event(
        "slot taken",
        level=logging.DEBUG,
        request=request.request_id,
        step="choice",
        peer=view.name,
        why=f"in {view.data_center}, runs {view.running} of {view.bears}",
    )


class RouterCreditsKey(NamedTuple):
    """A group at one generation and one boot of its members."""

    group: str
    generation: int
    boot_id: str


class Dispatcher:
    """Queue requests for one model or service and hand out slots.

    ``find`` returns the eligible groups for a request; ``ask`` asks a group's owner
    for credits on behalf of a purse and returns a grant and its term, or ``None``.
    """

    def __init__(self, target, find, ask, chooser, clock, rng, *, most_waiting):
        self.target = target
        self.in_flight = {}
        self._find = find
        self._ask = ask
        self._chooser = chooser
        self._clock = clock
        self._rng = rng
        self._queue = FairQueue(most_waiting)
        self._credits = {}
        self._asking = set()
        self._denied_at = {}
        self._wake = Event()
        self._rate = 0.0
        self._last_done = None

    @contextmanager
    def slot(self, request, avoid=frozenset()):
        """Wait for a slot on an eligible group outside ``avoid`` and own it.

        Raises ``RequestError`` at once when the request cannot start in time.
        """
        slot = self._wait(request, avoid)
        _explain(request, slot.view)
        self.in_flight[slot.view.name] = self.in_flight.get(slot.view.name, 0) + 1
        try:
            yield slot
        finally:
            slot.router_credits.give_back()
            self._count_down(slot.view.name)
            self._note_done()
            self._wake.set()

    def run(self):
        """Hand out slots for ever."""
        while True:
            self._clock.wait(self._wake, PUMP_S if len(self._queue) else None)
            self._wake.clear()
            self._pump()

    def renew(self):
        """Ask again for credits that are in use or wanted; drop those of the past."""
        for key, router_credits in list(self._credits.items()):
            if router_credits.in_use or router_credits.waiting:
                self._start_asking(key, router_credits)
            elif router_credits.grant.expires_at < self._clock.monotonic():
                del self._credits[key]
                self._denied_at.pop(key, None)

    def waiting(self):
        """Return how many requests wait."""
        return len(self._queue)

    def retry_after(self):
        """Return seconds until a new request is likely to find room, with jitter."""
        expected = FIRST_RETRY_AFTER_S
        if self._rate > 0:
            expected = max(1.0, (len(self._queue) + 1) / self._rate)
        return min(60.0, expected * self._rng.uniform(1.0, 1.5))

    def _wait(self, request, avoid):
        if not self._candidates(request, avoid):
            raise self._nothing_eligible()
        self._refuse_if_hopeless(request)
        waiting = Waiting(request, avoid, AsyncResult())
        shed = self._queue.push(waiting)
        if shed is not None:
            shed.result.set_exception(
                OverloadedError("the queue is full", self.retry_after(), status=429)
            )
        self._wake.set()
        left = max(0.0, request.deadline - self._clock.monotonic())
        try:
            if self._clock.wait(waiting.result, left):
                return waiting.result.get()
            raise self._too_late()
        except BaseException:
            self._abandon(waiting)
            raise

    def _abandon(self, waiting):
        """Leave the queue, or give back a slot that came at the very end."""
        self._queue.discard(waiting)
        if waiting.result.successful():
            waiting.result.value.router_credits.give_back()

    def _refuse_if_hopeless(self, request):
        if self._rate <= 0 or not len(self._queue):
            return
        expected = len(self._queue) / self._rate
        if expected > request.deadline - self._clock.monotonic():
            raise self._too_late()

    def _too_late(self):
        return OverloadedError(
            "it cannot start before its deadline", self.retry_after()
        )

    def _nothing_eligible(self):
        return RequestError(
            503,
            "No capacity",
            f"nothing that serves {self.target} may take requests now",
            step="choice",
            retry_after_s=self.retry_after(),
        )

    def _pump(self):
        progress = True
        while progress:
            progress = any(self._place(waiting) for waiting in self._queue.heads())

    def _place(self, waiting):
        """Try to give ``waiting`` a slot; return whether it has left the queue.

        The search for groups may let time pass, so the moment at which a grant must
        still hold is read after it.
        """
        request = waiting.request
        if self._clock.monotonic() >= request.deadline:
            self._queue.take(waiting)
            waiting.result.set_exception(self._too_late())
            return True
        candidates = self._candidates(request, waiting.avoid)
        if waiting.gone:
            return True
        if not candidates:
            self._queue.take(waiting)
            waiting.result.set_exception(self._nothing_eligible())
            return True
        for view in self._chooser.order(request, candidates, self.in_flight):
            key = RouterCreditsKey(view.name, view.generation, view.boot_id)
            router_credits = self._credits.setdefault(key, RouterCredits())
            if router_credits.take(view.bears, self._clock.monotonic()):
                self._queue.take(waiting)
                waiting.result.set(Slot(view, router_credits))
                return True
            if router_credits.in_use < view.bears:
                router_credits.waiting = len(self._queue)
                self._start_asking(key, router_credits)
        return False

    def _candidates(self, request, avoid):
        return [view for view in self._find(request) if view.name not in avoid]

    def _start_asking(self, key, router_credits):
        """Ask the owner in a task, once at a time and not at once after a denial."""
        denied_at = self._denied_at.get(key, -ASK_AGAIN_S)
        if key in self._asking or self._clock.monotonic() - denied_at < ASK_AGAIN_S:
            return
        self._asking.add(key)
        gevent.spawn(self._ask_owner, key, router_credits)

    def _ask_owner(self, key, router_credits):
        asked_at = self._clock.monotonic()
        want = router_credits.in_use + router_credits.waiting
        try:
            granted = self._ask(key, router_credits)
        finally:
            self._asking.discard(key)
        router_credits.waiting = min(router_credits.waiting, len(self._queue))
        grant, term_s = granted or (Grant(0, 0.0), 0.0)
        if grant.slots < want:
            self._denied_at[key] = self._clock.monotonic()
        else:
            self._denied_at.pop(key, None)
        if granted:
            router_credits.put(grant, asked_at, term_s)
            self._wake.set()

    def _count_down(self, name):
        self.in_flight[name] -= 1
        if not self.in_flight[name]:
            del self.in_flight[name]

    def _note_done(self):
        """Measure how fast the queue drains, while there is one."""
        now = self._clock.monotonic()
        if not len(self._queue):
            self._last_done = None
            return
        if self._last_done is not None:
            rate = 1 / max(now - self._last_done, 1e-3)
            self._rate = DRAIN_RATE_MEMORY * self._rate + (1 - DRAIN_RATE_MEMORY) * rate
        self._last_done = now
