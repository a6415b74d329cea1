"""Versions of the configuration in quick succession, and how late nodes go by them.

Each node has an address of the store for itself, so that the store can fail for some
nodes alone. Each node is asked again and again for the routes of the newest versions,
with an unknown key: 401 says that it knows the route, 404 that it does not, so nothing
runs at a server.

``python -m tests.processes.configuration_run --help`` plays one by hand.
"""

import argparse
import http.client
import itertools
import json
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import defaultdict
from contextlib import ExitStack
from typing import NamedTuple

from demo.cluster import free_addresses
from demo.platform_cluster import PlatformCluster
from standins.platformconfig import (
    CONFIG_KEY,
    HOST,
    OPERATOR_TOPIC,
    request_headers,
    routes,
)

NODES = 7
# Bounds of the users' pages, in seconds: a version is in force this long after its
# acknowledgement, at nodes that have been in touch for this long.
CONFIG_S, CONTACT_S = 2.0, 3.0
# With this, two of the nodes are relays, which read the store for the others.
RELAYS_ENV = {"AUBURNWALL_MAX_MESH_NODES": "2"}
# Routes that each version has besides those that came with a version.
EARLIER_ROUTES = 350
VERSION_INTERVAL_S, ASK_INTERVAL_S = 0.33, 0.04
# Versions that are asked for: enough for those of the longest delay that is measured.
MAX_ASKED_VERSIONS = 60


class Answer(NamedTuple):
    """A node's answer on the route of a version; ``status`` is 0 if there was none."""

    node: str
    version: int
    sent_at: float
    status: int


class DoorsCluster(PlatformCluster):
    """A cluster in which each node has an address of the store for itself."""

    PLATFORM_ARGUMENTS = ()

    def __init__(self, node_count, out, node_env=()):
        super().__init__(node_count, out, node_env)
        self.doors = {}

    def _start_platform(self):
        doors = free_addresses(self._node_count)
        self._free_doors = iter(doors)
        super()._start_platform("--doors", ",".join(doors), *self.PLATFORM_ARGUMENTS)

    def add_node(self, name, store=None):
        """Start a node, with its own address of the store if ``store`` is not given."""
        if store is None and name not in self.doors:
            self.doors[name] = next(self._free_doors)
        super().add_node(name, store or self.doors[name])

    def set_door(self, node, trouble):
        """Set how the store fails for one node; empty for not at all."""
        self._post("/standin/door", {"address": self.doors[node], "trouble": trouble})


def configuration(version, added):
    """Return a version with the routes of the versions ``added``."""
    body = routes()
    look = body["Routes"][-1]
    more = (f"earlier{n}" for n in range(EARLIER_ROUTES))
    names = itertools.chain(more, (f"v{n}" for n in added))
    body["Routes"] += [
        {**look, "Name": name, "PathPrefix": f"/{name}/"} for name in names
    ]
    body["Version"] = version
    return body


