"""Replay a load on the planning functions with virtual time, without a network.

Only what the functions see is kept: servers with the models on them, groups with the
time at which they are ready, and the demand as nodes measure it. There is no queue and
no request; what is compared is how many groups of a model serve.

``python -m tests.fleet.capacity_replay`` prints the groups that are missing in each
load, with the part and without it.
"""

import random
from itertools import count
from typing import NamedTuple

from auburnwall.fleet.formation.assembly import FreeServer, assemble
from auburnwall.fleet.formation.demand_forecast import DemandForecast
from auburnwall.fleet.formation.loads import LoadAllowance
from auburnwall.fleet.formation.model_order import (
    LOW_COVERAGE,
    CoverageOrder,
    UrgencyOrder,
)
from auburnwall.fleet.formation.shifting import ShiftableGroup, find_shift
from auburnwall.fleet.formation.staging import HostView, choose_staging
from auburnwall.node.routed.demand import DECAY_PER_S
from auburnwall.routing.routes import ModelSpec

TICK_S = 0.15
# Time from the end of a group until its servers are free, and from the loss of a server
# until the planner knows of it, in seconds.
DRAIN_S, DETECTION_S = 1.0, 1.0
# Time until a lost server is back, without weights, in seconds.
REPLACED_S = 10.0
LOADS_PER_S, MAX_CONCURRENT_LOADS, RESERVED_LOADS = 14.0, 20, 6


class Deployment(NamedTuple):
    """Models, the demand of each in groups, and the servers of a fleet."""

    models: dict
    demand: dict
    ranks: dict
    domain_size: int
    servers: int = 162


def deployment(members, load_s, warm_s, demand, ranks, domain_size):
    """Return a ``Deployment`` with the models ``big`` and ``small``."""
    models = {
        name: ModelSpec(name, count, 1.0, 0.5, load, warm)
        for name, count, load, warm in zip(
            ("big", "small"), members, load_s, warm_s, strict=True
        )
    }
    return Deployment(models, demand, ranks, domain_size)


# The two fleets of docs/design/hard-load.md, with demands of which a jump of 2.5 times
# needs most servers.
EIGHTEEN = deployment(
    (8, 2),
    (16, 12),
    (1.6, 1.1),
    {"big": 6.0, "small": 12.0},
    {"big": 1, "small": 0},
    18,
)
TWENTY_SEVEN = deployment(
    (12, 6),
    (16, 12),
    (1.6, 1.1),
    {"big": 3.0, "small": 5.0},
    {"big": 1, "small": 1},
    27,
)
# With this demand there are too few servers for a jump of either model.
SCARCE_EIGHTEEN = EIGHTEEN._replace(demand={"big": 8.0, "small": 14.0})


def steady(model, now):
    """Return the factor of a demand without a jump."""
    return 1.0


def jump(model, factor=2.5, begins_at=10.0, lasts=8.0):
    """Return the factor of a demand with a jump for one model."""

    def factor_at(name, now):
        is_jump = name == model and begins_at <= now < begins_at + lasts
        return factor if is_jump else 1.0

    return factor_at


class Server:
    """A server; ``staged`` is the one model on its host beside that of its group."""

    def __init__(self, name, domain):
        self.name, self.domain = name, domain
        self.model, self.staged, self.group = "", "", None
        self.loading, self.ready_at, self.free_at = "", 0.0, 0.0

    def as_free(self, model, reserved=""):
        staged = (self.staged,) if self.staged else ()
        return FreeServer(
            self.name, 1, "", self.domain, "norte", model, staged, reserved
        )


class Group(NamedTuple):
    """A group that forms or serves from ``ready_at`` on."""

    name: str
    model: str
    servers: tuple
    ready_at: float
    loads: int


