"""Proofs of the routed path, seen failing with their mechanism switched off.

Each case runs twice: as the product is, and with one mechanism replaced by what a
system without it would do.
"""

import gevent.monkey

gevent.monkey.patch_all()

import http.client  # noqa: E402
import unittest  # noqa: E402
from unittest import mock  # noqa: E402

import gevent  # noqa: E402

from auburnwall.fleet.formation.loads import LoadAllowance  # noqa: E402
from auburnwall.fleet.registrations import Registry  # noqa: E402
from auburnwall.node.routed.source import ConfigSource  # noqa: E402
from auburnwall.node.routed.views import Capacity  # noqa: E402
from auburnwall.routing.attempt import Attempt  # noqa: E402
from auburnwall.routing.event_stream import EventSplitter  # noqa: E402
from auburnwall.routing.exceptions import ExchangeError  # noqa: E402
from auburnwall.routing.routes import Route, RouteTable  # noqa: E402
from auburnwall.state.table.base import TableRecord  # noqa: E402
from auburnwall.state.table.replica import TableReplica  # noqa: E402
from tests.fleet.test_registrations import registration  # noqa: E402
from tests.state.test_table import FakeClock  # noqa: E402

from .support import (  # noqa: E402
    KEY,
    FrontWithServers,
    World,
    config,
    route,
    wait_until,
)


class RoutedCase(unittest.TestCase):
    """A front whose booking route would allow two servers a request."""

    def setUp(self):
        body = config()
        body["Routes"].append(route("/move/", "mutating", Attempts=2))
        self.front = self.enterContext(FrontWithServers(body))

    def call(self, path, method="POST", deadline_ms="3000"):
        """Return status, headers and body of one exchange."""
        conn = http.client.HTTPConnection(self.front.address, timeout=6.0)
        self.addCleanup(conn.close)
        headers = {
            "Host": "shop.example",
            "X-Attempt-Id": "r-1",
            "Authorization": f"Bearer {KEY}",
            "X-Deadline-Ms": deadline_ms,
        }
        conn.request(method, path, headers=headers)
        resp = conn.getresponse()
        return resp.status, resp.headers, resp.read()

    def seen(self, servers):
        return [request for server in servers for request in server.seen]


class NothingTwiceTests(RoutedCase):
    def runs_of_a_booking(self):
        for server in self.front.desks:
            server.faults = {"unsealed"}
        self.call("/move/x")
        return len(self.seen(self.front.desks))

    def test_a_booking_runs_once(self):
        self.assertEqual(self.runs_of_a_booking(), 1)

    def test_without_the_check_it_runs_twice(self):
        with mock.patch.object(Route, "may_run_again", True):
            self.assertGreater(self.runs_of_a_booking(), 1)


class TrueRefusalTests(RoutedCase):
    """A refusal that says that nothing ran, though a server got the request."""

    def untrue_refusals(self):
        for server in self.front.desks:
            server.faults = {"unsealed"}
        status, _, _ = self.call("/move/x")
        return status == 503 and self.seen(self.front.desks)

    def test_no_refusal_is_untrue(self):
        self.assertFalse(self.untrue_refusals())

    def test_without_what_was_sent_a_refusal_is_untrue(self):
        with mock.patch.object(Attempt, "_error", _error_unsent):
            self.assertTrue(self.untrue_refusals())


def _error_unsent(self, detail, step):
    return ExchangeError(detail, step=step, peer=self.candidate.server, sent=False)


class WholeAnswerTests(RoutedCase):
    def answers(self, fault, path):
        """Return the status of an exchange, 0 if the answer was visibly cut."""
        for server in (*self.front.desks, *self.front.engines):
            server.faults = {fault}
        try:
            return self.call(path)[0]
        except (http.client.HTTPException, OSError):
            return 0

    def test_no_answer_of_another_request_and_no_torn_one_is_taken(self):
        self.assertEqual(self.answers("foreign", "/move/x"), 502)
        self.assertEqual(self.answers("unsealed", "/move/x"), 502)
        self.assertEqual(self.answers("cut", "/once/x"), 0)

    def test_without_the_look_at_the_head_foreign_answers_pass(self):
        with mock.patch.object(Attempt, "_check_head", lambda *args: None):
            self.assertEqual(self.answers("foreign", "/move/x"), 200)
            self.assertEqual(self.answers("unsealed", "/move/x"), 200)

    def test_without_the_end_of_the_body_torn_streams_pass(self):
        with (
            mock.patch.object(Attempt, "_chunks", _chunks_until_any_end),
            mock.patch.object(EventSplitter, "pending", b"", create=True),
        ):
            self.assertEqual(self.answers("cut", "/once/x"), 200)


def _chunks_until_any_end(self):
    """Yield what comes and take a broken connection for the end of the answer."""
    try:
        yield from self._resp.read_chunked(65_536)
    except Exception:
        return


