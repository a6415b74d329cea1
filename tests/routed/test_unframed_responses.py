"""Responses that have neither a length nor chunks and end with their connection."""

import gevent.monkey

gevent.monkey.patch_all()

import unittest  # noqa: E402

from .support import FrontWithServers, send_call  # noqa: E402

EVENTS = 10


class UnframedResponseTests(unittest.TestCase):
    def setUp(self):
        self.front = self.enterContext(FrontWithServers())

    def end(self, how, servers):
        for server in servers:
            server.unframed_end = how
            server.event_s = 0.001

    def call(self, path, method="GET", **headers):
        status, _, body = send_call(self.front.address, method, path, "r-1", **headers)
        return status, body

    def check_stream_is_whole(self, **headers):
        status, body = self.call("/ask/x", "POST", **headers)
        numbers = [int(n.split(b"\n")[0]) for n in body.split(b"id: ")[1:]]
        first = 1 + int(headers.get("Last-Event-Id", 0))
        self.assertEqual((status, numbers), (200, list(range(first, EVENTS + 1))))
        self.assertEqual(body.count(b"data: piece-"), len(numbers))

    def idle_connections(self):
        return sum(map(len, self.front.channels._idle.values()))

    def test_whole_response_is_passed_on_and_its_connection_not_used_again(self):
        self.end("whole", self.front.desks)
        status, body = self.call("/look/x")
        self.assertEqual(status, 200)
        self.assertIn(b'"of"', body)
        self.assertEqual(self.idle_connections(), 0)

    def test_response_that_is_reset_is_not_complete(self):
        self.end("reset", self.front.desks[:1])
        for _ in range(8):
            status, body = self.call("/look/x")
            self.assertEqual(status, 200)
            self.assertTrue(body.endswith(b"}"))
        self.end("reset", self.front.desks)
        self.assertEqual(self.call("/look/x")[0], 502)

    def test_whole_stream_is_passed_on_and_its_connection_not_used_again(self):
        self.end("whole", self.front.engines)
        self.check_stream_is_whole()
        self.assertEqual(self.idle_connections(), 0)

    def check_stream_goes_on_elsewhere(self, how):
        broken, sound = self.front.engines
        self.end(how, [broken])
        for _ in range(12):
            self.check_stream_is_whole()
            # A server whose streams break off becomes suspect and gets no more.
            if len(broken.seen) >= 2:
                return
        self.assertTrue(broken.seen)

    def test_stream_that_ends_within_an_event_goes_on_elsewhere(self):
        self.check_stream_goes_on_elsewhere("torn")

    def test_stream_that_is_reset_after_an_event_goes_on_elsewhere(self):
        self.check_stream_goes_on_elsewhere("reset")

    def test_stream_that_ends_before_its_first_event_is_broken_off(self):
        """A server that has ended closes its connections too."""
        self.check_stream_goes_on_elsewhere("empty")
        self.end("empty", self.front.engines)
        self.assertEqual(self.call("/ask/x", "POST")[0], 502)

    def test_caller_that_has_the_last_event_gets_an_empty_stream(self):
        self.check_stream_is_whole(**{"Last-Event-Id": str(EVENTS)})
