"""A planned stop of one node, in calm, leaves no request without an answer."""

import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException

from .support import PlatformClusterTestCase

# Time for which callers go on to send, in seconds: the grace time of the nodes.
SEND_S = 4.0
SEND_INTERVAL_S = 0.1
PATHS = ("/look/x", "/book/x", "/ask/x")
EVENTS_PER_STREAM = 10


class PlannedStopTests(PlatformClusterTestCase):
    NODES = 2

    def setUp(self):
        super().setUp()
        self.wait_until_served(PATHS)
        self.ended, self.lock = {}, threading.Lock()

    def send_until(self, path, ends_at):
        """Send a request every ``SEND_INTERVAL_S``, not waiting for the responses."""

        def send(number):
            request_id = f"{path.strip('/')}-{number}"
            try:
                status, body = self.cluster.send_request(
                    self.names[0], request_id, path
                )
            except (OSError, HTTPException):
                status, body = 0, b""
            if path.startswith("/ask/") and status == 200:
                status *= body.count(b"data: piece-") == EVENTS_PER_STREAM
            with self.lock:
                self.ended[request_id] = status

        with ThreadPoolExecutor(80) as pool:
            number = 0
            while time.monotonic() < ends_at:
                pool.submit(send, number)
                number += 1
                time.sleep(SEND_INTERVAL_S)

    def check_stop(self, answer_s):
        """Stop a node while callers send; all that it passed on is answered."""
        self.cluster.set_answer_time(answer_s)
        node = self.names[0]
        for path in PATHS:
            self.send_request(node, path)
        ends_at = time.monotonic() + 1.0 + SEND_S
        with ThreadPoolExecutor(len(PATHS)) as pool:
            for path in PATHS:
                pool.submit(self.send_until, path, ends_at)
            time.sleep(1.0)
            self.cluster.signal(node, signal.SIGTERM)
        self.cluster.wait(lambda: self.cluster.exit_code(node) is not None, "end")
        events = self.cluster.log_events(node)
        passed_on = {e["request"] for e in events if e["event"] == "request placed"}
        without_answer = sorted(r for r in passed_on if not self.ended.get(r, 1))
        self.assertEqual(without_answer, [])
        names = {e["event"] for e in events}
        self.assertNotIn("stopping with requests running", names)
        self.assertIn("stop finished", names)
        return passed_on

    def test_requests_that_take_half_of_the_grace(self):
        """Guards against those that are sent on again and cut at the exit."""
        self.check_stop(answer_s=2.0)

    def test_requests_that_are_answered_soon(self):
        """Guards against a stop that serves nobody, by which callers lose time."""
        passed_on = self.check_stop(answer_s=0.02)
        statuses = {self.ended[r] for r in passed_on if r in self.ended}
        self.assertEqual(statuses, {200})
        # As many as arrive on the three paths in the second before the stop, and more.
        self.assertGreater(len(passed_on), 3 * 1.5 / SEND_INTERVAL_S)
