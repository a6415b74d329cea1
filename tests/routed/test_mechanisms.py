"""Checks that fail if a safety mechanism of the routed path is disabled.

Each case runs twice: with the code as it is, and with one mechanism patched out. The
second run must show the failure that the mechanism prevents.

Faults of the stand-in servers: "unsealed" is a response without the seal header,
"foreign" one with the ID of another request, and "cut" a stream that breaks off.
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
from auburnwall.node.routed.views import SlotUsage  # noqa: E402
from auburnwall.routing.attempt import Attempt  # noqa: E402
from auburnwall.routing.event_stream import EventSplitter  # noqa: E402
from auburnwall.routing.exceptions import ExchangeError  # noqa: E402
from auburnwall.routing.routes import Route, RouteTable  # noqa: E402
from auburnwall.state.table.base import TableRecord  # noqa: E402
from auburnwall.state.table.replica import TableReplica  # noqa: E402
from tests.fleet.test_registrations import registration  # noqa: E402
from tests.state.test_table import FakeClock  # noqa: E402

from .support import (  # noqa: E402
    FrontWithServers,
    StandinView,
    config,
    route,
    send_call,
    wait_until,
)


class RoutedCase(unittest.TestCase):
    """A front with a mutating route that allows two servers per request."""

    def setUp(self):
        body = config()
        body["Routes"].append(route("/move/", "mutating", Attempts=2))
        self.front = self.enterContext(FrontWithServers(body))

    def call(self, path, method="POST", deadline_ms="3000"):
        """Return status, headers and body of one exchange."""
        headers = {"X-Deadline-Ms": deadline_ms}
        return send_call(self.front.address, method, path, "r-1", **headers)

    def seen(self, servers):
        return [request for server in servers for request in server.seen]


class AtMostOnceTests(RoutedCase):
    def runs_of_a_move(self):
        for server in self.front.desks:
            server.faults = {"unsealed"}
        self.call("/move/x")
        return len(self.seen(self.front.desks))

    def test_move_runs_once(self):
        self.assertEqual(self.runs_of_a_move(), 1)

    def test_move_runs_twice_without_the_check_of_the_route(self):
        with mock.patch.object(Route, "may_run_again", True):
            self.assertGreater(self.runs_of_a_move(), 1)


class RefusalTests(RoutedCase):
    """A 503 states that the request did not run; it is false if a server got it."""

    def is_refused_after_sending(self):
        for server in self.front.desks:
            server.faults = {"unsealed"}
        status, _, _ = self.call("/move/x")
        return status == 503 and self.seen(self.front.desks)

    def test_no_refusal_is_false(self):
        self.assertFalse(self.is_refused_after_sending())

    def test_refusal_is_false_if_sent_requests_count_as_unsent(self):
        with mock.patch.object(Attempt, "_error", _error_as_unsent):
            self.assertTrue(self.is_refused_after_sending())


def _error_as_unsent(self, detail, step):
    return ExchangeError(detail, step=step, peer=self.candidate.server, sent=False)


class CompleteResponseTests(RoutedCase):
    def status_with_fault(self, fault, path):
        """Return the status of a call, 0 if the response was visibly truncated.

        All servers have the fault.
        """
        for server in (*self.front.desks, *self.front.engines):
            server.faults = {fault}
        try:
            return self.call(path)[0]
        except (http.client.HTTPException, OSError):
            return 0

    def test_foreign_and_truncated_responses_are_rejected(self):
        self.assertEqual(self.status_with_fault("foreign", "/move/x"), 502)
        self.assertEqual(self.status_with_fault("unsealed", "/move/x"), 502)
        self.assertEqual(self.status_with_fault("cut", "/once/x"), 0)

    def test_foreign_responses_pass_without_the_check_of_the_id(self):
        with mock.patch.object(Attempt, "_check_id", lambda *args: None):
            self.assertEqual(self.status_with_fault("foreign", "/move/x"), 200)
            self.assertEqual(self.status_with_fault("unsealed", "/move/x"), 502)

    def test_unsealed_responses_pass_without_the_check_of_the_head(self):
        with mock.patch.object(Attempt, "_check_head", lambda *args: None):
            self.assertEqual(self.status_with_fault("foreign", "/move/x"), 502)
            self.assertEqual(self.status_with_fault("unsealed", "/move/x"), 200)

    def test_truncated_streams_pass_without_the_check_of_the_end(self):
        with (
            mock.patch.object(Attempt, "_chunks", _chunks_until_disconnect),
            mock.patch.object(EventSplitter, "pending", b"", create=True),
        ):
            self.assertEqual(self.status_with_fault("cut", "/once/x"), 200)


def _chunks_until_disconnect(self):
    """Yield the chunks; treat a broken connection as the end of the response."""
    try:
        yield from self._resp.read_chunked(65_536)
    except Exception:
        return


class DeadlineTests(RoutedCase):
    def deadline_after_a_wait(self):
        """Return the time left, in ms, that the server gets with a request that waited.

        The request waits for at least 0.1 s, as all slots are taken.
        """
        for server in self.front.desks:
            for _ in range(9):  # all slots of a stand-in server
                self.front.in_flight.take_slot(server.server)
        slot_usage = mock.patch.object(
            StandinView, "slot_usage", lambda *args: SlotUsage(18, 0, 0.1)
        )
        self.enterContext(slot_usage)
        serving = gevent.spawn(self.call, "/move/x", "POST", "3000")
        wait_until(lambda: self.front.placer.waiting_count() == 1)
        gevent.sleep(0.1)
        for server in self.front.desks:
            self.front.in_flight.release(server.server)
        serving.get(timeout=5.0)
        (request,) = self.seen(self.front.desks)
        return int(request["headers"]["X-Deadline-Ms"])

    def test_server_gets_the_time_that_is_left(self):
        self.assertLessEqual(self.deadline_after_a_wait(), 3_000 - 100)

    def test_server_gets_the_caller_s_deadline_without_the_node_s_header(self):
        with mock.patch.object(Attempt, "_sent_headers", _unchanged_headers):
            self.assertEqual(self.deadline_after_a_wait(), 3_000)


def _unchanged_headers(self):
    headers = dict(self._request.call.headers)
    headers["X-Expect-Instance"] = self.candidate.server
    return headers


class LoadRateTests(unittest.TestCase):
    """The rate of model loads stays below the platform's limit in any window of 5 s."""

    PER_S, MAX_CONCURRENT = 2.0, 50

    def max_loads_in_a_window(self):
        allowance, starts = LoadAllowance(), []
        for tick in range(200):
            now = 100.0 + tick / 10
            count = min(
                8, allowance.available_loads(self.PER_S, self.MAX_CONCURRENT, 8, now)
            )
            allowance.record_loads(count, 0.2, now)
            starts += [now] * count
        return max(sum(t <= other < t + 5.0 for other in starts) for t in starts)

    def test_load_rate_stays_below_the_limit(self):
        self.assertLessEqual(self.max_loads_in_a_window(), self.PER_S * 5.0)

    def test_load_rate_exceeds_the_limit_without_the_allowance(self):
        with mock.patch.object(
            LoadAllowance, "available_loads", lambda *args, **kwargs: 8
        ):
            self.assertGreater(self.max_loads_in_a_window(), self.PER_S * 5.0 * 1.1 + 3)


