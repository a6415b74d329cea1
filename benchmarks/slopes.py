"""Cost of each additional server, node, probe, call or log record."""

import json
import random
import subprocess
import sys
import time
import tracemalloc
from contextlib import closing
from pathlib import Path
from typing import NamedTuple

from thrift.TSerialization import serialize

from auburnwall.base.clock import SystemClock
from auburnwall.fleet.directory import Directory
from auburnwall.fleet.engines.backends.http import HttpEngine
from auburnwall.fleet.planner.backends import PLANNERS
from auburnwall.fleet.prober import watchers_of
from auburnwall.fleet.relay import encode_probe_result
from auburnwall.fleet.vmlist.base import VmEntry
from auburnwall.routing.credits import Ledger, Report
from auburnwall.state.fold import State, fold
from auburnwall.state.log.base import LogRecord
from auburnwall.state.records import envelope
from auburnwall.wire.client import PeerPool
from auburnwall.wire.peer.ttypes import Cursor, Digest, LogWord
from auburnwall.wire.server import PeerServer
from demo.cluster import free_addresses, wait_for_port

from . import fleets

SERVERS = (60, 240, 1_000, 4_300)
NODES = (7, 20, 60)
CALLS = 2_000
ROOT = Path(__file__).parent.parent


class Slope(NamedTuple):
    """A straight line through measured points.

    ``base`` is the value at 0, in ``unit``; ``slope`` is the increase for each ``per``.
    ``fit`` is the share of the variance that the line explains.
    """

    name: str
    unit: str
    per: str
    base: float
    slope: float
    fit: float
    points: list

    def at(self, size):
        """Return the value at ``size``."""
        return self.base + self.slope * size


def fit_line(name, unit, per, points):
    """Return the least-squares line through (x, y) points."""
    xs, ys = zip(*points, strict=True)
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    sum_squares_x = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
    base = mean_y - slope * mean_x
    residual = sum((y - base - slope * x) ** 2 for x, y in points)
    total = sum((y - mean_y) ** 2 for y in ys) or 1.0
    return Slope(name, unit, per, base, slope, 1 - residual / total, list(points))


def cpu_s(function, times=1):
    """Return the processor seconds of one call, the minimum of three runs."""
    timings_s = []
    for _ in range(3):
        started_at = time.process_time()
        for _ in range(times):
            function()
        timings_s.append((time.process_time() - started_at) / times)
    return min(timings_s)


