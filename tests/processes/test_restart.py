"""All nodes are killed at once and started again, and their callers call at once.

Guards against a start that waits for what it does not need, and against requests of
that time that are refused in a way that their callers cannot use: with an error that
is not true yet, such as 404 or 401, or with a return time that they do not honour.
"""

import http.client
import json
import signal
import tempfile
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from standins.platformconfig import request_headers

from .support import PlatformClusterTestCase

# Deadlines of the callers, by path, in seconds: the shortest of a plain service and of
# a stream. A caller honours a Retry-After of up to a third of it.
DEADLINES_S = {"/look/x": 0.61, "/ask/x": 6.0}
MAX_RETRY_AFTER_FRACTION = 1 / 3
# Time between two calls of a caller, in seconds, and time until it gives up.
CALL_INTERVAL_S, CALLS_END_S = 0.03, 20.0
# Maximum time from the opening of a node's sockets to its first response, in seconds.
# A plain caller that is refused when they have just opened honours a return time of up
# to a third of its deadline; a node that took longer could not tell an honest one.
MAX_SOCKETS_TO_RESPONSE_S = DEADLINES_S["/look/x"] * MAX_RETRY_AFTER_FRACTION
# The same from the start of the process. It is the longest that the caller of a stream
# waits before it comes back; the imports alone take longer than a plain caller waits.
MAX_START_TO_RESPONSE_S = DEADLINES_S["/ask/x"] * MAX_RETRY_AFTER_FRACTION
# The stages of each start, in the order in which a node reaches them.
STAGES = [
    "modules imported",
    "settings read",
    "sockets open",
    "operator table read",
    "configuration in force",
    "first request placed",
    "first response",
]
# Stages that each start has, none of which is before the sockets are open.
STAGES_AFTER_SOCKETS = [
    "servers table read",
    "fleet table read",
    "candidates known",
    "heartbeats heard",
    "groups known",
]


class Call(NamedTuple):
    """A call of a caller; ``status`` is 0 if it got no connection."""

    node: str
    path: str
    at: float
    ended_at: float
    status: int
    retry_after_s: float | None
    problem: dict


