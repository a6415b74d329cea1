"""Detection of stalled exchanges, without interrupting slow ones."""

import socket
import unittest
import unittest.mock
from types import SimpleNamespace

import gevent
from gevent.event import AsyncResult, Event

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.routing.attempt import Attempt, _AwaitingServer
from auburnwall.routing.exceptions import OverloadedError
from auburnwall.routing.in_flight import (
    CHECK_INTERVAL_S,
    COMMON_REROUTE_DELAY_S,
    MAX_UNREAD_S,
    SEARCH_RETRY_S,
    DeadlineExceededError,
    InFlightRequests,
    StalledError,
)
from auburnwall.routing.tracked_exchange import (
    REROUTE_DELAY_S,
    STALL_TIMEOUT_S,
    reroute_delay_s,
)
from tests.state.test_table import FakeClock


class InFlightTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.suspects = FakeClock(), []
        self.in_flight = InFlightRequests(self.clock, self.suspects.append)
        self.placement, self.released = "a slot at s2", []

    def exchange(self, group="g1", deadline_s=60.0, may_reroute=True):
        """Return an exchange that got one event and awaits the next one."""
        request = SimpleNamespace(
            request_id="r", service="assist", deadline=self.clock.now + deadline_s
        )
        candidate = Candidate(group, "s1", 1, "", "norte", 9)
        exchange = self.in_flight.begin(request, candidate)
        exchange.task = unittest.mock.Mock()
        exchange.awaiting_server, exchange.may_reroute = True, may_reroute
        exchange.place_elsewhere = lambda: self.placement
        exchange.give_back = self.released.append
        self.in_flight.note_progress(exchange)
        return exchange

    def check_after(self, seconds):
        self.clock.now += seconds
        self.in_flight.check_progress(self.clock.now)

    def interruption(self, exchange):
        # The task that looks for a slot, and the interrupt.
        gevent.sleep(0)
        gevent.sleep(0)
        calls = exchange.task.throw.call_args_list
        return calls[0].args[0] if calls else None

    def test_stalled_group_is_suspect_first_and_its_exchange_interrupted_later(self):
        exchange = self.exchange()
        self.check_after(STALL_TIMEOUT_S + 0.01)
        self.assertEqual(self.suspects, ["g1"])
        self.assertIsNone(self.interruption(exchange))
        self.check_after(REROUTE_DELAY_S)
        self.assertIsInstance(self.interruption(exchange), StalledError)

    def test_interrupt_tells_how_late_the_node_was_and_who_else_was_silent(self):
        """Without both, a late node and a silent server look alike in the log."""
        self.exchange("g1"), self.exchange("g2", may_reroute=False)
        self.check_after(STALL_TIMEOUT_S)
        self.exchange("g3")
        with self.assertLogs("absl", "INFO") as logs:
            self.check_after(REROUTE_DELAY_S - 0.2)
            self.exchange("g3")
            self.check_after(0.21)
            gevent.sleep(0)
        (fields,) = [
            record.fields
            for record in logs.records
            if record.msg == "exchange interrupted"
        ]
        self.assertEqual((fields["silent"], fields["awaited"]), (2, 3))
        self.assertEqual(fields["late_s"], 0.0)

    def test_stalled_exchange_is_kept_until_its_request_has_a_slot_elsewhere(self):
        exchange, slot = self.exchange(), AsyncResult()
        exchange.place_elsewhere = slot.get
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        self.check_after(1.0)
        self.assertIsNone(self.interruption(exchange))
        slot.set(self.placement)
        error = self.interruption(exchange)
        self.assertEqual(error.placement, self.placement)
        self.assertEqual(self.released, [])

    def test_stalled_exchange_without_a_slot_elsewhere_is_kept_and_asks_again(self):
        exchange, asked_at = self.exchange(), []

        def refuse():
            asked_at.append(self.clock.now)
            raise OverloadedError("no slot", 1.0)

        exchange.place_elsewhere = refuse
        for _ in range(40):
            self.check_after(0.05)
            self.assertIsNone(self.interruption(exchange))
        # The first time after 0.8 s, then each 0.3 s.
        self.assertIn(len(asked_at), (4, 5))

    def test_failed_search_is_one_line_with_the_age_of_its_exchange(self):
        exchange, searches = self.exchange(), []

        def refuse():
            searches.append(self.clock.now)
            raise OverloadedError("no slot", 1.0)

        exchange.place_elsewhere = refuse
        with self.assertLogs("absl", "INFO") as logs:
            for _ in range(40):
                self.check_after(0.05)
                self.assertIsNone(self.interruption(exchange))
        kept = [r.fields for r in logs.records if r.msg == "exchange kept"]
        self.assertEqual(len(kept), len(searches))
        ages = [round(at - exchange.started_at, 2) for at in searches]
        self.assertEqual([fields["age_s"] for fields in kept], ages)
        self.assertEqual({fields["peer"] for fields in kept}, {"s1"})

    def test_slot_is_given_back_if_the_exchange_goes_on_meanwhile(self):
        exchange, slot = self.exchange(), AsyncResult()
        exchange.place_elsewhere = slot.get
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        gevent.sleep(0)
        self.clock.now += 0.05
        self.in_flight.note_progress(exchange)
        slot.set(self.placement)
        self.assertIsNone(self.interruption(exchange))
        self.assertEqual(self.released, [self.placement])

    def test_slot_is_given_back_if_the_group_or_the_peer_goes_on_meanwhile(self):
        stalled, other, slot = self.exchange(), self.exchange(), AsyncResult()
        stalled.place_elsewhere = other.place_elsewhere = slot.get
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        gevent.sleep(0)
        self.clock.now += 0.05
        self.in_flight.note_progress(other)
        detour = self.exchange("n2")
        detour.is_lost = lambda: True
        detour.place_elsewhere = slot.get
        self.check_after(0.01)
        gevent.sleep(0)
        detour.is_lost = lambda: False
        slot.set(self.placement)
        self.assertIsNone(self.interruption(stalled))
        self.assertIsNone(self.interruption(detour))
        self.assertEqual(self.released, [self.placement] * 3)

    def test_slot_is_given_back_if_bytes_arrive_before_the_interrupt(self):
        exchange = self.exchange()
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        gevent.sleep(0)
        exchange.awaiting_server = False
        self.assertIsNone(self.interruption(exchange))
        self.assertEqual(self.released, [self.placement])

    def test_slot_is_given_back_if_bytes_arrive_during_the_search(self):
        exchange, slot = self.exchange(), AsyncResult()
        exchange.place_elsewhere = slot.get
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        gevent.sleep(0)
        exchange.has_unread = exchange.has_unread_bytes = lambda: True
        slot.set(self.placement)
        self.assertIsNone(self.interruption(exchange))
        self.assertEqual(self.released, [self.placement])

    def test_slot_is_kept_if_the_connection_ends_during_the_search(self):
        """What follows has its place then."""
        exchange, slot = self.exchange(), AsyncResult()
        exchange.place_elsewhere = slot.get
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        gevent.sleep(0)
        exchange.has_unread = lambda: True
        slot.set(self.placement)
        self.assertIsInstance(self.interruption(exchange), StalledError)
        self.assertEqual(self.released, [])

    def test_slot_is_given_back_if_the_head_is_read_during_the_search(self):
        exchange, slot = self.exchange(), AsyncResult()
        exchange.place_elsewhere = slot.get
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        gevent.sleep(0)
        # Its task awaits the body.
        exchange.waits += 1
        slot.set(self.placement)
        self.assertIsNone(self.interruption(exchange))
        self.assertEqual(self.released, [self.placement])

    def test_bytes_that_are_no_progress_keep_an_exchange_once(self):
        """Guards against a server that always sends something."""
        exchange = self.exchange()
        exchange.has_unread = exchange.has_unread_bytes = lambda: True
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        self.assertIsNone(self.interruption(exchange))
        self.assertEqual(self.released, [self.placement])
        self.check_after(SEARCH_RETRY_S + 0.01)
        self.assertIsInstance(self.interruption(exchange), StalledError)
        self.assertEqual(self.released, [self.placement])

    def test_search_ends_with_its_exchange(self):
        exchange, ended = self.exchange(), []

        def search():
            try:
                gevent.sleep(5.0)
            finally:
                ended.append(True)

        exchange.place_elsewhere = search
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        gevent.sleep(0)
        self.in_flight.end(exchange)
        gevent.sleep(0)
        self.assertEqual(ended, [True])

    def test_silence_of_all_candidates_is_waited_out_for_longer(self):
        first, second = self.exchange(), self.exchange("g2")
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        self.assertIsNone(self.interruption(first))
        self.assertEqual(sorted(self.suspects), ["g1", "g2"])
        self.check_after(COMMON_REROUTE_DELAY_S - REROUTE_DELAY_S)
        self.assertIsInstance(self.interruption(first), StalledError)
        self.assertIsInstance(self.interruption(second), StalledError)

    def test_silence_of_one_candidate_of_two_is_not_waited_out(self):
        stalled, active = self.exchange(), self.exchange("g2")
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S - 0.1)
        self.in_flight.note_progress(active)
        self.check_after(0.11)
        self.assertIsInstance(self.interruption(stalled), StalledError)

    def test_bytes_that_a_late_node_has_not_read_are_no_silence(self):
        exchange = self.exchange(deadline_s=3.0)
        exchange.has_unread = lambda: True
        self.check_after(STALL_TIMEOUT_S + MAX_UNREAD_S)
        self.assertEqual(self.suspects, [])
        self.in_flight.note_progress(exchange)
        exchange.stall_timeout_s = 9.0
        self.check_after(3.0 - STALL_TIMEOUT_S)
        self.assertIsNone(self.interruption(exchange))

    def test_bytes_without_end_do_not_outlast_a_deadline(self):
        exchange = self.exchange(deadline_s=3.0)
        exchange.has_unread = lambda: True
        exchange.stall_timeout_s = 9.0
        self.check_after(3.0 + MAX_UNREAD_S + 0.01)
        self.assertIsInstance(self.interruption(exchange), DeadlineExceededError)

    def test_bytes_without_end_are_read_for_one_check_past_a_deadline(self):
        exchange = self.exchange(deadline_s=3.0)
        exchange.has_unread = lambda: True
        exchange.stall_timeout_s = 9.0
        self.check_after(3.0)
        self.assertIsNone(self.interruption(exchange))
        self.check_after(CHECK_INTERVAL_S)
        self.assertIsInstance(self.interruption(exchange), DeadlineExceededError)

    def test_bytes_that_have_arrived_at_an_attempt_are_seen(self):
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        self.addCleanup(ours.close)
        channel = SimpleNamespace(connection=SimpleNamespace(sock=ours))
        attempt = SimpleNamespace(_channel=channel)
        self.assertFalse(Attempt._has_unread(attempt))
        theirs.sendall(b"id: 1")
        self.assertTrue(Attempt._has_unread(attempt))
        self.assertTrue(Attempt._has_unread_bytes(attempt))
        attempt._channel = None
        self.assertFalse(Attempt._has_unread(attempt))
        self.assertFalse(Attempt._has_unread_bytes(attempt))

    def test_end_of_an_attempt_s_connection_is_unread_and_no_bytes(self):
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        channel = SimpleNamespace(connection=SimpleNamespace(sock=ours))
        attempt = SimpleNamespace(_channel=channel)
        self.assertFalse(Attempt._has_unread_bytes(attempt))
        theirs.close()
        self.assertTrue(Attempt._has_unread(attempt))
        self.assertFalse(Attempt._has_unread_bytes(attempt))

    def test_slow_group_keeps_its_streams(self):
        """Servers twelve times slower, at 0.6 s an event, finish their streams."""
        exchange = self.exchange()
        for _ in range(10):
            self.check_after(0.6)
            self.in_flight.note_progress(exchange)
        self.assertIsNone(self.interruption(exchange))
        self.assertIn("g1", self.suspects)

    def test_progress_of_one_stream_counts_for_the_whole_group(self):
        stalled, active = self.exchange(), self.exchange()
        for _ in range(10):
            self.check_after(0.2)
            self.in_flight.note_progress(active)
        self.assertEqual((self.suspects, self.interruption(stalled)), ([], None))

    def test_answers_that_usually_take_long_are_waited_for_longer(self):
        for usual_s, time_left_s, delay_s in (
            (0.0, 3.0, REROUTE_DELAY_S),
            (0.1, 3.0, REROUTE_DELAY_S),
            (1.0, 6.0, 1.3),
            # No longer than half of the time left, whatever is usual.
            (1.4, 3.0, 0.8),
            (9.0, 3.0, 0.8),
            (9.0, 0.4, REROUTE_DELAY_S),
        ):
            with self.subTest(usual_s=usual_s, time_left_s=time_left_s):
                found_s = reroute_delay_s(0.7, usual_s, time_left_s)
                self.assertAlmostEqual(found_s, delay_s)

    def test_answer_of_a_group_whose_streams_have_stopped_is_not_waited_for(self):
        exchange, stream = self.exchange(), self.exchange()
        exchange.reroute_delay_s = 9.0
        self.check_after(0.1)
        self.in_flight.note_progress(stream)
        self.check_after(STALL_TIMEOUT_S + REROUTE_DELAY_S + 0.01)
        self.assertIsInstance(self.interruption(exchange), StalledError)

    def test_candidate_whose_answers_usually_take_long_is_suspect_as_soon(self):
        exchange = self.exchange()
        exchange.reroute_delay_s = 1.3
        self.check_after(STALL_TIMEOUT_S + 1.29)
        self.assertEqual(self.suspects, ["g1"])
        self.assertIsNone(self.interruption(exchange))
        self.check_after(0.02)
        self.assertIsInstance(self.interruption(exchange), StalledError)

    def test_request_that_may_not_run_again_is_not_rerouted(self):
        exchange = self.exchange(may_reroute=False)
        self.check_after(5.0)
        self.assertIsNone(self.interruption(exchange))
        self.assertEqual(self.suspects, ["g1"])

    def test_exchange_that_awaits_its_server_is_interrupted_at_the_deadline(self):
        exchange = self.exchange(deadline_s=2.0, may_reroute=False)
        self.check_after(2.0)
        self.assertIsInstance(self.interruption(exchange), DeadlineExceededError)

    def test_interrupt_reaches_the_next_wait_and_nothing_before_it(self):
        """Guards against an interrupt that arrives while a crash is being checked.

        Also against one that is dropped, so that the exchange outlasts its deadline.
        """
        arrived, steps = Event(), []

        def run():
            exchange = self.exchange(deadline_s=2.0)
            exchange.task = gevent.getcurrent()
            try:
                with _AwaitingServer(exchange):
                    arrived.wait()
                gevent.sleep(0.01)
                steps.append("checked")
                with _AwaitingServer(exchange):
                    steps.append("waits")
            except DeadlineExceededError:
                steps.append("ended")

        task = gevent.spawn(run)
        gevent.sleep(0)
        # The response arrives at the same moment as the decision to interrupt.
        arrived.set()
        self.check_after(2.0)
        task.get()
        self.assertEqual(steps, ["checked", "ended"])

    def test_exchange_that_writes_to_its_caller_is_not_interrupted(self):
        exchange = self.exchange(deadline_s=2.0)
        exchange.awaiting_server = False
        self.check_after(9.0)
        self.assertIsNone(self.interruption(exchange))
