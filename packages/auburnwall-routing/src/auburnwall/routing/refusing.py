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
# What a refused caller is told at least, in seconds.
LEAST_RETRY_AFTER_S = 0.3


class Outlook(NamedTuple):
    """What is known when a request finds no place.

    ``waiting`` requests are before it; ``serving`` are places in use by this node and
    by its share of the rest, each taken for ``service_s``; ``forming`` groups are on
    their way.
    """

    waiting: int
    serving: float
    forming: int
    service_s: float
    left_s: float
    objective_s: float


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
        why = (
            f"{outlook.waiting} wait, the next place is expected in {expected_s:.2f} s"
        )
    elif outlook.forming:
        expected_s = FORMING_WAIT_S
        why = f"no group serves, {outlook.forming} are forming"
    else:
        expected_s = 2 * FORMING_WAIT_S
        why = "nothing serves it and nothing is forming"
    retry_after_s = max(LEAST_RETRY_AFTER_S, expected_s)
    in_time = expected_s <= WORTH_WAITING * outlook.objective_s
    limit_s = outlook.objective_s if outlook.serving > 0 else FORMING_WAIT_S
    wait_s = min(limit_s, outlook.left_s)
    worth = wait_s > 0 and (in_time or (outlook.forming > 0 and outlook.serving <= 0))
    return Verdict(worth, max(0.0, wait_s), retry_after_s, why)
