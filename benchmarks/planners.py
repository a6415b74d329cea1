"""A day of failures for 60 servers: group downtime and stranded accelerators.

Decisions are the planner's, judged by the fold; the rest is arithmetic: a VM with the
model's weights is ready sooner than one that must fetch them.
"""

import random

from auburnwall.fleet.planner.backends import PLANNERS
from auburnwall.fleet.planner.base import (
    DrainGroup,
    DropGroup,
    FleetView,
    FormGroup,
    RepairGroup,
    VmView,
)
from auburnwall.state.fold import State, fold
from auburnwall.state.log.base import LogRecord
from auburnwall.state.records import envelope

SEED = 11
DAY_S = 86_400
STEP_S = 5.0
DEATHS_A_DAY = 40
BACK_AFTER_S = 1_800.0
DETECT_S = 5.0
COLD_LOAD_S = 240.0
WARM_LOAD_S = 40.0
DARK_FOR_S = 3_600.0
CENTERS = ("north", "south", "pta")
DOMAINS = 2
PER_DOMAIN = 10
MEMBERS = 3
KINDS = {
    RepairGroup: "group_repair",
    DrainGroup: "group_drain",
    DropGroup: "group_drop",
}

WAYS = (
    ("first-fit", False),
    ("best-fit", False),
    ("first-fit", True),
    ("best-fit", True),
)


class Day:
    """One day under one planner."""

    def __init__(self, planner, count, preload):
        self._preload = preload
        self._free_since = {}
        self._planner = PLANNERS[planner]()
        self._rng = random.Random(SEED)
        self._state = State()
        self._seq = 0
        self._offset = -1
        self._down_until = {}
        self._loaded_from = {}
        self._warm = set()
        self._vms = {
            f"{center}-{domain}-{number}": (center, f"{center}-{domain}")
            for center in CENTERS
            for domain in range(DOMAINS)
            for number in range(PER_DOMAIN)
        }
        self._wanted = count
        self.downtime_s = 0.0
        self.stranded_s = 0.0
        self._begin(count)

    def run(self):
        """Let the day pass."""
        deaths = sorted(
            (self._rng.uniform(600, DAY_S), self._rng.choice(sorted(self._vms)))
            for _ in range(DEATHS_A_DAY)
        )
        dark_at = DAY_S / 2
        now = 0.0
        while now < DAY_S:
            while deaths and deaths[0][0] <= now:
                self._die(deaths.pop(0)[1], now, BACK_AFTER_S)
            if now <= dark_at < now + STEP_S:
                for vm, (_, domain) in self._vms.items():
                    if domain == "north-0":
                        self._die(vm, now, DARK_FOR_S)
            self._plan(now)
            if self._preload:
                self._warm_spares(now)
            if now >= 600:
                self._count(now)
            now += STEP_S
        return self

    def _begin(self, count):
        config = {
            "data_centers": {center: {"state": "in"} for center in CENTERS},
            "models": {"m": {"version": "1"}},
            "groups": {"g": {"members": MEMBERS}},
            "selectors": {"s": {"model": "m", "group": "g", "count": count}},
        }
        patch = [{"op": "add", "path": "", "value": config}]
        self._write("config", {"base": -1, "patch": patch})
        for center in CENTERS:
            lease = {"name": f"steward/{center}", "holder": "n", "incarnation": "i"}
            self._write("lease_take", {**lease, "after": -1})

    def _write(self, kind, body):
        self._seq += 1
        self._offset += 1
        record = LogRecord(self._offset, 0, envelope(kind, "w", self._seq, body))
        return fold(self._state, record)

    def _die(self, vm, now, seconds):
        self._down_until[vm] = (now, now + seconds)
        self._loaded_from.pop(vm, None)
        self._warm.discard(vm)

    def _is_up(self, vm, now):
        died_at, until = self._down_until.get(vm, (0.0, 0.0))
        return not died_at <= now < until

    def _plan(self, now):
        for action in self._planner.plan(self._view(now)):
            fence = self._state.leases[f"steward/{action.data_center}"].fence
            body = {"fence": fence, "cause": action.cause}
            if isinstance(action, FormGroup):
                body |= {
                    "group": f"g{self._offset}",
                    "selector": "s",
                    "data_center": action.data_center,
                    "members": self._members(action.vms),
                }
                kind = "group_form"
            else:
                group = self._state.groups[action.group]
                body |= {"group": group.name, "generation": group.generation}
                kind = {
                    RepairGroup: "group_repair",
                    DrainGroup: "group_drain",
                    DropGroup: "group_drop",
                }[type(action)]
                if isinstance(action, RepairGroup):
                    body["members"] = self._members(action.vms)
            verdict = self._write(kind, body)
            if verdict.accepted and kind in ("group_form", "group_repair"):
                self._load(action.vms, now)

    def _load(self, vms, now):
        for vm in vms:
            took_s = WARM_LOAD_S if vm in self._warm else COLD_LOAD_S
            self._loaded_from[vm] = now + took_s
            self._warm.add(vm)

    def _warm_spares(self, now):
        """Let free VMs fetch the weights, one after the other in a data centre."""
        for center in CENTERS:
            cold = [
                vm
                for vm, (home, _) in self._vms.items()
                if home == center
                and vm not in self._warm
                and vm not in self._state.group_of_vm
                and self._is_up(vm, now)
            ]
            first = cold[0] if cold else None
            began = self._free_since.get(center)
            if began is None or began[0] != first:
                self._free_since[center] = (first, now)
            elif first and now - began[1] >= COLD_LOAD_S:
                self._warm.add(first)

    def _members(self, vms):
        return [{"vm": vm, "address": f"{vm}:1"} for vm in vms]

    def _view(self, now):
        vms = {}
        for vm, (center, domain) in self._vms.items():
            up = self._is_up(vm, now)
            dead = not up and now - self._down_until[vm][0] >= DETECT_S
            vms[vm] = VmView(
                vm,
                f"{vm}:1",
                center,
                domain,
                {},
                up,
                dead,
                False,
                self._state.group_of_vm.get(vm, ""),
                "1" if vm in self._warm else "",
            )
        return FleetView(now, self._state, vms, frozenset())

    def _serves(self, group, now):
        return all(
            self._is_up(vm, now) and self._loaded_from.get(vm, DAY_S * 2) <= now
            for vm in group.vms
        )

    def _count(self, now):
        serving = [g for g in self._state.groups.values() if self._serves(g, now)]
        short = max(0, self._wanted - len(serving))
        self.downtime_s += short * STEP_S
        if short:
            busy = {vm for g in serving for vm in g.vms}
            idle = [v for v in self._vms if v not in busy and self._is_up(v, now)]
            self.stranded_s += len(idle) * STEP_S


def main():
    """Return the rows of the report: with few free VMs and with more."""
    return [
        {
            "planner": name + (", spares preloaded" if preload else ""),
            "groups wanted": count,
            "spare VMs": len(CENTERS) * DOMAINS * PER_DOMAIN - count * MEMBERS,
            "group downtime, group hours": round(day.downtime_s / 3_600, 2),
            "stranded, VM hours": round(day.stranded_s / 3_600, 2),
        }
        for count in (18, 16, 14)
        for name, preload in WAYS
        for day in [Day(name, count, preload).run()]
    ]