class VersionCodec:
    """A codec that reads a record's value as the version of a configuration.

    No data centre is out of service.
    """

    def evacuated_data_center(self, key):
        return None

    def is_config(self, key):
        return key == "config"

    def decode_config(self, value):
        return mock.Mock(version=value, routes=())


class ConfigurationTests(unittest.TestCase):
    """A peer relays an older configuration, and a restored store contains one, too."""

    def versions(self):
        replica = TableReplica("operator", None, FakeClock())
        source, versions = ConfigSource(replica, VersionCodec()), []
        for offset, version in ((0, 1), (7, 4), (3, 2), (8, 3), (9, 5)):
            replica.apply_records(
                [TableRecord(offset, "config", version)], offset + 1, 0.0
            )
            versions.append(source.config.version)
        return versions

    def test_configuration_version_never_decreases(self):
        self.assertEqual(self.versions(), [1, 4, 4, 4, 5])

    def test_version_decreases_without_the_check_of_the_version(self):
        with mock.patch.object(ConfigSource, "_apply_config", _apply_any):
            self.assertEqual(self.versions(), [1, 4, 4, 3, 5])

    def test_version_decreases_further_without_the_check_of_the_offset(self):
        with (
            mock.patch.object(ConfigSource, "_apply_config", _apply_any),
            mock.patch.object(TableReplica, "apply_records", _apply_all),
        ):
            self.assertEqual(self.versions(), [1, 4, 2, 3, 5])


def _apply_any(self, record):
    self.table = RouteTable(self._codec.decode_config(record.value))


def _apply_all(self, records, end, complete_at):
    for record in records:
        for listener in self.listeners:
            listener(record)


class DrainingServerTests(unittest.TestCase):
    """A server registers as draining; a later registration no longer states it."""

    def is_used_again(self):
        clock = FakeClock()
        replica = TableReplica("servers", None, clock)
        registry = Registry(replica, lambda key, value: value, clock)
        entries = (registration("i-1"), registration("i-1", draining=True))
        for offset, entry in enumerate((*entries, registration("i-1"))):
            replica.apply_records([TableRecord(offset, "i-1", entry)], offset + 1, 0.0)
        return registry.usable_registration("i-1") is not None

    def test_draining_server_is_not_used_again(self):
        self.assertFalse(self.is_used_again())

    def test_draining_server_is_used_again_without_the_record_of_draining(self):
        with mock.patch.object(Registry, "usable_registration", _usable_by_last_entry):
            self.assertTrue(self.is_used_again())


def _usable_by_last_entry(self, server):
    entry = self.servers.get(server)
    return None if entry is None or entry.draining else entry
