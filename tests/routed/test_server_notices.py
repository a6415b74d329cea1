"""Servers that say that they leave, or that they want no request for a time."""

import gevent.monkey

gevent.monkey.patch_all()

import unittest  # noqa: E402
from types import SimpleNamespace  # noqa: E402

import gevent  # noqa: E402

from auburnwall.base.clock import SystemClock  # noqa: E402
from auburnwall.fleet.exceptions import ServerPausedError  # noqa: E402
from auburnwall.fleet.registrations import Registry  # noqa: E402
from auburnwall.fleet.server_notices import (  # noqa: E402
    ServerNotices,
    limit_from_header,
    pause_from_header,
)
from auburnwall.platform.servers import ServerClient  # noqa: E402
from auburnwall.state.table.replica import TableReplica  # noqa: E402
from standins.modelserver import ModelServerStandin  # noqa: E402
from standins.store import StoreStandin  # noqa: E402
from tests.fleet.test_registrations import registration  # noqa: E402
from tests.state.test_table import FakeClock  # noqa: E402

from .support import FrontWithServers, send_call  # noqa: E402


class NoticeTests(unittest.TestCase):
    def setUp(self):
        self.front = self.enterContext(FrontWithServers())

    def call(self, path, method="GET", number=0):
        return send_call(self.front.address, method, path, f"r-{number}")

    def test_server_that_says_that_it_leaves_gets_nothing_more(self):
        leaving, staying = self.front.desks
        leaving.faults.add("leaving")
        for number in range(30):
            self.assertEqual(self.call("/look/x", number=number)[0], 200)
        self.assertLessEqual(len(leaving.seen), 1)
        self.assertGreaterEqual(len(staying.seen), 29)

    def test_head_of_a_stream_says_that_its_server_leaves(self):
        leaving = self.front.engines[0]
        leaving.faults.add("leaving")
        for number in range(10):
            status, _, body = self.call("/ask/x", "POST", number)
            self.assertEqual((status, body.count(b"data:")), (200, 10))
        self.assertLessEqual(len(leaving.seen), 1)

    def test_new_incarnation_of_a_server_that_left_gets_requests(self):
        leaving, other = self.front.desks
        leaving.faults.add("leaving")
        other.stop()
        self.assertEqual(self.call("/look/x")[0], 200)
        self.assertEqual(self.call("/look/x", number=1)[0], 503)
        leaving.faults.clear()
        servers = self.front.registry.servers
        servers[leaving.server] = servers[leaving.server]._replace(born=2)
        self.assertEqual(self.call("/look/x", number=2)[0], 200)

    def test_server_that_wants_a_pause_gets_one_request_until_its_end(self):
        paused, other = self.front.desks
        paused.faults.add("pause")
        for number in range(40):
            self.assertEqual(self.call("/look/x", number=number)[0], 200)
        self.assertEqual(paused.refused, 1)
        self.assertEqual(len(other.seen), 40)
        paused.faults.clear()
        gevent.sleep(paused.pause_s)
        for number in range(40, 60):
            self.call("/look/x", number=number)
        self.assertTrue(paused.seen)

    def test_server_that_wants_a_pause_is_not_suspect(self):
        suspects = []
        self.front.in_flight.make_suspect = suspects.append
        self.front.engines[0].faults.add("pause")
        for number in range(10):
            self.assertEqual(self.call("/ask/x", "POST", number)[0], 200)
        self.assertEqual(suspects, [])

    def test_caller_is_told_the_pause_if_all_servers_want_one(self):
        for server in self.front.desks:
            server.faults.add("pause")
            server.pause_s = 4.5
        self.call("/look/x")
        status, headers, _ = self.call("/look/x", number=1)
        self.assertEqual(status, 503)
        self.assertAlmostEqual(float(headers["Retry-After"]), 4.5, delta=0.5)
        self.assertEqual([server.refused for server in self.front.desks], [1, 1])


class LimitedServerTests(unittest.TestCase):
    def setUp(self):
        self.front = self.enterContext(FrontWithServers())
        for server in self.front.desks:
            server.limit_per_s = 0.3

    def call(self, number):
        return send_call(self.front.address, "GET", "/look/x", f"r-{number}")

    def test_unreadable_limit_does_not_end_the_one_before(self):
        while not all(server.seen for server in self.front.desks):
            self.assertEqual(self.call(0)[0], 200)
        for server in self.front.desks:
            server.limit_per_s = "2, 9"
        statuses = [self.call(number)[0] for number in range(2, 20)]
        self.assertIn(503, statuses)
        self.assertLessEqual(statuses.count(200), 8)

    def test_refusal_says_that_it_is_due_to_limits_and_did_not_run(self):
        replies = [self.call(number) for number in range(24)]
        status, headers, body = next(r for r in replies if r[0] != 200)
        self.assertEqual(status, 503)
        self.assertIn(b"limits of all servers", body)
        self.assertIn(b"not run", body)
        self.assertGreater(float(headers["Retry-After"]), 0.0)


