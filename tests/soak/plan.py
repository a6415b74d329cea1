"""What goes wrong in one run, drawn from its seed."""

import random
from typing import NamedTuple

from .proxy import MODES

NODES = ("edge-1", "edge-2", "edge-3")
ENGINES = tuple(f"i-engine-{number}" for number in range(6))
DESKS = ("i-desk-0", "i-desk-1")
# Time with troubles and the number of them: they come in series and overlap.
TROUBLED_S, TROUBLES = 12.0, 14
LONGEST_S = 4.0
# At most so many nodes are paused, killed or stopped at a time.
MAX_NODES_DOWN = 2
STORE_TROUBLES = ("busy", "silent", "lost", "late")
SERVER_FAULTS = ("stall", "cut", "shed", "unsealed", "foreign", "short", "fail")
NODE_KINDS = ("kill", "pause", "term")


class Trouble(NamedTuple):
    """``kind`` happens to ``target`` ``at_s`` after the start, for ``for_s``."""

    at_s: float
    for_s: float
    kind: str
    target: str
    how: str = ""

    @property
    def until_s(self):
        """Return when it is over."""
        return self.at_s + self.for_s


def draw(seed):
    """Return the troubles of a run in their order."""
    rng, troubles = random.Random(seed), []
    while len(troubles) < TROUBLES:
        trouble = _one(rng)
        if trouble.kind not in NODE_KINDS or _is_bearable(trouble, troubles):
            troubles.append(trouble)
    return sorted(troubles)


def _one(rng):
    at_s, for_s = rng.uniform(0.0, TROUBLED_S), rng.uniform(0.3, LONGEST_S)
    kind = rng.choice(
        ("kill", "pause", "term", "hup", "store", "store way", "history")
        + ("server", "server way", "server fault") * 2
    )
    if kind in (*NODE_KINDS, "hup"):
        return Trouble(at_s, for_s, kind, rng.choice(NODES))
    if kind == "store":
        return Trouble(at_s, for_s, kind, "", rng.choice(STORE_TROUBLES))
    if kind == "store way":
        return Trouble(at_s, for_s, kind, rng.choice(NODES), rng.choice(MODES[1:]))
    if kind == "history":
        return Trouble(at_s, 0.0, kind, "")
    target = rng.choice(ENGINES + DESKS)
    if kind == "server way":
        return Trouble(at_s, for_s, kind, target, rng.choice(MODES[1:]))
    if kind == "server fault":
        return Trouble(at_s, for_s, kind, target, rng.choice(SERVER_FAULTS))
    return Trouble(at_s, for_s, kind, target)


def _is_bearable(trouble, troubles):
    """Return whether a node is left, and the node is not in such trouble already."""
    beside = [
        other
        for other in troubles
        if other.kind in NODE_KINDS
        and other.at_s < trouble.until_s + 1.0
        and trouble.at_s < other.until_s + 1.0
    ]
    targets = {other.target for other in beside}
    return trouble.target not in targets and len(targets) < MAX_NODES_DOWN
