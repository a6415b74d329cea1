"""A simulated cluster: nodes over fakes in one process, on virtual time.

The cluster includes callers, operators and the faults that tests inject.
"""

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
from auburnwall.node.components import ExternalDeps, NodeComponents
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
    """A request as a backend server received it.

    ``running`` and ``bears`` are the requests that ran on the server at that moment and
    its capacity. ``cold_for_s`` is the time since the server lost its warm-up without a
    restart. ``missing_for_s`` is the time for which a member of its group has been
    missing, 0 if all are there.
    """

    received_at: float
    request_id: str
    vm: str
    center: str
    node: str
    running: int
    bears: int
    cold_for_s: float
    missing_for_s: float


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


class SimulatedNode:
    """One node of the simulated cluster; ``generation`` counts its replacements.

    ``disturbed`` is set once a fault has killed or paused this node, and on a node that
    replaces a killed one.
    """

    def __init__(self, cluster, name, center, generation=0):
        self.cluster = cluster
        self.name = name
        self.center = center
        self.up = True
        self.planned_stop = False
        self.disturbed = False
        self.clock = VirtualClock(cluster.time)
        self.tasks = TaskGroup()
        clock = self.clock
        node_settings = NodeSettings(
            node=name,
            data_center=center,
            address=f"{name}:1",
            peer_address=f"{name}:2",
            log_url="http://log",
            vm_list_url="http://list",
            **cluster.settings,
        )
        external_deps = ExternalDeps(
            clock,
            random.Random(f"{cluster.seed} {name} {generation}"),
            FakeLog(cluster, name, clock),
            FakeVmList(cluster, name, clock),
            FakeEngine(cluster, name, clock),
            FakeExchanges(cluster, name, clock),
            FakePeers(cluster, name, clock, 1.0),
            FakePeers(cluster, name, clock, 5.0),
        )
        self.components = NodeComponents(node_settings, external_deps, self.tasks)
        self.handler = PeerHandler(self.components)
        self.app = make_app(self.components)
        self.components.start()
        self.tasks.spawn(self._exit_after_drain)

    def kill(self):
        self.up = False
        self.disturbed = True
        gevent.spawn(self.tasks.kill)

    def pause(self, seconds):
        self.disturbed = True
        self.clock.pause()
        self.cluster.call_later(seconds, self.clock.resume)

    def stop(self):
        """Start a planned stop, as SIGTERM does."""
        self.planned_stop = True
        self.components.drain.begin()

    def _exit_after_drain(self):
        self.components.drain.finished.wait()
        self.up = False
        gevent.spawn(self.tasks.kill)


