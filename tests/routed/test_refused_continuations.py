"""Streams whose server pauses, and whose next server does not take them.

Guards against giving up a stream for a slot at a server that then refuses it.
"""

import gevent.monkey

gevent.monkey.patch_all()

import json  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from http.client import HTTPException  # noqa: E402

import gevent  # noqa: E402

from auburnwall.routing.exceptions import ExchangeError  # noqa: E402
from standins.modelserver import ModelServerStandin  # noqa: E402
from standins.store import StoreStandin  # noqa: E402
from tests.fleet.test_registrations import registration  # noqa: E402

from .raw_server import RawServer, read_request  # noqa: E402
from .support import FrontWithServers, config, send_call, wait_until  # noqa: E402

SILENCE_S = 1.1
DEADLINE_MS = "2900"
PIECES = [b"data: piece-%d" % number for number in range(1, 11)]


def three_attempts():
    """Return a configuration whose streams may run on three servers."""
    body = config()
    body["Routes"][0]["Attempts"] = 3
    return body


class ClosingServer(RawServer):
    """Closes each connection at once, or once it has read a request."""

    def __init__(self, server, *, reads=False):
        self.server = server
        self._reads = reads
        super().__init__()

    def serve(self, sock):
        if self._reads:
            read_request(sock)


class RefusedContinuationTests(unittest.TestCase):
    """One of two servers has a stream and pauses; a test says what the other does."""

    def setUp(self):
        self.front = self.enterContext(FrontWithServers())
        for engine in self.front.engines:
            engine.event_s = 0.05

    def call(self):
        """Return the status and the lines of data, 0 and none if it is not whole."""
        headers = {"X-Deadline-Ms": DEADLINE_MS, "X-Model": "small"}
        try:
            status, _, body = send_call(
                self.front.address, "POST", "/ask/x", "r-1", **headers
            )
        except (OSError, HTTPException):
            return 0, []
        return status, [ln for ln in body.split(b"\n") if ln.startswith(b"data:")]

    def start_stream(self):
        """Start a stream; return its task, its server and the other one."""
        call = gevent.spawn(self.call)
        wait_until(lambda: any(engine.running for engine in self.front.engines))
        gevent.sleep(0.12)
        first, other = sorted(self.front.engines, key=lambda e: -e.running)
        return call, first, other

    def silence(self, server, seconds=SILENCE_S):
        server.silent_until = time.monotonic() + seconds

    def replace(self, engine, server):
        self.addCleanup(server.stop)
        self.front.engines[self.front.engines.index(engine)] = server

    def check_whole(self, call):
        self.assertEqual(call.get(timeout=5.0), (200, PIECES))
        wait_until(lambda: not self.front.in_flight.slots_in_use)
        self.assertEqual(len(self.front.in_flight), 0)

    def test_other_server_refuses_connections(self):
        call, first, other = self.start_stream()
        other.stop()
        self.silence(first)
        self.check_whole(call)
        with self.subTest("what was not sent counts as no retry"):
            self.assertEqual(len(self.front.budget._retries), 0)

    def test_other_server_refuses_the_request(self):
        call, first, other = self.start_stream()
        other.faults.add("shed")
        self.silence(first)
        self.check_whole(call)
        self.assertEqual(len(self.front.budget._retries), 1)

    def test_other_server_wants_a_pause(self):
        call, first, other = self.start_stream()
        other.faults.add("pause")
        self.silence(first)
        self.check_whole(call)

    def check_closing_server(self, *, reads):
        call, first, other = self.start_stream()
        self.replace(other, ClosingServer(other.server, reads=reads))
        self.silence(first)
        self.check_whole(call)
        self.assertEqual(len(self.front.budget._retries), 1)

    def test_other_server_closes_connections_at_once(self):
        self.check_closing_server(reads=False)

    def test_other_server_closes_connections_once_it_has_the_request(self):
        self.check_closing_server(reads=True)

    def test_other_server_fails(self):
        call, first, other = self.start_stream()
        other.faults.add("fail")
        self.silence(first)
        self.check_whole(call)

    def test_other_server_is_silent(self):
        call, first, other = self.start_stream()
        other.faults.add("stall")
        self.silence(first)
        self.check_whole(call)

    def test_both_servers_are_silent_and_a_third_one_would_be_allowed(self):
        self.front.__exit__()
        self.front = self.enterContext(FrontWithServers(three_attempts()))
        for engine in self.front.engines:
            engine.event_s = 0.05
        call, first, other = self.start_stream()
        other.faults.add("stall")
        self.silence(first, 2.0)
        with self.assertLogs("absl", "INFO") as logs:
            self.check_whole(call)
        failed = [r.fields["peer"] for r in logs.records if r.msg == "attempt failed"]
        self.assertEqual(failed, [other.server])

    def test_bytes_of_the_first_server_arrive_before_the_interrupt(self):
        """What has begun elsewhere is ended by the event loop then."""
        call, first, other = self.start_stream()
        in_flight, interrupted = self.front.in_flight, []
        interrupt = in_flight._interrupt

        def interrupt_too_late(exchange, error, now):
            interrupt(exchange, error, now)
            exchange.waits += not interrupted
            interrupted.append(error.attempt)

        in_flight._interrupt = interrupt_too_late
        self.silence(first)
        self.check_whole(call)
        self.assertIsNotNone(interrupted[0])
        self.assertEqual(len(other.seen), len(interrupted))
        self.assertEqual(len(self.front.budget._retries), len(interrupted))
        wait_until(lambda: not other.running)

    def test_caller_leaves_while_the_other_server_is_asked(self):
        call, first, other = self.start_stream()
        other.faults.add("stall")
        self.silence(first, 2.0)
        wait_until(lambda: other.seen)
        call.kill()
        wait_until(lambda: not self.front.in_flight.slots_in_use)
        self.assertEqual(len(self.front.in_flight), 0)

    def test_first_server_is_back_before_the_other_one_answers(self):
        call, first, other = self.start_stream()
        other.answer_s = 0.6
        self.silence(first)
        self.check_whole(call)
        wait_until(lambda: not other.running)

    def test_other_server_goes_on_while_the_first_one_is_silent(self):
        call, first, other = self.start_stream()
        self.silence(first, 5.0)
        self.check_whole(call)
        (seen,) = other.seen
        self.assertIn("Last-Event-Id", seen["headers"])
        self.assertEqual(len(self.front.budget._retries), 1)

    def test_stream_that_has_not_begun_waits_for_its_server(self):
        for engine in self.front.engines:
            engine.answer_s = 1.4
        call = gevent.spawn(self.call)
        wait_until(lambda: any(engine.seen for engine in self.front.engines))
        _, other = sorted(self.front.engines, key=lambda e: -len(e.seen))
        other.faults.add("shed")
        self.check_whole(call)

    def test_first_server_breaks_off_before_the_other_one_answers(self):
        call, first, other = self.start_stream()
        other.answer_s = 0.4
        self.silence(first, 2.0)
        wait_until(lambda: other.seen)
        first.stop()
        self.check_whole(call)
        self.assertEqual(len(self.front.budget._retries), 1)

    def test_other_server_answers_while_the_first_one_is_checked_for_a_crash(self):
        call, first, other = self.start_stream()
        checked = []

        def has_crashed(server, address):
            checked.append(server)
            wait_until(lambda: other.running)
            gevent.sleep(0.05)
            return False

        self.front.channels.has_crashed = has_crashed
        other.answer_s = 0.2
        self.silence(first, 2.0)
        wait_until(lambda: other.seen)
        first.stop()
        self.check_whole(call)
        self.assertEqual(checked, [first.server])
        self.assertEqual(len(self.front.budget._retries), 1)

    def test_caller_leaves_while_the_first_server_is_checked_for_a_crash(self):
        call, first, other = self.start_stream()
        checked = []

        def has_crashed(server, address):
            wait_until(lambda: other.running)
            checked.append(server)
            gevent.sleep(0.3)
            return False

        self.front.channels.has_crashed = has_crashed
        other.answer_s, other.event_s = 0.2, 0.5
        self.silence(first, 2.0)
        wait_until(lambda: other.seen)
        first.stop()
        wait_until(lambda: checked)
        gevent.sleep(0.05)
        call.kill()
        wait_until(lambda: not self.front.in_flight.slots_in_use)
        self.assertEqual(len(self.front.in_flight), 0)

    def test_first_server_breaks_off_in_the_moment_of_the_interrupt(self):
        call, first, other = self.start_stream()
        interrupt = self.front.in_flight._interrupt

        def break_off_first(exchange, error, now):
            if error.attempt is not None:
                exc = ExchangeError("closed", step="read", peer=first.server, sent=True)
                gevent.get_hub().loop.run_callback(exchange.task.throw, exc)
            interrupt(exchange, error, now)

        self.front.in_flight._interrupt = break_off_first
        self.silence(first, 2.0)
        self.check_whole(call)

    def test_first_server_refuses_before_the_other_one_answers(self):
        for engine in self.front.engines:
            self.silence(engine, 1.7)
            engine.faults.add("shed")
        call = gevent.spawn(self.call)
        wait_until(lambda: self.front.in_flight.slots_in_use)
        (first,) = self.front.in_flight.slots_in_use
        (other,) = (e for e in self.front.engines if e.server != first)
        other.faults.clear()
        self.silence(other, 2.0)
        self.check_whole(call)
        self.assertEqual(len(self.front.budget._retries), 1)

    def test_caller_leaves_after_the_first_server_has_broken_off(self):
        call, first, other = self.start_stream()
        other.faults.add("stall")
        self.silence(first, 2.0)
        wait_until(lambda: other.seen)
        first.stop()
        gevent.sleep(0.05)
        call.kill()
        wait_until(lambda: not self.front.in_flight.slots_in_use)
        self.assertEqual(len(self.front.in_flight), 0)

    def test_server_whose_answer_came_too_late_counts_as_one_of_two(self):
        call, first, other = self.start_stream()
        other.answer_s = 0.6
        self.silence(first, 1.0)
        gevent.sleep(1.1)
        self.silence(first, 0.95)
        self.check_whole(call)
        self.assertEqual((len(first.seen), len(other.seen)), (1, 1))

    def add_server(self):
        """Add a third server of the streams."""
        server = ModelServerStandin(StoreStandin(), "assist-2", "assist", "norte", "d0")
        server.start()
        self.addCleanup(server.stop)
        self.front.engines.append(server)
        self.front.registry.servers[server.server] = registration(
            server.server, address=server.address
        )
        return server

    def test_server_whose_answer_came_too_late_leaves_no_third_one(self):
        call, first, other = self.start_stream()
        third = self.add_server()
        other.answer_s = 0.6
        self.silence(first, 1.0)
        gevent.sleep(1.1)
        self.silence(first, 1.0)
        self.check_whole(call)
        seen = [len(server.seen) for server in (first, other, third)]
        self.assertEqual(sum(seen), 2, seen)

    def start_slow_stream(self, seconds):
        """Start a stream that begins late; return the call, its server, the other."""
        for engine in self.front.engines:
            engine.answer_s = seconds
        call = gevent.spawn(self.call)
        wait_until(lambda: any(engine.seen for engine in self.front.engines))
        return call, *sorted(self.front.engines, key=lambda e: -len(e.seen))

    def start_plain_request(self, seconds):
        """Start a request; return its task, its server, the other."""
        for desk in self.front.desks:
            desk.answer_s = seconds
        call = gevent.spawn(
            send_call,
            self.front.address,
            "POST",
            "/look/x",
            "r-1",
            **{"X-Deadline-Ms": DEADLINE_MS},
        )
        wait_until(lambda: any(desk.seen for desk in self.front.desks))
        return call, *sorted(self.front.desks, key=lambda d: -len(d.seen))

    def check_answered_by(self, call, server):
        status, _, body = call.get(timeout=5.0)
        self.assertEqual(status, 200)
        self.assertEqual(json.loads(body)["by"], server.server)

    def test_plain_request_waits_for_its_server(self):
        call, first, other = self.start_plain_request(1.6)
        other.stop()
        status, _, body = call.get(timeout=5.0)
        self.assertEqual((status, json.loads(body)["by"]), (200, first.server))
        self.assertEqual(len(self.front.budget._retries), 0)

    def test_first_server_fails_before_the_other_one_answers(self):
        call, first, other = self.start_plain_request(1.5)
        first.faults.add("fail")
        other.answer_s = 0.5
        self.check_answered_by(call, other)
        self.assertEqual((len(first.seen), len(other.seen)), (1, 1))
        wait_until(lambda: not self.front.in_flight.slots_in_use)

    def test_first_server_of_a_stream_fails_before_the_other_one_answers(self):
        call, first, other = self.start_slow_stream(1.5)
        first.faults.add("fail")
        other.answer_s = 0.5
        self.check_whole(call)

    def test_other_server_fails_before_the_first_one_answers(self):
        call, first, other = self.start_plain_request(1.6)
        other.faults.add("fail")
        other.answer_s = 0.0
        self.check_answered_by(call, first)
        self.assertEqual((len(first.seen), len(other.seen)), (1, 1))

    def test_other_server_fails_before_a_stream_of_the_first_one_begins(self):
        call, first, other = self.start_slow_stream(1.6)
        other.faults.add("fail")
        other.answer_s = 0.0
        self.check_whole(call)
        self.assertEqual((len(first.seen), len(other.seen)), (1, 1))

    def test_both_servers_fail(self):
        call, first, other = self.start_plain_request(1.5)
        first.faults.add("fail")
        other.faults.add("fail")
        other.answer_s = 0.5
        status, _, body = call.get(timeout=5.0)
        self.assertEqual((status, body), (500, b"failed"))


if __name__ == "__main__":
    unittest.main()
