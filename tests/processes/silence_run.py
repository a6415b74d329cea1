"""Play a silence of all servers: ``python -m tests.processes.silence_run``.

Prints how the requests of callers ended, and what the nodes' logs say of the streams
that were cut, of refusals and of suspicions, with times relative to the silence's end.
The logs stay in the directory ``--out``.
"""

import argparse
import itertools
import json
import re
import signal
import subprocess
import sys
import time
from collections import Counter, defaultdict
from contextlib import ExitStack
from datetime import datetime
from pathlib import Path

from demo.cluster import EXIT_TIMEOUT_S
from demo.platform_cluster import PlatformCluster
from standins.platformconfig import CONFIG_KEY, OPERATOR_TOPIC

from .kept_callers import (
    REFUSED,
    WHOLE,
    KeptCallers,
    longest_refusal_s,
    outcomes,
)
from .test_silent_servers import BESIDE_S, EVENT_S, EVENTS, configurations

BUSY = "import time\nends_at = time.time() + {}\nwhile time.time() < ends_at: pass"
# Longest time until all nodes are ready.
READY_S = 60.0
# Length of the intervals in which outcomes are counted.
BIN_S = 0.5
# Number of the sequences of log lines of which an example is shown.
SHOWN_WAYS = 4
# Whole streams with a longer time without bytes are reported too, in seconds.
LONG_GAP_S = 0.5
# Lines of the log that show why streams are cut and new ones are refused.
FLEET_EVENTS = (
    "group doubted",
    "group ended",
    "group planned",
    "server silent",
    "broker lost",
    "paused",
    "slot not released",
)


def parse_args():
    """Return the run's parameters."""
    parser = argparse.ArgumentParser(prog="silence_run")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--mesh-nodes", type=int, default=3, help="nodes of a mesh")
    parser.add_argument("--streams", type=int, default=20, help="callers of streams")
    parser.add_argument("--plain", type=int, default=20, help="other callers")
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside")
    parser.add_argument("--silence-s", type=float, default=1.1)
    parser.add_argument("--after-s", type=float, default=8.0)
    parser.add_argument("--servers-alone", action="store_true")
    parser.add_argument("--beside", choices=["none", "config", "stop"], default="none")
    return parser.parse_args()


def main():
    """Play one silence and print what was seen."""
    args = parse_args()
    env = {"AUBURNWALL_MAX_MESH_NODES": str(args.mesh_nodes)}
    with ExitStack() as stack:
        cluster = stack.enter_context(PlatformCluster(args.nodes, args.out, env))
        cluster.wait(
            lambda: all(map(cluster.is_ready, cluster.nodes)), "ready", READY_S
        )
        for name, path in itertools.product(cluster.nodes, ("/ask/x", "/look/x")):
            cluster.wait(lambda n=name, p=path: is_served(cluster, n, p), "served")
        cluster.set_streams(EVENTS, EVENT_S)
        for _ in range(args.busy):
            process = subprocess.Popen(
                [sys.executable, "-c", BUSY.format(10 + args.silence_s + args.after_s)]
            )
            stack.callback(process.wait, EXIT_TIMEOUT_S)
            stack.callback(process.kill)
        paths = args.streams * ["/ask/"] + args.plain // 2 * ["/look/", "/book/"]
        with KeptCallers(cluster, paths, EVENTS) as callers:
            time.sleep(4.0)
            waited = {name: waited_s(cluster, name) for name in cluster.nodes}
            silent_at = time.time()
            play_silence(cluster, args)
            back_at = time.time()
            time.sleep(args.after_s)
            late = {
                name: round(waited_s(cluster, name) - before_s, 2)
                for name, before_s in waited.items()
                if cluster.exit_code(name) is None
            }
        logs = {name: cluster.log_events(name) for name in cluster.nodes}
    print(f"silent for {back_at - silent_at:.2f} s; errors {callers.errors}")
    report_callers(callers, silent_at, back_at)
    print("seconds that the nodes waited for a processor:", sorted(late.values()))
    report_logs(callers, logs, back_at)


def is_served(cluster, name, path):
    """Return whether a node serves a request on a path."""
    try:
        return cluster.send_request(name, f"r-{time.time()}", path)[0] == 200
    except OSError:
        return False


