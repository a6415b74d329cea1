"""A prompt part that crashes each model server reaches only a few of them."""

import time
from concurrent.futures import ThreadPoolExecutor

from .support import PlatformClusterTestCase

SHARED_PART, CRASH_PART = "aa11", "bad1"
# The users' rule: from this time after the fifth crash on, only so many more requests
# with the part may reach servers.
CONTACT_S, CRASHES_BEFORE, REQUESTS_AFTER = 3.0, 5, 3
# Time between two requests with the part at each node, in seconds.
INTERVAL_S = 0.25


class CrashingPromptTests(PlatformClusterTestCase):
    # A part with its number of tokens, as in the list of a prompt's parts.
    PART_FORMAT = "{}:40"

    def setUp(self):
        super().setUp()
        self.cluster.wait(self.is_sound_served, "a group is open")

    def send(self, node, *shared_parts):
        """Send a request; return status and body, 0 if there is no whole response."""
        number = next(self.numbers)
        parts = (*shared_parts, f"{number:08x}")
        prompt = ",".join(map(self.PART_FORMAT.format, parts))
        return self.send_request(node, prompt=prompt)

    def is_sound_served(self):
        status, body = self.send(self.names[0], SHARED_PART)
        return status == 200 and body.count(b"data: piece-") == 10

    def send_for(self, seconds):
        """Send sound requests and such with the crashing part to all nodes."""
        ends_at = time.monotonic() + seconds

        def repeat(node, *parts):
            while time.monotonic() < ends_at:
                self.send(node, *parts)
                time.sleep(INTERVAL_S)

        with ThreadPoolExecutor(2 * self.NODES) as pool:
            futures = [
                pool.submit(repeat, name, *parts)
                for name in self.names
                for parts in ((SHARED_PART,), (SHARED_PART, CRASH_PART))
            ]
        for future in futures:
            future.result()

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
        self.restart_all_nodes()
        self.send_for(6.0)
        self.assertLessEqual(self.requests_after_limit(), REQUESTS_AFTER)
        self.cluster.wait(self.is_sound_served, "sound requests are served")


class MalformedCrashingPromptTests(CrashingPromptTests):
    """The lists have no numbers of tokens, and servers read them nevertheless."""

    PART_FORMAT = "{}"


class RelayedCrashingPromptTests(CrashingPromptTests):
    """The same with relays and brokers: two of five nodes are relays."""

    NODES = 5
    NODE_ENV = {"AUBURNWALL_MAX_MESH_NODES": "2"}
