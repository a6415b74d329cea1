"""Service while a data centre leaves at peak and returns, second by second.

Twelve servers in two data centres, a third of what they bear is asked. The baseline
sends to the nearest group with no limit; a server that gets more than it bears falls
over. The share of requests answered right, and the first token, count for each second.
"""

import contextlib
import io
from collections import defaultdict
from contextlib import ExitStack
from unittest import mock

from auburnwall.routing.choice import TwoChoices
from auburnwall.routing.credits import Grant, Ledger, RouterCredits
from tests.faults.world import World, base_config

SEED = 7
PER_S = 40
FROM_S, OUT_S, IN_S, UNTIL_S, END_S = 20.0, 30.0, 50.0, 80.0, 95.0
FIRST_TOKEN_S = 1.5


def _config(config):
    config = base_config()
    config["selectors"]["chat"]["count"] = 6
    return config


def _nearest(self, request, candidates, in_flight):
    return sorted(candidates, key=lambda view: view.data_center != self._data_center)


def _unlimited(self, bears, now):
    self.in_use += 1
    return True


BASELINE = [
    mock.patch.object(TwoChoices, "order", _nearest),
    mock.patch.object(Ledger, "request", lambda *args: Grant(10_000, 1e12, 1, "")),
    mock.patch.object(RouterCredits, "take", _unlimited),
]


def run(patches):
    """Return the figures of one way."""
    with ExitStack() as stack:
        stack.enter_context(contextlib.redirect_stderr(io.StringIO()))
        for patch in patches:
            stack.enter_context(patch)
        world = World(SEED, vms_per_center=6)
        stack.callback(world.close)
        world.falls_over = True
        world.later(2.0, world.change_config, _config)
        world.later(FROM_S, _load, world)
        world.later(OUT_S, world.set_center, "west", "out")
        world.later(IN_S, world.set_center, "west", "in")
        began = world.time.now
        world.run(END_S)
        return _figures(world, began)


def _load(world):
    ends_at = world.time.now + UNTIL_S - FROM_S
    while world.time.now < ends_at:
        world.spawn(world.ask_completion, world.entry_nodes()[0])
        world.time.after(1 / PER_S).wait()


def _figures(world, began):
    seconds = defaultdict(list)
    for o in world.outcomes:
        seconds[int(o.asked_at - began)].append(o.right)
    shares = [sum(right) / len(right) for right in seconds.values()]
    first = sorted(
        world.first_at[o.request_id] - o.asked_at for o in world.outcomes if o.right
    )
    return {
        "requests": len(world.outcomes),
        "answered right": f"{sum(o.right for o in world.outcomes)}",
        "seconds with a failure": sum(share < 1 for share in shares),
        "worst second": f"{min(shares):.0%}",
        "servers that fell over": len(world.fallen),
        "first token p95 ms": round(first[int(len(first) * 0.95)] * 1000),
    }


def main():
    """Return the rows of the report."""
    return [
        {"way": "nearest first, no limits", **run(BASELINE)},
        {"way": "two choices, credits", **run([])},
    ]
