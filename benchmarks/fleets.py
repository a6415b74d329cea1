"""Builds fleet states, evidence and planner views of a given size for benchmarks."""

from auburnwall.base.clock import SystemClock
from auburnwall.fleet.engines.base import READY, EngineReport
from auburnwall.fleet.evidence import Evidence
from auburnwall.fleet.planner.base import FleetView, VmView
from auburnwall.state.fold import Group, Node, State

CENTERS = 15
GROUP_VMS = 8
DOMAIN_VMS = 32


def config(servers, group_vms=GROUP_VMS, centers=CENTERS):
    """Return a configuration whose selector wants nine tenths of the servers."""
    return {
        "data_centers": {f"dc-{n}": {"state": "in"} for n in range(centers)},
        "vms": {"vm-*": {"labels": {"pool": "chat"}}},
        "models": {"m": {"version": "1"}},
        "groups": {"g": {"members": group_vms}},
        "selectors": {
            "s": {
                "model": "m",
                "group": "g",
                "count": servers * 9 // (10 * group_vms),
                "where": {"pool": "chat"},
            }
        },
        "teams": {"t": {"keys": []}},
    }


def vm_rows(servers, centers=CENTERS):
    """Return a (name, data centre, fabric domain) tuple for each VM."""
    return [
        (
            f"vm-{n}",
            f"dc-{n % centers}",
            f"f-{n % centers}-{n // centers // DOMAIN_VMS}",
        )
        for n in range(servers)
    ]


def state(servers, nodes=7, group_vms=GROUP_VMS):
    """Return a state whose VMs form as many groups as fit into each fabric domain."""
    result = State()
    result.config = config(servers, group_vms)
    result.config_offset = 0
    for n in range(nodes):
        name = f"node-{n}"
        result.nodes[name] = Node(
            name, f"incarnation-{n}", "10.0.0.1:80", "10.0.0.1:81", f"dc-{n % 15}", n
        )
    by_domain = {}
    for vm, center, domain in vm_rows(servers):
        by_domain.setdefault((center, domain), []).append(vm)
    for (center, _), vms in by_domain.items():
        for start in range(0, len(vms) - group_vms + 1, group_vms):
            members = tuple(
                {"vm": vm, "address": "10.0.0.1:9000"}
                for vm in vms[start : start + group_vms]
            )
            result.put_group(
                Group(f"g-{vms[start]}", "s", "m", "1", center, members, 5, 3)
            )
    return result


def evidence(fleet_state):
    """Return fresh evidence that all members of all groups are ready."""
    clock = SystemClock()
    result = Evidence("node-0", "incarnation-0", clock, fresh_s=3600.0)
    for group in fleet_state.groups.values():
        report = EngineReport("boot", READY, group.generation, "1", 1, 8, 3)
        for vm in group.vms:
            result.own_results.record_probe(vm, clock.monotonic(), report)
    return result


def view(fleet_state, servers):
    """Return the planner's view of a fleet in which all VMs are alive."""
    vms = {
        vm: VmView(
            vm,
            "10.0.0.1:9000",
            center,
            domain,
            {"pool": "chat"},
            True,
            False,
            False,
            fleet_state.group_of_vm.get(vm, ""),
            "1",
        )
        for vm, center, domain in vm_rows(servers)
    }
    return FleetView(1_800_000_000.0, fleet_state, vms, frozenset(fleet_state.groups))
