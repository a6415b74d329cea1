"""The faults of one run ("troubles"), drawn at random from its seed."""

import random
from typing import NamedTuple

from .proxy import MODES

NODES = ("edge-1", "edge-2", "edge-3")
ENGINES = tuple(f"i-engine-{number}" for number in range(6))
DESKS = ("i-desk-0", "i-desk-1")
# The period in seconds in which troubles begin, and how many of them: some overlap.
TROUBLE_PERIOD_S, TROUBLE_COUNT = 12.0, 14
MAX_TROUBLE_S = 4.0
# The maximum number of nodes that are paused, killed or stopped at the same time.
MAX_NODES_DOWN = 2
# The values are described at ``StoreStandin`` and ``ModelServerStandin``.
STORE_TROUBLES = ("busy", "silent", "lost", "late")
SERVER_FAULTS = ("stall", "cut", "shed", "unsealed", "foreign", "short", "fail")
NODE_KINDS = ("kill", "pause", "term")
# How a node loses its links to all servers, as ``partitioned_node`` describes, and the
# largest number of such cuts in a run.
LINK_CUTS, MAX_LINK_CUTS = ("hang", "reset", "refuse"), 3


# Series of versions of the configuration in trouble: the store loses its newest records
# and acknowledges a version, or an older version is carried out after a newer one.
VERSION_TROUBLES, MAX_VERSION_TROUBLES = ("lost records", "late version"), 2


class Trouble(NamedTuple):
    """One injected fault: ``kind`` affects ``target`` from ``at_s`` on, for ``for_s``.

    Times are in seconds; ``at_s`` counts from the start of the troubles. ``how`` is the
    variant of the fault, for kinds that have several. The kinds "store way" and "server
    way" set the mode of the proxy before the store or a server; "history" expires the
    history of the store's topics; "links" cuts a node off from all servers.
    """

    at_s: float
    for_s: float
    kind: str
    target: str
    how: str = ""

    @property
    def until_s(self):
        """Return the time at which it ends."""
        return self.at_s + self.for_s


def draw(seed):
    """Return the troubles of a run, ordered by start time."""
    rng, troubles = random.Random(seed), []
    while len(troubles) < TROUBLE_COUNT:
        trouble = _draw_one(rng)
        if trouble.kind not in NODE_KINDS or _leaves_a_node(trouble, troubles):
            troubles.append(trouble)
    return sorted(troubles + _draw_link_cuts(seed) + _draw_version_troubles(seed))


def _draw_link_cuts(seed):
    """Return troubles of the kind "links".

    They have a generator of their own, so that seeds draw the other troubles as before.
    """
    rng = random.Random(f"links of {seed}")
    return [
        Trouble(
            rng.uniform(0.0, TROUBLE_PERIOD_S),
            rng.uniform(0.3, MAX_TROUBLE_S),
            "links",
            rng.choice(NODES),
            rng.choice(LINK_CUTS),
        )
        for _ in range(rng.randint(0, MAX_LINK_CUTS))
    ]


def _draw_version_troubles(seed):
    """Return troubles of ``VERSION_TROUBLES``, by a generator of their own as well."""
    rng = random.Random(f"versions of {seed}")
    return [
        Trouble(
            rng.uniform(0.0, TROUBLE_PERIOD_S), 0.0, rng.choice(VERSION_TROUBLES), ""
        )
        for _ in range(rng.randint(0, MAX_VERSION_TROUBLES))
    ]


def _draw_one(rng):
    at_s, for_s = rng.uniform(0.0, TROUBLE_PERIOD_S), rng.uniform(0.3, MAX_TROUBLE_S)
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


def _leaves_a_node(trouble, troubles):
    """Return whether a trouble that takes a node down may be added.

    Its node must not be down already at that time, nor too many other nodes. Troubles
    less than a second apart count as simultaneous.
    """
    overlapping = [
        other
        for other in troubles
        if other.kind in NODE_KINDS
        and other.at_s < trouble.until_s + 1.0
        and trouble.at_s < other.until_s + 1.0
    ]
    targets = {other.target for other in overlapping}
    return trouble.target not in targets and len(targets) < MAX_NODES_DOWN
