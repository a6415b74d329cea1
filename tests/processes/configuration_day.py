"""A day of many versions, beside a store and nodes in trouble, on real processes.

Routes come, move to another service and go again within a second, and keys are added
and taken away. All nodes are asked at the same moments, and each answer is held against
the versions that may be in force then; see ``configuration_history``.

``python -m tests.processes.configuration_day --help`` plays days by hand.
"""

import argparse
import http.client
import itertools
import json
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import NamedTuple

from standins.platformconfig import (
    CONFIG_KEY,
    HOST,
    KEY,
    OPERATOR_TOPIC,
    request_headers,
    routes,
)

from .configuration_history import DECIDED, Answer, History, Version
from .configuration_run import CONFIG_S, CONTACT_S, NODES, RELAYS_ENV, DoorsCluster

# Pauses between two versions, in seconds: most are up to the first, a share up to the
# second. That makes some 150 versions in 35 s.
SHORT_PAUSE_S, LONG_PAUSE_S, LONG_SHARE = 0.2, 3.5, 0.06
# Times without a version after a trouble, in seconds: what a node has missed then, it
# goes on missing until the next version.
QUIET_S = (0.0, 0.0, 3.0, 7.0)
# Routes that each version has besides those that change.
EARLIER_ROUTES = 350
# Interval between two rounds of questions, questions in a round, and time for which a
# route or key is asked for after its last change, in seconds.
ROUND_S, ROUND_QUESTIONS, ASKED_FOR_S = 0.09, 6, 5.0
# Time for which a store that loses its newest records is away, and how old the copy is
# with which it comes back, in seconds.
AWAY_S, LOST_S = 0.4, 1.0
# Time after a version was acknowledged at which one before it is carried out.
LATE_WRITE_S = 0.7
# Interval between two troubles and the longest of them, in seconds.
TROUBLE_INTERVAL_S, MAX_TROUBLE_S = 5.0, 3.0
# What the store does to all nodes, or to some of them by their doors.
STORE_TROUBLES = ("lose", "late write", "expire")
DOOR_TROUBLES = ("delayed", "silent", "many", "slow")
# What happens to a node at the same moment.
SIGNALS = {"kill": signal.SIGKILL, "term": signal.SIGTERM, "pause": signal.SIGSTOP}
NODE_TROUBLES = ("", *SIGNALS, "add")
SERVICES = ("desk", "annex")
UNKNOWN_KEY = "never-held"


class Trouble(NamedTuple):
    """What the store and a node do ``at_s`` seconds into a day, for ``for_s`` seconds.

    ``store`` is of ``STORE_TROUBLES``, or of ``DOOR_TROUBLES`` for the first ``doors``
    nodes. ``node`` is what happens to the node number ``target``, of ``NODE_TROUBLES``.
    For ``quiet_s`` no version follows.
    """

    at_s: float
    for_s: float
    store: str
    doors: int
    node: str
    target: int
    quiet_s: float


def draw(seed, day_s):
    """Return the troubles of a day of ``day_s`` seconds."""
    rng = random.Random(f"troubles of {seed}")
    kinds = STORE_TROUBLES + DOOR_TROUBLES
    rounds = (rng.sample(kinds, len(kinds)) for _ in itertools.count())
    stores = itertools.chain.from_iterable(rounds)
    count = int((day_s - MAX_TROUBLE_S) / TROUBLE_INTERVAL_S)
    return [
        Trouble(
            TROUBLE_INTERVAL_S * (number + 0.5),
            rng.uniform(1.0, MAX_TROUBLE_S),
            store,
            rng.randint(1, NODES),
            rng.choice(NODE_TROUBLES),
            rng.randrange(NODES),
            rng.choice(QUIET_S),
        )
        for number, store in zip(range(count), stores, strict=False)
    ]


class DayCluster(DoorsCluster):
    """A cluster whose nodes have doors to the store, with a second plain service."""

    PLATFORM_ARGUMENTS = ("--services", SERVICES[1])


