"""Placing, waiting, refusing and repeating: each on the load that it answers."""

import random
import unittest

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.routing.answer_start import AnswerStartTimes
from auburnwall.routing.event_stream import NumberedEventSplitter
from auburnwall.routing.load_shedding import (
    FORMING_WAIT_S,
    Shortage,
    WaitClass,
    WaitContext,
    decide_wait,
    wait_class_of,
)
from auburnwall.routing.placement import choose_candidate
from auburnwall.routing.shared_retry_budget import SharedRetryBudget
from auburnwall.routing.step_model import Work, group_share, service_time
from auburnwall.routing.warmup import MAX_SENDERS, WarmupGate
from tests.routing.engine import ENGINE, MODEL
from tests.state.test_table import FakeClock


def candidates(count, data_center="norte", slots=9):
    """Return candidates of one data centre."""
    return [
        Candidate(f"{data_center}{n}", f"s-{data_center}{n}", 1, "", data_center, slots)
        for n in range(count)
    ]


class PlacingTests(unittest.TestCase):
    def test_seven_nodes_that_know_little_of_each_other_spread_a_burst(self):
        """Each node sees the others' requests 120 ms late, here not at all."""
        groups, load = candidates(14), {}
        nodes = [(random.Random(n), {}) for n in range(7)]
        for turn in range(56):
            rng, own = nodes[turn % 7]
            found = choose_candidate(
                groups, lambda c, o=own: o.get(c.name, 0), "norte", rng
            )
            own[found.name] = own.get(found.name, 0) + 1
            load[found.name] = load.get(found.name, 0) + 1
        self.assertLessEqual(max(load.values()), 9)

    def test_own_data_centre_goes_first_until_it_is_busier(self):
        groups = candidates(2) + candidates(2, "sur")
        rng = random.Random(1)
        near = choose_candidate(groups, lambda c: 2, "norte", rng)
        self.assertEqual(near.data_center, "norte")
        busy = {"norte0": 6, "norte1": 6, "sur0": 2, "sur1": 2}
        far = choose_candidate(groups, lambda c: busy[c.name], "norte", rng)
        self.assertEqual(far.data_center, "sur")

    def test_full_candidates_get_nothing(self):
        self.assertIsNone(
            choose_candidate(candidates(3), lambda c: 9, "", random.Random(1))
        )


class RefusingTests(unittest.TestCase):
    def decide(self, **changes):
        usual = WaitContext(WaitClass.IN_TIME, 0, 20, 0, 1.5, 0.0, 6.0, 0.3)
        return decide_wait(usual._replace(**changes))

    def late(self, **changes):
        return self.decide(wait_class=WaitClass.LATE, objective_s=-1.0, **changes)

    def test_burst_waits_only_as_long_as_it_can_be_in_time(self):
        """Full groups give a place every 75 ms; the objective is 0.3 s away."""
        waits = [self.decide(ahead=n).wait for n in range(8)]
        self.assertEqual(waits, [True, True, True, False, False, False, False, False])

    def test_server_s_own_time_to_begin_is_no_time_to_wait(self):
        self.assertEqual(self.decide(start_s=0.17).wait_s, 0.8 * (0.3 - 0.17))
        self.assertFalse(self.decide(start_s=0.25).wait)
        self.assertIs(wait_class_of(0.3, 0.31, False), WaitClass.LATE)

    def test_only_as_many_wait_as_places_come_in_time(self):
        self.assertEqual(self.decide().room, 3)
        self.assertEqual(self.decide(start_s=0.2).room, 1)

    def test_refusal_tells_when_the_queue_is_served(self):
        self.assertAlmostEqual(self.decide(ahead=38).retry_after_s, 2.925)
        self.assertGreaterEqual(self.decide(left_s=0.9).retry_after_s, 1.0)

    def test_refusal_leaves_the_caller_time_to_be_served(self):
        self.assertAlmostEqual(self.decide(ahead=4).retry_after_s, 2.0)
        self.assertLessEqual(self.decide(left_s=600.0).retry_after_s, 3.0)

    def test_lost_groups_that_are_forming_again_are_waited_for(self):
        decision = self.decide(serving=0, forming=1)
        self.assertEqual((decision.wait, decision.wait_s), (True, FORMING_WAIT_S))
        self.assertEqual(decision.retry_after_s, FORMING_WAIT_S)

    def test_nothing_serves_and_nothing_forms(self):
        self.assertFalse(self.decide(serving=0).wait)

    def test_caller_that_came_back_late_waits_for_what_is_left_over(self):
        self.assertTrue(self.late(ahead=5).wait)
        self.assertFalse(self.late(ahead=20).wait)

    def test_late_caller_is_refused_at_once_while_places_are_short(self):
        decision = self.late(short_s=0.4)
        self.assertFalse(decision.wait)
        self.assertIn("short for 0.40 s", decision.why)
        self.assertTrue(self.decide(short_s=0.4).wait)

    def test_broken_stream_looks_on_though_its_objective_has_passed(self):
        decision = self.decide(
            wait_class=WaitClass.RESUMING,
            ahead=3,
            objective_s=-1.0,
            short_s=2.0,
            patience_s=1.4,
        )
        self.assertEqual((decision.wait, decision.wait_s), (True, 1.4))

    def test_nobody_waits_past_the_deadline(self):
        self.assertFalse(self.decide(left_s=0.0).wait)
        self.assertEqual(self.decide(left_s=0.1).wait_s, 0.1)


