"""A few nodes over fakes in one process, with callers, operators and faults."""

import hashlib
import json
import random
from collections import defaultdict
from itertools import count
from typing import NamedTuple

import gevent
import jsonpatch

from auburnwall.base.tasks import TaskGroup
from auburnwall.fleet.vmlist.base import VmEntry
from auburnwall.node.components import Backends, NodeComponents
from auburnwall.node.http import make_app
from auburnwall.node.peer_handler import PeerHandler
from auburnwall.node.settings import NodeSettings
from auburnwall.state.fold import State, fold
from auburnwall.state.records import CONTROL_STREAM, envelope

from .callers import KEY, MODEL, Callers
from .fakes import (
    FakeEngine,
    FakeExchanges,
    FakeLog,
    FakeLogStore,
    FakePeers,
    FakeVm,
    FakeVmList,
)
from .virtual_time import VirtualClock, VirtualTime

CENTERS = ("east", "west")


class Receipt(NamedTuple):
    """A request as a backend server received it."""

    at: float
    request_id: str
    vm: str
    center: str
    node: str
    running: int
    bears: int
    chilled_for: float
    missing_for: float


def base_config():
    """Return the configuration that every run starts from."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return {
        "data_centers": {center: {"state": "in"} for center in CENTERS},
        "vms": {
            "gpu-*": {"labels": {"pool": "chat"}},
            "desk-*": {"labels": {"pool": "desk"}},
        },
        "models": {MODEL: {"version": "1"}},
        "groups": {"pair": {"members": 2}},
        "selectors": {
            "chat": {
                "model": MODEL,
                "group": "pair",
                "count": 2,
                "where": {"pool": "chat"},
            }
        },
        "teams": {"drivers": {"keys": [f"sha256:{digest}"]}},
        "services": {"desk": {"where": {"pool": "desk"}, "idempotent": ["GET *"]}},
    }


class RigNode:
    """One node of the world."""

    def __init__(self, world, name, center, generation=0):
        self.world = world
        self.name = name
        self.center = center
        self.up = True
        self.planned_stop = False
        self.disturbed = False
        self.clock = VirtualClock(world.time)
        self.tasks = TaskGroup()
        clock = self.clock
        cfg = NodeSettings(
            node=name,
            data_center=center,
            address=f"{name}:1",
            peer_address=f"{name}:2",
            log_url="http://log",
            vm_list_url="http://list",
            **world.settings,
        )
        backends = Backends(
            clock,
            random.Random(f"{world.seed} {name} {generation}"),
            FakeLog(world, name, clock),
            FakeVmList(world, name, clock),
            FakeEngine(world, name, clock),
            FakeExchanges(world, name, clock),
            FakePeers(world, name, clock, 1.0),
            FakePeers(world, name, clock, 5.0),
        )
        self.components = NodeComponents(cfg, backends, self.tasks)
        self.handler = PeerHandler(self.components)
        self.app = make_app(self.components)
        self.components.start()
        self.tasks.spawn(self._end_after_drain)

    def kill(self):
        self.up = False
        self.disturbed = True
        gevent.spawn(self.tasks.kill)

    def pause(self, seconds):
        self.disturbed = True
        self.clock.pause()
        self.world.later(seconds, self.clock.resume)

    def stop(self):
        """Tell the node to stop, as SIGTERM does."""
        self.planned_stop = True
        self.components.drain.begin()

    def _end_after_drain(self):
        self.components.drain.finished.wait()
        self.up = False
        gevent.spawn(self.tasks.kill)


class World(Callers):
    """Everything of one run; ``run`` lets time pass."""

    def __init__(self, seed=1, nodes=4, vms_per_center=4, **settings):
        self.seed = seed
        self.time = VirtualTime()
        self.log = FakeLogStore(self.time)
        self.settings = {"entry_hold_s": 2.0, "dead_s": 1.5, **settings}
        self.list_down = False
        self.list_lag_s = 0.0
        self.cuts = set()
        self.receipts = []
        self.receipts_when_out = []
        self._serving = defaultdict(set)
        self.outcomes = []
        self.first_at = {}
        self.falls_over = False
        self.fallen = []
        self.orders_that_cut = []
        self.center_out_at = {}
        self.leaving_at = {}
        self.versions = []
        self._read = State()
        self.slow_nodes = set()
        self.config_seen = defaultdict(list)
        self.undisturbed = True
        self._triggers = {}
        self._ids = count(1)
        self._tasks = TaskGroup()
        self._leaving = set()
        self._list_history = []
        self.vms = {}
        for center in CENTERS:
            for number in range(vms_per_center):
                self._add_vm(f"gpu-{center}-{number}", center, "engine")
            self._add_vm(f"desk-{center}", center, "desk")
        self.nodes = {}
        for number in range(nodes):
            name = f"entry-{number}"
            self.nodes[name] = RigNode(self, name, CENTERS[number % len(CENTERS)])
        self.rng = random.Random(f"{seed} world")
        self._note_list()

    def close(self):
        for node in self.nodes.values():
            node.clock.resume()
            node.tasks.kill()
        self._tasks.kill()

    def run(self, seconds):
        """Let time pass."""
        self.time.run_until(self.time.now + seconds)

    def spawn(self, function, *args):
        return self._tasks.spawn(function, *args)

    def later(self, seconds, function, *args):
        """Call ``function`` after a while."""

        def wait_and_call():
            self.time.after(seconds).wait()
            function(*args)

        self.spawn(wait_and_call)

    # What faults and triggers do.

    def trigger(self, step, action):
        """Call ``action(node)`` when a node next comes to ``step``."""
        self._triggers[step] = action

    def step(self, name, node_name):
        action = self._triggers.pop(name, None)
        if action:
            node = self.nodes[node_name]
            action(node)
            if not node.up:
                raise gevent.GreenletExit
            node.clock.gate()

    def cut(self, source, target):
        self.cuts.add((source, target))

    def heal(self):
        self.cuts.clear()

    def is_cut(self, source, target):
        return (source, target) in self.cuts

    # What the fakes look up.

    def node_at(self, address):
        return self.nodes.get(address.partition(":")[0])

    def vm_at(self, address):
        return self.vms.get(address.partition(":")[0])

    def listed(self):
        """Return the VM list as it was ``list_lag_s`` ago."""
        shown_at = self.time.now - self.list_lag_s
        shown = [rows for at, rows in self._list_history if at <= shown_at]
        return shown[-1] if shown else self._list_history[0][1]

    def set_leaving(self, vm):
        """Let the list name a VM as leaving; a list that is down tells nobody yet."""
        while self.list_down:
            self.time.after(0.5).wait()
        self._leaving.add(vm)
        self.leaving_at[vm] = self.time.now + self.list_lag_s
        self._note_list()

    def note_append(self, stream, payloads, offset):
        """Note which configuration is accepted, by a reading of the log of our own."""
        if stream != CONTROL_STREAM:
            return
        for record in self.log.streams[stream]:
            verdict = fold(self._read, record)
            if record.data["kind"] == "config" and verdict.accepted:
                self.versions.append((self.time.now, record.offset))
                self._note_centers(self._read.config)

    def _note_centers(self, config):
        for center, entry in config["data_centers"].items():
            if entry["state"] == "out":
                self.center_out_at.setdefault(center, self.time.now)
            else:
                self.center_out_at.pop(center, None)

    def note_receipt(self, vm, request):
        """Note a request as a backend server gets it."""
        receipt = Receipt(
            self.time.now,
            request.request_id,
            vm.name,
            vm.row.data_center,
            request.headers.get("X-Rig-Node", ""),
            vm.running,
            vm.bears,
            self.time.now - vm.chilled_at,
            vm.missing_for() if vm.kind == "engine" else 0.0,
        )
        self.receipts.append(receipt)
        out_at = self.center_out_at.get(receipt.center)
        if out_at is not None:
            self.receipts_when_out.append((receipt, out_at))
        for address in vm.members:
            member = self.vm_at(address)
            if member.up and member.generation == vm.generation:
                self._serving[member.name, member.boot_id, member.generation].add(
                    vm.group
                )

    def vms_per_generation(self):
        """Return the groups in which each VM served, by boot and generation."""
        return self._serving

    def booked_at(self):
        """Return the times at which each key was booked, at any desk."""
        booked = defaultdict(list)
        for vm in self.vms.values():
            for at, key in vm.bookings:
                booked[key].append(at)
        return booked

    # Operators.

    def change_config(self, change):
        """Publish a change of the configuration in force, as operators do."""
        state = self._any_state()
        new = json.loads(json.dumps(state.config)) if state else {}
        new = change(new)
        patch = jsonpatch.make_patch(state.config if state else {}, new).patch
        base = state.config_offset if state else -1
        body = {"base": base, "patch": patch, "author": "rig"}
        payload = envelope("config", f"op-{next(self._ids)}", 1, body)
        offset = self.log.put(CONTROL_STREAM, [payload])
        self.note_append(CONTROL_STREAM, [payload], offset)

    def set_center(self, center, state):
        """Take a data centre out or bring it back."""

        def change(config):
            config["data_centers"][center]["state"] = state
            return config

        self.change_config(change)

    def _any_state(self):
        states = [
            n.components.follower.state
            for n in self.nodes.values()
            if n.up and n.components.follower.state.config_offset >= 0
        ]
        return max(states, key=lambda s: s.offset, default=None)

    def _add_vm(self, name, center, kind):
        domain = f"{center}-f0"
        row = VmEntry(name, f"{name}:9", center, domain, False)
        self.vms[name] = FakeVm(self, row, kind=kind)
        self.vms[name].checks_fence = len(self.vms) % 2 == 0

    def _note_list(self):
        rows = {
            name: vm.row._replace(leaving=name in self._leaving)
            for name, vm in self.vms.items()
        }
        self._list_history.append((self.time.now, rows))
