"""Noticing what stands still, and leaving alone what is only slow."""

import unittest
import unittest.mock
from types import SimpleNamespace

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.routing.in_flight import (
    MOVE_AFTER_S,
    STILL_S,
    InFlightRequests,
    OutOfTimeError,
    StalledError,
)
from tests.state.test_table import FakeClock


class InFlightTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.doubted = FakeClock(), []
        self.in_flight = InFlightRequests(self.clock, self.doubted.append)

    def exchange(self, group="g1", deadline_s=60.0, movable=True):
        """Return an exchange that has had an event and waits for the next one."""
        request = SimpleNamespace(request_id="r", deadline=self.clock.now + deadline_s)
        candidate = Candidate(group, "s1", 1, "", "norte", 9)
        exchange = self.in_flight.begin(request, candidate)
        exchange.task = unittest.mock.Mock()
        exchange.reading, exchange.movable = True, movable
        self.in_flight.note_event(exchange)
        return exchange

    def look_after(self, seconds):
        self.clock.now += seconds
        self.in_flight.check_progress(self.clock.now)

    def error_of(self, exchange):
        calls = exchange.task.kill.call_args_list
        return calls[0].args[0] if calls else None

    def test_dead_group_is_doubted_first_and_left_a_little_later(self):
        exchange = self.exchange()
        self.look_after(STILL_S + 0.01)
        self.assertEqual(self.doubted, ["g1"])
        self.assertIsNone(self.error_of(exchange))
        self.look_after(MOVE_AFTER_S)
        self.assertIsInstance(self.error_of(exchange), StalledError)

    def test_group_that_takes_six_tenths_of_a_second_keeps_its_streams(self):
        """Servers that work twelve times as slowly still finish what they began."""
        exchange = self.exchange()
        for _ in range(10):
            self.look_after(0.6)
            self.in_flight.note_event(exchange)
        self.assertIsNone(self.error_of(exchange))
        self.assertIn("g1", self.doubted)

    def test_other_streams_of_the_group_show_that_it_moves(self):
        still, moving = self.exchange(), self.exchange()
        for _ in range(10):
            self.look_after(0.2)
            self.in_flight.note_event(moving)
        self.assertEqual((self.doubted, self.error_of(still)), ([], None))

    def test_request_that_may_not_run_again_is_not_moved(self):
        exchange = self.exchange(movable=False)
        self.look_after(5.0)
        self.assertIsNone(self.error_of(exchange))
        self.assertEqual(self.doubted, ["g1"])

    def test_deadline_ends_what_waits_for_its_server(self):
        exchange = self.exchange(deadline_s=2.0, movable=False)
        self.look_after(2.0)
        self.assertIsInstance(self.error_of(exchange), OutOfTimeError)

    def test_task_that_writes_to_its_caller_is_left_alone(self):
        exchange = self.exchange(deadline_s=2.0)
        exchange.reading = False
        self.look_after(9.0)
        self.assertIsNone(self.error_of(exchange))