class Day:
    """Writes versions drawn from a seed and asks all nodes, in threads of its own.

    ``history`` holds the versions, ``answers`` what the nodes answered. Routes move
    between the ``services``.
    """

    def __init__(self, cluster, seed, services=SERVICES, earlier_routes=EARLIER_ROUTES):
        self.cluster = cluster
        self.history = History(CONFIG_S)
        self.answers = []
        self._rng = random.Random(f"versions of {seed}")
        self._seed = seed
        self._services = services
        self._earlier_routes = earlier_routes
        self._routes = {"/look/": "desk"}
        self._keys = frozenset({KEY})
        # Monotonic time of the last change of each route and key.
        self._changed_at = {}
        self._out_of_touch = []
        self._quiet_until = 0.0
        self._numbers = itertools.count(10)
        self._added = itertools.count()
        self._stopped = threading.Event()
        self._lock = threading.RLock()
        self._threads = []

    def __enter__(self):
        self.write()
        self._began_at = time.monotonic()
        for name in sorted(self.cluster.nodes):
            self._start(self._ask, name)
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def write_until(self, stop_at):
        """Write versions, with short pauses and a few long ones, until a time."""
        while time.monotonic() < stop_at and not self._stopped.is_set():
            self.change()
            self.write()
            is_long = self._rng.random() < LONG_SHARE
            time.sleep(
                self._rng.uniform(0.0, LONG_PAUSE_S if is_long else SHORT_PAUSE_S)
            )
            while time.monotonic() < min(self._quiet_until, stop_at):
                time.sleep(ROUND_S)

    def be_quiet(self, seconds):
        """Write no version for some seconds, except by another call."""
        self._quiet_until = time.monotonic() + seconds

    def change(self):
        """Change a route or key of the next version, or two."""
        with self._lock:
            for _ in range(self._rng.choice((1, 1, 2))):
                self._rng.choice(
                    (
                        self.add_route,
                        self.add_route,
                        self._move_route,
                        self._remove_route,
                        self._add_key,
                        self._remove_key,
                    )
                )()

    def write(self):
        """Write the next version and return it after its acknowledgement."""
        with self._lock:
            version = self._next_version()
            self._put(version)
            version = version._replace(acknowledged_at=time.monotonic())
            self.history.versions[-1] = version
            return version

    def write_late(self):
        """Let a write be carried out after the next one has been acknowledged.

        It is never acknowledged, as the operator has got no response.
        """
        with self._lock:
            self.change()
            version = self._next_version()
            self.change()
            self.write()
            time.sleep(LATE_WRITE_S)
            self._put(version)

    def lose(self):
        """Let the store lose its newest records and acknowledge a version at once."""
        self.cluster.keep_store_copy()
        time.sleep(LOST_S)
        with self._lock:
            self.cluster.set_store_fault("busy")
            time.sleep(AWAY_S)
            self.cluster.send_store_back()
            self.change()
            self.write()
            self.cluster.set_store_fault("")

    def expire(self):
        """Let the store drop its history while versions are written."""
        with self._lock:
            self.change()
            self.write()
            self.cluster.expire_store_history(OPERATOR_TOPIC)

    def is_excused(self, answer):
        """Return whether an answer's node had not been in touch for long enough."""
        return any(
            name == answer.node
            and from_at <= answer.sent_at <= until_at()
            and answer.status in statuses
            for name, from_at, until_at, statuses in self._out_of_touch
        )

    def breaches(self):
        """Return the ``Breach`` of each answer by a node in touch that has one."""
        answers = itertools.filterfalse(self.is_excused, self.answers)
        return self.history.breaches(answers)

    def begin_out_of_touch(self, name, statuses=DECIDED):
        """Excuse a node's answers of ``statuses`` until it is in touch again.

        That is ``CONTACT_S`` after the returned function, which takes no arguments, is
        called.
        """
        ends_at = [float("inf")]
        window = name, time.monotonic(), lambda: ends_at[-1], statuses
        self._out_of_touch.append(window)
        return lambda: ends_at.append(time.monotonic() + CONTACT_S)

    def disturb_node(self, name, trouble, for_s):
        """Pause, stop or kill a node, or add one; return when that is over."""
        if trouble == "add":
            name = f"edge-norte-new-{next(self._added)}"
        end_window = self.begin_out_of_touch(name)
        if trouble == "add":
            self.cluster.add_node(name, self.cluster.store)
            self._start(self._ask, name)
        else:
            self.cluster.signal(name, SIGNALS[trouble])
            time.sleep(for_s)
            if trouble == "pause":
                self.cluster.signal(name, signal.SIGCONT)
            else:
                self.cluster.process(name).wait(10.0)
                self.cluster.launch_node(name)
        end_window()

    def _start(self, target, *args):
        self._threads.append(threading.Thread(target=target, args=args))
        self._threads[-1].start()

    def _next_version(self):
        """Return the next version, which is sent now; numbers rise in uneven steps."""
        for _ in range(self._rng.choice((0, 0, 1, 4))):
            next(self._numbers)
        version = Version(
            next(self._numbers),
            dict(self._routes),
            self._keys,
            time.monotonic(),
            None,
        )
        self.history.versions.append(version)
        return version

    def _put(self, version):
        body = routes()
        look = body["Routes"][-1]
        earlier = ((f"/earlier{n}/", "desk") for n in range(self._earlier_routes))
        prefixes = itertools.chain(version.routes.items(), earlier)
        body["Routes"] = body["Routes"][:-1] + [
            {**look, "Name": p.strip("/"), "PathPrefix": p, "Service": service}
            for p, service in prefixes
        ]
        body["Services"].append({"Name": SERVICES[1], "HealthPath": "/healthz"})
        body["Tenants"][0]["ApiKeys"] = sorted(version.keys)
        body["Version"] = version.number
        self.cluster.put(OPERATOR_TOPIC, CONFIG_KEY, body)

    def add_route(self):
        self._set_route(f"/r{next(self._added)}/", self._rng.choice(self._services))

    def _move_route(self):
        prefix = self._rng.choice(list(self._routes)[-3:])
        others = [name for name in self._services if name != self._routes[prefix]]
        if others:
            self._set_route(prefix, self._rng.choice(others))

    def _remove_route(self):
        added = list(self._routes)[1:]
        if added:
            prefix = self._rng.choice(added[-3:])
            del self._routes[prefix]
            self._changed_at[prefix] = time.monotonic()

    def _set_route(self, prefix, service):
        self._routes[prefix] = service
        self._changed_at[prefix] = time.monotonic()

    def _add_key(self):
        key = f"key-{next(self._added)}"
        self._keys |= {key}
        self._changed_at[key] = time.monotonic()

    def _remove_key(self):
        added = sorted(self._keys - {KEY})
        if added:
            key = self._rng.choice(added)
            self._keys -= {key}
            self._changed_at[key] = time.monotonic()

    def _questions(self, number):
        """Return the questions of a round: pairs of a path's prefix and a key."""
        now, rng = time.monotonic(), random.Random(f"{self._seed} {number}")
        changed = dict(self._changed_at)
        recent = [name for name, at in changed.items() if now - at < ASKED_FOR_S]
        names = recent[-2:] + rng.sample(recent, min(len(recent), ROUND_QUESTIONS - 3))
        questions = [
            (name, rng.choice((KEY, UNKNOWN_KEY)))
            if name.startswith("/")
            else ("/look/", name)
            for name in dict.fromkeys(names)
        ]
        return [*questions, ("/never/", KEY)]

    def _ask(self, name):
        """Ask a node in rounds that begin at the same moments for all nodes."""
        conn = None
        for number in itertools.count():
            round_at = self._began_at + number * ROUND_S
            if self._stopped.wait(max(0.0, round_at - time.monotonic())):
                break
            if time.monotonic() > round_at + ROUND_S:
                continue
            for question in self._questions(number):
                conn = self._ask_one(conn, name, number, question)
        if conn is not None:
            conn.close()

    def _ask_one(self, conn, name, number, question):
        """Ask a question on a connection; return the one for the next question."""
        if conn is None:
            address = self.cluster.nodes[name]["front"]
            conn = http.client.HTTPConnection(address, timeout=5.0)
        sent_at, reply = time.monotonic(), (0, "", None)
        try:
            reply = self._request(conn, *question, f"{name}-{number}")
        except (OSError, http.client.HTTPException):
            conn.close()
            conn = None
        self.answers.append(Answer(name, *question, sent_at, time.monotonic(), *reply))
        return conn

    def _request(self, conn, prefix, key, request_id):
        headers = request_headers(f"{request_id}{prefix}{key}", key)
        conn.request("GET", f"{prefix}x", headers={**headers, "Host": HOST})
        resp = conn.getresponse()
        body = json.loads(resp.read() or b"{}")
        by = body.get("by", "")
        service = next((s for s in SERVICES if by.startswith(f"i-{s}-")), "")
        return resp.status, service, body.get("config_version")


