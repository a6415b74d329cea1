"""Latency of claims, and claims per log append, for several gathering times.

A claim shard gathers claims for this time and writes them in one append. The baseline
is one append per claim. With a gathering time of 0 ms, the claims that arrive during an
append still share the next one.
"""

import random

import gevent

from auburnwall.state.claims.index import Claim
from auburnwall.state.claims.keys import shard_of
from auburnwall.state.claims.shard import ClaimShard
from tests.faults.fakes import FakeLog
from tests.faults.virtual_time import VirtualClock
from tests.state.support import LogSimulation

CLAIMS_PER_S = 500
DURATION_S = 20
SHARDS = 2
LOG_DELAY_S = 0.02
SEED = 5


def run(gather_s):
    """Return a row of the report for claims that gather for ``gather_s`` seconds."""
    simulation = LogSimulation()
    simulation.log.slow_s = LOG_DELAY_S / 2
    shards = []
    for number in range(SHARDS):
        clock = VirtualClock(simulation.time)
        log = FakeLog(simulation, f"owner-{number}", clock)
        shard = ClaimShard(number, log, clock, gather_s=gather_s, retention_s=900.0)
        simulation.spawn(shard.run)
        shards.append(shard)
    rng, delays = random.Random(SEED), []
    tasks = [
        simulation.spawn(
            _claim, simulation, shards, number, rng.uniform(0, DURATION_S), delays
        )
        for number in range(CLAIMS_PER_S * DURATION_S)
    ]
    simulation.run(DURATION_S + 5.0)
    gevent.joinall(tasks, timeout=0)
    simulation.close()
    appends = sum(shard.appends for shard in shards)
    delays.sort()
    return {
        "claims settled": len(delays),
        "appends a second": round(appends / DURATION_S, 1),
        "claims an append": round(len(delays) / appends, 1),
        "p50 ms": round(delays[len(delays) // 2] * 1000, 1),
        "p95 ms": round(delays[int(len(delays) * 0.95)] * 1000, 1),
    }


def _claim(simulation, shards, number, starts_s, delays):
    simulation.time.after(starts_s).wait()
    sent_at = simulation.time.now
    request = Claim(f"key-{number}", "d", f"a-{number}", "n", "i")
    shards[shard_of(request.key, SHARDS)].claim(request, 10.0)
    delays.append(simulation.time.now - sent_at)


def main():
    """Return the rows of the report."""
    return [
        {"way": f"gather for {gather_s * 1000:.0f} ms", **run(gather_s)}
        for gather_s in (0.0, 0.01, 0.03, 0.05)
    ]