class ShortageTests(unittest.TestCase):
    def test_one_miss_in_ten_is_none(self):
        shortage = Shortage()
        for number in range(50):
            shortage.note_missed(10.0) if number % 10 == 0 else shortage.note_placed()
            self.assertEqual(shortage.lasted(10.0), 0.0)

    def test_every_other_one_is(self):
        shortage = Shortage()
        for _ in range(4):
            shortage.note_missed(10.0)
            shortage.note_placed()
        self.assertGreater(shortage.lasted(10.0), 0.0)

    def test_lasts_as_long_as_requests_miss_and_a_second_more(self):
        shortage = Shortage()
        for tenth in range(40):
            shortage.note_missed(10.0 + tenth / 10)
        self.assertAlmostEqual(shortage.lasted(14.0), 3.9, delta=0.3)
        self.assertEqual(shortage.lasted(15.1), 0.0)


class StartTimesTests(unittest.TestCase):
    def test_mean_follows_and_one_group_that_stands_still_does_not_move_it_far(self):
        start_times = AnswerStartTimes()
        self.assertEqual(start_times.mean_s("assist", "big"), 0.0)
        for _ in range(40):
            start_times.record("assist", "big", 0.2)
        start_times.record("assist", "big", 30.0)
        self.assertLess(start_times.mean_s("assist", "big"), 0.23)
        for _ in range(100):
            start_times.record("assist", "big", 0.4)
        self.assertAlmostEqual(start_times.mean_s("assist", "big"), 0.4, delta=0.01)


