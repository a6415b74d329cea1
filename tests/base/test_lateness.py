"""Lateness of the event loop: what the node itself adds to a silence is known."""

import time
import unittest
from unittest import mock

import gevent

from auburnwall.base import lateness
from auburnwall.base.clock import SystemClock
from auburnwall.base.lateness import LATE_S, RECENT_S, LoopLateness
from auburnwall.routing.in_flight import CHECK_INTERVAL_S, InFlightRequests
from tests.state.test_table import FakeClock


def stand_still(seconds):
    """Let no other task run for ``seconds``."""
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        pass


class LoopLatenessTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.lateness = LoopLateness(self.clock)
        self.lines = []
        for name in ("event", "warn"):
            self.enterContext(mock.patch.object(lateness, name, self.log))

    def log(self, name, **fields):
        self.lines.append((self.clock.now, name, fields))

    def run_timer(self, *late_s):
        """Let the timer fire with each lateness, in seconds, one after the other."""
        for seconds in late_s:
            self.clock.now += CHECK_INTERVAL_S + seconds
            self.lateness.record(seconds, self.clock.now)

    def run_in_time(self, seconds):
        self.run_timer(*[0.0] * round(seconds / CHECK_INTERVAL_S))

    def test_recent_lateness_is_the_largest_of_the_last_seconds(self):
        self.run_timer(0.02, 0.3, 0.04)
        self.assertEqual(self.lateness.recent_s(), 0.3)
        self.run_in_time(RECENT_S - 0.2)
        self.run_timer(0.01)
        self.assertEqual(self.lateness.recent_s(), 0.3)
        self.run_in_time(0.3)
        self.assertEqual(self.lateness.recent_s(), 0.01)
        self.run_in_time(RECENT_S)
        self.assertEqual(self.lateness.recent_s(), 0.0)

    def test_timer_that_has_not_fired_yet_counts(self):
        """The task that asks may be the first one that runs after a standstill."""
        clock = SystemClock()
        real = LoopLateness(clock)
        task = gevent.spawn(InFlightRequests(clock, None, lateness=real).watch)
        self.addCleanup(task.kill)
        gevent.sleep(0.01)
        self.assertLess(real.recent_s(), LATE_S)
        stand_still(0.4)
        self.assertGreater(real.recent_s(), 0.3)
        gevent.sleep(0.1)
        self.assertGreater(real.recent_s(), 0.3)

    def test_late_phase_has_a_line_at_its_start_and_its_end(self):
        self.run_timer(0.01, 0.2)
        self.run_in_time(0.5)
        self.run_timer(0.7)
        self.run_in_time(5.0)
        self.assertEqual(
            [(name, fields) for _, name, fields in self.lines],
            [
                ("event loop late", {"late_s": 0.2}),
                ("event loop in time", {"max_s": 0.7, "for_s": 1.45}),
            ],
        )

    def test_short_phases_write_at_most_a_line_a_second(self):
        for _ in range(50):
            self.run_timer(0.15)
            self.run_in_time(1.05)
        times = [at for at, _, _ in self.lines]
        pauses_s = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreater(len(times), 50)
        self.assertGreaterEqual(min(pauses_s), 0.99)

    def test_memory_is_bounded(self):
        for number in range(1_000):
            self.run_timer(0.05 - number / 100_000)
        limit = RECENT_S / CHECK_INTERVAL_S + 1
        self.assertLessEqual(len(self.lateness._peaks), limit)
