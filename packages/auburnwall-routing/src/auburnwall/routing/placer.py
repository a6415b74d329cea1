"""Gives each request a slot at a server, or refuses it with a time to retry after.

A server has a fixed number of slots, one for each request that it serves at a time.
Each node assigns slots by the load that it knows of, from its own requests and the
heartbeats of other nodes. ``dispatcher`` instead assigns slots that a group's owner has
granted.
"""

import itertools
from collections import defaultdict
from typing import NamedTuple

from gevent.event import AsyncResult

from auburnwall.base.logs import event

from .admission import Waiting
from .backlog import MAX_WAITING, Backlog
from .exceptions import OverloadedError
from .load_shedding import (
    WaitClass,
    WaitContext,
    decide_wait,
    slot_rate_per_s,
    wait_class_of,
)
from .placement import choose_candidate
from .rank_counts import NoCounts
from .return_times import ReturnTimes, has_returned
from .shortage_order import MAX_RANK, rank_of

# Time between two attempts to place waiting requests when no slot is released.
PLACE_RETRY_INTERVAL_S = 0.05
# Free slots of a service and model that late requests may not use during a shortage, so
# that the next request that can be in time finds a free slot.
SLOTS_KEPT_FREE_IN_SHORTAGE = 1
# Upper bound of the expected time to the start of a response, as a fraction of the
# objective. Without it every request would count as late on arrival as soon as the mean
# time to start exceeds the objective, although some responses still start in time.
MAX_TIME_TO_START_FRACTION = 0.7


class Placement(NamedTuple):
    """A slot taken at ``candidate``, which had ``load`` other requests.

    ``grant`` identifies a slot that a broker has granted, ``None`` for others. With
    ``is_detour``, ``candidate`` is a peer that serves the request.
    """

    candidate: object
    load: int
    grant: object = None
    is_detour: bool = False


class _EvictedError(Exception):
    """A waiting request was removed from its queue without a slot."""


