"""A request that crashes each server that runs it, and comes again, reaches few."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

from .support import PlatformClusterTestCase

CRASH_PATH = "/crashes"
# The users' rule: from this time after the third crash on, only so many more times may
# the request reach servers.
CONTACT_S, CRASHES_BEFORE, REQUESTS_AFTER = 3.0, 3, 3
# Time between two requests at each node, in seconds.
INTERVAL_S = 0.25


class RepeatedRequestTests(PlatformClusterTestCase):
    def setUp(self):
        super().setUp()
        for prefix in ("/look", "/ask"):
            self.cluster.wait(lambda p=prefix: self.is_served(p), f"{prefix} is served")

    def is_served(self, prefix):
        """Return whether sound requests are served at all nodes."""
        path = f"{prefix}/{next(self.numbers)}"
        return all(self.send_request(name, path)[0] == 200 for name in self.names)

    def repeat_for(self, seconds, prefix):
        """Send the request that crashes servers to all nodes, beside sound ones."""
        ends_at = time.monotonic() + seconds

        def repeat(node, is_sound):
            while time.monotonic() < ends_at:
                end = f"/{next(self.numbers)}" if is_sound else CRASH_PATH
                self.send_request(node, prefix + end)
                time.sleep(INTERVAL_S)

        with ThreadPoolExecutor(2 * self.NODES) as pool:
            for node, is_sound in itertools.product(self.names, (False, True)):
                pool.submit(repeat, node, is_sound)

    def check(self, prefix):
        arrivals = self.cluster.set_crash_path(CRASH_PATH)
        self.assertGreaterEqual(len(arrivals), CRASHES_BEFORE)
        limit = arrivals[CRASHES_BEFORE - 1] + CONTACT_S
        self.assertLessEqual(sum(at > limit for at in arrivals), REQUESTS_AFTER)
        self.cluster.wait(lambda: self.is_served(prefix), "sound requests are served")
        path = prefix + CRASH_PATH
        statuses = {self.send_request(name, path)[0] for name in self.names}
        self.assertEqual(statuses, {503})

    def test_request_that_crashes_plain_servers_reaches_few(self):
        self.cluster.set_crash_path(CRASH_PATH)
        self.repeat_for(12.0, "/look")
        self.check("/look")

    def test_request_that_crashes_model_servers_reaches_few(self):
        self.cluster.set_crash_path(CRASH_PATH)
        self.repeat_for(12.0, "/ask")
        self.check("/ask")

    def test_restarted_nodes_know_which_request_crashes_servers(self):
        self.cluster.set_crash_path(CRASH_PATH)
        self.repeat_for(8.0, "/look")
        self.restart_all_nodes()
        self.repeat_for(6.0, "/look")
        self.check("/look")


class RelayedRepeatedRequestTests(RepeatedRequestTests):
    """The same with relays and brokers: two of five nodes are relays."""

    NODES = 5
    NODE_ENV = {"AUBURNWALL_MAX_MESH_NODES": "2"}
