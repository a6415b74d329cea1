"""A planned stop answers all that it has taken before the node exits."""

import gevent.monkey

gevent.monkey.patch_all()

import time  # noqa: E402
import unittest  # noqa: E402
from http.client import HTTPException  # noqa: E402
from types import SimpleNamespace  # noqa: E402
from typing import NamedTuple  # noqa: E402

import gevent  # noqa: E402

from auburnwall.base.clock import SystemClock  # noqa: E402
from auburnwall.node.routed.settings import RoutedSettings  # noqa: E402
from auburnwall.node.routed.shutdown import GracefulShutdown  # noqa: E402

from .support import FrontWithServers, config, send_call  # noqa: E402

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
        self.front = self.enterContext(FrontWithServers(config()))
        self.calls, self.sent, self.outcomes = [], set(), []
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
                    self.front.address, method, path, request_id, **headers
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
