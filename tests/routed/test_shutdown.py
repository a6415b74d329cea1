"""The planned stop: what is taken can finish, and nobody is sent here any more."""

import unittest
from types import SimpleNamespace

import gevent

from auburnwall.node.routed.settings import RoutedSettings
from auburnwall.node.routed.shutdown import END_SHARE, TAKING_SHARE, GracefulShutdown
from tests.state.test_table import FakeClock

# The longest stream seen under load takes half of the usual grace time of 8 s.
LONGEST_STREAM_S = 4.0
# What is sent to a node later than this after its SIGTERM must not be cut off at all.
EXCUSED_S = 3.0


class YieldingClock(FakeClock):
    """A clock whose sleep lets other tasks run."""

    def sleep(self, seconds):
        super().sleep(seconds)
        gevent.sleep(0)


class StopTests(unittest.TestCase):
    def setUp(self):
        self.clock = YieldingClock()
        self.gateway = SimpleNamespace(
            running=0, idle_since=self.clock.now, stop_begun=False, refusing=False
        )
        self.withdrawn = []
        writer = SimpleNamespace(withdraw=lambda: self.withdrawn.append(True))
        cfg = RoutedSettings()
        self.shutdown = GracefulShutdown(self.gateway, writer, self.clock, cfg, gevent)

    def run_until_refusing(self, running):
        """Begin the stop with requests running; return when it refuses new ones."""
        began, self.gateway.running = self.clock.now, running
        self.shutdown.begin()
        while not self.gateway.refusing and not self.shutdown.finished.is_set():
            gevent.sleep(0)
        return self.clock.now - began

    def test_what_is_taken_last_can_still_finish(self):
        """A stream that came 5.2 s after SIGTERM was cut off at its end."""
        refusing_s = self.run_until_refusing(running=1)
        self.assertLess(refusing_s, EXCUSED_S)
        left_s = END_SHARE * 8.0 - refusing_s
        self.assertGreater(left_s, LONGEST_STREAM_S)

    def test_answers_of_the_directory_have_run_out_by_then(self):
        cfg = RoutedSettings()
        self.assertLessEqual(2 * cfg.entry_hold_s, TAKING_SHARE * cfg.grace_s)

    def test_idle_node_ends_before_the_grace_time(self):
        began = self.clock.now
        self.shutdown.begin()
        while not self.shutdown.finished.is_set():
            gevent.sleep(0)
        self.assertLess(self.clock.now - began, 2.0)
        self.assertEqual(self.withdrawn, [True])

    def test_node_whose_requests_do_not_end_ends_before_it_is_killed(self):
        began = self.clock.now
        self.run_until_refusing(running=1)
        while not self.shutdown.finished.is_set():
            gevent.sleep(0)
        self.assertLess(self.clock.now - began, 8.0)
