"""Placement, load shedding, start times, retry budgets, warm-up and event splitting.

Also the service times of a group, which depend on its number of requests.
"""

import random
import unittest

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.routing.answer_start import TimeToStart
from auburnwall.routing.event_stream import NumberedEventSplitter
from auburnwall.routing.load_shedding import (
    FORMING_WAIT_S,
    ShortageDetector,
    WaitClass,
    WaitContext,
    decide_wait,
    wait_class_of,
)
from auburnwall.routing.placement import choose_candidate
from auburnwall.routing.shared_retry_budget import SharedRetryBudget
from auburnwall.routing.step_model import (
    Work,
    group_seconds_per_request,
    service_time_s,
)
from auburnwall.routing.warmup import MAX_SENDERS, WarmupGate
from tests.routing.engine import ENGINE, MODEL
from tests.state.test_table import FakeClock


def candidates(count, data_center="norte", slots=9):
    """Return candidates of one data centre."""
    return [
        Candidate(f"{data_center}{n}", f"s-{data_center}{n}", 1, "", data_center, slots)
        for n in range(count)
    ]


class PlacementTests(unittest.TestCase):
    def test_nodes_without_shared_load_spread_a_burst(self):
        """Real nodes learn of each other's requests 120 ms late; these never do."""
        groups, total_load = candidates(14), {}
        nodes = [(random.Random(n), {}) for n in range(7)]
        for turn in range(56):
            rng, own_load = nodes[turn % 7]
            chosen = choose_candidate(
                groups, lambda c, o=own_load: o.get(c.name, 0), "norte", rng
            )
            own_load[chosen.name] = own_load.get(chosen.name, 0) + 1
            total_load[chosen.name] = total_load.get(chosen.name, 0) + 1
        self.assertLessEqual(max(total_load.values()), 9)

    def test_own_data_centre_is_preferred_until_it_is_busier(self):
        groups = candidates(2) + candidates(2, "sur")
        rng = random.Random(1)
        local_choice = choose_candidate(groups, lambda c: 2, "norte", rng)
        self.assertEqual(local_choice.data_center, "norte")
        loads = {"norte0": 6, "norte1": 6, "sur0": 2, "sur1": 2}
        remote_choice = choose_candidate(groups, lambda c: loads[c.name], "norte", rng)
        self.assertEqual(remote_choice.data_center, "sur")

    def test_full_candidates_are_not_chosen(self):
        self.assertIsNone(
            choose_candidate(candidates(3), lambda c: 9, "", random.Random(1))
        )


