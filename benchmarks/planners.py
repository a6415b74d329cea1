"""Group downtime and idle accelerators over a simulated day of failures.

Single VMs of the 60 fail at random times, and one fabric domain fails for an hour. The
planner under test makes the decisions, and the state accepts or rejects them as log
records. Everything else is simulated: a VM with the model's weights in its cache is
ready sooner than one that must fetch them. "Stranded" is the time of working VMs that
serve in no group while a group is missing.
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
FAILURES_PER_DAY = 40
VM_OUTAGE_S = 1_800.0
DETECTION_S = 5.0
FETCH_AND_LOAD_S = 240.0
CACHED_LOAD_S = 40.0
DOMAIN_OUTAGE_S = 3_600.0
DATA_CENTERS = ("north", "south", "pta")
DOMAINS_PER_CENTER = 2
VMS_PER_DOMAIN = 10
GROUP_MEMBERS = 3
RECORD_KINDS = {
    RepairGroup: "group_repair",
    DrainGroup: "group_drain",
    DropGroup: "group_drop",
}

# Planner, and whether spare VMs preload the weights.
VARIANTS = (
    ("first-fit", False),
    ("best-fit", False),
    ("first-fit", True),
    ("best-fit", True),
)


class DaySimulation:
    """One simulated day with one planner."""

    def __init__(self, planner, target_groups, preload):
        self._preload = preload
        # Data centre -> VM that preloads there, and the start of the preload.
        self._preloads = {}
        self._planner = PLANNERS[planner]()
        self._rng = random.Random(SEED)
        self._state = State()
        self._seq = 0
        self._offset = -1
        # VM -> start and end of its last outage.
        self._outages = {}
        self._loaded_at = {}
        self._cached_vms = set()
        self._vms = {
            f"{center}-{domain}-{number}": (center, f"{center}-{domain}")
            for center in DATA_CENTERS
            for domain in range(DOMAINS_PER_CENTER)
            for number in range(VMS_PER_DOMAIN)
        }
        self._target_groups = target_groups
        self.downtime_s = 0.0
        self.idle_vm_s = 0.0
        self._write_setup(target_groups)

    def run(self):
        """Simulate the day and return the simulation."""
        failures = sorted(
            (self._rng.uniform(600, DAY_S), self._rng.choice(sorted(self._vms)))
            for _ in range(FAILURES_PER_DAY)
        )
        domain_outage_at = DAY_S / 2
        now = 0.0
        while now < DAY_S:
            while failures and failures[0][0] <= now:
                self._fail_vm(failures.pop(0)[1], now, VM_OUTAGE_S)
            if now <= domain_outage_at < now + STEP_S:
                for vm, (_, domain) in self._vms.items():
                    if domain == "north-0":
                        self._fail_vm(vm, now, DOMAIN_OUTAGE_S)
            self._run_planner(now)
            if self._preload:
                self._preload_spares(now)
            # The initial loading of the groups doesn't count as downtime.
            if now >= 600:
                self._add_shortage(now)
            now += STEP_S
        return self

    def _write_setup(self, target_groups):
        config = {
            "data_centers": {center: {"state": "in"} for center in DATA_CENTERS},
            "models": {"m": {"version": "1"}},
            "groups": {"g": {"members": GROUP_MEMBERS}},
            "selectors": {"s": {"model": "m", "group": "g", "count": target_groups}},
        }
        patch = [{"op": "add", "path": "", "value": config}]
        self._write("config", {"base": -1, "patch": patch})
        for center in DATA_CENTERS:
            lease = {"name": f"steward/{center}", "holder": "n", "incarnation": "i"}
            self._write("lease_take", {**lease, "after": -1})

    def _write(self, kind, body):
        self._seq += 1
        self._offset += 1
        record = LogRecord(self._offset, 0, envelope(kind, "w", self._seq, body))
        return fold(self._state, record)

    def _fail_vm(self, vm, now, outage_s):
        self._outages[vm] = (now, now + outage_s)
        self._loaded_at.pop(vm, None)
        self._cached_vms.discard(vm)

    def _is_up(self, vm, now):
        failed_at, until = self._outages.get(vm, (0.0, 0.0))
        return not failed_at <= now < until

    def _run_planner(self, now):
        for action in self._planner.plan(self._view(now)):
            fence = self._state.leases[f"steward/{action.data_center}"].fence
            body = {"fence": fence, "cause": action.cause}
            if isinstance(action, FormGroup):
                body |= {
                    "group": f"g{self._offset}",
                    "selector": "s",
                    "data_center": action.data_center,
                    "members": self._member_rows(action.vms),
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
                    body["members"] = self._member_rows(action.vms)
            verdict = self._write(kind, body)
            if verdict.accepted and kind in ("group_form", "group_repair"):
                self._start_load(action.vms, now)

    def _start_load(self, vms, now):
        for vm in vms:
            load_s = CACHED_LOAD_S if vm in self._cached_vms else FETCH_AND_LOAD_S
            self._loaded_at[vm] = now + load_s
            self._cached_vms.add(vm)

    def _preload_spares(self, now):
        """Preload the weights on free VMs, one VM at a time in each data centre."""
        for center in DATA_CENTERS:
            uncached = [
                vm
                for vm, (vm_center, _) in self._vms.items()
                if vm_center == center
                and vm not in self._cached_vms
                and vm not in self._state.group_of_vm
                and self._is_up(vm, now)
            ]
            candidate = uncached[0] if uncached else None
            preload = self._preloads.get(center)
            if preload is None or preload[0] != candidate:
                self._preloads[center] = (candidate, now)
            elif candidate and now - preload[1] >= FETCH_AND_LOAD_S:
                self._cached_vms.add(candidate)

    def _member_rows(self, vms):
        return [{"vm": vm, "address": f"{vm}:1"} for vm in vms]

    def _view(self, now):
        vms = {}
        for vm, (center, domain) in self._vms.items():
            up = self._is_up(vm, now)
            dead = not up and now - self._outages[vm][0] >= DETECTION_S
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
                "1" if vm in self._cached_vms else "",
            )
        return FleetView(now, self._state, vms, frozenset())

    def _is_serving(self, group, now):
        return all(
            self._is_up(vm, now) and self._loaded_at.get(vm, DAY_S * 2) <= now
            for vm in group.vms
        )

    def _add_shortage(self, now):
        serving = [g for g in self._state.groups.values() if self._is_serving(g, now)]
        missing_groups = max(0, self._target_groups - len(serving))
        self.downtime_s += missing_groups * STEP_S
        if missing_groups:
            busy = {vm for g in serving for vm in g.vms}
            idle = [v for v in self._vms if v not in busy and self._is_up(v, now)]
            self.idle_vm_s += len(idle) * STEP_S


def main():
    """Return the rows of the report, from few spare VMs to many."""
    return [
        {
            "planner": name + (", spares preloaded" if preload else ""),
            "groups wanted": count,
            "spare VMs": len(DATA_CENTERS) * DOMAINS_PER_CENTER * VMS_PER_DOMAIN
            - count * GROUP_MEMBERS,
            "group downtime, group hours": round(simulation.downtime_s / 3_600, 2),
            "stranded, VM hours": round(simulation.idle_vm_s / 3_600, 2),
        }
        for count in (18, 16, 14)
        for name, preload in VARIANTS
        for simulation in [DaySimulation(name, count, preload).run()]
    ]
