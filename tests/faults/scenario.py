"""The scenario that every cell of the fault matrix runs, and the faults."""

import contextlib
import io
from typing import NamedTuple

from .callers import TOKENS
from .promises import violations
from .world import CENTERS, SimulatedNode, World, base_config

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
    """A fault; ``inject`` is called with the world and the node at the step."""

    name: str
    inject: object


def _kill(world, node):
    name, center = node.name, node.center
    world.undisturbed = False
    node.kill()
    world.later(FAULT_DURATION_S, _start_replacement, world, name, center)


def _start_replacement(world, name, center):
    world.nodes[name] = SimulatedNode(world, name, center, generation=1)
    world.nodes[name].disturbed = True


def _pause(seconds):
    def inject(world, node):
        world.undisturbed = False
        node.pause(seconds)

    return inject


def _cut_links(world, links):
    world.undisturbed = False
    for source, target in links:
        world.cut(source, target)
    world.later(FAULT_DURATION_S, world.heal)


def _cut_from_log(world, node):
    _cut_links(world, [(node.name, "log"), ("log", node.name)])


def _cut_from_peers(world, node):
    others = [name for name in world.nodes if name != node.name]
    _cut_links(
        world, [(node.name, o) for o in others] + [(o, node.name) for o in others]
    )


def _cut_incoming(world, node):
    """Cut the links from all other nodes to this one, but not those from it.

    Calls from the node arrive, but the responses to them are lost.
    """
    others = [name for name in world.nodes if name != node.name]
    _cut_links(world, [(o, node.name) for o in others])


def _isolate(world, node):
    """Cut the node off from the log and its peers.

    Callers, backend servers and the VM list stay reachable.
    """
    _cut_from_log(world, node)
    _cut_from_peers(world, node)


def _cut_center(world, node):
    inside = {n.name for n in world.nodes.values() if n.center == node.center}
    inside |= {vm for vm in world.vms if world.vms[vm].row.data_center == node.center}
    outside = ({*world.nodes, *world.vms} - inside) | {"log", "vm-list"}
    links = [(i, o) for i in sorted(inside) for o in sorted(outside)]
    _cut_links(world, links + [(o, i) for i, o in links])


def _stop_log(world, node):
    world.undisturbed = False
    world.log.down = True
    world.later(FAULT_DURATION_S, setattr, world.log, "down", False)


def _slow_log(world, node):
    world.undisturbed = False
    world.log.slow_s = 0.8
    world.later(FAULT_DURATION_S, setattr, world.log, "slow_s", 0.0)


def _lose_log_responses(world, node):
    world.undisturbed = False
    world.log.lose_answers = 3


def _cool_engines(world, node):
    """Restart one engine; let another lose its warm-up without a restart."""
    world.undisturbed = False
    engines = [vm for vm in world.vms.values() if vm.kind == "engine" and vm.group]
    for vm, method in zip(engines, ("revive", "chill"), strict=False):
        getattr(vm, method)()


def _kill_fabric_domain(world, node):
    """Kill all engines of the node's data centre, which is one fabric domain.

    They restart cold.
    """
    world.undisturbed = False
    killed = [
        vm
        for vm in world.vms.values()
        if vm.kind == "engine" and vm.row.data_center == node.center
    ]
    for vm in killed:
        vm.kill()
        world.later(FAULT_DURATION_S, vm.revive)


def _kill_all_engines(world, node):
    """Kill every engine; they restart cold."""
    for center in CENTERS:
        _kill_fabric_domain(
            world, next(n for n in world.nodes.values() if n.center == center)
        )


def _publish_conflicting_changes(world, node):
    """Let two operators publish changes that are based on the same version."""

    def first_change(config):
        config["teams"].setdefault("night", {"keys": []})
        return config

    def second_change(config):
        config["teams"].setdefault("late", {"keys": []})
        return config

    world.change_config(first_change)
    world.change_config(second_change)


