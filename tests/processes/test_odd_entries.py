"""Odd entries among those of the servers harm neither nodes nor callers."""

import time

from standins.modelserver import TOPIC
from standins.platformconfig import registration_entry
from tests.platform.odd_entries import ODD_KEYS, odd_entries

from .support import PlatformClusterTestCase

PATHS = ("/book/x", "/look/x", "/ask/x")
# Time in which the nodes have read the entries, and use them if they do.
READ_S = 3.0
# Requests on each path at each node while the entries are there.
REQUESTS = 20


class OddEntryTests(PlatformClusterTestCase):
    """Guards against 500s, and tasks that end, because of one entry in the table."""

    def setUp(self):
        super().setUp()
        self.wait_until_served(PATHS)

    def put_odd_entries(self):
        """Write the odd entries of both services, and sound ones under odd keys."""
        now_ms = int(1000 * time.time())
        sound = {**registration_entry(), "born": now_ms, "group": None}
        plain = {"Service": "desk", "Models": [], "Staged": [], "Domain": ""}
        for service, entry in (("assist", sound), ("desk", {**sound, **plain})):
            entry["Address"] = "127.0.0.1:9"
            for name, value in odd_entries(entry):
                self.cluster.put(TOPIC, f"i-{service}-{name.replace(' ', '-')}", value)
            for key in ODD_KEYS:
                self.cluster.put(TOPIC, service + key, entry)

    def test_requests_and_groups_beside_odd_entries(self):
        self.put_odd_entries()
        time.sleep(READ_S)
        statuses = [
            self.send_request(name, path)[0]
            for _ in range(REQUESTS)
            for name in self.names
            for path in PATHS
        ]
        self.assertEqual(set(statuses), {200}, statuses)
        # The nodes still follow the table, and the planner forms groups.
        self.cluster.stop_server("i-desk-0")
        self.cluster.stop_server("i-engine-0")
        self.cluster.stop_server("i-engine-1")
        time.sleep(READ_S)
        self.wait_until_served(PATHS)
        for name in self.names:
            self.assertIsNone(self.cluster.exit_code(name))
            events = self.cluster.log_events(name)
            self.assertEqual([e for e in events if e["level"] == "error"], [])
            self.assertNotIn("Traceback", self.cluster.log_text(name))