class SimulatedCluster(Callers):
    """The state of one run: nodes, VMs, log, VM list, and what the checks record.

    ``run`` advances virtual time. ``undisturbed`` is false once a fault has been
    injected that may delay a configuration. With ``fails_on_overload`` set, a backend
    server that receives more than its capacity restarts.
    """

    def __init__(self, seed=1, nodes=4, vms_per_center=4, **settings):
        self.seed = seed
        self.time = VirtualTime()
        self.log = FakeLogStore(self.time)
        self.settings = {"entry_hold_s": 2.0, "dead_s": 1.5, **settings}
        self.list_down = False
        self.list_lag_s = 0.0
        self.cuts = set()
        self.receipts = []
        self.receipts_when_center_out = []
        self._groups_by_vm_generation = defaultdict(set)
        self.outcomes = []
        self.first_chunk_at = {}
        self.fails_on_overload = False
        self.overload_failures = []
        self.interrupting_orders = []
        self.center_out_at = {}
        self.leaving_at = {}
        self.config_versions = []
        self._log_state = State()
        self.slow_nodes = set()
        self.config_offsets_seen = defaultdict(list)
        self.undisturbed = True
        self._triggers = {}
        self._ids = count(1)
        self._tasks = TaskGroup()
        self._leaving = set()
        self._vm_list_history = []
        self.vms = {}
        for center in CENTERS:
            for number in range(vms_per_center):
                self._add_vm(f"gpu-{center}-{number}", center, "engine")
            self._add_vm(f"desk-{center}", center, "desk")
        self.nodes = {}
        for number in range(nodes):
            name = f"entry-{number}"
            self.nodes[name] = SimulatedNode(self, name, CENTERS[number % len(CENTERS)])
        self.rng = random.Random(f"{seed} world")
        self._record_vm_list()

    def close(self):
        for node in self.nodes.values():
            node.clock.resume()
            node.tasks.kill()
        self._tasks.kill()

    def run(self, seconds):
        """Advance virtual time by ``seconds``."""
        self.time.run_until(self.time.now + seconds)

    def spawn(self, function, *args):
        return self._tasks.spawn(function, *args)

    def call_later(self, seconds, function, *args):
        """Call ``function`` after ``seconds``."""

        def wait_and_call():
            self.time.after(seconds).wait()
            function(*args)

        self.spawn(wait_and_call)

    # Faults and triggers.

    def trigger(self, step, action):
        """Call ``action(node)`` when a node next reaches ``step``."""
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

    # Lookups and records of the fakes.

    def node_at(self, address):
        return self.nodes.get(address.partition(":")[0])

    def vm_at(self, address):
        return self.vms.get(address.partition(":")[0])

    def current_vm_list(self):
        """Return the VM list as it was ``list_lag_s`` ago."""
        shown_at = self.time.now - self.list_lag_s
        shown = [rows for at, rows in self._vm_list_history if at <= shown_at]
        return shown[-1] if shown else self._vm_list_history[0][1]

    def set_leaving(self, vm):
        """Mark a VM as leaving in the VM list, once the list is up."""
        while self.list_down:
            self.time.after(0.5).wait()
        self._leaving.add(vm)
        self.leaving_at[vm] = self.time.now + self.list_lag_s
        self._record_vm_list()

    def record_append(self, stream, payloads, offset):
        """Record accepted configurations, found by folding the log independently."""
        if stream != CONTROL_STREAM:
            return
        for record in self.log.streams[stream]:
            verdict = fold(self._log_state, record)
            if record.data["kind"] == "config" and verdict.accepted:
                self.config_versions.append((self.time.now, record.offset))
                self._record_center_states(self._log_state.config)

    def _record_center_states(self, config):
        for center, entry in config["data_centers"].items():
            if entry["state"] == "out":
                self.center_out_at.setdefault(center, self.time.now)
            else:
                self.center_out_at.pop(center, None)

    def record_receipt(self, vm, request):
        """Record a request that a backend server receives."""
        receipt = Receipt(
            self.time.now,
            request.request_id,
            vm.name,
            vm.row.data_center,
            request.headers.get("X-Rig-Node", ""),
            vm.running,
            vm.bears,
            self.time.now - vm.chilled_at,
            vm.missing_for_s() if vm.kind == "engine" else 0.0,
        )
        self.receipts.append(receipt)
        out_at = self.center_out_at.get(receipt.center)
        if out_at is not None:
            self.receipts_when_center_out.append((receipt, out_at))
        for address in vm.members:
            member = self.vm_at(address)
            if member.up and member.generation == vm.generation:
                self._groups_by_vm_generation[
                    member.name, member.boot_id, member.generation
                ].add(vm.group)

    def groups_by_vm_generation(self):
        """Return the groups in which each VM served, by VM, boot and generation."""
        return self._groups_by_vm_generation

    def booking_times(self):
        """Return the times at which each key was booked, over all desks."""
        booked = defaultdict(list)
        for vm in self.vms.values():
            for at, key in vm.bookings:
                booked[key].append(at)
        return booked

    # Operators.

    def change_config(self, change):
        """Publish a change of the current configuration, as operators do."""
        state = self._newest_state()
        new_config = json.loads(json.dumps(state.config)) if state else {}
        new_config = change(new_config)
        patch = jsonpatch.make_patch(state.config if state else {}, new_config).patch
        base = state.config_offset if state else -1
        body = {"base": base, "patch": patch, "author": "rig"}
        payload = envelope("config", f"op-{next(self._ids)}", 1, body)
        offset = self.log.put(CONTROL_STREAM, [payload])
        self.record_append(CONTROL_STREAM, [payload], offset)

    def set_center(self, center, state):
        """Set a data centre's configured state: ``"in"`` or ``"out"``."""

        def change(config):
            config["data_centers"][center]["state"] = state
            return config

        self.change_config(change)

    def _newest_state(self):
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

    def _record_vm_list(self):
        rows = {
            name: vm.row._replace(leaving=name in self._leaving)
            for name, vm in self.vms.items()
        }
        self._vm_list_history.append((self.time.now, rows))