class RestartTests(PlatformClusterTestCase):
    """Three nodes that exchange heartbeats with each other."""

    NODES = 3

    def setUp(self):
        # A deployed node has its modules compiled. Here the first start compiles them.
        compiled = self.enterContext(tempfile.TemporaryDirectory())
        self.NODE_ENV = {
            **type(self).NODE_ENV,
            "PYTHONDONTWRITEBYTECODE": "",
            "PYTHONPYCACHEPREFIX": compiled,
        }
        super().setUp()
        self.wait_until_served(DEADLINES_S)

    def call(self, node, path):
        """Return a ``Call`` of a caller that states its deadline."""
        at = time.monotonic()
        address = self.cluster.nodes[node]["front"]
        conn = http.client.HTTPConnection(address, timeout=8.0)
        headers = request_headers(f"r-{next(self.numbers)}")
        headers["X-Deadline-Ms"] = str(int(1000 * DEADLINES_S[path]))
        status, retry_after_s, body = 0, None, b"{}"
        try:
            conn.request("POST", path, body=b"{}", headers=headers)
            resp = conn.getresponse()
            body = resp.read()
            status = resp.status
            retry_after = resp.getheader("Retry-After")
            retry_after_s = float(retry_after) if retry_after else None
        except ConnectionRefusedError:
            pass  # The node's sockets are not open yet.
        finally:
            conn.close()
        problem = json.loads(body) if status >= 400 else {}
        return Call(node, path, at, time.monotonic(), status, retry_after_s, problem)

    def call_until_served(self, node, path):
        """Call again and again until a call is served; return all calls."""
        ends_at, calls = time.monotonic() + CALLS_END_S, []
        while time.monotonic() < ends_at:
            calls.append(self.call(node, path))
            if calls[-1].status == 200:
                break
            time.sleep(CALL_INTERVAL_S)
        return calls

    def restart(self):
        """Kill all nodes and start them again at once."""
        for name in self.names:
            self.cluster.signal(name, signal.SIGKILL)
        for name in self.names:
            self.cluster.process(name).wait(10.0)
        # The last lines of the killed processes do not belong to the new start.
        self.log_sizes = {n: len(self.cluster.log_events(n)) for n in self.names}
        for name in self.names:
            self.cluster.launch_node(name)

    def restart_under_load(self):
        """Restart all nodes; return the calls from then on until all are served."""
        self.restart()
        callers = [(name, path) for name in self.names for path in DEADLINES_S]
        with ThreadPoolExecutor(len(callers)) as pool:
            futures = [pool.submit(self.call_until_served, *c) for c in callers]
            calls = [call for future in futures for call in future.result()]
        self.cluster.wait(self.have_all_stages, "all nodes have logged all stages")
        return calls

    def start_events(self, name):
        """Return the events that a node has logged since it was started again."""
        return self.cluster.log_events(name)[self.log_sizes[name] :]

    def stages(self, name):
        """Return the seconds since the start by stage, in the order of the log."""
        return {
            event["stage"]: event["since_start_s"]
            for event in self.start_events(name)
            if event["event"] == "start stage"
        }

    def have_all_stages(self):
        expected = {*STAGES, *self.stages_after_sockets()}
        return all(expected <= set(self.stages(name)) for name in self.names)

    def stages_after_sockets(self):
        return STAGES_AFTER_SOCKETS

    def check_stages(self):
        for name in self.names:
            with self.subTest(node=name):
                events = self.start_events(name)
                self.assertEqual(events[0]["event"], "started")
                logged = [e["stage"] for e in events if e["event"] == "start stage"]
                self.assertEqual(max(Counter(logged).values()), 1, logged)
                stages = self.stages(name)
                in_order = [stages[stage] for stage in STAGES]
                self.assertEqual(in_order, sorted(in_order), stages)
                for stage in self.stages_after_sockets():
                    self.assertGreaterEqual(stages[stage], stages["sockets open"])

    def check_calls(self, calls):
        self.check_refusals([call for call in calls if call.status not in (0, 200)])
        served = {(c.node, c.path) for c in calls if c.status == 200}
        self.assertEqual(len(served), len(self.names) * len(DEADLINES_S))

    def check_refusals(self, calls):
        """All these calls were refused as not run, with a usable return time."""
        for call in calls:
            with self.subTest(call=call):
                self.assertEqual(call.status, 503)
                self.assertEqual(call.problem["ran"], "not run")
                longest_s = DEADLINES_S[call.path] * MAX_RETRY_AFTER_FRACTION
                self.assertIsNotNone(call.retry_after_s)
                self.assertTrue(0 < call.retry_after_s <= longest_s)

    def check_first_responses(self):
        """Each node serves callers within the time for which they wait."""
        for name in self.names:
            stages = self.stages(name)
            first_s = stages["first response"]
            took_s = first_s - stages["sockets open"]
            with self.subTest(node=name, stages=stages):
                self.assertLessEqual(took_s, MAX_SOCKETS_TO_RESPONSE_S)
                self.assertLessEqual(first_s, MAX_START_TO_RESPONSE_S)

    def test_all_nodes_are_killed_and_started_together(self):
        calls = self.restart_under_load()
        self.check_stages()
        self.check_calls(calls)
        self.check_first_responses()

    def test_store_is_not_back_yet(self):
        """Requests are refused at once and as not run, with nothing untrue told."""
        self.cluster.set_store_fault("busy")
        self.restart()
        for name in self.names:
            self.cluster.wait(
                lambda n=name: "sockets open" in self.stages(n), "sockets are open"
            )
        calls = [self.call(name, p) for name in self.names for p in DEADLINES_S]
        self.check_refusals(calls)
        self.assertEqual({call.problem["title"] for call in calls}, {"Starting"})
        self.cluster.set_store_fault("")
        self.wait_until_served(DEADLINES_S)


class RelayedRestartTests(RestartTests):
    """The same with relays and brokers: two of five nodes are relays."""

    NODES = 5
    NODE_ENV = {"AUBURNWALL_MAX_MESH_NODES": "2"}

    def stages_after_sockets(self):
        return [*STAGES_AFTER_SOCKETS, "broker chosen"]