def play(day, troubles, day_s):
    """Play a day with its troubles; the versions go on for ``CONFIG_S`` after it."""
    names = sorted(day.cluster.nodes)
    began_at = time.monotonic()
    with ThreadPoolExecutor(max_workers=2 + 2 * len(troubles)) as pool:
        futures = [pool.submit(day.write_until, began_at + day_s)]
        for trouble in troubles:
            time.sleep(max(0.0, began_at + trouble.at_s - time.monotonic()))
            futures.append(pool.submit(_disturb_store, day, trouble, names))
            if trouble.node:
                name = names[trouble.target]
                futures.append(
                    pool.submit(day.disturb_node, name, trouble.node, trouble.for_s)
                )
        for fut in futures:
            fut.result()
    time.sleep(CONFIG_S)


def _disturb_store(day, trouble, names):
    if trouble.store in STORE_TROUBLES:
        actions = {"lose": day.lose, "late write": day.write_late, "expire": day.expire}
        actions[trouble.store]()
        day.be_quiet(trouble.quiet_s)
        return
    for name in names[: trouble.doors]:
        day.cluster.set_door(name, trouble.store)
    time.sleep(trouble.for_s)
    for name in names[: trouble.doors]:
        day.cluster.set_door(name, "")


def summary(day, seed):
    """Return what a day has shown, as an object for JSON."""
    breaches = day.breaches()
    worst = sorted(breaches, key=lambda breach: -breach.late_s)
    return {
        "seed": seed,
        "versions": len(day.history.versions),
        "answers": dict(Counter(answer.status for answer in day.answers)),
        "breaches": len(breaches),
        "late_s": round(worst[0].late_s, 2) if worst else 0.0,
        "nodes": sorted({breach.answer.node for breach in breaches}),
        "worst": [
            [
                b.answer.node,
                b.answer.prefix,
                b.answer.status,
                b.answer.version,
                b.oldest,
            ]
            for b in worst[:3]
        ],
    }


