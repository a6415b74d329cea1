"""The day that every cell of the matrix runs through, and the faults."""

import contextlib
import io
from typing import NamedTuple

from .callers import TOKENS
from .promises import violations
from .world import CENTERS, RigNode, World, base_config

HEAL_S = 7.0
LOAD_FROM_S = 8.0
LOAD_UNTIL_S = 70.0
CALM_FROM_S = 62.0
END_S = 84.0
COMPLETION_EVERY_S = 0.08
BOOKING_EVERY = 6
TWICE_EVERY = 30
LONG_EVERY = 12
LONG = 120

# The steps of a request and of each control action, by the names that the fakes
# give them, with the moment from which the fault waits for the step.
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
    """A way to fail: ``begin`` gets the world and the node that is at the step."""

    name: str
    begin: object


def _kill(world, node):
    name, center = node.name, node.center
    world.undisturbed = False
    node.kill()
    world.later(HEAL_S, _replace, world, name, center)


def _replace(world, name, center):
    world.nodes[name] = RigNode(world, name, center, generation=1)
    world.nodes[name].disturbed = True


def _pause(seconds):
    def begin(world, node):
        world.undisturbed = False
        node.pause(seconds)

    return begin


def _cut(world, pairs):
    world.undisturbed = False
    for source, target in pairs:
        world.cut(source, target)
    world.later(HEAL_S, world.heal)


def _cut_from_log(world, node):
    _cut(world, [(node.name, "log"), ("log", node.name)])


def _cut_from_peers(world, node):
    others = [name for name in world.nodes if name != node.name]
    _cut(world, [(node.name, o) for o in others] + [(o, node.name) for o in others])


def _cut_one_way(world, node):
    """Others cannot reach the node and hear no log; it can reach them."""
    others = [name for name in world.nodes if name != node.name]
    _cut(world, [(o, node.name) for o in others])


def _cut_off(world, node):
    """Cut the node from everybody but callers and backend servers."""
    _cut_from_log(world, node)
    _cut_from_peers(world, node)


def _cut_center(world, node):
    inside = {n.name for n in world.nodes.values() if n.center == node.center}
    inside |= {vm for vm in world.vms if world.vms[vm].row.data_center == node.center}
    outside = ({*world.nodes, *world.vms} - inside) | {"log", "vm-list"}
    pairs = [(i, o) for i in sorted(inside) for o in sorted(outside)]
    _cut(world, pairs + [(o, i) for i, o in pairs])


def _log_down(world, node):
    world.undisturbed = False
    world.log.down = True
    world.later(HEAL_S, setattr, world.log, "down", False)


def _log_slow(world, node):
    world.undisturbed = False
    world.log.slow_s = 0.8
    world.later(HEAL_S, setattr, world.log, "slow_s", 0.0)


def _lose_answers(world, node):
    world.undisturbed = False
    world.log.lose_answers = 3


def _cold(world, node):
    """One engine restarts, another turns cold without a word."""
    world.undisturbed = False
    engines = [vm for vm in world.vms.values() if vm.kind == "engine" and vm.group]
    for vm, turn in zip(engines, ("revive", "chill"), strict=False):
        getattr(vm, turn)()


def _dark(world, node):
    """A whole fabric domain goes dark and comes back cold."""
    world.undisturbed = False
    gone = [
        vm
        for vm in world.vms.values()
        if vm.kind == "engine" and vm.row.data_center == node.center
    ]
    for vm in gone:
        vm.kill()
        world.later(HEAL_S, vm.revive)


def _all_dark(world, node):
    """Every engine dies and comes back cold."""
    for center in CENTERS:
        _dark(world, next(n for n in world.nodes.values() if n.center == center))


def _race(world, node):
    """Two operators publish changes of one version."""

    def change(config):
        config["teams"].setdefault("night", {"keys": []})
        return config

    def other(config):
        config["teams"].setdefault("late", {"keys": []})
        return config

    world.change_config(change)
    world.change_config(other)


def _stale_list(world, node):
    world.undisturbed = False
    world.list_lag_s = 5.0
    world.later(HEAL_S, setattr, world, "list_lag_s", 0.0)


