"""Queue requests for a model or service and assign them slots at backend servers.

A slot is the right to send one request to a group. This node gets slots as credits
from the group's owner, see ``credits``. ``placer`` assigns slots where no
owner grants them.
"""

from contextlib import contextmanager
from typing import NamedTuple

import gevent
from absl import logging
from gevent.event import AsyncResult, Event

from auburnwall.base.logs import event

from .admission import FairQueue, Waiting
from .credits import Grant, RouterCredits
from .exceptions import OverloadedError, RequestError

# Time between two passes over the queue while requests wait and no event wakes the
# task.
SCHEDULE_INTERVAL_S = 0.05
# Time after which an owner that granted less than was wanted is asked again.
CREDIT_RETRY_DELAY_S = 0.03
# Weight of the previous estimate in the moving average of the queue's drain rate.
DRAIN_RATE_SMOOTHING = 0.9
# Retry-After of refused requests as long as the drain rate is unknown.
DEFAULT_RETRY_AFTER_S = 2.0


class Slot(NamedTuple):
    """The right to send one request to a group, whose state is ``group_view``."""

    group_view: object
    router_credits: RouterCredits


def _log_choice(request, group):
    """Log why a request goes to this group, for ``auburnwall explain``."""
    event(
        "slot assigned",
        level=logging.DEBUG,
        request=request.request_id,
        step="choice",
        peer=group.name,
        why=f"in {group.data_center}, runs {group.running} of {group.max_concurrent}",
    )


class RouterCreditsKey(NamedTuple):
    """One generation of a group, until one of its members restarts.

    ``boot_id`` changes with such a restart. Credits are valid for one key only.
    """

    group: str
    generation: int
    boot_id: str