class LoadSheddingTests(unittest.TestCase):
    def decide(self, **changes):
        # Class, requests queued ahead, slots in use, forming groups, slot time,
        # expected time to start, time left, time left to the objective.
        in_time = WaitContext(WaitClass.IN_TIME, 0, 20, 0, 1.5, 0.0, 6.0, 0.3)
        return decide_wait(in_time._replace(**changes))

    def decide_late(self, **changes):
        return self.decide(wait_class=WaitClass.LATE, objective_left_s=-1.0, **changes)

    def test_burst_waits_only_while_it_can_be_in_time(self):
        """Full groups free a slot every 75 ms; the objective is 0.3 s away."""
        waits = [self.decide(queued_ahead=n).wait for n in range(8)]
        self.assertEqual(waits, [True, True, True, False, False, False, False, False])

    def test_expected_time_to_start_reduces_the_wait(self):
        self.assertEqual(
            self.decide(expected_time_to_start_s=0.17).max_wait_s, 0.8 * (0.3 - 0.17)
        )
        self.assertFalse(self.decide(expected_time_to_start_s=0.25).wait)
        self.assertIs(wait_class_of(0.3, 0.31, False), WaitClass.LATE)

    def test_queue_limit_is_the_number_of_slots_freed_in_time(self):
        self.assertEqual(self.decide().queue_limit, 3)
        self.assertEqual(self.decide(expected_time_to_start_s=0.2).queue_limit, 1)

    def test_retry_after_covers_the_queue_ahead_and_has_a_minimum(self):
        self.assertAlmostEqual(self.decide(queued_ahead=38).retry_after_s, 2.925)
        self.assertGreaterEqual(self.decide(time_left_s=0.9).retry_after_s, 1.0)

    def test_retry_after_leaves_time_to_be_served_and_has_a_maximum(self):
        self.assertAlmostEqual(self.decide(queued_ahead=4).retry_after_s, 2.0)
        self.assertLessEqual(self.decide(time_left_s=600.0).retry_after_s, 3.0)

    def test_request_waits_for_a_forming_group(self):
        decision = self.decide(slots_in_use=0, forming_groups=1)
        self.assertEqual((decision.wait, decision.max_wait_s), (True, FORMING_WAIT_S))
        self.assertEqual(decision.retry_after_s, FORMING_WAIT_S)

    def test_no_wait_without_serving_or_forming_groups(self):
        self.assertFalse(self.decide(slots_in_use=0).wait)

    def test_late_request_waits_if_a_slot_is_expected_within_its_limit(self):
        self.assertTrue(self.decide_late(queued_ahead=5).wait)
        self.assertFalse(self.decide_late(queued_ahead=20).wait)

    def test_late_request_is_refused_immediately_in_a_shortage(self):
        decision = self.decide_late(short_s=0.4)
        self.assertFalse(decision.wait)
        self.assertIn("short for 0.40 s", decision.why)
        self.assertTrue(self.decide(short_s=0.4).wait)

    def test_broken_stream_waits_after_its_objective_has_passed(self):
        decision = self.decide(
            wait_class=WaitClass.RESUMING,
            queued_ahead=3,
            objective_left_s=-1.0,
            short_s=2.0,
            resume_window_s=1.4,
        )
        self.assertEqual((decision.wait, decision.max_wait_s), (True, 1.4))

    def test_broken_stream_is_not_ended_by_an_estimate_of_its_wait(self):
        """A caller has no other way to the rest of a stream that has begun."""
        stream = {"wait_class": WaitClass.RESUMING, "resume_window_s": 1.4}
        busy = self.decide(queued_ahead=40, **stream)
        unknown = self.decide(slots_in_use=0, **stream)
        self.assertEqual((busy.wait, busy.max_wait_s), (True, 1.4))
        self.assertEqual((unknown.wait, unknown.max_wait_s), (True, 1.4))
        for known in ({"pause_s": 1.5}, {"rate_per_s": 0.0}, {"time_left_s": 0.0}):
            self.assertFalse(self.decide(**stream, **known).wait)

    def test_no_wait_past_the_deadline(self):
        self.assertFalse(self.decide(time_left_s=0.0).wait)
        self.assertEqual(self.decide(time_left_s=0.1).max_wait_s, 0.1)


class ShortageTests(unittest.TestCase):
    def test_one_miss_in_ten_is_no_shortage(self):
        shortage = ShortageDetector()
        for number in range(50):
            shortage.note_missed(10.0) if number % 10 == 0 else shortage.note_placed()
            self.assertEqual(shortage.duration_s(10.0), 0.0)

    def test_every_other_request_missed_is_a_shortage(self):
        shortage = ShortageDetector()
        for _ in range(4):
            shortage.note_missed(10.0)
            shortage.note_placed()
        self.assertGreater(shortage.duration_s(10.0), 0.0)

    def test_shortage_ends_one_second_after_the_last_miss(self):
        shortage = ShortageDetector()
        for tenth in range(40):
            shortage.note_missed(10.0 + tenth / 10)
        # The shortage begins with the fourth miss, at 10.3.
        self.assertAlmostEqual(shortage.duration_s(14.0), 3.9, delta=0.3)
        self.assertEqual(shortage.duration_s(15.1), 0.0)


class TimeToStartTests(unittest.TestCase):
    def test_mean_follows_changes_but_not_one_stalled_group(self):
        time_to_start = TimeToStart()
        self.assertEqual(time_to_start.mean_s("assist", "big"), 0.0)
        for _ in range(40):
            time_to_start.record("assist", "big", 0.2)
        time_to_start.record("assist", "big", 30.0)
        self.assertLess(time_to_start.mean_s("assist", "big"), 0.23)
        for _ in range(100):
            time_to_start.record("assist", "big", 0.4)
        self.assertAlmostEqual(time_to_start.mean_s("assist", "big"), 0.4, delta=0.01)


