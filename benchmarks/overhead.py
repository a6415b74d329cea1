"""Processor time of a node for each request, compared with a bare gevent relay.

The node and the relay each run as a process in front of the same engine stand-in, under
the same load: eight concurrent callers, each with one request at a time. The processor
time that an idle node uses for its control loops is subtracted.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent
import urllib3

from demo.cluster import Cluster, VmSpec, free_addresses, wait_for_port, wait_until

CALLERS = 8
REQUESTS_PER_CALLER = 25
ROOT = Path(__file__).parent.parent
CONFIG = ROOT / "demo" / "config.toml"
KEY, MODEL = "drivers-key", "dispatch-70b"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
IDLE_S = 3.0


def cpu_s(pid):
    """Return the processor seconds that a process has used since its start."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    # User and system time.
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def load(address, tokens, headers):
    """Request streams and return how many of them were complete."""
    pool = urllib3.PoolManager(retries=False, maxsize=CALLERS)
    complete = []

    def send_requests():
        for _ in range(REQUESTS_PER_CALLER):
            body = {
                "model": MODEL,
                "stream": True,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": "x"}],
            }
            resp = pool.request(
                "POST",
                f"http://{address}/v1/chat/completions",
                body=json.dumps(body),
                headers={"Content-Type": "application/json", **headers},
            )
            complete.append(resp.data.endswith(b"data: [DONE]\n\n"))

    gevent.joinall([gevent.spawn(send_requests) for _ in range(CALLERS)])
    return sum(complete)


def measure(pid, address, tokens, headers, idle_share):
    """Return the process's processor seconds per response of ``tokens`` tokens.

    ``idle_share`` is the share of a core that the idle process uses. Raises
    RuntimeError if a response is not complete.
    """
    load(address, 1, headers)
    started_at, cpu_before_s = time.monotonic(), cpu_s(pid)
    complete = load(address, tokens, headers)
    used_s = cpu_s(pid) - cpu_before_s - idle_share * (time.monotonic() - started_at)
    if complete != CALLERS * REQUESTS_PER_CALLER:
        raise RuntimeError(f"only {complete} responses were complete")
    return used_s / complete


def costs(pid, address, headers, idle_share=0.0):
    """Return processor seconds for a request without tokens, and for each token."""
    few_tokens, many_tokens = 5, 205
    few_tokens_s = measure(pid, address, few_tokens, headers, idle_share)
    many_tokens_s = measure(pid, address, many_tokens, headers, idle_share)
    token_s = (many_tokens_s - few_tokens_s) / (many_tokens - few_tokens)
    return few_tokens_s - few_tokens * token_s, token_s


def main():
    """Return the rows of the report."""
    engines = [VmSpec(f"gpu-{n}", "norte-cali", "f1") for n in range(2)]
    with (
        tempfile.TemporaryDirectory() as out,
        Cluster(
            ["norte-cali"],
            1,
            engines,
            [],
            out,
            engine_flags=["--token-s", "0"],
            **{"log-level": "warning"},
        ) as cluster,
    ):
        return _compare(cluster)


def _compare(cluster):
    cluster.start_node("entry-1")
    cluster.operate("apply", str(CONFIG))
    serving = lambda: "yes" in cluster.operate("status")[1]  # noqa: E731
    wait_until(serving, 30.0, "a serving group")
    time.sleep(4.0)
    _, address, _ = cluster.nodes["entry-1"]
    pid = cluster.pid("entry-1")
    cpu_before_s = cpu_s(pid)
    time.sleep(IDLE_S)
    idle_share = (cpu_s(pid) - cpu_before_s) / IDLE_S
    node_costs = costs(pid, address, {"Authorization": f"Bearer {KEY}"}, idle_share)
    status = cluster.get(address, "/admin/status")
    group = next(g for g in status["groups"] if not g["obstacle"])
    relay_address = free_addresses(1)[0]
    command = [sys.executable, "-m", "benchmarks.relay", relay_address]
    relay = subprocess.Popen(
        [*command, cluster.vm_addresses[group["vms"][0]]], cwd=ROOT
    )
    try:
        wait_for_port(relay_address)
        headers = {"X-Auburnwall-Generation": str(group["generation"])}
        relay_costs = costs(relay.pid, relay_address, headers)
    finally:
        relay.send_signal(signal.SIGKILL)
        relay.wait()
    return [
        {
            "what": what,
            "node, us": round(node_s * 1e6, 1),
            "relay, us": round(relay_s * 1e6, 1),
            "ratio": round(node_s / relay_s, 2) if relay_s > 0 else "relay too small",
            "share of a core at the large size": f"{node_s * per_s:.0%}",
        }
        # Requests and tokens per second at one of the nodes of the large size.
        for what, node_s, relay_s, per_s in (
            ("a request", node_costs[0], relay_costs[0], 72),
            ("a streamed token", node_costs[1], relay_costs[1], 15_000),
        )
    ] + [
        {
            "what": "idle node, share of a core",
            "node, us": f"{idle_share:.1%}",
            "relay, us": "",
            "ratio": "",
            "share of a core at the large size": "",
        }
    ]
