"""Requests whose servers fall silent for about a second while no place is left over.

Guards against giving up an attempt before another place for its request is at hand.
"""

import gevent.monkey

gevent.monkey.patch_all()

import itertools  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from collections import Counter  # noqa: E402
from http.client import HTTPException  # noqa: E402

import gevent  # noqa: E402

from .support import FrontWithServers, send_call, wait_until  # noqa: E402

SILENCE_S = 1.1
# Longer than the silence, so that a second attempt would be in time.
DEADLINE_MS = "2900"


class SilentServersTests(unittest.TestCase):
    def setUp(self):
        self.front = self.enterContext(FrontWithServers())
        self.numbers = itertools.count()
        for engine in self.front.engines:
            engine.event_s = 0.05

    def call(self, path):
        """Return the status and the number of events, 0 and 0 without a whole answer.

        For an answer that is no stream, the number is that of its bytes.
        """
        request_id = f"r-{next(self.numbers)}"
        headers = {"X-Deadline-Ms": DEADLINE_MS, "X-Model": "small"}
        try:
            status, _, body = send_call(
                self.front.address, "POST", path, request_id, **headers
            )
        except (OSError, HTTPException):
            return 0, 0
        return status, body.count(b"\n\n") if b"data:" in body else len(body)

    def start_calls(self, path, servers, count=2):
        """Start calls; return their tasks once the servers run all of them."""
        before = self.seen(servers)
        calls = [gevent.spawn(self.call, path) for _ in range(count)]
        wait_until(lambda: self.seen(servers) == before + count)
        return calls

    def seen(self, servers):
        return sum(len(server.seen) for server in servers)

    def silence(self, servers, seconds=SILENCE_S):
        until = time.monotonic() + seconds
        for server in servers:
            server.silent_until = until

    def results(self, calls):
        gevent.joinall(calls, timeout=8.0)
        return [call.value for call in calls]

    def test_streams_are_kept_while_no_other_place_is_free(self):
        self.front.view.slots = 1
        calls = self.start_calls("/ask/x", self.front.engines)
        gevent.sleep(0.12)
        self.silence(self.front.engines)
        self.assertEqual(self.results(calls), [(200, 10)] * 2)
        self.assertEqual(self.seen(self.front.engines), 2)

    def test_stream_is_kept_while_the_only_other_place_is_taken(self):
        self.front.view.slots = 1
        for engine in self.front.engines:
            engine.event_s = 0.15
        calls = self.start_calls("/ask/x", self.front.engines)
        gevent.sleep(0.25)
        self.silence(self.front.engines[:1])
        self.assertEqual(self.results(calls), [(200, 10)] * 2)

    def test_stream_is_kept_without_retry_budget(self):
        self.front.budget.take = self.front.budget.may_take = lambda: False
        calls = self.start_calls("/ask/x", self.front.engines)
        gevent.sleep(0.12)
        self.silence(self.front.engines)
        self.assertEqual(self.results(calls), [(200, 10)] * 2)

    def test_search_for_another_place_takes_no_retry_if_the_stream_goes_on(self):
        calls = self.start_calls("/ask/x", self.front.engines, 1)
        attempts = [e.place_elsewhere.args[0] for e in self.front.in_flight._exchanges]
        for attempt in attempts:
            placement = attempt.exchange.place_elsewhere()
            attempt.exchange.give_back(placement)
        self.assertEqual(len(attempts), 1)
        self.assertEqual(len(self.front.budget._retries), 0)
        self.assertEqual(self.results(calls), [(200, 10)])

    def test_stream_is_kept_if_its_prompt_is_blocked_meanwhile(self):
        calls = self.start_calls("/ask/x", self.front.engines)
        gevent.sleep(0.12)
        cause = ("part-x", 9.0)
        self.front.crash_evidence.blocked_cause = lambda causes: cause
        self.silence(self.front.engines, 1.8)
        self.assertEqual(self.results(calls), [(200, 10)] * 2)

    def test_stream_without_event_ids_is_kept(self):
        for engine in self.front.engines:
            engine.faults.add("no-ids")
        calls = self.start_calls("/ask/x", self.front.engines)
        gevent.sleep(0.12)
        self.silence(self.front.engines)
        self.assertEqual(self.results(calls), [(200, 10)] * 2)

    def test_stream_that_has_not_begun_is_kept(self):
        self.front.view.slots = 1
        self.silence(self.front.engines, 1.8)
        calls = [gevent.spawn(self.call, "/ask/x") for _ in range(2)]
        self.assertEqual(self.results(calls), [(200, 10)] * 2)

    def test_kept_requests_are_not_logged_as_refused(self):
        self.front.view.slots = 1
        self.silence(self.front.engines, 1.8)
        with self.assertLogs("absl", "INFO") as logs:
            calls = [gevent.spawn(self.call, "/ask/x") for _ in range(2)]
            self.assertEqual(self.results(calls), [(200, 10)] * 2)
        counts = Counter(record.msg for record in logs.records)
        self.assertEqual(counts["request refused"], 0)
        self.assertIn(counts["exchange kept"], range(1, 6))

    def test_stream_whose_prompt_is_blocked_meanwhile_is_not_logged_as_refused(self):
        with self.assertLogs("absl", "INFO") as logs:
            self.test_stream_is_kept_if_its_prompt_is_blocked_meanwhile()
        self.assertNotIn("request refused", [record.msg for record in logs.records])

    def test_request_that_may_be_repeated_is_kept(self):
        self.front.view.slots = 1
        self.silence(self.front.desks, 1.8)
        calls = [gevent.spawn(self.call, "/look/x") for _ in range(2)]
        self.assertEqual([status for status, _ in self.results(calls)], [200, 200])

    def test_streams_are_served_at_once_after_a_silence(self):
        """Suspicions end with the progress that refutes them."""
        calls = self.start_calls("/ask/x", self.front.engines, 4)
        gevent.sleep(0.12)
        self.silence(self.front.engines)
        gevent.sleep(SILENCE_S + 0.2)
        later = [gevent.spawn(self.call, "/ask/x") for _ in range(4)]
        self.assertEqual(self.results(calls), [(200, 10)] * 4)
        self.assertEqual(self.results(later), [(200, 10)] * 4)

    def test_failure_of_a_server_is_answered_while_no_other_place_is_free(self):
        """The server's own answer is worth more than the lack of another place."""
        self.front.view.slots = 1
        self.front.desks[0].faults.add("fail")
        self.silence(self.front.desks[1:], 0.6)
        calls = [gevent.spawn(self.call, "/look/x") for _ in range(2)]
        statuses = sorted(status for status, _ in self.results(calls))
        self.assertEqual(statuses, [200, 500])

    def test_slots_and_searches_end_with_their_requests(self):
        self.test_streams_are_kept_while_no_other_place_is_free()
        wait_until(lambda: not self.front.in_flight.slots_in_use)
        self.assertEqual(len(self.front.in_flight), 0)