class Replay:
    """A fleet whose groups are planned every ``TICK_S``.

    With ``ahead`` the part is on. ``factor(model, t)`` is the demand at the time ``t``
    relative to the usual one. If ``losses`` is set, the two servers of a pair are lost
    every ``losses`` seconds from 10 s on, together with their group.

    ``missing`` is how many groups fewer than the demand served, in group-seconds by
    model. ``followed_at`` is when enough groups first served for a model at a factor.
    ``bad_endings`` are groups that were ended while their model had too few, and
    ``bad_formations`` groups of too few servers, of several domains or of busy servers.
    """

    def __init__(self, deployment, ahead, factor, *, losses=0.0, seed=1):
        self.deployment, self.ahead, self.factor = deployment, ahead, factor
        self.losses, self.rng = losses, random.Random(seed)
        self.models = deployment.models
        self.now, self.names = 0.0, count()
        self.servers = {}
        for number in range(deployment.servers):
            name = f"s{number:03}"
            domain = f"d{number // deployment.domain_size}"
            self.servers[name] = Server(name, domain)
        self.lost = {}
        self.groups, self.shifts = {}, []
        self.allowance = LoadAllowance()
        self.forecast = DemandForecast(0.0)
        self.mean = dict(deployment.demand)
        self.newest = dict(deployment.demand)
        self.second = dict.fromkeys(self.models, 0.0)
        self.missing = dict.fromkeys(self.models, 0.0)
        self.followed_at = {}
        self.bad_endings, self.bad_formations = [], []
        self._start()

    def _start(self):
        """Form the first groups; each host stages a model that it does not serve."""
        free = [server.as_free("") for server in self.servers.values()]
        demand = {name: 1.3 * work for name, work in self.deployment.demand.items()}
        for formation in assemble(free, self.models, {}, demand, 10**6):
            self._form(formation, at_start=True)
        for server in self.servers.values():
            others = [name for name in self.models if name != server.model]
            server.staged = "big" if not server.model else others[0]

    def run(self, seconds):
        """Replay this time; return the groups missing, in group-seconds by model."""
        ticks = round(seconds / TICK_S)
        for _ in range(ticks):
            self._measure()
            self._lose_pair()
            self._return_servers()
            self._plan()
            self.now += TICK_S
        return {name: round(value, 1) for name, value in self.missing.items()}

    def serving(self, model):
        """Return the number of groups of a model that serve now."""
        return sum(
            group.model == model and group.ready_at <= self.now
            for group in self.groups.values()
        )

    def _demand(self, model):
        return self.deployment.demand[model] * self.factor(model, self.now)

    def _measure(self):
        whole_second = int(self.now) != int(self.now - TICK_S)
        for model in self.models:
            short = max(0.0, self._demand(model) - self.serving(model))
            self.missing[model] += short * TICK_S
            factor = self.factor(model, self.now)
            if not short:
                self.followed_at.setdefault((model, factor), self.now)
            if whole_second and self.now:
                self.newest[model] = self.second[model]
                self.mean[model] = (
                    DECAY_PER_S * self.mean[model]
                    + (1 - DECAY_PER_S) * self.second[model]
                )
                self.second[model] = 0.0
            self.second[model] += self._demand(model) * TICK_S

    def _lose_pair(self):
        if not self.losses or self.now < 10.0:
            return
        if int(self.now / self.losses) == int((self.now - TICK_S) / self.losses):
            return
        # Two servers of one group, more often of a large one.
        in_groups = [s for s in self.servers.values() if s.group in self.groups]
        group = self.groups[self.rng.choice(in_groups).group]
        lost = self.rng.sample(group.servers, 2)
        self._end(group, free_at=self.now + DETECTION_S)
        for name in lost:
            old = self.servers.pop(name)
            self.lost[name] = (self.now + REPLACED_S, old.domain)

    def _return_servers(self):
        for name, (at, domain) in list(self.lost.items()):
            if at <= self.now:
                self.servers[name] = Server(name, domain)
                del self.lost[name]
        for server in self.servers.values():
            if server.loading and server.ready_at <= self.now:
                server.staged, server.loading = server.loading, ""

    def _end(self, group, free_at):
        del self.groups[group.name]
        for name in group.servers:
            server = self.servers[name]
            server.group, server.free_at = None, free_at

    def _counts(self, exclude_loading=False):
        counts = {}
        for group in self.groups.values():
            if not (exclude_loading and group.loads and group.ready_at > self.now):
                key = group.model, "norte"
                counts[key] = counts.get(key, 0) + 1
        return counts

    def _order(self, demand):
        if not self.ahead:
            return CoverageOrder(self.models, demand)
        return UrgencyOrder(self.models, demand, self.deployment.ranks)

    def _plan(self):
        work = dict.fromkeys(self.models, 0.02) if self.ahead else None
        demand = self.forecast.update(self.now, self.mean, self.newest, work)
        order, counts = self._order(demand), self._counts()
        self.shifts = [s for s in self.shifts if s.until > self.now]
        reserved = {name: s.model for s in self.shifts for name in s.servers}
        free = [
            server.as_free(server.model, reserved.get(server.name, ""))
            for server in self.servers.values()
            if server.group is None and server.free_at <= self.now
        ]
        left = self._loads_left()
        found = assemble(free, self.models, counts, demand, left, True, order)
        if all(formation.loads for formation in found):
            self._shift(free, order)
        taken = {name for shift in self.shifts for name in shift.servers}
        for formation in found:
            members = {member.server for member in formation.members}
            if not formation.loads or not members & taken:
                self._form(formation)
        self._stage(order)

    def _shift(self, free, order):
        counts = self._counts(exclude_loading=True)
        for shift in self.shifts:
            key = shift.model, ""
            counts[key] = counts.get(key, 0) + 1
        shiftable = [
            ShiftableGroup(
                group.name,
                group.model,
                tuple(
                    self.servers[name].as_free(group.model) for name in group.servers
                ),
            )
            for group in self.groups.values()
        ]
        shift = find_shift(shiftable, free, self.models, counts, order.demand, order)
        if not shift.groups:
            return
        for name in shift.groups:
            group = self.groups[name]
            self._end(group, self.now + DRAIN_S)
            if order.coverage(group.model, self._counts(True)) < LOW_COVERAGE:
                self.bad_endings.append((round(self.now, 2), group))
        self.shifts.append(shift._replace(until=self.now + 15.0))

    def _form(self, formation, at_start=False):
        model = self.models[formation.model]
        members = tuple(member.server for member in formation.members)
        domains = {member.domain for member in formation.members}
        are_free = all(self.servers[name].group is None for name in members)
        if len(set(members)) != model.members or len(domains) != 1 or not are_free:
            self.bad_formations.append(formation)
        ready_at = self.now if at_start else self.now + formation.ready_s
        name = f"g{next(self.names)}"
        loads = 0 if at_start else formation.loads
        self.groups[name] = Group(name, model.name, members, ready_at, loads)
        self.allowance.record_loads(loads, model.load_s, self.now)
        for server in map(self.servers.get, members):
            server.group, server.loading = name, ""
            server.staged = (
                server.model if server.model != model.name else server.staged
            )
            server.model = model.name
        fulfilled = [shift for shift in self.shifts if shift.model == model.name][:1]
        self.shifts = [shift for shift in self.shifts if shift not in fulfilled]

    def _loads_left(self):
        largest = max(model.members for model in self.models.values())
        return self.allowance.available_loads(
            LOADS_PER_S, MAX_CONCURRENT_LOADS, largest, self.now
        )

    def _stage(self, order):
        hosts = [
            HostView(
                server.name,
                server.domain,
                server.model,
                (server.staged,) if server.staged else (),
                server.model if server.group else "",
                available=not server.loading,
            )
            for server in self.servers.values()
        ]
        left = self._loads_left() - RESERVED_LOADS
        scarcest = order.scarcest(self._counts())
        for name, model in choose_staging(hosts, self.models, left, False, scarcest):
            load_s = self.models[model].load_s
            self.allowance.record_loads(1, load_s, self.now)
            server = self.servers[name]
            server.loading, server.ready_at = model, self.now + load_s