class SharedRetryBudgetTests(unittest.TestCase):
    def allowed_retries(self, nodes, requests, attempts, assumed_nodes=None):
        """Return how many retries all nodes together allow in one window.

        Each node gets ``requests`` requests and then attempts ``attempts`` retries.
        ``assumed_nodes`` is the number of nodes that each one counts, if it differs
        from ``nodes``.
        """
        clock, node_count = FakeClock(), assumed_nodes or nodes
        budgets = [
            # Share of the requests, reserve, window in seconds.
            SharedRetryBudget(0.2, 105.0, 10.0, lambda: node_count, clock)
            for _ in range(nodes)
        ]
        allowed = 0
        for budget in budgets:
            for _ in range(requests):
                budget.note_request()
            allowed += sum(budget.take() for _ in range(attempts))
        return allowed

    def test_retries_of_all_nodes_stay_within_the_budget(self):
        for nodes in (1, 7, 74):
            for requests in (0, 10, 200):
                allowed = self.allowed_retries(nodes, requests, 500)
                self.assertLessEqual(allowed, 0.2 * requests * nodes + 105)

    def test_undivided_reserve_exceeds_the_budget(self):
        """Shows that the bound of the test above can be exceeded."""
        self.assertGreater(
            self.allowed_retries(7, 10, 500, assumed_nodes=1), 0.2 * 10 * 7 + 105
        )

    def test_remaining_nodes_keep_the_budget_after_a_loss(self):
        clock, node_count = FakeClock(), [7]
        budgets = [
            SharedRetryBudget(0.2, 105.0, 10.0, lambda: node_count[0], clock)
            for _ in range(7)
        ]
        before = sum(b.take() for b in budgets for _ in range(50))
        node_count[0] = 4
        clock.now += 1.0
        after = sum(b.take() for b in budgets[:4] for _ in range(50))
        self.assertLessEqual(before + after, 105)

    def test_retries_older_than_the_window_do_not_count(self):
        clock = FakeClock()
        budget = SharedRetryBudget(0.0, 10.0, 10.0, lambda: 1, clock)
        # The default margin of 0.7 allows 7 retries of the reserve of 10.
        self.assertEqual(sum(budget.take() for _ in range(50)), 7)
        clock.now += 10.1
        self.assertEqual(sum(budget.take() for _ in range(50)), 7)


class WarmupGateTests(unittest.TestCase):
    def test_cold_server_gets_its_rate_from_all_nodes_together(self):
        """Every node of a large fleet always has requests for the cold server."""
        sent = self.sent_per_second(74, lambda names, own: names)
        self.assertLessEqual(sent, 36 + MAX_SENDERS)
        self.assertGreater(sent, 30)

    def test_rate_is_exceeded_if_every_node_sends(self):
        """Shows that 36 per second can be exceeded, as each node knows only itself."""
        self.assertGreater(
            self.sent_per_second(74, lambda names, own: [own]), 36 * 1.5 + 5
        )

    def sent_per_second(self, node_count, known_nodes):
        """Return the requests sent to a cold server in one second by all nodes.

        ``known_nodes(names, own)`` returns the nodes that a node knows of.
        """
        clock = FakeClock()
        names = [f"n{n}" for n in range(node_count)]
        gates = [
            WarmupGate(name, lambda n=name: known_nodes(names, n), clock)
            for name in names
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
    def test_more_requests_slow_each_other_but_raise_throughput(self):
        work = Work(979, 154)
        alone_s = service_time_s(ENGINE, MODEL, work, 1)
        full_s = service_time_s(ENGINE, MODEL, work, 9)
        self.assertLess(alone_s, full_s)
        # Less of the group's time for each request means a higher throughput.
        self.assertLess(group_seconds_per_request(ENGINE, MODEL, work), alone_s)

    def test_service_time_is_proportional_to_the_pace_of_the_model(self):
        # The pace multiplies all times, so a smaller one is faster.
        fast = MODEL._replace(pace=0.6)
        work = Work(979, 154)
        self.assertAlmostEqual(
            service_time_s(ENGINE, fast, work, 4),
            0.6 * service_time_s(ENGINE, MODEL, work, 4),
        )


class EventSplitterTests(unittest.TestCase):
    STREAM = b"id: 1\ndata: a\n\nid: 2\nx-version: 3\ndata: id:9\n\nid: 3\ndata: c\n\n"

    def test_events_do_not_depend_on_chunk_sizes(self):
        for size in range(1, 12):
            splitter, output = NumberedEventSplitter(), b""
            for at in range(0, len(self.STREAM), size):
                output += splitter.feed(self.STREAM[at : at + size])
            self.assertEqual(output, self.STREAM)
            self.assertEqual((splitter.last_id, splitter.count), ("3", 3))
            self.assertFalse(splitter.pending)

    def test_incomplete_event_is_held_back(self):
        splitter = NumberedEventSplitter()
        self.assertEqual(splitter.feed(self.STREAM[:20]), b"id: 1\ndata: a\n\n")
        self.assertEqual(splitter.last_id, "1")
        self.assertTrue(splitter.pending)

    def test_data_that_looks_like_an_id_is_ignored(self):
        splitter = NumberedEventSplitter()
        splitter.feed(b"id: 4\ndata: id: 7\n\n")
        self.assertEqual(splitter.last_id, "4")
