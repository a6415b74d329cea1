"""Test setup: a front for callers and a forwarder, in front of stand-in servers."""

import gc
import http.client
import itertools
import json
import random
from contextlib import ExitStack, closing

import gevent

from auburnwall.base.clock import SystemClock
from auburnwall.base.tasks import TaskGroup
from auburnwall.fleet.candidate_index import Candidate
from auburnwall.fleet.formation.records import NodeRecord
from auburnwall.fleet.registrations import Registry
from auburnwall.fleet.server_notices import ServerNotices
from auburnwall.node.routed.connections import CallerConnections, StepTrackingPlacer
from auburnwall.node.routed.demand import DemandMeter
from auburnwall.node.routed.front import new_front_server
from auburnwall.node.routed.gateway import Gateway
from auburnwall.node.routed.metrics import RoutedMetrics
from auburnwall.node.routed.start_gate import StartGate
from auburnwall.node.routed.start_stages import StartStages
from auburnwall.node.routed.views import SlotUsage, SuspectCandidates
from auburnwall.platform.headers import HEADER_NAMES
from auburnwall.platform.operator import OperatorDecoder
from auburnwall.routing.answer_start import TimeToStart
from auburnwall.routing.channels import ChannelPool
from auburnwall.routing.crash_evidence import CrashEvidence
from auburnwall.routing.detour import DetourPlacer
from auburnwall.routing.forwarder import Forwarder, ForwarderDeps
from auburnwall.routing.in_flight import InFlightRequests
from auburnwall.routing.placer import Placer
from auburnwall.routing.rate_limits import RateLimitGate
from auburnwall.routing.routes import RouteTable
from auburnwall.routing.shared_retry_budget import SharedRetryBudget
from auburnwall.routing.shortage_order import UNKNOWN_WORK
from auburnwall.routing.stop_time import StopTime
from auburnwall.routing.warmup import WarmupGate
from auburnwall.state.table.replica import TableReplica
from standins.modelserver import ModelServerStandin
from standins.platformconfig import routes
from standins.store import StoreStandin
from tests.fleet.test_registrations import registration
from tests.fleet.test_server_reach import FixedReach

KEY = "callers-key"


def route(prefix, kind, **changes):
    """Return a route of the platform's configuration."""
    return {
        "Name": prefix.strip("/"),
        "Host": "shop.example",
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 3000,
        "SloMs": 300,
        "GapSloMs": 200,
        "Attempts": 2,
        "Service": "assist" if kind == "streaming" else "desk",
        **changes,
    }


def config(**limits):
    """Return a configuration in the platform's format."""
    engine = routes()["Services"][0]["Engine"]
    return {
        "Version": 3,
        "Routes": [
            route("/ask/", "streaming", Resumable=True),
            route("/once/", "streaming", Resumable=False),
            route("/book/", "mutating", Attempts=1),
            route("/look/", "idempotent"),
            route("/open/", "idempotent", Anonymous=True),
        ],
        "Services": [
            {"Name": "assist", "HealthPath": "/healthz", "Engine": engine},
            {"Name": "desk", "HealthPath": "/healthz"},
        ],
        "Limits": {"MaxBodyBytes": 100_000, **limits},
        "Tenants": [{"Name": "blue", "ApiKeys": [KEY]}],
    }


class FixedSource:
    """A source whose configuration never changes; ``current`` is whether it may."""

    current = True

    def __init__(self, body):
        self.table = RouteTable(
            OperatorDecoder().decode_config(json.dumps(body).encode())
        )

    @property
    def config(self):
        return self.table.config

    def is_current(self):
        return self.current

    def provenance(self):
        return {"config_version": self.config.version}


class StandinView:
    """The placer's view; its candidates are the stand-in servers."""

    data_center = "norte"

    def __init__(self, servers, clock):
        self.servers = servers
        # Slots of each server.
        self.slots = 9
        self.suspects = SuspectCandidates(clock, FixedReach(), str)
        self.in_flight = None
        self.registry = Registry(TableReplica("servers", None, clock), None, clock)
        self.notices = ServerNotices(self.registry, clock)
        for server in itertools.chain.from_iterable(servers.values()):
            self.registry.servers[server.server] = registration(
                server.server, address=server.address
            )

    def candidates(self, request):
        return [
            Candidate(s.server, s.server, 1, s.address, "norte", self.slots)
            for s in self.servers[request.service]
            if self.registry.usable_registration(s.server)
        ]

    def load(self, candidate):
        return self.in_flight.count(candidate.name)

    def must_avoid(self, name):
        return name in self.suspects

    def cold_rate(self, candidate):
        return None

    def limit_per_s(self, server):
        return self.notices.limit_per_s(server)

    def pause_left_s(self, server):
        return self.notices.pause_left_s(server)

    def expected_time_to_start_s(self, request):
        return 0.0

    def is_ranked(self, request):
        return False

    def bounded_work(self, request):
        return UNKNOWN_WORK

    def slot_usage(self, request):
        return SlotUsage(0, 0, 0.1)


