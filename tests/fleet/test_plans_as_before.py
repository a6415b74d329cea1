"""Plans of deployments without planning ahead, compared with those of build c5c6fb8.

Random fleets, demands and hosts; the plans were recorded with the build before the
order of models could vary. A difference changes how existing deployments are planned.
"""

import hashlib
import random
import unittest

from auburnwall.fleet.formation.assembly import FreeServer, assemble
from auburnwall.fleet.formation.shifting import ShiftableGroup, find_shift
from auburnwall.fleet.formation.staging import HostView, choose_staging
from auburnwall.routing.routes import ModelSpec

MODELS = {
    "big": ModelSpec("big", 4, 1.0, 0.5, 16.0, 1.6),
    "middle": ModelSpec("middle", 3, 0.8, 0.3, 14.0, 1.3),
    "small": ModelSpec("small", 2, 0.6, 0.2, 12.0, 1.1),
}
NAMES = ("", *MODELS)
FLEETS = 400
# Digests of these plans.
RECORDED = {
    "assemble": "435f08c9c36a075d",
    "find_shift": "64ab606262cd8acc",
    "choose_staging": "19ef1bbea99276af",
}


class RandomFleet:
    """Random arguments of the planning functions."""

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        names = list(MODELS)[: rng.choice((2, 3))]
        self.models = {name: MODELS[name] for name in names}
        self.demand = {name: rng.randint(0, 120) / 10 for name in names}
        self.counts = {
            (name, data_center): rng.randint(0, 12)
            for name in names
            for data_center in ("norte", "sur")
        }
        self.free = [self.server(f"f{n}") for n in range(rng.randint(0, 24))]
        self.shiftable = []
        for number in range(rng.randint(0, 12)):
            model = rng.choice(names)
            domain = f"d{rng.randint(0, 3)}"
            servers = tuple(
                self.server(f"g{number}-{n}", domain, model)
                for n in range(self.models[model].members)
            )
            self.shiftable.append(ShiftableGroup(f"g{number}", model, servers))
        self.hosts = [
            HostView(
                f"h{n}",
                f"d{rng.randint(0, 3)}",
                rng.choice(NAMES),
                self.staged(),
                rng.choice(("", "", *names)),
                rng.random() < 0.8,
            )
            for n in range(rng.randint(0, 24))
        ]
        self.max_loads = rng.randint(-2, 24)
        self.flag = rng.random() < 0.8

    def staged(self):
        name = self.rng.choice(NAMES)
        return (name,) if name else ()

    def server(self, name, domain="", model=""):
        domain = domain or f"d{self.rng.randint(0, 3)}"
        return FreeServer(
            name,
            1,
            "127.0.0.1:1",
            domain,
            "norte" if domain in ("d0", "d1") else "sur",
            model or self.rng.choice(NAMES),
            self.staged(),
            self.rng.choice(("", "", "", *MODELS)),
        )


def plans(function):
    """Return the plans that a planning function makes for all random fleets."""
    for seed in range(FLEETS):
        fleet = RandomFleet(seed)
        if function is assemble:
            args = fleet.free, fleet.models, fleet.counts, fleet.demand
            found = function(*args, fleet.max_loads, fleet.flag)
            yield [(f.model, [m.server for m in f.members], f.loads) for f in found]
        elif function is find_shift:
            args = fleet.shiftable, fleet.free, fleet.models, fleet.counts
            yield tuple(function(*args, fleet.demand))
        else:
            yield function(fleet.hosts, fleet.models, fleet.max_loads, not fleet.flag)


class PlansAsBeforeTests(unittest.TestCase):
    def test_plans_equal_those_of_the_build_before(self):
        for function in (assemble, find_shift, choose_staging):
            with self.subTest(function=function.__name__):
                made = list(plans(function))
                self.assertGreater(sum(map(bool, map(any, made))), FLEETS // 10)
                digest = hashlib.sha256(repr(made).encode()).hexdigest()[:16]
                self.assertEqual(digest, RECORDED[function.__name__])


if __name__ == "__main__":
    unittest.main()