class RepeatTests(unittest.TestCase):
    def total(self, nodes, requests, tries, counted=None):
        """Return how many repeats all nodes allow of ``tries`` each in a window."""
        clock, count = FakeClock(), counted or nodes
        budgets = [
            SharedRetryBudget(0.2, 105.0, 10.0, lambda: count, clock)
            for _ in range(nodes)
        ]
        allowed = 0
        for budget in budgets:
            for _ in range(requests):
                budget.note_request()
            allowed += sum(budget.take() for _ in range(tries))
        return allowed

    def test_failing_servers_do_not_bring_the_sum_over_the_budget(self):
        for nodes in (1, 7, 74):
            for requests in (0, 10, 200):
                sum_allowed = self.total(nodes, requests, 500)
                self.assertLessEqual(sum_allowed, 0.2 * requests * nodes + 105)

    def test_nodes_that_do_not_share_the_reserve_go_over_it(self):
        self.assertGreater(self.total(7, 10, 500, counted=1), 0.2 * 10 * 7 + 105)

    def test_the_rest_of_the_nodes_keep_to_it_when_some_are_lost(self):
        clock, count = FakeClock(), [7]
        budgets = [
            SharedRetryBudget(0.2, 105.0, 10.0, lambda: count[0], clock)
            for _ in range(7)
        ]
        before = sum(b.take() for b in budgets for _ in range(50))
        count[0] = 4
        clock.now += 1.0
        after = sum(b.take() for b in budgets[:4] for _ in range(50))
        self.assertLessEqual(before + after, 105)

    def test_old_repeats_are_forgotten(self):
        clock = FakeClock()
        budget = SharedRetryBudget(0.0, 10.0, 10.0, lambda: 1, clock)
        self.assertEqual(sum(budget.take() for _ in range(50)), 7)
        clock.now += 10.1
        self.assertEqual(sum(budget.take() for _ in range(50)), 7)


class WarmupTests(unittest.TestCase):
    def test_cold_server_gets_its_rate_over_all_nodes(self):
        """Every node of a large fleet has requests for it all the time."""
        sent = self.sent_by(74, lambda names, own: names)
        self.assertLessEqual(sent, 36 + MAX_SENDERS)
        self.assertGreater(sent, 30)

    def test_nodes_that_all_send_go_over_it(self):
        self.assertGreater(self.sent_by(74, lambda names, own: [own]), 36 * 1.5 + 5)

    def sent_by(self, count, known):
        """Return the requests of a second; ``known`` are the nodes each one counts."""
        clock = FakeClock()
        names = [f"n{n}" for n in range(count)]
        gates = [
            WarmupGate(name, lambda n=name: known(names, n), clock) for name in names
        ]
        sent = 0
        for _ in range(200):
            for gate in gates:
                if gate.may_send("s1", 36.0):
                    gate.note_sent("s1", 36.0)
                    sent += 1
            clock.now += 0.005
        return sent


class StepModelTests(unittest.TestCase):
    def test_more_requests_make_each_one_slower_and_the_group_faster(self):
        work = Work(979, 154)
        alone = service_time(ENGINE, MODEL, work, 1)
        full = service_time(ENGINE, MODEL, work, 9)
        self.assertLess(alone, full)
        self.assertLess(group_share(ENGINE, MODEL, work), alone)

    def test_pace_of_the_model_counts(self):
        fast = MODEL._replace(pace=0.6)
        work = Work(979, 154)
        self.assertAlmostEqual(
            service_time(ENGINE, fast, work, 4),
            0.6 * service_time(ENGINE, MODEL, work, 4),
        )


class EventTests(unittest.TestCase):
    STREAM = b"id: 1\ndata: a\n\nid: 2\nx-version: 3\ndata: id:9\n\nid: 3\ndata: c\n\n"

    def test_any_cut_of_the_bytes_gives_the_same_events(self):
        for size in range(1, 12):
            splitter, out = NumberedEventSplitter(), b""
            for at in range(0, len(self.STREAM), size):
                out += splitter.feed(self.STREAM[at : at + size])
            self.assertEqual(out, self.STREAM)
            self.assertEqual((splitter.last_id, splitter.count), ("3", 3))
            self.assertFalse(splitter.pending)

    def test_part_of_an_event_is_kept_back(self):
        splitter = NumberedEventSplitter()
        self.assertEqual(splitter.feed(self.STREAM[:20]), b"id: 1\ndata: a\n\n")
        self.assertEqual(splitter.last_id, "1")
        self.assertTrue(splitter.pending)

    def test_data_that_looks_like_an_id_is_none(self):
        splitter = NumberedEventSplitter()
        splitter.feed(b"id: 4\ndata: id: 7\n\n")
        self.assertEqual(splitter.last_id, "4")
