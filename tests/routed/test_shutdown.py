"""Graceful shutdown: accepted requests can finish and new callers go elsewhere."""

import gevent.monkey

gevent.monkey.patch_all()

import socket  # noqa: E402
import unittest  # noqa: E402
from types import SimpleNamespace  # noqa: E402

import gevent  # noqa: E402

from auburnwall.node.routed.settings import RoutedSettings  # noqa: E402
from auburnwall.node.routed.shutdown import (  # noqa: E402
    ACCEPT_SHARE,
    END_SHARE,
    GracefulShutdown,
)
from auburnwall.routing.stop_time import StopTime  # noqa: E402
from tests.state.test_table import FakeClock  # noqa: E402

from .support import KEY, FrontWithServers, send_call, wait_until  # noqa: E402

# The longest streams under load take half of the default grace time of 8 s.
LONGEST_STREAM_S = 4.0
# Requests that are sent to a node later than this after its SIGTERM must never be cut
# off, so the node must refuse new ones by then.
MAX_ACCEPT_S = 3.0
# Time that the end of the process may take beside load, in seconds.
MIN_LEFT_S = 0.24


class YieldingClock(FakeClock):
    """A fake clock whose ``sleep`` also lets other greenlets run."""

    def sleep(self, seconds):
        super().sleep(seconds)
        gevent.sleep(0)


class GracefulShutdownTests(unittest.TestCase):
    def setUp(self):
        self.clock = YieldingClock()
        self.gateway = SimpleNamespace(
            running=0,
            idle_since=self.clock.now,
            stop_begun=False,
            refusing=False,
            stop_time=StopTime(self.clock),
        )
        self.withdrawn = []
        writer = SimpleNamespace(withdraw=lambda: self.withdrawn.append(True))
        cfg = RoutedSettings()
        self.shutdown = GracefulShutdown(self.gateway, writer, self.clock, cfg, gevent)

    def run_until_refusing(self, running):
        """Start the shutdown with requests running; return when it refuses new ones.

        The result is in seconds after the start.
        """
        began_at, self.gateway.running = self.clock.now, running
        self.shutdown.begin()
        while not self.gateway.refusing and not self.shutdown.finished.is_set():
            gevent.sleep(0)
        return self.clock.now - began_at

    def test_last_accepted_request_can_still_finish(self):
        """Guards against streams accepted too late, such as one 5.2 s after SIGTERM.

        The exit of the node cuts off such a stream.
        """
        refusing_s = self.run_until_refusing(running=1)
        self.assertLess(refusing_s, MAX_ACCEPT_S)
        left_s = END_SHARE * 8.0 - refusing_s
        self.assertGreater(left_s, LONGEST_STREAM_S)

    def test_node_accepts_requests_for_two_hold_times_of_directory_answers(self):
        cfg = RoutedSettings()
        self.assertLessEqual(2 * cfg.entry_hold_s, ACCEPT_SHARE * cfg.grace_s)

    def test_idle_node_exits_early(self):
        began_at = self.clock.now
        self.shutdown.begin()
        while not self.shutdown.finished.is_set():
            gevent.sleep(0)
        self.assertLess(self.clock.now - began_at, 2.0)
        self.assertEqual(self.withdrawn, [True])

    def test_node_with_running_requests_exits_before_the_end_of_the_grace_time(self):
        began_at = self.clock.now
        self.run_until_refusing(running=1)
        while not self.shutdown.finished.is_set():
            gevent.sleep(0)
        self.assertLess(self.clock.now - began_at, 8.0)

    def test_short_grace_leaves_time_for_the_exit(self):
        """Guards against an exit that is killed, and answers that come too late."""
        for grace_s in (1.0, 1.5, 2.0, 3.0):
            self.setUp()
            self.shutdown.cfg = RoutedSettings(grace_s=grace_s)
            began_at = self.clock.now
            self.run_until_refusing(running=1)
            self.shutdown.finished.wait()
            left_s = began_at + grace_s - self.clock.now
            stop_time = self.gateway.stop_time
            with self.subTest(grace_s=grace_s):
                self.assertGreater(left_s, MIN_LEFT_S)
                self.assertAlmostEqual(self.clock.now, stop_time.exit_at)
                answer_s = stop_time.exit_at - stop_time.answer_by
                self.assertAlmostEqual(answer_s, 0.08 * grace_s)

    def test_requests_that_the_exit_cuts_off_are_logged_at_its_end(self):
        logged_at = []
        self.shutdown.log_cut_off = lambda: logged_at.append(self.clock.now)
        began_at = self.clock.now
        self.run_until_refusing(running=1)
        self.shutdown.finished.wait()
        (at,) = logged_at
        self.assertAlmostEqual(at - began_at, END_SHARE * 8.0, delta=0.1)

    def test_idle_node_logs_no_requests_at_its_end(self):
        logged_at = []
        self.shutdown.log_cut_off = lambda: logged_at.append(self.clock.now)
        self.shutdown.begin()
        self.shutdown.finished.wait()
        self.assertEqual(logged_at, [])


class SlowReaderTests(unittest.TestCase):
    """Guards against a stop that cuts off answers that are still being written."""

    BODY_BYTES = 8_000_000

    def test_answer_counts_as_running_until_it_is_written(self):
        with FrontWithServers() as front:
            for server in front.desks:
                server.body_bytes = self.BODY_BYTES
            host, port = "127.0.0.1", front.server.server_port
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
                sock.settimeout(5.0)
                sock.connect((host, port))
                sock.sendall(
                    b"GET /look/x HTTP/1.1\r\nHost: shop.example\r\n"
                    b"X-Attempt-Id: r-1\r\nAuthorization: Bearer "
                    + KEY.encode()
                    + b"\r\n\r\n"
                )
                count = len(sock.recv(65_536))
                gevent.sleep(0.3)
                self.assertEqual(front.gateway.running, 1)
                self.assertEqual(front.in_flight.slots_in_use, {})
                while count < self.BODY_BYTES:
                    count += len(sock.recv(65_536))
            wait_until(lambda: not front.gateway.running)

    def test_stream_counts_as_running_until_it_is_written(self):
        with FrontWithServers() as front:
            address = front.address
            task = gevent.spawn(send_call, address, "POST", "/ask/x", "r-1")
            wait_until(lambda: front.gateway.running)
            status, _, body = task.get()
            self.assertEqual((status, body.count(b"data:")), (200, 10))
            wait_until(lambda: not front.gateway.running)
