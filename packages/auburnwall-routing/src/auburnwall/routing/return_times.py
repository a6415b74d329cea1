"""Return times: how long a refused caller is asked to wait before it comes back.

Load pattern: many callers are refused within a second. If all are told the same time,
they come back together and most of them are refused again. Here each gets the time of a
slot that is expected to become free, so that they come back one after the other, and
urgent requests get the earliest ones. All times are in seconds.
"""

import math
from collections import Counter, OrderedDict, defaultdict
from typing import NamedTuple

from .load_shedding import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_FRACTION,
)

# Time for which the expected slots are counted together.
INTERVAL_S = 0.1
# Models for which expected slots are kept; the least recently used one is dropped.
MAX_MODELS = 64
# Refused callers that a node remembers; the longest remembered is dropped. At 1,000
# refusals per second this is longer than the longest return time.
MAX_REFUSED_CALLERS = 4096
# Largest difference between the deadlines that two calls of one caller state. It covers
# the time on the network and a late event loop.
DEADLINE_TOLERANCE_S = 0.15
# Time by which a caller may come back early, for the resolution of its timer.
EARLY_TOLERANCE_S = 0.05
# Fractional part of the golden ratio: its multiples are spread evenly over an interval.
SPREAD = 0.618


def has_returned(request):
    """Return whether a caller was refused before and has come back on time.

    No return time is shorter than ``MIN_RETRY_AFTER_S``.
    """
    return request.elapsed_s >= MIN_RETRY_AFTER_S and not request.came_early


class ReturnTimes:
    """Assigns the slots that are expected to become free to refused callers.

    A slot that is assigned to a caller is not taken for certain, as new requests may
    use it first; it only spreads the callers. Memory is bounded: ``MAX_MODELS`` models,
    for each the intervals up to the longest return time.
    """

    def __init__(self):
        self._schedules = OrderedDict()

    def assign(self, key, rank, now, time_left_s, slots_per_s, pause_s=0.0):
        """Return in how many seconds a caller may come back.

        ``key`` identifies a service and model. ``time_left_s`` remains until the
        caller's deadline. ``slots_per_s`` become free, ``None`` if it is not known.
        All servers want no request for ``pause_s``.

        The time is at most a third of the time left and ``MAX_RETRY_AFTER_S``, but not
        less than ``MIN_RETRY_AFTER_S`` and ``pause_s``.
        """
        earliest_s = max(MIN_RETRY_AFTER_S, pause_s)
        latest_s = min(MAX_RETRY_AFTER_S, RETRY_AFTER_FRACTION * time_left_s)
        if latest_s <= earliest_s:
            return earliest_s
        schedule = self._schedules.setdefault(key, _Schedule())
        self._schedules.move_to_end(key)
        if len(self._schedules) > MAX_MODELS:
            self._schedules.popitem(last=False)
        return_at = schedule.assign(
            rank, now, now + earliest_s, now + latest_s, slots_per_s or 0.0
        )
        return min(latest_s, max(earliest_s, return_at - now))


class _Schedule:
    """Callers of one model that are expected, by interval and rank."""

    def __init__(self):
        self._expected = defaultdict(Counter)

    def assign(self, rank, now, earliest, latest, slots_per_s):
        """Return the time for a caller, which counts as expected from then on.

        Callers of less urgent ranks do not count for its choice. If all slots are
        assigned, it gets the interval with the fewest callers.
        """
        current = math.floor(now / INTERVAL_S)
        for interval in [i for i in self._expected if i < current]:
            del self._expected[interval]
        first, last = (math.floor(time / INTERVAL_S) for time in (earliest, latest))
        intervals = range(first, max(first + 1, last))
        chosen = self._first_free(rank, intervals, slots_per_s * INTERVAL_S)
        if chosen is None:
            chosen = min(intervals, key=lambda i: (self._count(i), i))
        position = SPREAD * self._count(chosen) % 1.0
        self._expected[chosen][rank] += 1
        return (chosen + position) * INTERVAL_S

    def _first_free(self, rank, intervals, slots):
        """Return the first interval by whose end a slot is left, ``None`` without."""
        free = 0.0
        for interval in intervals:
            free += slots - self._count(interval, rank)
            if free >= 1.0:
                return interval
        return None

    def _count(self, interval, max_rank=math.inf):
        counts = self._expected.get(interval, {})
        return sum(count for rank, count in counts.items() if rank <= max_rank)


class RefusedCaller(NamedTuple):
    """When a caller last called and first called, and when it was told to come back."""

    arrived_at: float
    called_at: float
    deadline: float
    return_at: float


class RefusedCallers:
    """The callers that this node has refused lately.

    A caller is recognised by the fingerprint of its request and by its deadline, which
    calls of different callers hardly share. A call that repeats a refused one is no new
    request: its objective counts from the first call. If it comes before its time, it
    does not go before others and is not told an earlier time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._callers = OrderedDict()

    def recognise(self, request):
        """Return a ``RoutedRequest`` with the time since the caller's first call."""
        caller = self._find(request)
        if caller is None:
            return request
        arrived_at = request.call.arrived_at
        return request._replace(
            elapsed_s=max(request.elapsed_s, arrived_at - caller.called_at),
            # A further attempt of the call that was refused is no further call.
            came_early=caller.arrived_at
            < arrived_at
            < caller.return_at - EARLY_TOLERANCE_S,
        )

    def note_refused(self, request, retry_after_s):
        """Return the return time for a request that is refused, in seconds."""
        if not request.fingerprint:
            return retry_after_s
        now = self._clock.monotonic()
        caller = self._find(request)
        if caller is not None:
            retry_after_s = max(retry_after_s, caller.return_at - now)
        self._callers[request.fingerprint] = RefusedCaller(
            request.call.arrived_at,
            request.call.arrived_at - request.elapsed_s,
            request.deadline,
            now + retry_after_s,
        )
        self._callers.move_to_end(request.fingerprint)
        if len(self._callers) > MAX_REFUSED_CALLERS:
            self._callers.popitem(last=False)
        return retry_after_s

    def __len__(self):
        return len(self._callers)

    def _find(self, request):
        caller = self._callers.get(request.fingerprint)
        if caller is None:
            return None
        is_same = abs(caller.deadline - request.deadline) <= DEADLINE_TOLERANCE_S
        return caller if is_same else None