def main():
    """Play days and print a line for each; the exit code is 1 after a breach."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", default="1", help="seeds, separated by commas")
    parser.add_argument("--seconds", type=float, default=35.0)
    parser.add_argument("--busy", type=int, default=0, help="busy processes beside")
    parser.add_argument("--relays", action="store_true", help="as in a large fleet")
    parser.add_argument("--only", default="", help="the one trouble of the store")
    parser.add_argument("--node", help="the one trouble of the nodes")
    parser.add_argument("--out", help="folder for the logs")
    args = parser.parse_args()
    failed = False
    for seed in args.seeds.split(","):
        with ExitStack() as stack:
            out = args.out or stack.enter_context(tempfile.TemporaryDirectory())
            node_env = RELAYS_ENV if args.relays else {}
            cluster = stack.enter_context(DayCluster(NODES, out, node_env))
            wait_until_ready(cluster)
            for _ in range(args.busy):
                busy = subprocess.Popen([sys.executable, "-c", "while True: pass"])
                stack.callback(busy.wait)
                stack.callback(busy.kill)
            day = stack.enter_context(Day(cluster, seed))
            troubles = draw(seed, args.seconds)
            if args.only:
                troubles = [t._replace(store=args.only) for t in troubles]
            if args.node is not None:
                troubles = [t._replace(node=args.node) for t in troubles]
            play(day, troubles, args.seconds)
        result = summary(day, seed)
        failed = failed or result["breaches"] > 0
        print(json.dumps(result), flush=True)
    sys.exit(failed)


def wait_until_ready(cluster):
    """Wait until all nodes are ready and serve a plain request."""
    names = list(cluster.nodes)
    cluster.wait(lambda: all(map(cluster.is_ready, names)), "all nodes are ready")
    cluster.wait(
        lambda: all(
            cluster.send_request(n, f"ready-{n}", "/look/x")[0] == 200 for n in names
        ),
        "all nodes serve",
    )


if __name__ == "__main__":
    main()