class ConfigurationRun:
    """Writes versions and asks all nodes for their routes, in threads of its own.

    ``acknowledged_at`` is when the store had acknowledged a version, by version, and
    ``answers`` are the nodes' ``Answer`` on them.
    """

    def __init__(self, cluster):
        self.cluster = cluster
        self.names = sorted(cluster.nodes)
        self.acknowledged_at = {}
        self.answers = []
        self._known = defaultdict(set)
        self._next_version = itertools.count(10)
        self._stopped = threading.Event()
        self._is_writing = threading.Event()
        self._is_writing.set()
        self._threads = []

    def __enter__(self):
        self._start(self._write_versions)
        for name in self.names:
            self._start(self._ask, name)
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def write_version(self):
        """Write the next version and return it after its acknowledgement."""
        version = next(self._next_version)
        added = [*list(self.acknowledged_at)[-MAX_ASKED_VERSIONS:], version]
        body = configuration(version, added)
        self.cluster.put(OPERATOR_TOPIC, CONFIG_KEY, body)
        self.acknowledged_at[version] = time.monotonic()
        return version

    def add_node(self, name):
        """Start a new node and ask it from now on."""
        self.cluster.add_node(name, self.cluster.store)
        self.names.append(name)
        self._start(self._ask, name)

    def _start(self, target, *args):
        self._threads.append(threading.Thread(target=target, args=args))
        self._threads[-1].start()

    def stop_writing(self):
        """Write no more versions from now on."""
        self._is_writing.clear()

    def go_on_writing(self):
        """Write versions again."""
        self._is_writing.set()

    def lateness(self, statuses=(404,)):
        """Return, by node and version, how late the route was last denied, in seconds.

        The time is that from the acknowledgement to the sending of the request; answers
        of ``statuses`` deny it. Versions that the node has known at once are left out.
        """
        late_s = {}
        for answer in self.answers:
            if answer.status in statuses:
                at = answer.sent_at - self.acknowledged_at[answer.version]
                key = answer.node, answer.version
                late_s[key] = max(at, late_s.get(key, 0.0))
        return late_s

    def late_after(self, ended_at, statuses=(404,)):
        """Return how long each node denied older versions after a time, in seconds.

        These are the versions that were acknowledged before ``ended_at``; answers of
        ``statuses`` deny them.
        """
        late_s = {}
        for answer in self.answers:
            late = answer.sent_at - ended_at
            if (
                answer.status in statuses
                and late > 0
                and self.acknowledged_at[answer.version] < ended_at
            ):
                late_s[answer.node] = max(late, late_s.get(answer.node, 0.0))
        return late_s

    def returned(self):
        """Return the answers that deny a route that the same node had known before."""
        known, returned = set(), []
        for answer in sorted(self.answers, key=lambda a: a.sent_at):
            if answer.status == 401:
                known.add((answer.node, answer.version))
            elif answer.status == 404 and (answer.node, answer.version) in known:
                returned.append(answer)
        return returned

    def not_in_force(self):
        """Return the versions that a node has not been seen to know, by node."""
        return {
            name: sorted(set(self.acknowledged_at) - self._known[name])
            for name in self.names
            if set(self.acknowledged_at) - self._known[name]
        }

    def moments_of_many(self, count, within_s=0.1):
        """Return when ``count`` nodes or more denied a version late at one moment."""
        late = sorted(
            (answer.sent_at, answer.node)
            for answer in self.answers
            if answer.status == 404
            and answer.sent_at - self.acknowledged_at[answer.version] > CONFIG_S
        )
        return [
            at
            for at, _ in late
            if len({n for t, n in late if at <= t <= at + within_s}) >= count
        ]

    def _write_versions(self):
        while not self._stopped.is_set():
            if self._is_writing.is_set():
                self.write_version()
            self._stopped.wait(VERSION_INTERVAL_S)

    def _ask(self, name):
        conn = None
        while not self._stopped.is_set():
            unknown = sorted(set(self.acknowledged_at) - self._known[name])
            asked = unknown[-3:] + unknown[:3] or list(self.acknowledged_at)[-1:]
            for version in dict.fromkeys(asked):
                if conn is None:
                    address = self.cluster.nodes[name]["front"]
                    conn = http.client.HTTPConnection(address, timeout=8.0)
                sent_at = time.monotonic()
                try:
                    status = self._request(conn, version)
                except (OSError, http.client.HTTPException):
                    conn.close()
                    conn, status = None, 0
                self.answers.append(Answer(name, version, sent_at, status))
                if status == 401:
                    self._known[name].add(version)
            self._stopped.wait(ASK_INTERVAL_S)

    def _request(self, conn, version):
        headers = request_headers(f"v{version}", key="unknown")
        conn.request("GET", f"/v{version}/x", headers={**headers, "Host": HOST})
        resp = conn.getresponse()
        resp.read()
        return resp.status


