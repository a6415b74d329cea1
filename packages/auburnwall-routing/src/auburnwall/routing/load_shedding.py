"""Whether a request that finds no place waits for one or is refused at once.

Load pattern: more requests than the groups that are left can serve, for many seconds.
If they are served in their order, each one waits until its objective has passed, and
all of them are late. So what can still be in time goes first, the newest before the
older, and only as many wait as can begin in time; what is late in any case gets the
places that are left over, and learns at once when there are none.
"""

from collections import deque
from enum import IntEnum
from typing import NamedTuple

# A request waits if it is predicted to begin within this part of what is left until
# its objective once the server's own time to begin is taken off.
WORTH_WAITING = 0.8
# Where groups are forming, requests wait for them this long at most, in seconds: the
# time that a group takes from hosts that have its model.
FORMING_WAIT_S = 1.5
# A request whose objective has passed waits this long at most, in seconds, and no more
# than this part of the time that its caller has left, so that it can still come back.
LATE_WAIT_S, LATE_SHARE = 1.0, 0.25
# What a refused caller is told at least and at most, in seconds: what is full now is
# filled by requests that come meanwhile for about as long as one is served; callers
# have to be served within some seconds.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 1.0, 3.0
# Where all places are taken, a caller is told to come back after this part of the time
# that it has left: bursts have passed more often than after a second, and there is
# enough time left to be served.
RETURN_SHARE = 1 / 3
# Places are short if of the last so many requests of a node that could be in time so
# many missed their objective: at nine tenths of the load one in ten does.
OUTCOMES, MANY_MISSES = 12, 4
# Time without such a request after which places are no longer short, in seconds.
SHORTAGE_S = 1.0
# A shortage that has only just begun has lasted this long, in seconds.
MOMENT_S = 0.001


class WaitClass(IntEnum):
    """Classes of waiting requests, in the order in which places are given to them."""

    # Streams that have begun and broke off.
    RESUMING = 0
    # Requests that can still be answered within their objective.
    IN_TIME = 1
    # Requests whose answer will be late.
    LATE = 2


class WaitContext(NamedTuple):
    """What is known when a request finds no place.

    ``ahead`` requests are given places before it; ``serving`` places are this node's
    part of those in use, each taken for ``service_s``; ``forming`` groups are not open
    yet. A server takes ``start_s`` until its answer begins. Places have been short for
    ``short_s``. ``patience_s`` is how long a stream that broke off may look for another
    server. All times are in seconds.
    """

    wait_class: WaitClass
    ahead: int
    serving: float
    forming: int
    service_s: float
    start_s: float
    left_s: float
    objective_s: float
    short_s: float = 0.0
    patience_s: float | None = None


class Shortage:
    """Whether places are short: many requests miss their objective for want of one.

    One that misses it now and then is no shortage.
    """

    def __init__(self):
        self._missed = deque(maxlen=OUTCOMES)
        self._missed_at = None
        self._since = None

    def note_placed(self):
        """Note a request that could be in time and was given a place."""
        self._missed.append(False)

    def note_missed(self, now):
        """Note a request that could have been in time and found no place."""
        if not self.lasted(now):
            self._since = now
        self._missed.append(True)
        self._missed_at = now

    def lasted(self, now):
        """Return for how many seconds places have been short, 0 if they are not."""
        if sum(self._missed) < MANY_MISSES or now - self._missed_at > SHORTAGE_S:
            return 0.0
        return max(now - self._since, MOMENT_S)


class WaitDecision(NamedTuple):
    """Wait for ``wait_s`` at most, or come back after ``retry_after_s``.

    As many as ``room`` may wait at once, the newest of them.
    """

    wait: bool
    wait_s: float
    room: int
    retry_after_s: float
    why: str


def wait_class_of(objective_s, start_s, resumes):
    """Return the ``WaitClass`` of a request whose objective is ``objective_s`` away."""
    if resumes:
        return WaitClass.RESUMING
    return WaitClass.IN_TIME if objective_s > start_s else WaitClass.LATE


def decide_wait(context):
    """Return the ``WaitDecision`` on a request that finds no place."""
    expected_s, why = _next_place(context)
    wait_s = max(0.0, min(_limit(context), context.left_s))
    refused = _must_not_wait(context)
    if refused:
        why = f"late, and places have been short for {context.short_s:.2f} s"
    return WaitDecision(
        expected_s <= wait_s and not refused,
        wait_s,
        _room(context, wait_s),
        _retry_after(context, expected_s),
        why,
    )


def _retry_after(context, expected_s):
    """Return when a refused caller has the best chance, in seconds."""
    return_s = RETURN_SHARE * context.left_s if context.serving > 0 else 0.0
    best_s = max(MIN_RETRY_AFTER_S, expected_s, context.short_s, return_s)
    return min(MAX_RETRY_AFTER_S, best_s)


def _must_not_wait(context):
    """Return whether a late request is refused since places are short."""
    return (
        context.wait_class is WaitClass.LATE
        and context.short_s > 0
        and context.serving > 0
    )


def _next_place(context):
    """Return when a place is expected, in seconds, and what that rests on."""
    if context.serving > 0:
        expected_s = (context.ahead + 1) * context.service_s / context.serving
        return expected_s, f"{context.ahead} go first, a place in {expected_s:.2f} s"
    if context.forming:
        return FORMING_WAIT_S, f"no group serves, {context.forming} are forming"
    return 2 * FORMING_WAIT_S, "nothing serves it and nothing is forming"


def _limit(context):
    """Return how long it is worth while to wait, in seconds."""
    if context.wait_class is WaitClass.RESUMING:
        return context.patience_s
    if context.serving <= 0 and context.forming:
        return FORMING_WAIT_S
    if context.wait_class is WaitClass.IN_TIME:
        return WORTH_WAITING * (context.objective_s - context.start_s)
    return min(LATE_WAIT_S, LATE_SHARE * context.left_s)


def _room(context, wait_s):
    """Return how many may wait so that each of them has a chance of a place."""
    if context.serving <= 0 or context.wait_class is not WaitClass.IN_TIME:
        return 2**31
    return max(1, int(wait_s * context.serving / context.service_s))
