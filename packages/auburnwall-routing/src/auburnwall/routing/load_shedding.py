"""Load shedding: whether a request without a free slot is queued or refused.

Traffic pattern: for many seconds more requests arrive than the groups can serve, for
example after some of them have been lost. In first-in, first-out order each request
would wait until its objective has passed, and every response would be late. Requests
that can still meet their objective therefore go first, the newest before the older
ones, and only as many are queued as can start in time. Requests that will be late in
any case get the slots that are left. They may wait for one briefly, but are refused
immediately while slots are scarce.
"""

import math
from collections import deque
from enum import IntEnum
from typing import NamedTuple

# Longest time in the queue of a request that can be in time, as a fraction of its spare
# time: the time left until the objective minus the time that a server is expected to
# take to start the response.
MAX_WAIT_FRACTION = 0.8
# Longest wait for groups that are forming: the time that a group takes to form from
# VMs that have the model in memory.
FORMING_WAIT_S = 1.5
# Longest wait of a request whose objective has passed, in seconds and as a fraction of
# the time left until the caller's deadline. The rest is left for the caller to retry.
LATE_WAIT_S, LATE_WAIT_FRACTION = 1.0, 0.25
# Bounds of the time after which a refused caller is told to retry, in seconds. Minimum:
# for about one service time new requests take the slots as they are released, so an
# earlier retry would fail too. Maximum: callers have to be served within a few seconds.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 1.0, 3.0
# Fraction of the caller's remaining time after which it retries, if any slots are in
# use: a burst is more likely to be over by then than after MIN_RETRY_AFTER_S, and there
# is still time left to be served.
RETRY_AFTER_FRACTION = 1 / 3
# Slots are scarce when at least SHORTAGE_MIN_MISSES of the last SHORTAGE_SAMPLE_SIZE
# requests that could have been in time got no slot in time. At 90% load one in ten
# gets none.
SHORTAGE_SAMPLE_SIZE, SHORTAGE_MIN_MISSES = 12, 4
# Time without a miss after which a shortage is over.
SHORTAGE_EXPIRY_S = 1.0
# Duration reported for a shortage that has just begun, because 0 means none.
MIN_SHORTAGE_S = 0.001


class WaitClass(IntEnum):
    """Classes of waiting requests, in the order in which they are given slots."""

    # Streams that broke off after they had begun.
    RESUMING = 0
    # Requests that can still be answered within their objective.
    IN_TIME = 1
    # Requests whose response will miss the objective.
    LATE = 2


class WaitContext(NamedTuple):
    """What is known when a request finds no free slot.

    ``queued_ahead`` requests are given slots before it. ``slots_in_use`` is this node's
    share of the slots in use, each of which is held for ``slot_time_s``.
    ``forming_groups`` groups are not open yet. The time from sending the request to the
    start of the response is ``expected_time_to_start_s``. ``time_left_s`` remains until
    the caller's deadline and ``objective_left_s`` until the objective. Slots have been
    scarce for ``short_s``, which is 0 if they are not. ``resume_window_s`` is how long
    a stream that broke off may wait for another server, ``None`` for other requests.
    All servers want no request for ``pause_s``, 0 if any takes one. This node may send
    them ``rate_per_s`` requests per second, ``None`` if any names no limit. All times
    are in seconds.
    """

    wait_class: WaitClass
    queued_ahead: int
    slots_in_use: float
    forming_groups: int
    slot_time_s: float
    expected_time_to_start_s: float
    time_left_s: float
    objective_left_s: float
    short_s: float = 0.0
    resume_window_s: float | None = None
    pause_s: float = 0.0
    rate_per_s: float | None = None


class ShortageDetector:
    """Detects a shortage: many requests that could be in time get no slot in time.

    An occasional miss is no shortage.
    """

    def __init__(self):
        self._misses = deque(maxlen=SHORTAGE_SAMPLE_SIZE)
        self._last_miss_at = None
        self._since = None

    def note_placed(self):
        """Record a request that could be in time and was given a slot."""
        self._misses.append(False)

    def note_missed(self, now):
        """Record a request that could have been in time and found no slot."""
        if not self.duration_s(now):
            self._since = now
        self._misses.append(True)
        self._last_miss_at = now

    def duration_s(self, now):
        """Return for how many seconds slots have been scarce, 0 if they are not."""
        if (
            sum(self._misses) < SHORTAGE_MIN_MISSES
            or now - self._last_miss_at > SHORTAGE_EXPIRY_S
        ):
            return 0.0
        return max(now - self._since, MIN_SHORTAGE_S)


class WaitDecision(NamedTuple):
    """Whether a request waits for a slot.

    If ``wait`` is true, it waits for ``max_wait_s`` at most. Otherwise it is refused,
    and the caller is told to retry after ``retry_after_s``. Up to ``queue_limit``
    requests of the class may wait; beyond that, the oldest request of the team with
    the most waiting ones is evicted. ``why`` explains a refusal to the caller.
    """

    wait: bool
    max_wait_s: float
    queue_limit: int
    retry_after_s: float
    why: str