def _delay_vm_list(world, node):
    world.undisturbed = False
    world.list_lag_s = 5.0
    world.later(FAULT_DURATION_S, setattr, world, "list_lag_s", 0.0)


def _stop_vm_list(world, node):
    world.undisturbed = False
    world.list_down = True
    world.later(FAULT_DURATION_S, setattr, world, "list_down", False)


def _slow_node(world, node):
    world.undisturbed = False
    world.slow_nodes.add(node.name)
    world.later(FAULT_DURATION_S, world.slow_nodes.discard, node.name)


def _combine(first, second):
    def inject(world, node):
        second(world, node)
        first(world, node)

    return inject


FAULTS = [
    Fault("none", lambda world, node: None),
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
        world = World(seed, **settings)
        try:
            return _run(world, step, fault)
        finally:
            world.close()


def _run(world, step, fault):
    started_at = world.time.now
    reached = []

    def inject_fault(node):
        reached.append(world.time.now)
        fault.inject(world, node)

    def arm_trigger():
        if step in ("centre out", "centre back", "node drain"):
            inject_fault(world.nodes["entry-1"])
        else:
            world.trigger(step, inject_fault)

    world.later(STEPS[step], arm_trigger)
    _schedule_events(world)
    world.run(started_at + END_S - world.time.now)
    found = violations(world, started_at + HEALTHY_FROM_S)
    return CellResult(bool(reached), found, dict(world.log.appends))


def _schedule_events(world):
    world.later(
        2.0, _run_when_log_is_up, world, lambda: world.change_config(_initial_config)
    )
    world.later(LOAD_START_S, _send_requests, world)
    world.later(12.0, world.vms["gpu-east-1"].kill)
    world.later(20.0, world.vms["gpu-east-1"].revive)
    world.later(
        20.05, _run_when_log_is_up, world, lambda: world.set_center("west", "out")
    )
    world.later(
        30.05, _run_when_log_is_up, world, lambda: world.set_center("west", "in")
    )
    world.later(38.05, lambda: world.nodes["entry-3"].stop())
    world.later(44.0, _mark_vms_leaving, world)
    world.spawn(_sample_config_offsets, world)


def _initial_config(config):
    return base_config()


def _run_when_log_is_up(world, action):
    """Run an operator's action as soon as the log is up."""
    while world.log.down:
        world.time.after(0.5).wait()
    action()


def _send_requests(world):
    ends_at = world.time.now + LOAD_END_S - LOAD_START_S
    index = 0
    while world.time.now < ends_at:
        world.spawn(
            _send_completion,
            world,
            LONG_COMPLETION_TOKENS
            if index % REQUESTS_PER_LONG_COMPLETION == 0
            else TOKENS,
        )
        if index % REQUESTS_PER_CONCURRENT_BOOKING == 0:
            world.spawn(world.ask_booking_twice, world.entry_nodes())
        elif index % REQUESTS_PER_BOOKING == 0:
            world.spawn(world.ask_booking, world.entry_nodes())
        index += 1
        world.time.after(COMPLETION_INTERVAL_S).wait()


def _send_completion(world, tokens):
    for node in world.entry_nodes()[:1]:
        world.ask_completion(node, tokens)


def _mark_vms_leaving(world):
    """Mark an engine of a serving group and a desk as leaving."""
    serving = (vm for vm in world.vms.values() if vm.up and vm.state == "ready")
    engine = next((vm.name for vm in serving if vm.kind == "engine"), "gpu-west-2")
    world.spawn(world.set_leaving, engine)
    world.spawn(world.set_leaving, "desk-west")


def _sample_config_offsets(world):
    while True:
        for node in list(world.nodes.values()):
            if node.up and not node.clock.paused:
                offset = node.components.follower.state.config_offset
                key = f"{node.name} {id(node):x}"
                world.config_offsets_seen[key].append((world.time.now, offset))
        world.time.after(0.5).wait()
