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
    REROUTE_DELAY_S,
    STALL_TIMEOUT_S,
    InFlightRequests,
)
from tests.state.test_table import FakeClock


class LateCheckTests(unittest.TestCase):
    """Guards against a check that lets other tasks run, and then acts on old times."""

    def test_bytes_that_are_read_during_the_check_are_no_silence(self):
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        clock, suspects, searches = FakeClock(), [], []
        in_flight = InFlightRequests(clock, suspects.append)
        request = SimpleNamespace(
            request_id="r", service="assist", deadline=clock.now + 60.0
        )
        exchange = in_flight.begin(request, Candidate("g1", "s1", 1, "", "norte", 9))
        exchange.awaiting_server = exchange.may_reroute = True
        exchange.place_elsewhere = lambda: searches.append(clock.now)
        exchange.give_back = lambda placement: None
        channel = SimpleNamespace(connection=SimpleNamespace(sock=ours))
        attempt = SimpleNamespace(_channel=channel)
        exchange.has_unread = lambda: Attempt._has_unread(attempt)

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
        self.assertEqual((suspects, searches), ([], []))
