"""A planned stop answers all that it has taken before the node exits."""

import gevent.monkey

gevent.monkey.patch_all()

import itertools  # noqa: E402
import socket  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from contextlib import closing  # noqa: E402
from http.client import HTTPConnection, HTTPException  # noqa: E402
from types import SimpleNamespace  # noqa: E402
from typing import NamedTuple  # noqa: E402
from unittest import mock  # noqa: E402

import gevent  # noqa: E402

from auburnwall.base.clock import SystemClock  # noqa: E402
from auburnwall.node.routed.settings import RoutedSettings  # noqa: E402
from auburnwall.node.routed.shutdown import GracefulShutdown  # noqa: E402
from auburnwall.node.routed.views import SlotUsage  # noqa: E402

from .support import KEY, FrontWithServers, config, send_call, wait_until  # noqa: E402

# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Outcome(NamedTuple):
    """How a call ended: status 0 without a whole response, times since the stop."""

    request_id: str
    sent_s: float
    status: int
    ended_s: float
    body: bytes


class PlannedStopTestCase(unittest.TestCase):
    """Sends calls to a front while it stops."""

    def setUp(self):
        self.front = self.entry = self.enterContext(FrontWithServers())
        self.calls, self.sent, self.outcomes = [], set(), []
        self.log = self.enterContext(
            mock.patch("auburnwall.node.routed.connections.warn")
        )
        self.began_at = time.monotonic()

    def since_stop(self):
        return time.monotonic() - self.began_at

    def send(self, method, path, delay_s=0.0, **headers):
        """Send a call after ``delay_s``, in a task of its own."""
        request_id = f"r-{len(self.calls)}"

        def run():
            gevent.sleep(delay_s)
            sent_s, status, body = self.since_stop(), 0, b""
            self.sent.add(request_id)
            try:
                status, _, body = send_call(
                    self.entry.address, method, path, request_id, **headers
                )
            except (OSError, HTTPException):
                status = 0
            self.outcomes.append(
                Outcome(request_id, sent_s, status, self.since_stop(), body)
            )

        self.calls.append(gevent.spawn(run))

    def stop(self, grace_s):
        """Begin the stop of the front."""
        writer = SimpleNamespace(withdraw=lambda: None)
        cfg = RoutedSettings(grace_s=grace_s)
        shutdown = GracefulShutdown(
            self.front.gateway, writer, SystemClock(), cfg, gevent
        )
        shutdown.log_cut_off = self.front.connections.log_cut_off
        self.began_at = time.monotonic()
        shutdown.begin()
        return shutdown

    def cut_off(self, shutdown):
        """Wait for the exit; return the ids of calls without an answer by then.

        Calls that are sent later do not count.
        """
        shutdown.finished.wait()
        sent = set(self.sent)
        gevent.sleep(0.02)
        answered = {outcome.request_id for outcome in self.outcomes if outcome.status}
        return sorted(sent - answered)

    def logged(self, name):
        """Return the ids of the requests in log lines of this name."""
        return {
            call.kwargs["request"]
            for call in self.log.call_args_list
            if call.args[0] == name
        }

    def warm_up(self, method, path):
        """Let the front learn how long such calls take; return the status."""
        return send_call(self.front.address, method, path, "warm")[0]

    def seen(self, service="desks"):
        """Return the ids of the calls that servers have begun to run."""
        return [
            request["headers"]["X-Attempt-Id"]
            for server in getattr(self.front, service)
            for request in server.seen
        ]

    def check_promises(self, service="desks"):
        """Check that no call is refused as not run that a server has run."""
        seen = self.seen(service)
        broken = [
            outcome
            for outcome in self.outcomes
            if outcome.status in NOT_RUN_STATUSES and outcome.request_id in seen
        ]
        self.assertEqual(broken, [])


