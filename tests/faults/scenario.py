"""The scenario that every cell of the fault matrix runs, and the faults."""

import contextlib
import io
from typing import NamedTuple

from .callers import COMPLETION_TOKENS
from .promises import violations
from .world import CENTERS, SimulatedCluster, SimulatedNode, base_config

# Times are in seconds of virtual time from the start of the run. Faults that end by a
# timer last this long, except pauses.
FAULT_DURATION_S = 7.0
LOAD_START_S = 8.0
LOAD_END_S = 70.0
# From here on all faults have ended and every request must be served.
HEALTHY_FROM_S = 62.0
END_S = 84.0
COMPLETION_INTERVAL_S = 0.08
# Number of completions per booking, per booking that is sent to two nodes at the same
# time (in place of one that is sent once), and per long completion.
REQUESTS_PER_BOOKING = 6
REQUESTS_PER_CONCURRENT_BOOKING = 30
REQUESTS_PER_LONG_COMPLETION = 12
LONG_COMPLETION_TOKENS = 120

# The steps of requests and control actions at which a fault can be injected. The names
# are those that the fakes report. The value is a time in seconds: the fault is injected
# when a node next reaches the step after it. The last three steps are not reported; for
# them the fault is injected at that time, just before the scheduled event.
STEPS = {
    "call credits": 10.0,
    "connect": 10.0,
    "token": 10.0,
    "call claim": 10.0,
    "append claims": 10.0,
    "appended claims": 10.0,
    "desk received": 10.0,
    "desk booked": 10.0,
    "append node_join": 0.0,
    "append lease_take": 0.0,
    "appended lease_take": 0.0,
    "append lease_renew": 10.0,
    "append group_form": 0.0,
    "appended group_form": 0.0,
    "order load": 0.0,
    "ordered load": 0.0,
    "append group_repair": 10.0,
    "appended group_repair": 10.0,
    "append group_drain": 10.0,
    "append group_drop": 10.0,
    "order idle": 10.0,
    "append node_leave": 10.0,
    "centre out": 20.0,
    "centre back": 30.0,
    "node drain": 38.0,
}


class Fault(NamedTuple):
    """A fault; ``inject`` is called with the cluster and the node at the step."""

    name: str
    inject: object


def _kill(cluster, node):
    name, center = node.name, node.center
    cluster.undisturbed = False
    node.kill()
    cluster.call_later(FAULT_DURATION_S, _start_replacement, cluster, name, center)


def _start_replacement(cluster, name, center):
    cluster.nodes[name] = SimulatedNode(cluster, name, center, generation=1)
    cluster.nodes[name].disturbed = True


def _pause(seconds):
    def inject(cluster, node):
        cluster.undisturbed = False
        node.pause(seconds)

    return inject


def _cut_links(cluster, links):
    cluster.undisturbed = False
    for source, target in links:
        cluster.cut(source, target)
    cluster.call_later(FAULT_DURATION_S, cluster.heal)


def _cut_from_log(cluster, node):
    _cut_links(cluster, [(node.name, "log"), ("log", node.name)])


def _cut_from_peers(cluster, node):
    others = [name for name in cluster.nodes if name != node.name]
    _cut_links(
        cluster, [(node.name, o) for o in others] + [(o, node.name) for o in others]
    )


def _cut_incoming(cluster, node):
    """Cut the links from all other nodes to this one, but not those from it.

    Calls from the node arrive, but the responses to them are lost.
    """
    others = [name for name in cluster.nodes if name != node.name]
    _cut_links(cluster, [(o, node.name) for o in others])


def _isolate(cluster, node):
    """Cut the node off from the log and its peers.

    Callers, backend servers and the VM list stay reachable.
    """
    _cut_from_log(cluster, node)
    _cut_from_peers(cluster, node)


