"""A prompt part that crashes each model server reaches only a few of them."""

import itertools
import signal
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException

from demo.platform_cluster import PlatformCluster

SHARED_PART, CRASH_PART = "aa11", "bad1"
# The users' rule: from this time after the fifth crash on, only so many more requests
# with the part may reach servers.
CONTACT_S, CRASHES_BEFORE, REQUESTS_AFTER = 3.0, 5, 3
# Time between two requests with the part at each node, in seconds.
INTERVAL_S = 0.25


class CrashingPromptTests(unittest.TestCase):
    NODES = 3
    NODE_ENV = {}

    def setUp(self):
        out = self.enterContext(tempfile.TemporaryDirectory())
        cluster = PlatformCluster(self.NODES, out, self.NODE_ENV)
        self.cluster = self.enterContext(cluster)
        self.names = sorted(self.cluster.nodes)
        self.numbers = itertools.count()
        self.cluster.wait(self.all_ready, "all nodes are ready")
        self.cluster.wait(self.is_sound_served, "a group is open")

    def all_ready(self):
        return all(map(self.cluster.is_ready, self.names))

    def send(self, node, *shared_parts):
        """Send a request; return status, body, and the time it took in seconds.

        The status is 0 if there is no complete response.
        """
        number = next(self.numbers)
        prompt = ",".join(f"{part}:40" for part in (*shared_parts, f"{number:08x}"))
        started_at = time.monotonic()
        try:
            status, body = self.cluster.send_request(node, f"c-{number}", prompt=prompt)
        except (OSError, HTTPException):
            status, body = 0, b""
        return status, body, time.monotonic() - started_at

    def is_sound_served(self, node=None):
        status, body, _ = self.send(node or self.names[0], SHARED_PART)
        return status == 200 and body.count(b"data: piece-") == 10

    def send_for(self, seconds):
        """Send sound requests and such with the crashing part to all nodes.

        Returns the results of the latter.
        """
        ends_at = time.monotonic() + seconds

        def repeat(node, *parts):
            results = []
            while time.monotonic() < ends_at:
                results.append(self.send(node, *parts))
                time.sleep(INTERVAL_S)
            return results

        with ThreadPoolExecutor(2 * self.NODES) as pool:
            sound = [pool.submit(repeat, name, SHARED_PART) for name in self.names]
            crashing = [
                pool.submit(repeat, name, SHARED_PART, CRASH_PART)
                for name in self.names
            ]
            for future in sound:
                future.result()
            return [result for future in crashing for result in future.result()]

    def requests_after_limit(self):
        """Return how many requests with the part reached servers too late."""
        arrivals = self.cluster.set_crash_part(CRASH_PART)
        limit = [at + CONTACT_S for at in arrivals[CRASHES_BEFORE - 1 :][:1]]
        return sum(at > limit[0] for at in arrivals) if limit else 0

    def test_prompt_part_that_crashes_servers_reaches_few(self):
        self.cluster.set_crash_part(CRASH_PART)
        self.send_for(12.0)
        self.assertTrue(self.cluster.set_crash_part(CRASH_PART), "none crashed")
        self.assertLessEqual(self.requests_after_limit(), REQUESTS_AFTER)
        self.cluster.wait(self.is_sound_served, "sound requests are served")
        statuses = {self.send(name, SHARED_PART, CRASH_PART)[0] for name in self.names}
        self.assertEqual(statuses, {503})

    def test_restarted_nodes_know_which_part_crashes_servers(self):
        self.cluster.set_crash_part(CRASH_PART)
        self.send_for(8.0)
        for name in self.names:
            self.cluster.signal(name, signal.SIGKILL)
        for name in self.names:
            self.cluster.wait(
                lambda n=name: self.cluster.exit_code(n) is not None, "end"
            )
            self.cluster.add_node(name)
        self.cluster.wait(self.all_ready, "all nodes are ready")
        self.send_for(6.0)
        self.assertLessEqual(self.requests_after_limit(), REQUESTS_AFTER)
        self.cluster.wait(self.is_sound_served, "sound requests are served")


class RelayedCrashingPromptTests(CrashingPromptTests):
    """The same with relays and brokers: two of five nodes are relays."""

    NODES = 5
    NODE_ENV = {"AUBURNWALL_MAX_MESH_NODES": "2"}