class DeadlineTests(RoutedCase):
    def deadline_after_a_wait(self):
        """Return what the server is told of a request that waited for a place."""
        for server in self.front.desks:
            for _ in range(9):
                self.front.in_flight.reserve(server.server)
        patience = mock.patch.object(
            World, "capacity", lambda *args: Capacity(18, 0, 0.1)
        )
        self.enterContext(patience)
        serving = gevent.spawn(self.call, "/move/x", "POST", "3000")
        wait_until(lambda: self.front.placer.waiting() == 1)
        gevent.sleep(0.1)
        for server in self.front.desks:
            self.front.in_flight.release(server.server)
        serving.get(timeout=5.0)
        (request,) = self.seen(self.front.desks)
        return int(request["headers"]["X-Deadline-Ms"])

    def test_the_server_is_told_what_is_left(self):
        self.assertLessEqual(self.deadline_after_a_wait(), 3_000 - 100)

    def test_without_the_own_header_the_caller_s_is_passed_on(self):
        with mock.patch.object(Attempt, "_sent_headers", _headers_as_they_came):
            self.assertEqual(self.deadline_after_a_wait(), 3_000)


def _headers_as_they_came(self):
    headers = dict(self._request.call.headers)
    headers["X-Expect-Instance"] = self.candidate.server
    return headers


class LoadCeilingTests(unittest.TestCase):
    """More members to load than the platform allows, in each window of 5 s."""

    PER_S, AT_ONCE = 2.0, 50

    def most_in_a_window(self):
        allowance, begun = LoadAllowance(), []
        for tick in range(200):
            now = 100.0 + tick / 10
            count = min(8, allowance.left(self.PER_S, self.AT_ONCE, 8, now))
            allowance.note(count, 0.2, now)
            begun += [now] * count
        return max(sum(t <= other < t + 5.0 for other in begun) for t in begun)

    def test_the_ceiling_holds(self):
        self.assertLessEqual(self.most_in_a_window(), self.PER_S * 5.0)

    def test_without_the_allowance_it_does_not(self):
        with mock.patch.object(LoadAllowance, "left", lambda *args, **kwargs: 8):
            self.assertGreater(self.most_in_a_window(), self.PER_S * 5.0 * 1.1 + 3)


class Codec:
    """Versions as they are, and no data centre out."""

    def evacuated(self, key):
        return None

    def is_config(self, key):
        return key == "config"

    def config(self, value):
        return mock.Mock(version=value, routes=())


class ConfigurationTests(unittest.TestCase):
    """A peer passes on an older configuration, a store that was restored another."""

    def versions(self):
        replica = TableReplica("operator", None, FakeClock())
        source, versions = ConfigSource(replica, Codec()), []
        for offset, version in ((0, 1), (7, 4), (3, 2), (8, 3), (9, 5)):
            replica.learn([TableRecord(offset, "config", version)], offset + 1, 0.0)
            versions.append(source.config.version)
        return versions

    def test_the_version_in_force_only_rises(self):
        self.assertEqual(self.versions(), [1, 4, 4, 4, 5])

    def test_without_the_look_at_the_version_it_goes_back(self):
        with mock.patch.object(ConfigSource, "_take_config", _take_any):
            self.assertEqual(self.versions(), [1, 4, 4, 3, 5])

    def test_without_the_look_at_the_offset_either_it_goes_back_further(self):
        with (
            mock.patch.object(ConfigSource, "_take_config", _take_any),
            mock.patch.object(TableReplica, "learn", _learn_all),
        ):
            self.assertEqual(self.versions(), [1, 4, 2, 3, 5])


def _take_any(self, record):
    self.table = RouteTable(self._codec.config(record.value))


def _learn_all(self, records, end, complete_at):
    for record in records:
        for listener in self.listeners:
            listener(record)


class LeftServerTests(unittest.TestCase):
    """A server says that it drains; an older entry of it comes after that."""

    def is_used_again(self):
        clock = FakeClock()
        replica = TableReplica("servers", None, clock)
        registry = Registry(replica, lambda key, value: value, clock)
        entries = (registration("i-1"), registration("i-1", draining=True))
        for offset, entry in enumerate((*entries, registration("i-1"))):
            replica.learn([TableRecord(offset, "i-1", entry)], offset + 1, 0.0)
        return registry.usable("i-1") is not None

    def test_a_server_that_drains_gets_nothing_more(self):
        self.assertFalse(self.is_used_again())

    def test_without_what_was_seen_it_does(self):
        with mock.patch.object(Registry, "usable", _usable_now):
            self.assertTrue(self.is_used_again())


def _usable_now(self, server):
    entry = self.servers.get(server)
    return None if entry is None or entry.draining else entry