class FrontWithServers:
    """Two stand-in servers of each service and a front, all on loopback.

    ``peers`` are other fronts, which serve the requests while ``reach`` is cut off.
    """

    def __init__(self, body=None, peers=()):
        self._body = body or config()
        self._peers = peers
        self.lost_peers = set()
        # Names of the services whose routes count as of different priorities.
        self.ranked = set()
        self._stack = ExitStack()

    def __enter__(self):
        # As a node does when it starts. A garbage collection of what earlier tests have
        # left takes up to half a second.
        gc.freeze()
        self._stack.callback(gc.unfreeze)
        clock = SystemClock()
        store = StoreStandin()
        self.desks = self._servers(store, "desk", "")
        self.engines = self._servers(store, "assist", "d0")
        view = StandinView({"desk": self.desks, "assist": self.engines}, clock)
        self.time_to_start = TimeToStart()
        stop_time = StopTime(clock, self._expected_time_s)
        self.in_flight = InFlightRequests(clock, view.suspects.suspect, stop_time)
        view.in_flight = self.in_flight
        self.view = view
        view.suspects.last_progress_at = self.in_flight.last_progress_at
        self.registry = view.registry
        self.notices = view.notices
        gates = (
            WarmupGate("n1", lambda: ["n1"], clock),
            RateLimitGate("n1", lambda: ["n1"], clock),
        )
        self.crash_evidence = CrashEvidence(clock, lambda: 0.0)
        self.reach = FixedReach()
        self.channels = self._stack.enter_context(closing(ChannelPool(clock)))
        self.placer = Placer(view, self.in_flight, *gates, clock, random.Random(4))
        self.detours = DetourPlacer(
            self.placer,
            self.reach,
            self._peer_records,
            lambda name: name not in self.lost_peers,
            "norte",
            clock,
            random.Random(6),
        )
        self.metrics = RoutedMetrics()
        self.connections = CallerConnections(clock, self.metrics)
        stages = StartStages(clock)
        deps = ForwarderDeps(
            StepTrackingPlacer(self.detours, self.connections, stages),
            self.channels,
            self.in_flight,
            HEADER_NAMES,
            clock,
            self.time_to_start,
            view.notices,
            self.crash_evidence,
            self.reach,
            "n1",
            lambda request: request.service in self.ranked,
        )
        self.budget = SharedRetryBudget(0.2, 20.0, 10.0, lambda: 1, clock)
        forwarder = Forwarder(deps, lambda service: self.budget, lambda r, n: None)
        self.gateway = Gateway(
            FixedSource(self._body),
            forwarder,
            HEADER_NAMES,
            clock,
            random.Random(5),
            self.metrics,
            DemandMeter(clock),
            stop_time,
            stages,
            StartGate({}, clock, random.Random(7)),
        )
        server = new_front_server("127.0.0.1:0", self.gateway, clock, self.connections)
        server.start()
        self._stack.callback(server.stop, 0.2)
        self.server = server
        self.address = f"127.0.0.1:{server.server_port}"
        tasks = self._stack.enter_context(TaskGroup())
        tasks.spawn(self.in_flight.watch)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def _peer_records(self, service):
        return [
            NodeRecord(f"peer-{n}", f"peer-{n}-1", peer.address, "", "norte")
            for n, peer in enumerate(self._peers)
        ]

    def _expected_time_s(self, request):
        """Return how long such a request takes: for a stream, with its events."""
        to_start_s = self.time_to_start.mean_s(request.service, request.model)
        if not request.route.streams or not to_start_s:
            return to_start_s
        return to_start_s + max(e.events * e.event_s for e in self.engines)

    def _servers(self, store, service, domain):
        servers = []
        for number in range(2):
            name = f"{service}-{number}"
            server = ModelServerStandin(store, name, service, "norte", domain)
            server.start()
            self._stack.callback(server.stop)
            servers.append(server)
        return servers


def send_call(address, method, path, request_id, **headers):
    """Return status, headers and body of one exchange on a new connection."""
    headers = {
        "Host": "shop.example",
        "X-Attempt-Id": request_id,
        "Authorization": f"Bearer {KEY}",
        **headers,
    }
    with closing(http.client.HTTPConnection(address, timeout=6.0)) as conn:
        conn.request(method, path, headers=headers)
        resp = conn.getresponse()
        return resp.status, resp.headers, resp.read()


def wait_until(ready, timeout_s=5.0):
    """Wait until ``ready()`` is true; raises ``AssertionError`` after ``timeout_s``."""
    with gevent.Timeout(timeout_s, AssertionError("not in time")):
        while not ready():
            gevent.sleep(0.01)