LOADS = (
    ("18, jump small", EIGHTEEN, jump("small"), 0.0),
    ("18, jump big", EIGHTEEN, jump("big"), 0.0),
    ("18 scarce, jump small", SCARCE_EIGHTEEN, jump("small"), 0.0),
    ("18 scarce, jump big", SCARCE_EIGHTEEN, jump("big"), 0.0),
    ("27, jump small", TWENTY_SEVEN, jump("small"), 0.0),
    ("27, jump big", TWENTY_SEVEN, jump("big"), 0.0),
    ("18, losses", EIGHTEEN, steady, 3.0),
    ("18, losses, jump small", EIGHTEEN, jump("small", begins_at=30.0), 3.0),
    ("18, losses, jump big", EIGHTEEN, jump("big", begins_at=30.0), 3.0),
    ("27, losses", TWENTY_SEVEN, steady, 3.0),
    ("27, losses, jump small", TWENTY_SEVEN, jump("small", begins_at=30.0), 3.0),
    ("27, losses, jump big", TWENTY_SEVEN, jump("big", begins_at=30.0), 3.0),
)


def main(seeds=20):
    """Print a row for each load: mean missing group-seconds without and with it."""
    print("| load | big without | big with | small without | small with |")
    print("| --- | --- | --- | --- | --- |")
    for name, fleet, factor, losses in LOADS:
        cells = {"big": [], "small": []}
        runs = range(seeds if losses else 1)
        for ahead in (False, True):
            replays = [
                Replay(fleet, ahead, factor, losses=losses, seed=seed) for seed in runs
            ]
            missing = [replay.run(54.0 if losses else 30.0) for replay in replays]
            for model, row in cells.items():
                row.append(f"{sum(m[model] for m in missing) / len(missing):.1f}")
        print(f"| {name} | {' | '.join(cells['big'] + cells['small'])} |", flush=True)


if __name__ == "__main__":
    main()