def waited_s(cluster, name):
    """Return how long a node's process has been runnable without a processor."""
    tasks = Path(f"/proc/{cluster.process(name).pid}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[1]) for path in tasks) / 1e9


def play_silence(cluster, args):
    """Silence the servers, and change what ``--beside`` says in the middle."""
    if args.servers_alone or args.beside != "none":
        cluster.silence_servers(args.silence_s)
    else:
        cluster.signal("platform", signal.SIGSTOP)
    time.sleep(BESIDE_S)
    if args.beside == "config":
        cluster.put(OPERATOR_TOPIC, CONFIG_KEY, list(configurations())[-1])
    elif args.beside == "stop":
        cluster.signal(sorted(cluster.nodes)[-1], signal.SIGTERM)
    time.sleep(args.silence_s - BESIDE_S)
    cluster.signal("platform", signal.SIGCONT)


def report_callers(callers, silent_at, back_at):
    """Print how the requests ended."""
    streams = callers.streams()
    before = [s for s in streams if s.sent_at < silent_at]
    print("plain:", outcomes(e for e in callers.ended if e not in streams))
    print("streams:", outcomes(streams))
    print(
        "ended before the silence:",
        outcomes(s for s in before if s.ended_at < silent_at),
    )
    print(
        "under way at the silence:",
        outcomes(s for s in before if s.ended_at >= silent_at),
    )
    print(f"nearly all refused for {longest_refusal_s(streams, back_at):.2f} s")
    bins = defaultdict(Counter)
    for stream in streams:
        bins[int((stream.sent_at - back_at) // BIN_S)][stream.outcome] += 1
    for number, counts in sorted(bins.items()):
        print(f"  sent from {number * BIN_S:+.1f} s:", dict(counts))
    whole = [s.gap_s for s in streams if s.outcome == WHOLE]
    print(
        f"longest time without bytes in a whole stream: {max(whole, default=0):.2f} s"
    )


def report_logs(callers, logs, back_at):
    """Print what the nodes say of cut streams, refusals and suspicions."""
    lines = defaultdict(list)
    for name, entry in merged(logs, back_at):
        lines[entry.get("request")].append((name, entry))
    ways, shown = defaultdict(list), 0
    for stream in callers.streams():
        if stream.outcome != REFUSED and (
            stream.outcome != WHOLE or stream.gap_s > LONG_GAP_S
        ):
            own = lines[stream.request_id]
            way = " > ".join(short(entry) for _, entry in own)
            ways[stream.outcome, way].append(stream)
    for (outcome, way), streams in sorted(ways.items(), key=lambda p: -len(p[1])):
        gaps = [s.gap_s for s in streams]
        span = f"{min(gaps):.2f} to {max(gaps):.2f}"
        print(f"{len(streams)} {outcome}, {span} s without bytes: {way}")
        if outcome != WHOLE and shown < SHOWN_WAYS:
            shown += 1
            for name, entry in lines[streams[0].request_id]:
                print("   ", name, json.dumps(entry))
    refused = Counter()
    for stream in (s for s in callers.streams() if s.outcome == REFUSED):
        own = [
            e for _, e in lines[stream.request_id] if e["event"] == "request refused"
        ]
        why = " | ".join(
            f"{e.get('wait_class')}: {without_figures(e['why'])}" for e in own
        )
        refused[int((stream.ended_at - back_at) // 1.0), why] += 1
    for (second, why), count in sorted(refused.items()):
        print(f"{count} refused from {second:+d} s: {why}")
    told = Counter()
    for _, entry in merged(logs, back_at):
        if entry["event"] in FLEET_EVENTS and entry["at"] > -2.0:
            source = entry.get("source")
            kind = source if source in (None, "own streams") else "a peer"
            told[
                round(entry["at"] * 2) / 2,
                entry["event"],
                kind,
                entry.get("for_s"),
                entry.get("group") or entry.get("peer") or entry.get("why"),
            ] += 1
    for key, count in sorted(told.items(), key=lambda pair: str(pair[0])):
        print(f"{count} lines:", *key)


def merged(logs, back_at):
    """Return pairs of node and log line by time; ``at`` counts from ``back_at``."""
    entries = [
        (name, {**entry, "at": round(time_of(entry) - back_at, 2)})
        for name, own in logs.items()
        for entry in own
        if "event" in entry
    ]
    return sorted(entries, key=lambda pair: pair[1]["time"])


def time_of(entry):
    """Return the time of a log line, as that of ``time.time()``."""
    return datetime.fromisoformat(entry["time"]).timestamp()


def short(entry):
    """Return a log line's event and reason, without figures."""
    why = entry.get("why") or entry.get("wait_class")
    return f"{entry['event']} ({without_figures(why)})" if why else entry["event"]


def without_figures(text):
    """Return a text with each number replaced."""
    return re.sub(r"\d+(\.\d+)?", "N", text)


if __name__ == "__main__":
    main()