class SlowServerTests(PlannedStopTestCase):
    """Servers take long for each answer."""

    def check_calls_in_grace(self, method, path, grace_s, answer_s):
        for server in self.front.desks:
            server.answer_s = answer_s
        self.warm_up(method, path)
        for number in range(16):
            self.send(method, path, 0.1 * number)
        shutdown = self.stop(grace_s)
        self.assertEqual(self.cut_off(shutdown), [])
        self.check_promises()

    def test_look_ups_in_a_short_grace(self):
        """Guards against those that are sent on again and cut at the exit."""
        self.check_calls_in_grace("GET", "/look/x", 3.0, answer_s=2.0)

    def test_look_ups_in_a_long_grace(self):
        """Guards against refusals of what ends long before the exit."""
        self.check_calls_in_grace("GET", "/look/x", 8.0, answer_s=1.0)
        self.assertEqual({outcome.status for outcome in self.outcomes}, {200})

    def test_bookings_in_a_short_grace(self):
        """Guards against bookings that run and are cut at the exit."""
        self.check_calls_in_grace("POST", "/book/x", 3.0, answer_s=2.0)

    def test_bookings_in_a_long_grace(self):
        """Guards against refusals of what ends long before the exit."""
        self.check_calls_in_grace("POST", "/book/x", 8.0, answer_s=2.0)
        self.assertEqual({outcome.status for outcome in self.outcomes}, {200})

    def test_look_ups_begun_before_the_stop(self):
        """Guards against a second attempt that can't end, for one that would."""
        for server in self.front.desks:
            server.answer_s = 2.0
        self.send("GET", "/look/x")
        gevent.sleep(0.2)
        shutdown = self.stop(3.0)
        self.assertEqual(self.cut_off(shutdown), [])
        self.assertEqual([outcome.status for outcome in self.outcomes], [200])

    def test_look_ups_at_servers_slower_than_before(self):
        """Guards against an exit before those that take longer than expected."""
        self.front.time_to_start.record("desk", "", 0.5)
        for server in self.front.desks:
            server.answer_s = 4.0
        for number in range(8):
            self.send("GET", "/look/x", 0.1 * number)
        shutdown = self.stop(3.0)
        self.assertEqual(self.cut_off(shutdown), [])
        self.assertLessEqual({o.status for o in self.outcomes}, {502, 504})

    def test_failure_of_a_server_is_passed_on(self):
        """Guards against an error of the node in place of the server's response."""
        self.front.time_to_start.record("desk", "", 1.2)
        for server in self.front.desks:
            server.answer_s, server.faults = 1.0, {"fail"}
        self.send("GET", "/look/x", 0.5)
        shutdown = self.stop(3.0)
        self.assertEqual(self.cut_off(shutdown), [])
        (outcome,) = self.outcomes
        self.assertEqual((outcome.status, outcome.body), (500, b"failed"))

    def test_server_is_told_when_the_stop_ends(self):
        """Guards against work that goes on when nobody can pass on its result."""
        for service in ("desk", "assist"):
            self.front.time_to_start.record(service, "", 0.2)
        shutdown = self.stop(3.0)
        self.send("GET", "/look/x")
        self.send("GET", "/look/x", **{"X-Deadline-Ms": "900"})
        self.send("POST", "/ask/x")
        self.assertEqual(self.cut_off(shutdown), [])
        left_ms = {
            request["headers"]["X-Attempt-Id"]: int(request["headers"]["X-Deadline-Ms"])
            for server in (*self.front.desks, *self.front.engines)
            for request in server.seen
        }
        self.assertTrue(2_000 < left_ms["r-0"] <= 2_550, left_ms)
        self.assertTrue(500 < left_ms["r-1"] <= 900, left_ms)
        self.assertTrue(2_700 < left_ms["r-2"] <= 3_000, left_ms)


class QueuedTests(PlannedStopTestCase):
    """All slots are in use by bookings when the stop begins."""

    def test_bookings_that_wait_for_a_slot(self):
        """Guards against slots that come too late for an answer."""
        self.front.view.slot_usage = lambda request: SlotUsage(18, 0, 1.3)
        self.front.time_to_start.record("desk", "", 1.3)
        for server in self.front.desks:
            server.answer_s = 1.6
        for _ in range(18):
            self.send("POST", "/book/x")
        wait_until(lambda: len(self.seen()) == 18)
        gevent.sleep(0.02)
        for server in self.front.desks:
            server.answer_s = 1.3
        for delay_s in (0.4, 0.9, 1.0):
            self.send("POST", "/book/x", delay_s)
        shutdown = self.stop(3.0)
        self.assertEqual(self.cut_off(shutdown), [])
        self.check_promises()
        queued = [outcome for outcome in self.outcomes if outcome.sent_s > 0.2]
        self.assertEqual({outcome.status for outcome in queued}, {503})
        self.assertLess(max(o.ended_s - o.sent_s for o in queued), 0.5)


class DetourTests(PlannedStopTestCase):
    """A node that reaches no servers has its requests served by a peer."""

    def check_calls(self, stopping, server_front):
        for front in {stopping, server_front}:
            front.time_to_start.record("desk", "", 0.5)
        for server in server_front.desks:
            server.answer_s = 2.0
        for number in range(12):
            path = ("/look/x", "/book/x")[number % 2]
            self.send("POST", path, 0.1 * number)
        self.front = stopping
        shutdown = self.stop(3.0)
        self.assertEqual(self.cut_off(shutdown), [])
        self.front = server_front
        self.check_promises()

    def test_sender_stops(self):
        """Guards against detours that the exit of their sender cuts off."""
        self.entry = self.enterContext(FrontWithServers(peers=[self.front]))
        self.entry.reach.cut_off = True
        self.check_calls(self.entry, self.front)

    def test_peer_stops(self):
        """Guards against detours that the exit of the peer cuts off."""
        self.entry = self.enterContext(FrontWithServers(peers=[self.front]))
        self.entry.reach.cut_off = True
        self.check_calls(self.front, self.front)