def wait_class_of(objective_left_s, expected_time_to_start_s, is_resuming):
    """Return the ``WaitClass`` of a request.

    It is ``IN_TIME`` if the response is expected to start before the objective.
    ``is_resuming`` is true for a stream that broke off.
    """
    if is_resuming:
        return WaitClass.RESUMING
    return (
        WaitClass.IN_TIME
        if objective_left_s > expected_time_to_start_s
        else WaitClass.LATE
    )


def decide_wait(context):
    """Return the ``WaitDecision`` on a request that finds no free slot."""
    expected_s, why = _expected_wait(context)
    max_wait_s = max(0.0, min(_wait_limit_s(context), context.time_left_s))
    late_in_shortage = _is_late_in_shortage(context)
    if late_in_shortage:
        why = f"late, and places have been short for {context.short_s:.2f} s"
    if context.wait_class is WaitClass.RESUMING:
        is_worthwhile = max_wait_s > 0 and not _is_hopeless(context, max_wait_s)
    else:
        is_worthwhile = expected_s <= max_wait_s and not late_in_shortage
    return WaitDecision(
        is_worthwhile,
        max_wait_s,
        _queue_limit(context, max_wait_s),
        _retry_after_s(context, expected_s),
        why,
    )


def _retry_after_s(context, expected_s):
    """Return in how many seconds the caller should retry.

    This is the longest of the shortest sensible delay, the expected wait for a slot,
    the time for which slots have been scarce and a fraction of the caller's time, up
    to ``MAX_RETRY_AFTER_S``, but no shorter than the pause that all servers want.
    """
    deadline_based_s = (
        RETRY_AFTER_FRACTION * context.time_left_s if context.slots_in_use > 0 else 0.0
    )
    delay_s = max(MIN_RETRY_AFTER_S, expected_s, context.short_s, deadline_based_s)
    return max(context.pause_s, min(MAX_RETRY_AFTER_S, delay_s))


def _is_hopeless(context, max_wait_s):
    """Return whether it is known that no server takes a request within the wait.

    An estimate of the wait is enough to refuse what has not begun, but not to end a
    stream that has: its caller has no other way to the rest of it.
    """
    return context.pause_s > max_wait_s or slot_rate_per_s(context) == 0


def _is_late_in_shortage(context):
    """Return whether the request is refused because it is late and slots are scarce."""
    return (
        context.wait_class is WaitClass.LATE
        and context.short_s > 0
        and context.slots_in_use > 0
    )


def _expected_wait(context):
    """Return in how many seconds a slot is expected, and the reason as a text."""
    if context.pause_s > 0:
        return context.pause_s, f"every server wants a pause of {context.pause_s:.2f} s"
    slots_per_s = slot_rate_per_s(context)
    if slots_per_s == 0:
        return math.inf, "the limits of all servers leave nothing for this node"
    if slots_per_s is not None:
        expected_s = (context.queued_ahead + 1) / slots_per_s
        why = f"{context.queued_ahead} go first, a place in {expected_s:.2f} s"
        if slots_per_s == context.rate_per_s:
            why += f", the limits of all servers leave {slots_per_s:.2f} a second"
        return expected_s, why
    if context.forming_groups:
        return FORMING_WAIT_S, f"no group serves, {context.forming_groups} are forming"
    # There is nothing to derive a time from. This is longer than most requests may
    # wait, so that they are refused.
    return 2 * FORMING_WAIT_S, "nothing serves it and nothing is forming"


def slot_rate_per_s(context):
    """Return how many slots per second become free for this node's requests.

    ``None`` if it is not known.
    """
    rates = [context.rate_per_s] if context.rate_per_s is not None else []
    if context.slots_in_use > 0:
        rates.append(context.slots_in_use / context.slot_time_s)
    return min(rates, default=None)


def _wait_limit_s(context):
    """Return the longest useful wait in seconds.

    ``decide_wait`` limits it to the time left until the caller's deadline.
    """
    if context.wait_class is WaitClass.RESUMING:
        return context.resume_window_s
    if context.slots_in_use <= 0 and context.forming_groups:
        return FORMING_WAIT_S
    if context.wait_class is WaitClass.IN_TIME:
        return MAX_WAIT_FRACTION * (
            context.objective_left_s - context.expected_time_to_start_s
        )
    return min(LATE_WAIT_S, LATE_WAIT_FRACTION * context.time_left_s)


def _queue_limit(context, max_wait_s):
    """Return how many requests may wait so that each of them has a chance of a slot."""
    slots_per_s = slot_rate_per_s(context)
    if slots_per_s is None or context.wait_class is not WaitClass.IN_TIME:
        # No limit for the class; the queue's own size is the limit.
        return 2**31
    return max(1, int(max_wait_s * slots_per_s))