class Dispatcher:
    """Queue requests for one model or service and assign them slots.

    ``target`` is the name of the model or service. ``find_groups(request)`` returns the
    views of the groups that may take the request, and ``chooser`` puts them in order of
    preference. ``request_credits(key, router_credits)`` asks the group's owner for
    credits and returns a grant and its term in seconds, or ``None`` if the owner gives
    no grant. ``in_flight_by_group`` holds the number of this node's requests by group
    name. ``max_waiting`` requests may wait.
    """

    def __init__(
        self, target, find_groups, request_credits, chooser, clock, rng, *, max_waiting
    ):
        self.target = target
        self.in_flight_by_group = {}
        self._find_groups = find_groups
        self._request_credits = request_credits
        self._chooser = chooser
        self._clock = clock
        self._rng = rng
        self._queue = FairQueue(max_waiting)
        self._credits = {}
        self._pending_credit_requests = set()
        self._granted_less_at = {}
        self._wake = Event()
        self._drain_rate_per_s = 0.0
        self._last_completion_at = None

    @contextmanager
    def slot(self, request, excluded=frozenset()):
        """Wait for a slot at an eligible group and yield the ``Slot``.

        ``excluded`` holds the names of groups that must not get the request. The slot
        is released at the end of the block. Raises ``RequestError`` if no group is
        eligible. Raises ``OverloadedError`` with status 429 if the request is evicted
        from a full queue, and with status 503 if it cannot start by its deadline. If
        the drain rate already shows that, the error is raised without waiting.
        """
        slot = self._wait_for_slot(request, excluded)
        _log_choice(request, slot.group_view)
        self.in_flight_by_group[slot.group_view.name] = (
            self.in_flight_by_group.get(slot.group_view.name, 0) + 1
        )
        try:
            yield slot
        finally:
            slot.router_credits.release()
            self._decrement_in_flight(slot.group_view.name)
            self._update_drain_rate()
            self._wake.set()

    def run(self):
        """Assign slots to waiting requests until the task is ended."""
        while True:
            self._clock.wait(
                self._wake, SCHEDULE_INTERVAL_S if len(self._queue) else None
            )
            self._wake.clear()
            self._assign_slots()

    def renew_credits(self):
        """Renew credits that are in use or wanted; remove others once expired."""
        for key, router_credits in list(self._credits.items()):
            if router_credits.in_use or router_credits.more_wanted:
                self._start_credit_request(key, router_credits)
            elif router_credits.grant.expires_at < self._clock.monotonic():
                del self._credits[key]
                self._granted_less_at.pop(key, None)

    def waiting_count(self):
        """Return the number of waiting requests."""
        return len(self._queue)

    def retry_after_s(self):
        """Return seconds after which a refused caller should retry, with jitter.

        This is the time in which the queue is expected to drain, between 1 s and 60 s.
        """
        expected_s = DEFAULT_RETRY_AFTER_S
        if self._drain_rate_per_s > 0:
            expected_s = max(1.0, (len(self._queue) + 1) / self._drain_rate_per_s)
        return min(60.0, expected_s * self._rng.uniform(1.0, 1.5))

    def _wait_for_slot(self, request, excluded):
        if not self._candidates(request, excluded):
            raise self._no_capacity_error()
        self._raise_if_wait_too_long(request)
        waiting = Waiting(request, excluded, AsyncResult())
        evicted = self._queue.push(waiting)
        if evicted is not None:
            evicted.result.set_exception(
                OverloadedError("the queue is full", self.retry_after_s(), status=429)
            )
        self._wake.set()
        remaining_s = max(0.0, request.deadline - self._clock.monotonic())
        try:
            if self._clock.wait(waiting.result, remaining_s):
                return waiting.result.get()
            raise self._deadline_error()
        except BaseException:
            self._abandon(waiting)
            raise

    def _abandon(self, waiting):
        """Remove a request from the queue and release a slot that it got meanwhile.

        The slot may be assigned between the end of the wait and this call.
        """
        self._queue.remove(waiting)
        if waiting.result.successful():
            waiting.result.value.router_credits.release()

    def _raise_if_wait_too_long(self, request):
        if self._drain_rate_per_s <= 0 or not len(self._queue):
            return
        expected_s = len(self._queue) / self._drain_rate_per_s
        if expected_s > request.deadline - self._clock.monotonic():
            raise self._deadline_error()

    def _deadline_error(self):
        return OverloadedError(
            "it cannot start before its deadline", self.retry_after_s()
        )

    def _no_capacity_error(self):
        return RequestError(
            503,
            "No capacity",
            f"nothing that serves {self.target} may take requests now",
            step="choice",
            retry_after_s=self.retry_after_s(),
        )

    def _assign_slots(self):
        progress = True
        while progress:
            # Stops at the first success, since the order of the teams changes with it.
            progress = any(
                self._try_assign(waiting) for waiting in self._queue.next_per_team()
            )

    def _try_assign(self, waiting):
        """Try to assign a slot to ``waiting``; return whether it has left the queue.

        The search for groups may block. The clock is read again after it, so that no
        slot of a grant that expired meanwhile is used.
        """
        request = waiting.request
        if self._clock.monotonic() >= request.deadline:
            self._queue.dequeue(waiting)
            waiting.result.set_exception(self._deadline_error())
            return True
        candidates = self._candidates(request, waiting.excluded)
        if waiting.left_queue:
            return True
        if not candidates:
            self._queue.dequeue(waiting)
            waiting.result.set_exception(self._no_capacity_error())
            return True
        for group_view in self._chooser.order(
            request, candidates, self.in_flight_by_group
        ):
            key = RouterCreditsKey(
                group_view.name, group_view.generation, group_view.boot_id
            )
            router_credits = self._credits.setdefault(key, RouterCredits())
            if router_credits.take(group_view.max_concurrent, self._clock.monotonic()):
                self._queue.dequeue(waiting)
                waiting.result.set(Slot(group_view, router_credits))
                return True
            if router_credits.in_use < group_view.max_concurrent:
                # An upper bound: some waiting requests may be unable to use this group.
                router_credits.more_wanted = len(self._queue)
                self._start_credit_request(key, router_credits)
        return False

    def _candidates(self, request, excluded):
        return [
            group_view
            for group_view in self._find_groups(request)
            if group_view.name not in excluded
        ]

    def _start_credit_request(self, key, router_credits):
        """Ask the owner for credits in a new task.

        One request per key is in flight at a time, and none is sent for
        ``CREDIT_RETRY_DELAY_S`` after the owner granted less than was wanted.
        """
        granted_less_at = self._granted_less_at.get(key, -CREDIT_RETRY_DELAY_S)
        if (
            key in self._pending_credit_requests
            or self._clock.monotonic() - granted_less_at < CREDIT_RETRY_DELAY_S
        ):
            return
        self._pending_credit_requests.add(key)
        gevent.spawn(self._update_credits, key, router_credits)

    def _update_credits(self, key, router_credits):
        asked_at = self._clock.monotonic()
        want = router_credits.in_use + router_credits.more_wanted
        try:
            granted = self._request_credits(key, router_credits)
        finally:
            self._pending_credit_requests.discard(key)
        router_credits.more_wanted = min(router_credits.more_wanted, len(self._queue))
        grant, term_s = granted or (Grant(0, 0.0), 0.0)
        if grant.slots < want:
            self._granted_less_at[key] = self._clock.monotonic()
        else:
            self._granted_less_at.pop(key, None)
        if granted:
            router_credits.set_grant(grant, asked_at, term_s)
            self._wake.set()

    def _decrement_in_flight(self, name):
        self.in_flight_by_group[name] -= 1
        if not self.in_flight_by_group[name]:
            del self.in_flight_by_group[name]

    def _update_drain_rate(self):
        """Update the drain rate from the time since the last completion.

        Only completions with requests waiting count: an empty queue says nothing of
        how fast a full one drains.
        """
        now = self._clock.monotonic()
        if not len(self._queue):
            self._last_completion_at = None
            return
        if self._last_completion_at is not None:
            rate_per_s = 1 / max(now - self._last_completion_at, 1e-3)
            self._drain_rate_per_s = (
                DRAIN_RATE_SMOOTHING * self._drain_rate_per_s
                + (1 - DRAIN_RATE_SMOOTHING) * rate_per_s
            )
        self._last_completion_at = now