class MemberClientTests(unittest.TestCase):
    def setUp(self):
        self.server = ModelServerStandin(StoreStandin(), "m-1", "assist", "norte", "d0")
        self.server.start()
        self.addCleanup(self.server.stop)
        self.registry = Registry(
            TableReplica("servers", None, SystemClock()), None, SystemClock()
        )
        self.registry.servers["m-1"] = registration("m-1", address=self.server.address)
        self.client = ServerClient()
        self.client.notices = ServerNotices(self.registry, SystemClock())

    def test_report_says_that_the_server_leaves(self):
        self.server.faults.add("leaving")
        self.client.fetch_report("m-1", self.server.address)
        self.assertIsNone(self.registry.usable_registration("m-1"))
        self.assertEqual(self.client.notices.leaving(), {"m-1": 1})

    def test_server_that_wants_a_pause_is_not_probed(self):
        self.client.notices.note_response("m-1", "test", is_leaving=False, pause_s=9.0)
        with self.assertRaises(ServerPausedError):
            self.client.fetch_report("m-1", self.server.address)

    def test_pause_ends_with_the_incarnation_that_wanted_it(self):
        notices = self.client.notices
        notices.note_response("m-1", "test", is_leaving=False, pause_s=9.0)
        self.assertGreater(notices.pause_left_s("m-1"), 8.0)
        self.registry.servers["m-1"] = registration("m-1", born=2)
        self.assertEqual(notices.pause_left_s("m-1"), 0.0)


class LimitTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.registry = Registry(
            TableReplica("servers", None, self.clock), None, self.clock
        )
        self.registry.servers["m-1"] = registration("m-1")
        self.notices = ServerNotices(self.registry, self.clock)

    def hear(self, per_s, asked_s_ago=0.0):
        asked_at = self.clock.monotonic() - asked_s_ago
        self.notices.note_limit("m-1", "test", per_s, asked_at)

    def test_response_without_a_limit_ends_it(self):
        self.hear(2.0)
        self.assertEqual(self.notices.limit_per_s("m-1"), 2.0)
        self.clock.now += 1.0
        self.hear(None)
        self.assertIsNone(self.notices.limit_per_s("m-1"))
        self.assertEqual(self.notices.own_limits(), [])

    def test_response_to_a_request_sent_before_the_limit_was_heard_does_not(self):
        self.hear(2.0)
        self.clock.now += 1.0
        self.hear(None, asked_s_ago=1.5)
        self.assertEqual(self.notices.limit_per_s("m-1"), 2.0)

    def test_limit_ends_with_the_incarnation_that_named_it(self):
        self.hear(2.0)
        self.registry.servers["m-1"] = registration("m-1", born=2)
        self.assertIsNone(self.notices.limit_per_s("m-1"))

    def test_peers_word_counts_if_it_is_newer_and_about_this_incarnation(self):
        told = SimpleNamespace(born=1, per_s=3.0, age_ms=500)
        self.hear(2.0)
        self.notices.note_peer_limits({"m-1": told}, "n2")
        self.assertEqual(self.notices.limit_per_s("m-1"), 2.0)
        self.clock.now += 1.0
        self.notices.note_peer_limits({"m-1": told}, "n2")
        self.assertEqual(self.notices.limit_per_s("m-1"), 3.0)
        # What this node has from a peer it does not tell others.
        self.assertEqual(self.notices.own_limits(), [])
        told.born, told.per_s, told.age_ms = 9, 1.0, 0
        self.notices.note_peer_limits({"m-1": told}, "n2")
        self.assertEqual(self.notices.limit_per_s("m-1"), 3.0)


class HeaderTests(unittest.TestCase):
    def test_limit_is_a_number_of_requests(self):
        for text, per_s in (("1.5", 1.5), ("0", 0.0), ("12", 12.0)):
            self.assertEqual(limit_from_header(text), per_s)
        self.assertIsNone(limit_from_header(None))
        for text in ("", "-1", "nan", "inf", "1,5", "two", "1.5, 2"):
            with self.subTest(text), self.assertRaises(ValueError):
                limit_from_header(text)

    def test_only_seconds_of_a_refusal_are_a_pause(self):
        self.assertEqual(pause_from_header(503, "0.25"), 0.25)
        for status, value in (
            (200, "1"),
            (429, "1"),
            (503, None),
            (503, ""),
            (503, "-1"),
            (503, "nan"),
            (503, "inf"),
            (503, "Wed, 21 Oct 2026 07:28:00 GMT"),
        ):
            with self.subTest(value):
                self.assertIsNone(pause_from_header(status, value))


if __name__ == "__main__":
    unittest.main()