class Placer:
    """Gives slots to the requests of all services, and queues them when none is free.

    ``view`` is the node's view of all candidates, and its ``data_center`` is that of
    this node. Its methods return the following. ``candidates(request)``: the candidates
    for a request. ``load(candidate)``: the known number of requests of all nodes at a
    candidate. ``must_avoid(name)``: whether a candidate must get no request now, for
    example because it is suspect. ``cold_rate(candidate)``: how many requests per
    second a server that has just started may get, ``None`` without such a limit.
    ``pause_left_s(server)``: for how long a server wants no request.
    ``limit_per_s(server)``: how many requests per second a server takes from all nodes,
    ``None`` without such a limit.
    ``expected_time_to_start_s(request)``: the mean time from sending a request to the
    start of its response. ``slot_usage(request)``: an object with the fields
    ``slots_in_use``, ``forming_groups`` and ``slot_time_s`` of a ``WaitContext``, and
    ``mean_slot_time_s``, the slot time of a request of mean work.
    ``is_ranked(request)``: whether the routes to the request's service, which has
    models, differ in priority; the order of ``shortage_order`` applies then.
    ``bounded_work(request)``: a ``BoundedWork``. ``counts`` is a ``RankCounts``.
    ``start_estimate(request, candidates)`` returns a ``StartEstimate`` if the paces of
    the candidates differ, otherwise ``None``.
    """

    def __init__(
        self,
        view,
        in_flight,
        warmup_gate,
        limit_gate,
        clock,
        rng,
        counts=None,
        start_estimate=lambda request, candidates: None,
    ):
        self._view = view
        self._in_flight = in_flight
        self._warmup_gate = warmup_gate
        self._limit_gate = limit_gate
        self._clock = clock
        self._rng = rng
        self._counts = counts or NoCounts()
        self._backlogs = defaultdict(Backlog)
        self._return_times = ReturnTimes()
        self._start_estimate = start_estimate

    def waiting_count(self):
        """Return the number of waiting requests."""
        return sum(len(backlog) for backlog in self._backlogs.values())

    def place(self, request, excluded_servers=frozenset(), resume_window_s=None):
        """Return a ``Placement``, waiting for a free slot if that is worthwhile.

        ``excluded_servers`` holds the servers that must not get the request.
        ``resume_window_s`` is how long a stream that broke off may wait, ``None`` for
        other requests. Raises ``OverloadedError`` if no slot is expected within the
        longest useful wait, if that wait ends without a slot, or if the request is
        evicted from the queue. A request that can be in time but gets no slot first
        waits once more, as a late one. A caller that came back before its return time
        does not wait.
        """
        backlog = self._backlog(request)
        wait_class = self._wait_class(request, resume_window_s)
        placement = self._place_without_waiting(
            request, excluded_servers, backlog, wait_class
        )
        if placement is None and backlog.is_ranked and request.came_early:
            raise self._overloaded_error(request, backlog, wait_class, resume_window_s)
        if placement is None:
            context = self._wait_context(request, backlog, wait_class, resume_window_s)
            placement = self._wait_for_slot(request, excluded_servers, backlog, context)
        if wait_class is WaitClass.IN_TIME:
            if placement is None:
                return self._place_late(request, excluded_servers, backlog)
            backlog.note_placed(rank_of(request))
        elif placement is None:
            raise self._overloaded_error(request, backlog, wait_class, resume_window_s)
        return placement

    def refuse(self, request):
        """Refuse a request that was given no slot: raise ``OverloadedError``."""
        backlog, wait_class = self._backlog(request), self._wait_class(request, None)
        raise self._overloaded_error(request, backlog, wait_class)

    def place_now(self, request, excluded_servers=frozenset(), resume_window_s=None):
        """Return a ``Placement`` at a slot that is free now, otherwise ``None``."""
        backlog = self._backlog(request)
        wait_class = self._wait_class(request, resume_window_s)
        placement = self._place_without_waiting(
            request, excluded_servers, backlog, wait_class
        )
        if placement is not None and wait_class is WaitClass.IN_TIME:
            backlog.note_placed(rank_of(request))
        return placement

    def search(self, request, excluded_servers=frozenset(), resume_window_s=None):
        """Return a ``Placement`` for a request that keeps its attempt, or ``None``.

        The request has a slot already, so the search costs others nothing: it is no
        miss, evicts and overtakes nobody and takes only a slot that is free now. A
        stream that has begun may wait ``resume_window_s``, before requests that have
        not.
        """
        backlog = self._backlog(request)
        has_begun = resume_window_s is not None
        wait_class = WaitClass.RESUMING if has_begun else WaitClass.LATE
        placement = self._place_without_waiting(
            request, excluded_servers, backlog, wait_class
        )
        is_full = len(backlog.queues[wait_class]) >= MAX_WAITING
        if placement is not None or not has_begun or is_full:
            return placement
        context = self._wait_context(request, backlog, wait_class, resume_window_s)
        return self._wait_for_slot(request, excluded_servers, backlog, context)

    def _place_late(self, request, excluded_servers, backlog):
        """Wait once more, as a late request, after no slot was found in time.

        Returns a placement. Raises ``OverloadedError`` if there is none.
        """
        # Taken before the miss is recorded: a shortage that begins with this miss does
        # not refuse the request itself.
        context = self._wait_context(request, backlog, WaitClass.LATE)
        missed = backlog.note_missed(rank_of(request), self._clock.monotonic())
        self._evict(missed)
        if placement := self._wait_for_slot(
            request, excluded_servers, backlog, context
        ):
            return placement
        raise self._overloaded_error(request, backlog, WaitClass.LATE)

    def _place_without_waiting(self, request, excluded_servers, backlog, wait_class):
        """Return a placement if a slot is free now, otherwise ``None``.

        A late request does not overtake any waiting request. One of another class
        takes a free slot even if others wait, but where ranks are told apart only after
        them.
        """
        if wait_class is WaitClass.LATE and len(backlog):
            return None
        if backlog.is_ranked and len(backlog):
            self._place_waiting(backlog)
        slots_kept_free = self._slots_kept_free(backlog, wait_class, request)
        placement = self._try_to_place(request, excluded_servers, slots_kept_free)
        if placement is not None:
            backlog.note_work(self._view.bounded_work(request).relative)
        return placement

    def release_slot(self, placement):
        """Release the slot of a placement and place waiting requests."""
        self._in_flight.release(placement.candidate.name)
        self.place_waiting()

    def place_waiting(self):
        """Place as many waiting requests as there are free slots for."""
        for backlog in self._backlogs.values():
            self._place_waiting(backlog)

    def _backlog(self, request):
        backlog = self._backlogs[request.service, request.model]
        backlog.set_ranked(self._view.is_ranked(request))
        return backlog

    def _place_waiting(self, backlog):
        for wait_class, queue in backlog.queues.items():
            while len(queue) and self._place_one(backlog, wait_class, queue):
                pass

    def _wait_for_slot(self, request, excluded_servers, backlog, context):
        """Wait for a slot; return a placement, or ``None`` without one.

        There is none if waiting is not worthwhile or times out, or if the request is
        evicted from the queue.
        """
        decision = decide_wait(context)
        if not decision.wait:
            return None
        now = self._clock.monotonic()
        waiting = Waiting(
            request,
            excluded_servers,
            AsyncResult(),
            queued_at=now,
            rank=rank_of(request),
            relative_work=self._view.bounded_work(request).relative,
            has_returned=backlog.is_ranked and has_returned(request),
        )
        queue = backlog.queues[context.wait_class]
        self._enqueue(queue, waiting, decision.queue_limit)
        wait_ends_at = now + decision.max_wait_s
        try:
            while not waiting.result.ready():
                remaining_s = wait_ends_at - self._clock.monotonic()
                if remaining_s <= 0:
                    return None
                if not self._clock.wait(
                    waiting.result, min(remaining_s, PLACE_RETRY_INTERVAL_S)
                ):
                    self.place_waiting()
            return waiting.result.get()
        except _EvictedError:
            return None
        except BaseException:
            # The slot may be assigned between the end of the wait and this handler.
            if waiting.result.successful():
                self.release_slot(waiting.result.value)
            raise
        finally:
            queue.remove(waiting)

    def _place_one(self, backlog, wait_class, queue):
        """Place the next request of a queue; return whether one was placed.

        If a request that avoids some servers finds no slot, the next team's request is
        tried, because it may use those servers.
        """
        unplaced_rank = MAX_RANK + 1
        for waiting in queue.next_per_team():
            if waiting.rank >= unplaced_rank:
                continue
            slots_kept_free = self._slots_kept_free(
                backlog, wait_class, waiting.request
            )
            if placement := self._try_to_place(
                waiting.request, waiting.excluded, slots_kept_free
            ):
                queue.dequeue(waiting)
                backlog.note_work(waiting.relative_work)
                waiting.result.set(placement)
                return True
            if not waiting.excluded:
                if not backlog.is_ranked or not slots_kept_free:
                    break
                # Only a more urgent band may use the slots that this one keeps free.
                unplaced_rank = min(unplaced_rank, waiting.rank)
        return False

    def _slots_kept_free(self, backlog, wait_class, request):
        """Return how many free slots a request of the class must leave free."""
        if wait_class is not WaitClass.LATE:
            return 0
        short_s = backlog.shortage_s(rank_of(request), self._clock.monotonic())
        return SLOTS_KEPT_FREE_IN_SHORTAGE if short_s > 0 else 0

    def _try_to_place(self, request, excluded_servers, slots_kept_free):
        view = self._view
        candidates = self._usable_candidates(request, excluded_servers)
        chosen = choose_candidate(
            candidates,
            view.load,
            view.data_center,
            self._rng,
            slots_kept_free,
            self._start_estimate(request, candidates),
        )
        if chosen is None:
            return None
        rate = view.cold_rate(chosen)
        if rate is not None:
            self._warmup_gate.note_sent(chosen.server, rate)
        limit_per_s = view.limit_per_s(chosen.server)
        if limit_per_s is not None:
            self._limit_gate.note_sent(chosen.server, limit_per_s)
        load = view.load(chosen)
        self._in_flight.take_slot(chosen.name)
        return Placement(chosen, load)

    def _usable_candidates(self, request, excluded_servers):
        """Return the candidates that may be sent the request now.

        Where a service has no models, suspect servers are used if there are no others:
        such a server may merely be slow, whereas a suspect group is stalled.
        """
        candidates = [
            candidate
            for candidate in self._view.candidates(request)
            if candidate.server not in excluded_servers
            and self._view.pause_left_s(candidate.server) <= 0
            and self._warmup_allows(candidate)
            and self._limit_allows(candidate)
        ]
        healthy = [c for c in candidates if not self._view.must_avoid(c.name)]
        return healthy if healthy or request.model else candidates

    def _warmup_allows(self, candidate):
        rate = self._view.cold_rate(candidate)
        return rate is None or self._warmup_gate.may_send(candidate.server, rate)

    def _limit_allows(self, candidate):
        limit_per_s = self._view.limit_per_s(candidate.server)
        return limit_per_s is None or self._limit_gate.may_send(
            candidate.server, limit_per_s
        )

    def _wait_class(self, request, resume_window_s):
        objective_left_s = request.objective_at - self._clock.monotonic()
        return wait_class_of(
            objective_left_s,
            self._expected_time_to_start_s(request),
            resume_window_s is not None,
        )

    def _expected_time_to_start_s(self, request):
        """Return the expected seconds from sending a request to its response's start.

        They are limited to ``MAX_TIME_TO_START_FRACTION`` of the objective.
        """
        max_time_to_start_s = MAX_TIME_TO_START_FRACTION * request.route.objective_s
        return min(self._view.expected_time_to_start_s(request), max_time_to_start_s)

    def _wait_context(self, request, backlog, wait_class, resume_window_s=None):
        now = self._clock.monotonic()
        usage = self._view.slot_usage(request)
        return WaitContext(
            wait_class=wait_class,
            queued_ahead=backlog.queued_ahead(wait_class, rank_of(request)),
            slots_in_use=usage.slots_in_use,
            forming_groups=usage.forming_groups,
            slot_time_s=backlog.slot_time_s(usage),
            expected_time_to_start_s=self._expected_time_to_start_s(request),
            time_left_s=request.deadline - now,
            objective_left_s=request.objective_at - now,
            short_s=backlog.shortage_s(rank_of(request), now),
            resume_window_s=resume_window_s,
            pause_s=self._shortest_pause_s(request),
            rate_per_s=self._rate_per_s(request),
        )

    def _rate_per_s(self, request):
        """Return how many requests per second this node may send to the candidates.

        ``None`` if one of them names no limit, or if there are none.
        """
        view = self._view
        limits = {
            candidate.server: view.limit_per_s(candidate.server)
            for candidate in view.candidates(request)
        }
        if not limits or None in limits.values():
            return None
        return sum(itertools.starmap(self._limit_gate.share_per_s, limits.items()))

    def _shortest_pause_s(self, request):
        """Return in how many seconds the first candidate takes requests again.

        This is 0 if any takes them now, or if there are no candidates.
        """
        pauses = [
            self._view.pause_left_s(candidate.server)
            for candidate in self._view.candidates(request)
        ]
        return min(pauses, default=0.0)

    def _overloaded_error(self, request, backlog, wait_class, resume_window_s=None):
        """Log that this node refuses a request; return the error for the caller.

        The error's text and its time to retry after come from a new decision, made
        after any wait.
        """
        context = self._wait_context(request, backlog, wait_class, resume_window_s)
        decision = decide_wait(context)
        retry_after_s = decision.retry_after_s
        rank = rank_of(request)
        if backlog.is_ranked:
            retry_after_s = self._return_times.assign(
                (request.service, request.model),
                rank,
                self._clock.monotonic(),
                context.time_left_s,
                slot_rate_per_s(context),
                context.pause_s,
            )
        self._counts.record_refusal(rank)
        event(
            "request refused",
            request=request.request_id,
            step="place",
            model=request.model,
            rank=rank,
            work_s=round(self._view.bounded_work(request).work_s, 4),
            wait_class=wait_class.name.lower(),
            waiting=len(backlog),
            short_s=round(context.short_s, 2),
            candidates=len(self._view.candidates(request)),
            why=decision.why,
            retry_after_s=round(retry_after_s, 2),
        )
        return OverloadedError(decision.why, retry_after_s)

    def _enqueue(self, queue, waiting, queue_limit):
        """Queue ``waiting``; evict requests until the queue is within its limit."""
        evicted = queue.push(waiting)
        beyond_limit = queue.evict_beyond(waiting, queue_limit)
        self._evict(filter(None, itertools.chain([evicted], beyond_limit)))

    def _evict(self, entries):
        """End the wait of entries that have left their queue."""
        for entry in entries:
            self._counts.record_eviction(rank_of(entry.request))
            entry.result.set_exception(_EvictedError())