def _cut_center(cluster, node):
    inside = {n.name for n in cluster.nodes.values() if n.center == node.center}
    inside |= {
        vm for vm in cluster.vms if cluster.vms[vm].row.data_center == node.center
    }
    outside = ({*cluster.nodes, *cluster.vms} - inside) | {"log", "vm-list"}
    links = [(i, o) for i in sorted(inside) for o in sorted(outside)]
    _cut_links(cluster, links + [(o, i) for i, o in links])


def _stop_log(cluster, node):
    cluster.undisturbed = False
    cluster.log.down = True
    cluster.call_later(FAULT_DURATION_S, setattr, cluster.log, "down", False)


def _slow_log(cluster, node):
    cluster.undisturbed = False
    cluster.log.slow_s = 0.8
    cluster.call_later(FAULT_DURATION_S, setattr, cluster.log, "slow_s", 0.0)


def _lose_log_responses(cluster, node):
    cluster.undisturbed = False
    cluster.log.lose_answers = 3


def _cool_engines(cluster, node):
    """Restart one engine; let another lose its warm-up without a restart."""
    cluster.undisturbed = False
    engines = [vm for vm in cluster.vms.values() if vm.kind == "engine" and vm.group]
    for vm, method in zip(engines, ("revive", "chill"), strict=False):
        getattr(vm, method)()


def _kill_fabric_domain(cluster, node):
    """Kill all engines of the node's data centre, which is one fabric domain.

    They restart cold.
    """
    cluster.undisturbed = False
    killed = [
        vm
        for vm in cluster.vms.values()
        if vm.kind == "engine" and vm.row.data_center == node.center
    ]
    for vm in killed:
        vm.kill()
        cluster.call_later(FAULT_DURATION_S, vm.revive)


def _kill_all_engines(cluster, node):
    """Kill every engine; they restart cold."""
    for center in CENTERS:
        _kill_fabric_domain(
            cluster, next(n for n in cluster.nodes.values() if n.center == center)
        )


def _publish_conflicting_changes(cluster, node):
    """Let two operators publish changes that are based on the same version."""

    def first_change(config):
        config["teams"].setdefault("night", {"keys": []})
        return config

    def second_change(config):
        config["teams"].setdefault("late", {"keys": []})
        return config

    cluster.change_config(first_change)
    cluster.change_config(second_change)


def _delay_vm_list(cluster, node):
    cluster.undisturbed = False
    cluster.list_lag_s = 5.0
    cluster.call_later(FAULT_DURATION_S, setattr, cluster, "list_lag_s", 0.0)


def _stop_vm_list(cluster, node):
    cluster.undisturbed = False
    cluster.list_down = True
    cluster.call_later(FAULT_DURATION_S, setattr, cluster, "list_down", False)


def _slow_node(cluster, node):
    cluster.undisturbed = False
    cluster.slow_nodes.add(node.name)
    cluster.call_later(FAULT_DURATION_S, cluster.slow_nodes.discard, node.name)


def _combine(first, second):
    def inject(cluster, node):
        second(cluster, node)
        first(cluster, node)

    return inject


FAULTS = [
    Fault("none", lambda cluster, node: None),
    Fault("kill", _kill),
    Fault("pause 2s", _pause(2.0)),
    Fault("pause 9s", _pause(9.0)),
    Fault("cut log", _cut_from_log),
    Fault("cut peers", _cut_from_peers),
    Fault("one way", _cut_incoming),
    Fault("cut off", _isolate),
    Fault("cut DC", _cut_center),
    Fault("log down", _stop_log),
    Fault("log slow", _slow_log),
    Fault("lost ans", _lose_log_responses),
    Fault("cold", _cool_engines),
    Fault("dark", _kill_fabric_domain),
    Fault("all dark", _kill_all_engines),
    Fault("race", _publish_conflicting_changes),
    Fault("old list", _delay_vm_list),
    Fault("no list", _stop_vm_list),
    Fault("slow peer", _slow_node),
    Fault("kill+lost", _combine(_kill, _lose_log_responses)),
    Fault("9s+down", _combine(_pause(9.0), _stop_log)),
    Fault("dark+down", _combine(_kill_fabric_domain, _stop_log)),
]


