"""A node that runs late takes no bytes that lie in its sockets for a silence."""

import socket
import unittest
from types import SimpleNamespace

import gevent
from gevent import monkey

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.routing.attempt import Attempt
from auburnwall.routing.in_flight import (
    CHECK_INTERVAL_S,
    InFlightRequests,
    StalledError,
)
from auburnwall.routing.tracked_exchange import (
    FIRST_EVENT_STALL_TIMEOUT_S,
    REROUTE_DELAY_S,
    STALL_TIMEOUT_S,
)
from tests.state.test_table import FakeClock


class LateCheckTests(unittest.TestCase):
    """Guards against a check that lets other tasks run, and then acts on old times."""

    def setUp(self):
        self.clock, self.suspects = FakeClock(), []
        self.in_flight = InFlightRequests(self.clock, self.suspects.append)

    def exchange(self):
        """Return an exchange and both ends of its connection, the server's last."""
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        request = SimpleNamespace(
            request_id="r", service="assist", deadline=self.clock.now + 60.0
        )
        candidate = Candidate("g1", "s1", 1, "", "norte", 9)
        exchange = self.in_flight.begin(request, candidate)
        exchange.awaiting_server = exchange.may_reroute = True
        channel = SimpleNamespace(connection=SimpleNamespace(sock=ours))
        attempt = SimpleNamespace(_channel=channel)
        exchange.has_unread = lambda: Attempt._has_unread(attempt)
        exchange.has_unread_bytes = lambda: Attempt._has_unread_bytes(attempt)
        return exchange, ours, theirs

    def test_answer_that_arrives_during_a_search_is_taken(self):
        answers, released = [], []

        def await_answer():
            exchange, ours, theirs = self.exchange()

            def search():
                theirs.sendall(b"HTTP/1.1 200 OK")
                return "a slot at s2"

            exchange.place_elsewhere, exchange.give_back = search, released.append
            try:
                answers.append(ours.recv(100))
            except StalledError as exc:
                answers.append(exc)
            exchange.awaiting_server = False

        task = gevent.spawn(await_answer)
        gevent.sleep(0)
        self.clock.now += FIRST_EVENT_STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01
        self.in_flight.check_progress(self.clock.now)
        task.join(timeout=2.0)
        self.assertEqual(answers, [b"HTTP/1.1 200 OK"])
        self.assertEqual(released, ["a slot at s2"])

    def test_bytes_that_are_read_during_the_check_are_no_silence(self):
        exchange, ours, theirs = self.exchange()
        clock, in_flight, searches = self.clock, self.in_flight, []
        exchange.place_elsewhere = lambda: searches.append(clock.now)
        exchange.give_back = lambda placement: None

        def read():
            while ours.recv(100):
                in_flight.note_progress(exchange)

        reader = gevent.spawn(read)
        self.addCleanup(reader.kill)
        check = gevent.spawn_later(
            CHECK_INTERVAL_S, lambda: in_flight.check_progress(clock.now)
        )
        gevent.sleep(0)
        # The node does nothing until both the check and the bytes are there.
        theirs.sendall(b"id: 1")
        monkey.get_original("time", "sleep")(2 * CHECK_INTERVAL_S)
        clock.now += STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01
        check.join()
        gevent.sleep(0)
        self.assertEqual((self.suspects, searches), ([], []))