def _list_down(world, node):
    world.undisturbed = False
    world.list_down = True
    world.later(HEAL_S, setattr, world, "list_down", False)


def _slow_peer(world, node):
    world.undisturbed = False
    world.slow_nodes.add(node.name)
    world.later(HEAL_S, world.slow_nodes.discard, node.name)


def _both(first, second):
    def begin(world, node):
        second(world, node)
        first(world, node)

    return begin


FAULTS = [
    Fault("none", lambda world, node: None),
    Fault("kill", _kill),
    Fault("pause 2s", _pause(2.0)),
    Fault("pause 9s", _pause(9.0)),
    Fault("cut log", _cut_from_log),
    Fault("cut peers", _cut_from_peers),
    Fault("one way", _cut_one_way),
    Fault("cut off", _cut_off),
    Fault("cut DC", _cut_center),
    Fault("log down", _log_down),
    Fault("log slow", _log_slow),
    Fault("lost ans", _lose_answers),
    Fault("cold", _cold),
    Fault("dark", _dark),
    Fault("all dark", _all_dark),
    Fault("race", _race),
    Fault("old list", _stale_list),
    Fault("no list", _list_down),
    Fault("slow peer", _slow_peer),
    Fault("kill+lost", _both(_kill, _lose_answers)),
    Fault("9s+down", _both(_pause(9.0), _log_down)),
    Fault("dark+down", _both(_dark, _log_down)),
]


class CellResult(NamedTuple):
    """Whether the step was reached, and what was broken."""

    reached: bool
    broken: list
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
    began = world.time.now
    reached = []

    def strike(node):
        reached.append(world.time.now)
        fault.begin(world, node)

    def arm():
        if step in ("centre out", "centre back", "node drain"):
            strike(world.nodes["entry-1"])
        else:
            world.trigger(step, strike)

    world.later(STEPS[step], arm)
    _schedule_day(world)
    world.run(began + END_S - world.time.now)
    lines = violations(world, began + CALM_FROM_S)
    return CellResult(bool(reached), lines, dict(world.log.appends))


def _schedule_day(world):
    world.later(2.0, _operate, world, lambda: world.change_config(_first))
    world.later(LOAD_FROM_S, _load, world)
    world.later(12.0, world.vms["gpu-east-1"].kill)
    world.later(20.0, world.vms["gpu-east-1"].revive)
    world.later(20.05, _operate, world, lambda: world.set_center("west", "out"))
    world.later(30.05, _operate, world, lambda: world.set_center("west", "in"))
    world.later(38.05, lambda: world.nodes["entry-3"].stop())
    world.later(44.0, _let_leave, world)
    world.spawn(_watch_config, world)


def _first(config):
    return base_config()


def _operate(world, action):
    """Do what an operator wants as soon as the log takes it."""
    while world.log.down:
        world.time.after(0.5).wait()
    action()


def _load(world):
    ends_at = world.time.now + LOAD_UNTIL_S - LOAD_FROM_S
    number = 0
    while world.time.now < ends_at:
        world.spawn(_complete, world, LONG if number % LONG_EVERY == 0 else TOKENS)
        if number % TWICE_EVERY == 0:
            world.spawn(world.ask_booking_twice, world.entry_nodes())
        elif number % BOOKING_EVERY == 0:
            world.spawn(world.ask_booking, world.entry_nodes())
        number += 1
        world.time.after(COMPLETION_EVERY_S).wait()


def _complete(world, tokens):
    for node in world.entry_nodes()[:1]:
        world.ask_completion(node, tokens)


def _let_leave(world):
    """Let a VM of a serving group leave, and a desk."""
    serving = (vm for vm in world.vms.values() if vm.up and vm.state == "ready")
    engine = next((vm.name for vm in serving if vm.kind == "engine"), "gpu-west-2")
    world.spawn(world.set_leaving, engine)
    world.spawn(world.set_leaving, "desk-west")


def _watch_config(world):
    while True:
        for node in list(world.nodes.values()):
            if node.up and not node.clock.paused:
                offset = node.components.follower.state.config_offset
                key = f"{node.name} {id(node):x}"
                world.config_seen[key].append((world.time.now, offset))
        world.time.after(0.5).wait()
