"""Faults of real processes: a node is killed, stopped or frozen, or the log is down."""

import json
import signal
import tempfile
import time
import unittest
from contextlib import contextmanager

import gevent
from uuid6 import uuid7

from auburnwall.cli.callers import Caller, CallerError
from demo.__main__ import CONFIG, DATA_CENTERS, KEY, MODEL
from demo.cluster import Cluster, VmSpec, wait_until
from standins.engine import response_words

NODES = 4
READY_TIMEOUT_S = 40.0
CALLERS = 6
TOKENS = 30
BOOKING_PATH = "/v1/services/booking/bookings"


class Load:
    """Callers that send one request after another, also after a failed one."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._stopping = False
        self.complete_count = 0
        self.incomplete = []
        self.interrupted = []
        self.keys = []

    @contextmanager
    def running(self):
        """Send requests while the context is open."""
        tasks = [gevent.spawn(self._send_completions, n) for n in range(CALLERS)]
        tasks.append(gevent.spawn(self._send_bookings))
        try:
            yield self
        finally:
            self._stopping = True
            gevent.joinall(tasks, timeout=60.0)

    def _caller(self):
        node = next(iter(self._cluster.nodes.values()))
        return Caller(node[1], KEY)

    def _send_completions(self, number):
        caller, sent = self._caller(), 0
        while not self._stopping:
            sent += 1
            messages = [{"role": "user", "content": f"{number}/{sent}"}]
            body = {"model": MODEL, "stream": True, "max_tokens": TOKENS}
            try:
                text = "".join(caller.stream({**body, "messages": messages}))
            except CallerError as exc:
                if exc.status in ("cut", "broken"):
                    self.interrupted.append((exc.peer, str(exc.problem)))
                gevent.sleep(0.2)
                continue
            if text.split() == response_words(json.dumps(messages), TOKENS):
                self.complete_count += 1
            else:
                self.incomplete.append(text)

    def _send_bookings(self):
        caller = self._caller()
        while not self._stopping:
            key = str(uuid7())
            self.keys.append(key)
            for _ in range(8):
                try:
                    status, _, _ = caller.call(
                        "POST", BOOKING_PATH, {"key": key}, {"Idempotency-Key": key}
                    )
                except CallerError:
                    status = 0
                if status == 201:
                    break
                gevent.sleep(0.3)


class ProcessTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        out = cls.enterClassContext(tempfile.TemporaryDirectory())
        engines = [
            VmSpec(f"gpu-{center}-{n}", center, f"{center}-f1")
            for center in DATA_CENTERS
            for n in (1, 2)
        ]
        desks = [VmSpec(f"desk-{c}", c, f"{c}-f0") for c in DATA_CENTERS]
        cls.cluster = cls.enterClassContext(
            Cluster(DATA_CENTERS, NODES, engines, desks, out)
        )
        for name in cls.cluster.nodes:
            cls.cluster.start_node(name)
        code, output = cls.cluster.operate("apply", str(CONFIG), "--wait")
        assert code == 0, output
        wait_until(lambda: cls.serving_count() >= 2, READY_TIMEOUT_S, "two groups")

    @classmethod
    def serving_count(cls):
        output = cls.cluster.operate("status", "--format=json")[1]
        return sum(g["serving"] == "yes" for g in json.loads(output)["groups"])

    def mode(self, node):
        return self.cluster.get(self.cluster.nodes[node][1], "/admin/status")["mode"]

    def bookings(self, keys):
        """Return how often each key was booked, summed over all booking servers."""
        booked = [
            row["key"]
            for desk in self.cluster.desks
            for row in self.cluster.get(self.cluster.vm_addresses[desk], "/_bookings")[
                "bookings"
            ]
        ]
        return {key: booked.count(key) for key in keys}

    def assert_guarantees(self, load):
        self.assertEqual(load.incomplete, [])
        self.assertGreater(load.complete_count, 0)
        self.assertLessEqual(max(self.bookings(load.keys).values()), 1)
        engine_report = self.cluster.get(self.cluster.addresses["engines"], "/seen")
        self.assertEqual(engine_report["fallen"], [])

    def test_two_sigterms_interrupt_no_request(self):
        with Load(self.cluster).running() as load:
            time.sleep(2.0)
            self.cluster.signal("entry-4", signal.SIGTERM)
            time.sleep(0.5)
            self.cluster.signal("entry-4", signal.SIGTERM)
            self.assertEqual(self.cluster.wait_for_exit("entry-4", 30.0), 0)
        self.assertEqual(load.interrupted, [])
        self.assert_guarantees(load)
        self.assertEqual(set(self.bookings(load.keys).values()), {1})
        self.cluster.start_node("entry-4")
        wait_until(lambda: self.mode("entry-4") == "fresh", READY_TIMEOUT_S, "entry-4")

    def test_killed_node_causes_no_double_booking(self):
        with Load(self.cluster).running() as load:
            time.sleep(2.0)
            self.cluster.signal("entry-3", signal.SIGKILL)
            time.sleep(6.0)
        self.assert_guarantees(load)
        self.cluster.start_node("entry-3")
        wait_until(lambda: self.mode("entry-3") == "fresh", READY_TIMEOUT_S, "entry-3")

    def test_frozen_node_recovers_without_double_booking(self):
        with Load(self.cluster).running() as load:
            time.sleep(2.0)
            self.cluster.signal("entry-2", signal.SIGSTOP)
            time.sleep(7.0)
            self.cluster.signal("entry-2", signal.SIGCONT)
            time.sleep(3.0)
        self.assert_guarantees(load)
        wait_until(lambda: self.mode("entry-2") == "fresh", READY_TIMEOUT_S, "entry-2")

    def test_completions_are_served_while_the_log_is_down(self):
        self.cluster.post("log", "/_faults", {"down": True})
        self.addCleanup(self.cluster.post, "log", "/_faults", {"down": False})
        wait_until(lambda: self.mode("entry-1") == "outage", READY_TIMEOUT_S, "outage")
        with Load(self.cluster).running() as load:
            time.sleep(3.0)
        self.assert_guarantees(load)
        self.assertEqual(set(self.bookings(load.keys).values()), {0})
        self.cluster.post("log", "/_faults", {"down": False})
        wait_until(lambda: self.mode("entry-1") == "fresh", READY_TIMEOUT_S, "log back")


if __name__ == "__main__":
    unittest.main()