class CellResult(NamedTuple):
    """Whether the step was reached, the violations, and appends by record kind."""

    reached: bool
    violations: list
    counts: dict


def run_cell(step, fault, seed, **settings):
    """Run one cell and return its ``CellResult``."""
    with contextlib.redirect_stderr(io.StringIO()):
        cluster = SimulatedCluster(seed, **settings)
        try:
            return _run(cluster, step, fault)
        finally:
            cluster.close()


def _run(cluster, step, fault):
    started_at = cluster.time.now
    reached = []

    def inject_fault(node):
        reached.append(cluster.time.now)
        fault.inject(cluster, node)

    def arm_trigger():
        if step in ("centre out", "centre back", "node drain"):
            inject_fault(cluster.nodes["entry-1"])
        else:
            cluster.trigger(step, inject_fault)

    cluster.call_later(STEPS[step], arm_trigger)
    _schedule_events(cluster)
    cluster.run(started_at + END_S - cluster.time.now)
    found = violations(cluster, started_at + HEALTHY_FROM_S)
    return CellResult(bool(reached), found, dict(cluster.log.appends))


def _schedule_events(cluster):
    cluster.call_later(
        2.0,
        _run_when_log_is_up,
        cluster,
        lambda: cluster.change_config(_initial_config),
    )
    cluster.call_later(LOAD_START_S, _send_requests, cluster)
    cluster.call_later(12.0, cluster.vms["gpu-east-1"].kill)
    cluster.call_later(20.0, cluster.vms["gpu-east-1"].revive)
    cluster.call_later(
        20.05, _run_when_log_is_up, cluster, lambda: cluster.set_center("west", "out")
    )
    cluster.call_later(
        30.05, _run_when_log_is_up, cluster, lambda: cluster.set_center("west", "in")
    )
    cluster.call_later(38.05, lambda: cluster.nodes["entry-3"].stop())
    cluster.call_later(44.0, _mark_vms_leaving, cluster)
    cluster.spawn(_sample_config_offsets, cluster)


def _initial_config(config):
    return base_config()


def _run_when_log_is_up(cluster, action):
    """Run an operator's action as soon as the log is up."""
    while cluster.log.down:
        cluster.time.after(0.5).wait()
    action()


def _send_requests(cluster):
    ends_at = cluster.time.now + LOAD_END_S - LOAD_START_S
    index = 0
    while cluster.time.now < ends_at:
        cluster.spawn(
            _send_completion,
            cluster,
            LONG_COMPLETION_TOKENS
            if index % REQUESTS_PER_LONG_COMPLETION == 0
            else COMPLETION_TOKENS,
        )
        if index % REQUESTS_PER_CONCURRENT_BOOKING == 0:
            cluster.spawn(cluster.send_booking_twice, cluster.entry_nodes())
        elif index % REQUESTS_PER_BOOKING == 0:
            cluster.spawn(cluster.send_booking, cluster.entry_nodes())
        index += 1
        cluster.time.after(COMPLETION_INTERVAL_S).wait()


def _send_completion(cluster, tokens):
    for node in cluster.entry_nodes()[:1]:
        cluster.send_completion(node, tokens)


def _mark_vms_leaving(cluster):
    """Mark an engine of a serving group and a desk as leaving."""
    serving = (vm for vm in cluster.vms.values() if vm.up and vm.state == "ready")
    engine = next((vm.name for vm in serving if vm.kind == "engine"), "gpu-west-2")
    cluster.spawn(cluster.set_leaving, engine)
    cluster.spawn(cluster.set_leaving, "desk-west")


def _sample_config_offsets(cluster):
    while True:
        for node in list(cluster.nodes.values()):
            if node.up and not node.clock.paused:
                offset = node.components.follower.state.config_offset
                key = f"{node.name} {id(node):x}"
                cluster.config_offsets_seen[key].append((cluster.time.now, offset))
        cluster.time.after(0.5).wait()
