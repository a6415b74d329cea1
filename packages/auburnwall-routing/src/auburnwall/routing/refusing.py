"""Whether a request that finds no place waits for one or is refused at once.

Load pattern: more requests than the groups that are left can serve. One that waits
too long is served late and makes those behind it late as well, so only as many wait
as can still begin in time; the others learn at once when to come back.
"""

from typing import NamedTuple

# A request waits if it is predicted to begin within this part of what is left until
# its objective.
WORTH_WAITING = 0.8
# Where groups are forming, requests wait for them this long at most, in seconds: the
# time that a group takes from hosts that have its model.
FORMING_WAIT_S = 1.5
# A request whose objective has passed waits this long at most, in seconds, and no more
# than this part of the time that its caller has left, so that it can still come back.
LATE_WAIT_S, LATE_SHARE = 1.0, 0.25
# What a refused caller is told at least, in seconds: what is full now is filled by
# requests that come meanwhile for about as long as one is served.
LEAST_RETRY_AFTER_S = 1.0


class Outlook(NamedTuple):
    """What is known when a request finds no place.

    ``waiting`` requests are before it; ``serving`` places are in use by this node, each
    taken for ``service_s``; ``forming`` groups are on their way. ``patience_s`` is how
    long a stream that broke off may look for another server, ``None`` for a request
    that has not begun.
    """

    waiting: int
    serving: float
    forming: int
    service_s: float
    left_s: float
    objective_s: float
    patience_s: float | None = None


class Verdict(NamedTuple):
    """Wait for ``wait_s`` at most, or come back after ``retry_after_s``."""

    wait: bool
    wait_s: float
    retry_after_s: float
    why: str


def judge(outlook):
    """Return the ``Verdict`` on a request that finds no place."""
    if outlook.serving > 0:
        expected_s = (outlook.waiting + 1) * outlook.service_s / outlook.serving
        why = f"{outlook.waiting} wait, a place is expected in {expected_s:.2f} s"
    elif outlook.forming:
        expected_s = FORMING_WAIT_S
        why = f"no group serves, {outlook.forming} are forming"
    else:
        expected_s = 2 * FORMING_WAIT_S
        why = "nothing serves it and nothing is forming"
    wait_s = max(0.0, min(_limit(outlook), outlook.left_s))
    return Verdict(
        expected_s <= wait_s, wait_s, max(LEAST_RETRY_AFTER_S, expected_s), why
    )


def _limit(outlook):
    """Return how long it is worth while to wait, in seconds."""
    if outlook.patience_s is not None:
        return outlook.patience_s
    if outlook.serving <= 0 and outlook.forming:
        return FORMING_WAIT_S
    in_time_s = WORTH_WAITING * outlook.objective_s
    late_s = min(LATE_WAIT_S, LATE_SHARE * outlook.left_s)
    return in_time_s if outlook.objective_s > 0 else late_s
