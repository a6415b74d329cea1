"""One node in this process, on real sockets, with stand-ins for all that it calls."""

import hashlib
from contextlib import ExitStack

import gevent

from auburnwall.base.tasks import TaskGroup
from auburnwall.node.components import NodeComponents, new_external_deps
from auburnwall.node.http import HttpServer
from auburnwall.node.peer_handler import PeerHandler
from auburnwall.node.settings import NodeSettings
from auburnwall.state.records import CONTROL_STREAM, envelope
from auburnwall.wire.server import PeerServer
from demo.cluster import free_addresses
from standins.booking import BookingService
from standins.engine import EngineFleet
from standins.log import LogStandin
from standins.platform import VmListStandin

KEY = "drivers-key"
MODEL = "dispatch-70b"
WAIT_TIMEOUT_S = 20.0


def config():
    """Return a configuration with one group of two VMs and a booking service."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return {
        "data_centers": {"norte": {"state": "in"}},
        "vms": {
            "gpu-*": {"labels": {"pool": "chat"}},
            "desk-*": {"labels": {"pool": "booking"}},
        },
        "models": {MODEL: {"version": "1"}},
        "groups": {"pair": {"members": 2}},
        "selectors": {
            "chat": {
                "model": MODEL,
                "group": "pair",
                "count": 1,
                "where": {"pool": "chat"},
            }
        },
        "teams": {"drivers": {"keys": [f"sha256:{digest}"]}},
        "services": {
            "booking": {"where": {"pool": "booking"}, "idempotent": ["GET *"]}
        },
    }


class LiveNode:
    """A running node with stand-ins of its platform and its backend servers."""

    def __init__(self, **settings):
        self._settings = settings
        self._stack = ExitStack()

    def __enter__(self):
        self.log = LogStandin()
        self.vm_list = VmListStandin()
        self.engines = EngineFleet(token_s=0.005, load_s=0.05, warm_up_s=0.0, slots=4)
        self.booking = BookingService()
        for standin in (self.log, self.vm_list, self.engines, self.booking):
            standin.server.start()
            self._stack.callback(standin.server.shut_down)
        self._stack.callback(self.engines.stop)
        vms = {name: self.engines.add(name).address for name in ("gpu-1", "gpu-2")}
        vms["desk-1"] = self.booking.address
        self.vm_list.put([_vm_row(name, address) for name, address in vms.items()])
        config_record = {
            "base": -1,
            "patch": [{"op": "add", "path": "", "value": config()}],
            "author": "test",
        }
        self.log.put(CONTROL_STREAM, [envelope("config", "op", 1, config_record)])
        self._start_node()
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def _start_node(self):
        self.address, peer_address = free_addresses(2)
        cfg = NodeSettings(
            node="entry-1",
            data_center="norte",
            address=self.address,
            peer_address=peer_address,
            log_url=self.log.url,
            vm_list_url=self.vm_list.url,
            probe_s=0.1,
            **self._settings,
        )
        tasks = self._stack.enter_context(TaskGroup())
        self.components = NodeComponents(
            cfg, new_external_deps(cfg, self._stack), tasks
        )
        host, _, port = peer_address.rpartition(":")
        for server in (
            PeerServer(host, int(port), PeerHandler(self.components)),
            HttpServer(self.components),
        ):
            server.start()
            self._stack.callback(server.stop)
        self.components.start()
        self.wait(lambda: self.components.directory.eligible(MODEL, "drivers"))
        self.wait(lambda: self.components.service_directory.eligible("booking"))

    def wait(self, ready):
        """Wait until ``ready()`` is true; raise ``gevent.Timeout`` if it never is."""
        with gevent.Timeout(WAIT_TIMEOUT_S):
            while not ready():
                gevent.sleep(0.02)

    def wait_idle(self):
        """Wait, as ``wait`` does, until nothing is held for any request."""
        self.wait(lambda: self.held_resources() == {})

    def held_resources(self):
        """Return the nonzero counts of what is held for requests, by kind."""
        dispatchers = self.components.gateway._dispatchers.values()
        counts = {
            "running": self.components.gateway.running(),
            "waiting": sum(dispatcher.waiting_count() for dispatcher in dispatchers),
            "in flight": sum(
                sum(dispatcher.in_flight_by_group.values())
                for dispatcher in dispatchers
            ),
            "slots": sum(
                router_credits.in_use
                for dispatcher in dispatchers
                for router_credits in dispatcher._credits.values()
            ),
            "engine": sum(member.running for member in self.engines.members.values()),
        }
        return {kind: count for kind, count in counts.items() if count}


def _vm_row(name, address):
    return {
        "name": name,
        "address": address,
        "data_center": "norte",
        "fabric_domain": "f1",
        "state": "live",
    }
