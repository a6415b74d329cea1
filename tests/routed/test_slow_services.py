"""Plain services whose servers always take longer than a silence that is a stall.

Guards against each of their requests being sent to a second server.
"""

import gevent.monkey

gevent.monkey.patch_all()

import time  # noqa: E402
import unittest  # noqa: E402

import gevent  # noqa: E402

from .support import FrontWithServers, config, send_call  # noqa: E402

ANSWER_S = 1.5
COUNT = 6


def patient_config():
    """Return a configuration whose look-ups may take 6 s."""
    body = config()
    for route in body["Routes"]:
        if route["Name"] == "look":
            route["TimeoutMs"] = 6000
    return body


class SlowServiceTests(unittest.TestCase):
    def setUp(self):
        self.front = self.enterContext(FrontWithServers(patient_config()))
        for desk in self.front.desks:
            desk.answer_s = ANSWER_S
        # What this measures is the usual time.
        self.assertEqual(self.call("first"), 200)

    def call(self, request_id):
        return send_call(self.front.address, "POST", "/look/x", request_id)[0]

    def seen(self):
        return sum(len(desk.seen) for desk in self.front.desks)

    def test_requests_are_sent_once(self):
        before = self.seen()
        calls = [gevent.spawn(self.call, f"r-{number}") for number in range(COUNT)]
        gevent.joinall(calls, timeout=8.0)
        self.assertEqual([call.value for call in calls], COUNT * [200])
        self.assertEqual(self.seen() - before, COUNT)

    def test_silent_server_does_not_hold_requests_to_their_end(self):
        self.front.desks[0].silent_until = time.monotonic() + 9.0
        calls = [gevent.spawn(self.call, f"r-{number}") for number in range(COUNT)]
        gevent.joinall(calls, timeout=8.0)
        self.assertEqual([call.value for call in calls], COUNT * [200])


if __name__ == "__main__":
    unittest.main()
