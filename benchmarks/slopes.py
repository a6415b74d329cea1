"""Slopes: what one more server, node, probe, call or record costs."""

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
    """A straight line through measured points, with its fit."""

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


def fitted(name, unit, per, points):
    """Return the least-squares line; ``fit`` is the share of variance explained."""
    xs, ys = zip(*points, strict=True)
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    rest = sum((y - base - slope * x) ** 2 for x, y in points)
    total = sum((y - mean_y) ** 2 for y in ys) or 1.0
    return Slope(name, unit, per, base, slope, 1 - rest / total, list(points))


def cpu_of(function, times=1):
    """Return processor seconds of one call, the least of three runs."""
    found = []
    for _ in range(3):
        began = time.process_time()
        for _ in range(times):
            function()
        found.append((time.process_time() - began) / times)
    return min(found)


def state_slopes():
    """Return slopes over the number of servers in the folded state."""
    size, memory, write, read, plan, choose, labels = [], [], [], [], [], [], []
    for servers in SERVERS:
        tracemalloc.start()
        folded = fleets.state(servers)
        memory.append((servers, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        text = json.dumps(folded.to_dict())
        size.append((servers, len(text)))
        write.append((servers, cpu_of(lambda f=folded: json.dumps(f.to_dict()))))
        read.append((servers, cpu_of(lambda t=text: State.from_dict(json.loads(t)))))
        view = fleets.view(folded, servers)
        planner = PLANNERS["best-fit"]()
        plan.append((servers, cpu_of(lambda v=view, p=planner: p.plan(v))))
        directory = Directory(
            "node-0",
            _Following(folded),
            fleets.evidence(folded),
            _Roster(),
            SystemClock(),
            most_groups=1_000_000,
        )
        choose.append((servers, cpu_of(lambda d=directory: _judge(d), 3)))
        entries = [
            VmEntry(vm, "a:1", c, d, False) for vm, c, d in fleets.names(servers)
        ]
        nodes = list(folded.nodes.values())
        labels.append(
            (
                servers,
                cpu_of(lambda e=entries, n=nodes: [watchers_of(x, n, 2) for x in e]),
            )
        )
    return [
        fitted("snapshot", "bytes", "server", size),
        fitted("folded state in memory", "bytes", "server", memory),
        fitted("writing a snapshot", "CPU s", "server", write),
        fitted("reading a snapshot", "CPU s", "server", read),
        fitted("one plan of the fleet", "CPU s", "server", plan),
        fitted("eligible groups of one model", "CPU s", "server", choose),
        fitted("dividing the watching among 7 nodes", "CPU s", "server", labels),
    ]


def watching_slope():
    """Return the cost of dividing the watching of 60 servers by nodes."""
    points = []
    entries = _entries(60)
    for count in NODES:
        nodes = list(fleets.state(60, count).nodes.values())
        points.append(
            (
                count,
                cpu_of(lambda n=nodes: [watchers_of(x, n, 2) for x in entries]) / 60,
            )
        )
    return fitted("finding one server's watchers", "CPU s", "node", points)


def digest_slope():
    """Return the bytes of a digest by the observations in it."""
    found = fleets.evidence(fleets.state(240))
    results = list(found.own.results.values())
    points = [
        (count, len(serialize(_digest(results[:count])))) for count in (0, 10, 50, 200)
    ]
    return fitted("digest", "bytes", "changed observation", points)


def fold_cost():
    """Return processor seconds of folding one record, the renewal of a lease."""
    folded = fleets.state(1_000)
    taken = {
        "name": "steward/dc-0",
        "holder": "n",
        "incarnation": "i",
        "after": -1,
    }
    fold(folded, LogRecord(0, 0, envelope("lease_take", "w", 1, taken)))
    body = {"name": "steward/dc-0", "fence": 0}
    records = [
        LogRecord(n, 0, envelope("lease_renew", "w", n + 1, body))
        for n in range(1, 6_001)
    ]
    began = time.process_time()
    for record in records:
        fold(folded, record)
    return (time.process_time() - began) / len(records)


def exchange_cost():
    """Return processor seconds of one exchange, calling and answering together."""

    class Handler:
        def exchange(self, cursor):
            return _digest([])

    address = free_addresses(1)[0]
    host, _, port = address.rpartition(":")
    server = PeerServer(host, int(port), Handler())
    server.start()
    with closing(PeerPool(timeout_s=5.0)) as peers:
        cursor = Cursor("a", "b", "c", 1)
        cost = cpu_of(lambda: peers.call(address, "exchange", cursor), CALLS)
    server.stop()
    return cost


def probe_cost():
    """Return processor seconds of one probe; the engine is another process."""
    control, member = free_addresses(2)
    command = [sys.executable, "-m", "standins", "engines", "--address", control]
    command += ["--members", f"vm={member}"]
    process = subprocess.Popen(command, cwd=ROOT)
    try:
        wait_for_port(member)
        engine = HttpEngine()
        return cpu_of(lambda: engine.report(member), CALLS // 2)
    finally:
        process.kill()
        process.wait()


def credit_cost():
    """Return processor seconds of one decision on credits among 20 routers."""
    ledger, rng, numbers = Ledger(2.0), random.Random(1), [0]

    def ask():
        numbers[0] += 1
        node = f"r{rng.randrange(20)}"
        report = Report(node, 1, 2, numbers[0], numbers[0] - 1, ledger._name)
        ledger.request(report, 64, time.monotonic())

    return cpu_of(ask, CALLS)


def _judge(directory):
    """Judge all groups anew, as a node does at most every ``JUDGED_S``."""
    directory._judged.clear()
    return directory.eligible("m", "t")


def _entries(servers):
    return [VmEntry(vm, "a:1", c, d, False) for vm, c, d in fleets.names(servers)]


class _Following:
    def __init__(self, folded):
        self.state = folded


class _Roster:
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