class StreamTests(PlannedStopTestCase):
    """Streams may last longer than the grace."""

    def setUp(self):
        super().setUp()
        body = config()
        for item in body["Routes"]:
            item["TimeoutMs"] = 8_000
        self.front = self.entry = self.enterContext(FrontWithServers(body))

    def test_begun_stream_runs_on_to_the_exit(self):
        """Guards against streams that break off as if they had not begun."""
        for engine in self.front.engines:
            engine.event_s, engine.events = 0.1, 100
        with closing(HTTPConnection(self.front.address, timeout=6.0)) as conn:
            headers = {
                "Host": "shop.example",
                "X-Attempt-Id": "r-0",
                "Authorization": f"Bearer {KEY}",
            }
            conn.request("POST", "/ask/x", headers=headers)
            resp = conn.getresponse()
            gevent.sleep(0.2)
            shutdown = self.stop(3.0)
            while not shutdown.finished.is_set():
                self.assertTrue(resp.read1(1_000))
                last_s = self.since_stop()
            cut_off = self.logged("request cut off")
        self.assertGreater(last_s, 2.6)
        self.assertEqual(cut_off, {"r-0"})

    def test_stream_that_has_not_begun(self):
        """Guards against an exit without an answer to it."""
        for engine in self.front.engines:
            engine.answer_s = 4.0
        self.front.time_to_start.record("assist", "", 0.2)
        for path, delay_s in itertools.product(("/ask/x", "/once/x"), (0.0, 0.4)):
            self.send("POST", path, delay_s)
        shutdown = self.stop(3.0)
        self.assertEqual(self.cut_off(shutdown), [])
        self.check_promises("engines")

    def test_long_streams_late_in_the_grace(self):
        """Guards against streams that are begun although they can't end."""
        for engine in self.front.engines:
            engine.event_s, engine.events = 0.15, 10
        self.warm_up("POST", "/ask/x")
        for number in range(10):
            self.send("POST", "/ask/x", 0.1 * number)
        shutdown = self.stop(3.0)
        self.assertEqual(self.cut_off(shutdown), [])
        self.check_promises("engines")
        whole = [o for o in self.outcomes if o.body.count(b"data: piece-") == 10]
        self.assertGreater(len(whole), 0)


class ConnectionTests(PlannedStopTestCase):
    """What callers send on connections that the stop will close."""

    HEAD = (
        "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r-0\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 8\r\n\r\n"
    ).encode()

    def connect(self):
        sock = socket.create_connection(("127.0.0.1", self.front.server.server_port))
        self.addCleanup(sock.close)
        sock.settimeout(5.0)
        return sock

    def test_body_that_never_comes(self):
        """Guards against an exit without an answer to its request."""
        sock = self.connect()
        sock.sendall(self.HEAD + b"1234")
        gevent.sleep(0.2)
        shutdown = self.stop(3.0)
        answer = gevent.spawn(sock.recv, 65_536)
        shutdown.finished.wait()
        gevent.sleep(0.02)
        self.assertTrue(answer.ready())
        self.assertTrue(answer.get().startswith(b"HTTP/1.1 503 "))

    def test_body_that_comes_late(self):
        """It is refused at once, and the connection closed after the answer."""
        sock = self.connect()
        sock.sendall(self.HEAD + b"1234")
        gevent.sleep(0.2)
        self.stop(3.0)
        gevent.sleep(2.0)
        sock.sendall(b"5678")
        head = sock.recv(65_536)
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"Connection: close", head)
        self.assertLess(self.since_stop(), 2.2)
        self.assertEqual(self.seen(), [])

    def test_requests_on_a_kept_connection(self):
        """Each gets an answer; the first one in the stop closes the connection."""
        sock = self.connect()
        for stops in (False, True):
            if stops:
                self.stop(3.0)
            sock.sendall(self.HEAD + b"12345678")
            head = sock.recv(65_536)
            self.assertTrue(head.startswith(b"HTTP/1.1 200 "))
            self.assertEqual(b"Connection: close" in head, stops)
        self.assertEqual(sock.recv(65_536), b"")

    def test_request_on_a_kept_connection_that_crosses_the_refusal(self):
        """Guards against a request that is passed on late or gets no answer."""
        sock = self.connect()
        sock.sendall(self.HEAD + b"12345678")
        self.assertTrue(sock.recv(65_536).startswith(b"HTTP/1.1 200 "))
        self.hold_stop_open()
        self.stop(3.0)
        gevent.sleep(1.5)
        sock.sendall(self.HEAD + b"12345678")
        head = sock.recv(65_536)
        self.assertTrue(head.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"Connection: close", head)
        self.assertEqual(sorted(self.seen()), ["held", "r-0"])

    def hold_stop_open(self):
        """Let a booking run that keeps the stop from an early end."""
        for server in self.front.desks:
            server.answer_s = 2.5
        gevent.spawn(send_call, self.front.address, "POST", "/book/x", "held")
        wait_until(lambda: "held" in self.seen())

    def test_request_that_crosses_the_exit(self):
        """Guards against one that is run by a node that has finished its stop."""
        shutdown = self.stop(8.0)
        shutdown.finished.wait()
        sock = self.connect()
        sock.sendall(self.HEAD + b"12345678")
        self.assertTrue(sock.recv(65_536).startswith(b"HTTP/1.1 503 "))
        self.assertEqual(self.seen(), [])
