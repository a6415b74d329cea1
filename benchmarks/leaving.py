"""Failed requests while a data centre goes out of service at peak and returns.

Twelve servers in two data centres receive a third of the load that they can handle.
The baseline sends each request to the nearest group without a limit. A server that
receives more requests than it can run crashes. The report shows, among others, the
share of correct responses in the worst second and the time to the first token.
"""

import contextlib
import io
from collections import defaultdict
from contextlib import ExitStack
from unittest import mock

from auburnwall.routing.choice import TwoChoices
from auburnwall.routing.credits import Grant, Ledger, RouterCredits
from tests.faults.world import SimulatedCluster, base_config

SEED = 7
REQUESTS_PER_S = 40
# Times in the run at which the load starts, the data centre goes out of service and
# returns, the load ends, and the run ends.
LOAD_FROM_S, OUT_S, BACK_S, LOAD_UNTIL_S, END_S = 20.0, 30.0, 50.0, 80.0, 95.0
FIRST_TOKEN_S = 1.5


def _config(config):
    config = base_config()
    config["selectors"]["chat"]["count"] = 6
    return config


def _nearest(self, request, candidates, in_flight):
    return sorted(candidates, key=lambda view: view.data_center != self._data_center)


def _unlimited(self, capacity, now):
    self.in_use += 1
    return True


BASELINE = [
    mock.patch.object(TwoChoices, "order", _nearest),
    mock.patch.object(Ledger, "grant_slots", lambda *args: Grant(10_000, 1e12, 1, "")),
    mock.patch.object(RouterCredits, "take", _unlimited),
]


def run(patches):
    """Return the report's figures with the patches applied."""
    with ExitStack() as stack:
        stack.enter_context(contextlib.redirect_stderr(io.StringIO()))
        for patch in patches:
            stack.enter_context(patch)
        cluster = SimulatedCluster(SEED, vms_per_center=6)
        stack.callback(cluster.close)
        cluster.fails_on_overload = True
        cluster.call_later(2.0, cluster.change_config, _config)
        cluster.call_later(LOAD_FROM_S, _load, cluster)
        cluster.call_later(OUT_S, cluster.set_center, "west", "out")
        cluster.call_later(BACK_S, cluster.set_center, "west", "in")
        started_at = cluster.time.now
        cluster.run(END_S)
        return _figures(cluster, started_at)


def _load(cluster):
    ends_at = cluster.time.now + LOAD_UNTIL_S - LOAD_FROM_S
    while cluster.time.now < ends_at:
        cluster.spawn(cluster.send_completion, cluster.entry_nodes()[0])
        cluster.time.after(1 / REQUESTS_PER_S).wait()


def _figures(cluster, started_at):
    results_by_second = defaultdict(list)
    for outcome in cluster.outcomes:
        results_by_second[int(outcome.sent_at - started_at)].append(outcome.correct)
    success_ratios = [
        sum(correct) / len(correct) for correct in results_by_second.values()
    ]
    delays_s = sorted(
        cluster.first_chunk_at[outcome.request_id] - outcome.sent_at
        for outcome in cluster.outcomes
        if outcome.correct
    )
    return {
        "requests": len(cluster.outcomes),
        "answered right": f"{sum(outcome.correct for outcome in cluster.outcomes)}",
        "seconds with a failure": sum(ratio < 1 for ratio in success_ratios),
        "worst second": f"{min(success_ratios):.0%}",
        "servers that fell over": len(cluster.overload_failures),
        "first token p95 ms": round(delays_s[int(len(delays_s) * 0.95)] * 1000),
    }


def main():
    """Return the rows of the report."""
    return [
        {"way": "nearest first, no limits", **run(BASELINE)},
        {"way": "two choices, credits", **run([])},
    ]