def main():
    """Play one run and print how late nodes went by new versions."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--trouble", default="", help="at the store, or of the nodes")
    parser.add_argument("--at-return", default="", help="trouble after a kill or stop")
    parser.add_argument("--delay", type=float, help="seconds from an acknowledgement")
    parser.add_argument("--nodes", type=int, default=2, help="nodes with the trouble")
    parser.add_argument("--seconds", type=float, default=9.0)
    parser.add_argument("--after", type=float, default=5.0)
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside")
    parser.add_argument("--relays", action="store_true", help="as in a large fleet")
    parser.add_argument("--out", help="folder for the logs")
    args = parser.parse_args()
    with ExitStack() as stack:
        out = args.out or stack.enter_context(tempfile.TemporaryDirectory())
        node_env = RELAYS_ENV if args.relays else {}
        cluster = stack.enter_context(DoorsCluster(NODES, out, node_env))
        names = sorted(cluster.nodes)
        cluster.wait(lambda: all(map(cluster.is_ready, names)), "all nodes are ready")
        for _ in range(args.busy):
            busy = subprocess.Popen([sys.executable, "-c", "while True: pass"])
            stack.callback(busy.wait)
            stack.callback(busy.kill)
        run = stack.enter_context(ConfigurationRun(cluster))
        time.sleep(3.0)
        if args.delay is not None:
            run.stop_writing()
            time.sleep(VERSION_INTERVAL_S)
            run.write_version()
            time.sleep(args.delay)
        began_at = time.monotonic()
        _begin(run, args.trouble, names[: args.nodes], args.at_return)
        run.go_on_writing()
        time.sleep(args.seconds)
        _end(cluster, args.trouble, names[: args.nodes])
        ended_at = time.monotonic()
        time.sleep(args.after)
        run.stop_writing()
        time.sleep(1.0)
    late_s = run.lateness()
    after_s = _rounded(run.late_after(ended_at))
    unavailable_s = _rounded(run.late_after(ended_at, (404, 503)))
    print(
        json.dumps(
            {
                "trouble": args.trouble,
                "nodes": args.nodes,
                "busy": args.busy,
                "versions": len(run.acknowledged_at),
                "late_s": round(max(late_s.values(), default=0.0), 2),
                "late": sum(s > CONFIG_S for s in late_s.values()),
                "late_at": sorted({n for (n, _), s in late_s.items() if s > CONFIG_S}),
                "after_end_s": after_s,
                "unavailable_after_end_s": unavailable_s,
                "returned": len(run.returned()),
                "not_in_force": {n: len(v) for n, v in run.not_in_force().items()},
                "three_at_once": [
                    round(t - began_at, 1) for t in run.moments_of_many(3)[:3]
                ],
                "answers": {
                    s: sum(a.status == s for a in run.answers)
                    for s in sorted({a.status for a in run.answers})
                },
            }
        )
    )


def _rounded(seconds):
    return {name: round(value, 2) for name, value in sorted(seconds.items())}


SIGNALS = {
    "pause": signal.SIGSTOP,
    "kill": signal.SIGKILL,
    "replace": signal.SIGKILL,
    "stop": signal.SIGTERM,
}


def _begin(run, trouble, names, at_return):
    cluster = run.cluster
    for name in names:
        if trouble in SIGNALS:
            cluster.signal(name, SIGNALS[trouble])
        elif trouble:
            cluster.set_door(name, trouble)
    if trouble in ("kill", "stop"):
        for name in names:
            cluster.process(name).wait(10.0)
            cluster.set_door(name, at_return)
            cluster.launch_node(name)
    if trouble == "replace":
        for number, _ in enumerate(names):
            run.add_node(f"edge-norte-new-{number}")


def _end(cluster, trouble, names):
    for name in names:
        if trouble == "pause":
            cluster.signal(name, signal.SIGCONT)
        elif trouble not in ("", "hushed", "replace"):
            cluster.set_door(name, "")


if __name__ == "__main__":
    main()