def state_slopes():
    """Return the slopes over the number of servers in the state."""
    sizes, memory, writes, reads, plans, eligible, lookups = [], [], [], [], [], [], []
    for servers in SERVERS:
        tracemalloc.start()
        fleet_state = fleets.state(servers)
        memory.append((servers, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        text = json.dumps(fleet_state.to_dict())
        sizes.append((servers, len(text)))
        writes.append((servers, cpu_s(lambda f=fleet_state: json.dumps(f.to_dict()))))
        reads.append((servers, cpu_s(lambda t=text: State.from_dict(json.loads(t)))))
        view = fleets.view(fleet_state, servers)
        planner = PLANNERS["best-fit"]()
        plans.append((servers, cpu_s(lambda v=view, p=planner: p.plan(v))))
        directory = Directory(
            "node-0",
            _FixedState(fleet_state),
            fleets.evidence(fleet_state),
            _EmptyRoster(),
            SystemClock(),
            most_groups=1_000_000,
        )
        eligible.append((servers, cpu_s(lambda d=directory: _evaluate_groups(d), 3)))
        entries = [
            VmEntry(vm, "a:1", c, d, False) for vm, c, d in fleets.vm_rows(servers)
        ]
        nodes = list(fleet_state.nodes.values())
        lookups.append(
            (
                servers,
                cpu_s(lambda e=entries, n=nodes: [watchers_of(x, n, 2) for x in e]),
            )
        )
    return [
        fit_line("snapshot", "bytes", "server", sizes),
        fit_line("folded state in memory", "bytes", "server", memory),
        fit_line("writing a snapshot", "CPU s", "server", writes),
        fit_line("reading a snapshot", "CPU s", "server", reads),
        fit_line("one plan of the fleet", "CPU s", "server", plans),
        fit_line("eligible groups of one model", "CPU s", "server", eligible),
        fit_line("dividing the watching among 7 nodes", "CPU s", "server", lookups),
    ]


def watching_slope():
    """Return the slope of finding a server's watchers over the number of nodes."""
    points = []
    entries = _entries(60)
    for count in NODES:
        nodes = list(fleets.state(60, count).nodes.values())
        points.append(
            (
                count,
                cpu_s(lambda n=nodes: [watchers_of(x, n, 2) for x in entries]) / 60,
            )
        )
    return fit_line("finding one server's watchers", "CPU s", "node", points)


def digest_slope():
    """Return the slope of a digest's size over the observations in it."""
    fresh_evidence = fleets.evidence(fleets.state(240))
    results = list(fresh_evidence.own_results.results.values())
    points = [
        (count, len(serialize(_digest(results[:count])))) for count in (0, 10, 50, 200)
    ]
    return fit_line("digest", "bytes", "changed observation", points)


def fold_cost():
    """Return the processor seconds to fold one record, a lease renewal."""
    fleet_state = fleets.state(1_000)
    lease = {
        "name": "steward/dc-0",
        "holder": "n",
        "incarnation": "i",
        "after": -1,
    }
    fold(fleet_state, LogRecord(0, 0, envelope("lease_take", "w", 1, lease)))
    body = {"name": "steward/dc-0", "fence": 0}
    records = [
        LogRecord(n, 0, envelope("lease_renew", "w", n + 1, body))
        for n in range(1, 6_001)
    ]
    started_at = time.process_time()
    for record in records:
        fold(fleet_state, record)
    return (time.process_time() - started_at) / len(records)


def exchange_cost():
    """Return the processor seconds of one exchange, of caller and server together."""

    class Handler:
        def exchange(self, cursor):
            return _digest([])

    address = free_addresses(1)[0]
    host, _, port = address.rpartition(":")
    server = PeerServer(host, int(port), Handler())
    server.start()
    with closing(PeerPool(timeout_s=5.0)) as peers:
        cursor = Cursor("a", "b", "c", 1)
        cost = cpu_s(lambda: peers.call(address, "exchange", cursor), CALLS)
    server.stop()
    return cost


def probe_cost():
    """Return the prober's processor seconds of one probe.

    The engine runs in another process.
    """
    control, member = free_addresses(2)
    command = [sys.executable, "-m", "standins", "engines", "--address", control]
    command += ["--members", f"vm={member}"]
    process = subprocess.Popen(command, cwd=ROOT)
    try:
        wait_for_port(member)
        engine = HttpEngine()
        return cpu_s(lambda: engine.report(member), CALLS // 2)
    finally:
        process.kill()
        process.wait()


def credit_cost():
    """Return the processor seconds of one credit decision among 20 routers."""
    ledger, rng, sequence = Ledger(2.0), random.Random(1), [0]

    def request_credits():
        sequence[0] += 1
        node = f"r{rng.randrange(20)}"
        report = Report(node, 1, 2, sequence[0], sequence[0] - 1, ledger._name)
        ledger.grant_slots(report, 64, time.monotonic())

    return cpu_s(request_credits, CALLS)


def _evaluate_groups(directory):
    """Evaluate all groups anew.

    A node caches the result for at least ``MIN_CACHE_S``.
    """
    directory._cached_views.clear()
    return directory.eligible("m", "t")


def _entries(servers):
    return [VmEntry(vm, "a:1", c, d, False) for vm, c, d in fleets.vm_rows(servers)]


class _FixedState:
    def __init__(self, fleet_state):
        self.state = fleet_state


class _EmptyRoster:
    def is_leaving(self, vm):
        return False


def _digest(results):
    now = time.monotonic()
    return Digest(
        node="node-0",
        incarnation="018f0000-0000-7000-8000-000000000001",
        folded=1_000_000,
        word=LogWord(1_000_001, 300),
        draining=False,
        whole=False,
        seq=100_000,
        unchanged_age_ms=300,
        observations=[encode_probe_result(s, now) for s in results],
        forgotten=[],
        running=70,
        config_offset=999_000,
        mode="fresh",
        suspects=[],
    )
