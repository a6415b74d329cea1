"""Groups that become slow lose requests and get them back, in virtual time."""

import functools
import math
import random
import unittest
from types import SimpleNamespace

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.routing.expected_start import CandidatePaces, StartEstimate
from auburnwall.routing.pace_reports import (
    EXPIRY_S,
    MAX_PACE,
    MAX_REPORTED,
    MAX_RESPONSES,
    SLOW_PACE,
    PaceReport,
)
from auburnwall.routing.placement import choose_candidate
from tests.routing.uneven_load import TIMES, WORK, UnevenLoad
from tests.state.test_table import FakeClock

GROUPS, SLOW_GROUPS = 12, ("g0", "g1", "g2", "g3")
SLOW_FROM_S, SLOW_UNTIL_S, RUN_S = 6.0, 12.0, 18.0
# Requests per second: half of what the groups serve, and more than they do while some
# are slow.
MODERATE_PER_S, HIGH_PER_S = 30.0, 45.0
# Nodes of a fleet with brokers. Each gets a few responses per second.
FLEET_NODES = 23
SEEDS = range(2)


def slow_pace(number, at):
    """Return 3 for a third of the groups while they are slow, otherwise 1."""
    is_slow = f"g{number}" in SLOW_GROUPS and SLOW_FROM_S <= at < SLOW_UNTIL_S
    return 3.0 if is_slow else 1.0


def equal_pace(number, at):
    return 1.0


@functools.cache
def run(per_s, seed=0, pace_of=slow_pace, **kwargs):
    load = UnevenLoad(GROUPS, pace_of, seed, **kwargs)
    load.run(RUN_S, per_s)
    return load


def missed(per_s, **kwargs):
    """Return how many callers got no first event in time, over some seeds."""
    loads = [run(per_s, seed, **kwargs) for seed in SEEDS]
    return sum(load.arrived - load.in_time for load in loads)


class UnevenLoadTests(unittest.TestCase):
    """A third of the groups are three times slower for 6 s."""

    def test_callers_are_in_time_while_the_other_groups_have_slots(self):
        """Guards against slow groups that get their share of the requests."""
        without = missed(MODERATE_PER_S, uses_paces=False)
        self.assertGreater(without, 40)
        self.assertLess(missed(MODERATE_PER_S), 0.4 * without)

    def test_more_callers_are_in_time_at_high_load(self):
        without = missed(HIGH_PER_S, uses_paces=False)
        self.assertLess(missed(HIGH_PER_S), 0.7 * without)

    def test_nothing_is_refused_at_high_load_while_a_slot_is_idle(self):
        load = run(HIGH_PER_S)
        self.assertEqual(load.refused_while_idle, 0)
        to_slow = sum(
            load.placed_at(name, SLOW_FROM_S + 2, SLOW_UNTIL_S) for name in SLOW_GROUPS
        )
        self.assertGreater(to_slow, 0)

    def test_in_a_fleet_with_brokers(self):
        """Guards against a broker that knows only of its own node's responses."""
        for per_s in (MODERATE_PER_S, HIGH_PER_S):
            without = missed(per_s, node_count=FLEET_NODES, uses_paces=False)
            self.assertLess(missed(per_s, node_count=FLEET_NODES), 0.7 * without)

    def test_slow_groups_lose_requests_within_a_second(self):
        load = run(MODERATE_PER_S)
        for name in SLOW_GROUPS:
            seen_at = min(at for n, at in load.slow_seen if n == name)
            self.assertGreaterEqual(seen_at, SLOW_FROM_S)
            self.assertLess(seen_at, SLOW_FROM_S + 1.0)

    def test_groups_get_their_share_back_within_five_seconds(self):
        """Guards against a group that stays without requests and so without proof."""
        for node_count in (1, FLEET_NODES):
            load = run(MODERATE_PER_S, node_count=node_count)
            last_at = max(at for _, at in load.slow_seen)
            self.assertLess(last_at, SLOW_UNTIL_S + 5.0)
            for name in SLOW_GROUPS:
                self.assertGreater(
                    load.placed_at(name, SLOW_UNTIL_S + 4.0, RUN_S), 0, name
                )

    def test_equal_groups_are_chosen_as_without_paces(self):
        """Guards against a choice by chance differences between equal groups."""
        for node_count in (1, FLEET_NODES):
            for per_s in (MODERATE_PER_S, 80.0):
                one, other = (
                    run(
                        per_s,
                        pace_of=equal_pace,
                        node_count=node_count,
                        uses_paces=uses_paces,
                    )
                    for uses_paces in (False, True)
                )
                self.assertEqual(other.slow_seen, set())
                self.assertEqual(one.placed, other.placed)

    def test_groups_that_are_all_slow_are_not_slow(self):
        load = run(MODERATE_PER_S / 2, pace_of=lambda n, at: 2.0 if at > 6 else 1.0)
        seen = {name for name, at in load.slow_seen if at > SLOW_FROM_S + 4.0}
        self.assertEqual(seen, set())


class PaceTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.late_at = -math.inf
        self.paces = CandidatePaces(
            self.clock, lambda candidate: 1, lambda since: self.late_at >= since
        )

    def begin(self, name):
        candidate = SimpleNamespace(name=name)
        return self.paces.begin(("assist", "big"), candidate, TIMES, WORK.prompt_tokens)

    def respond(self, *names, pace=1.0):
        """Let groups send a response each, at the same time, of a few events."""
        timings = [self.begin(name) for name in names]
        self.clock.now += pace * TIMES.first_event_s(WORK.prompt_tokens, 0, 0.0)
        for timing in timings:
            timing.note_event()
        for _ in range(4):
            for timing in timings:
                timing.note_wait()
            self.clock.now += pace * TIMES.event_s(1)
            for timing in timings:
                timing.note_event()
        for timing in timings:
            timing.end()

    def respond_equally(self):
        """Let each of four groups send some responses of pace 1."""
        for _ in range(3):
            self.respond("g1", "g2", "g3", "g4")

    def pace(self, name):
        self.clock.now += 0.3
        return self.paces.paces().get(name, 1.0)


class CandidatePacesTests(PaceTestCase):
    def test_single_slow_response_shows_no_slow_group(self):
        self.respond_equally()
        self.respond("g5", pace=4.0)
        self.assertEqual(self.pace("g5"), 1.0)

    def test_a_few_slow_responses_do(self):
        self.respond_equally()
        for _ in range(3):
            self.respond("g5", pace=3.0)
        self.assertAlmostEqual(self.pace("g5"), 3.0, delta=0.1)
        self.assertAlmostEqual(self.pace("g1"), 1.0, delta=0.1)

    def test_one_slow_response_of_several_does_not(self):
        self.respond_equally()
        self.respond("g1", pace=6.0)
        self.assertAlmostEqual(self.pace("g1"), 1.0, delta=0.1)

    def test_first_event_that_is_far_too_late_is_an_early_bound(self):
        """Guards against waiting for events that a very slow group sends too late."""
        self.respond_equally()
        self.begin("g5")
        self.clock.now += 4.0 * TIMES.first_event_s(WORK.prompt_tokens, 0, 0.0)
        self.assertGreaterEqual(self.paces.paces()["g5"], SLOW_PACE)

    def test_pace_returns_to_the_median_without_responses(self):
        self.respond_equally()
        for _ in range(3):
            self.respond("g5", pace=3.0)
        paces = [round(self.pace("g5"), 3) for _ in range(17)]
        self.assertEqual(paces, sorted(paces, reverse=True))
        self.assertGreater(paces[0], 2.5)
        self.assertEqual(paces[-1], 1.0)

    def test_newest_responses_count(self):
        self.respond_equally()
        for _ in range(3):
            self.respond("g5", pace=3.0)
        self.assertGreater(self.pace("g5"), 2.5)
        for _ in range(4):
            self.respond("g5")
        self.assertLess(self.pace("g5"), 1.25)

    def test_too_few_responses_have_no_median(self):
        for _ in range(3):
            self.respond("g1", pace=3.0)
        self.assertEqual(self.pace("g1"), 1.0)

    def test_node_that_was_late_measures_nothing(self):
        """Guards against groups that seem slow because this node was paused."""
        self.respond_equally()
        self.late_at = math.inf
        for _ in range(3):
            self.respond("g5", pace=5.0)
        self.begin("g6")
        self.clock.now += 1.0
        self.assertEqual(self.pace("g5"), 1.0)
        self.assertEqual(self.pace("g6"), 1.0)

    def test_pauses_that_a_slow_caller_makes_are_not_measured(self):
        """Guards against groups that seem slow because their callers read slowly."""
        self.respond_equally()
        for _ in range(3):
            timing = self.begin("g5")
            self.clock.now += TIMES.first_event_s(WORK.prompt_tokens, 0, 0.0)
            timing.note_event()
            for _ in range(5):
                self.clock.now += 0.15
                timing.note_wait()
                timing.note_event()
            timing.end()
        self.assertAlmostEqual(self.pace("g5"), 1.0, delta=0.1)

    def test_absurd_prompt_lengths_are_bounded(self):
        """Guards against a caller whose group seems busy for as long as it likes."""
        for tokens in (-(10**9), 0, 10**9):
            seconds = TIMES.prefill_s(tokens)
            self.assertGreater(seconds, 0.0)
            self.assertLess(seconds, 10 * TIMES.prefill_s(WORK.prompt_tokens))

    def test_responses_are_forgotten(self):
        """Guards against memory that grows with the groups that have existed."""
        for number in range(200):
            self.respond(f"g{number}")
            self.clock.now += 1.0
            self.paces.paces()
        kept = sum(map(len, self.paces._timings.values()))
        self.assertLess(kept, 70)
        self.assertEqual(self.paces._reading, {})
        self.clock.now += 60.0
        self.paces.paces()
        self.assertEqual(self.paces._timings, {})


class ReportTests(PaceTestCase):
    def report(self, pace, responses=1, age_s=0.0, nodes=3):
        for number in range(nodes):
            report = PaceReport(pace, responses, age_s)
            self.paces.note_reports(f"n{number}", {"g1": report})

    def test_single_responses_of_some_nodes_add_up(self):
        self.report(3.0, nodes=2)
        self.assertEqual(self.pace("g1"), 1.0)
        self.report(3.0)
        self.assertAlmostEqual(self.pace("g1"), 3.0)

    def test_reports_expire(self):
        self.report(3.0)
        self.assertAlmostEqual(self.pace("g1"), 3.0)
        self.clock.now += EXPIRY_S
        self.assertEqual(self.pace("g1"), 1.0)
        self.report(3.0, age_s=EXPIRY_S + 1)
        self.assertEqual(self.pace("g1"), 1.0)

    def test_own_responses_are_not_counted_twice(self):
        self.respond_equally()
        self.respond("g5", pace=3.0)
        self.respond("g5", pace=3.0)
        told = self.paces.own_reports()
        self.assertEqual(told["g5"].responses, 2)
        self.paces.note_reports("all", told, includes_own=True)
        self.assertEqual(self.pace("g5"), 1.0)

    def test_absurd_paces_are_ignored_or_limited(self):
        """Guards against a faulty peer that takes a group from all nodes."""
        for pace in (0.0, -3.0, math.inf, -math.inf, math.nan):
            self.report(pace, responses=5)
            self.assertEqual(self.pace("g1"), 1.0, pace)
        self.report(1e300, responses=5)
        self.assertEqual(self.pace("g1"), MAX_PACE)
        self.report(1e-300, responses=5)
        self.assertGreaterEqual(self.pace("g1"), 1 / MAX_PACE)
        self.report(3.0, responses=0)
        self.assertEqual(self.pace("g1"), 1.0)
        self.report(3.0, responses=-7)
        self.assertEqual(self.pace("g1"), 1.0)
        self.report(3.0, age_s=-1e9)
        self.clock.now += EXPIRY_S
        self.assertEqual(self.pace("g1"), 1.0)

    def test_one_peer_counts_for_few_responses(self):
        self.report(2.0, responses=2**31 - 1, nodes=1)
        self.pace("g1")
        self.assertEqual(self.paces.responses("g1"), (0, MAX_RESPONSES))

    def test_a_node_reports_its_slowest_groups_only(self):
        self.respond(*(f"fast{number}" for number in range(40)))
        slow = [f"slow{number}" for number in range(MAX_REPORTED + 4)]
        self.respond(*slow, pace=2.0)
        self.respond(*slow[-3:], pace=4.0)
        reports = self.paces.own_reports()
        self.assertEqual(len(reports), MAX_REPORTED)
        self.assertLessEqual(set(slow[-3:]), set(reports))
        self.assertLessEqual(set(reports), set(slow))

    def test_peers_hear_that_a_slow_group_is_no_longer_slow(self):
        """Guards against a group whose slow responses alone are told."""
        self.respond_equally()
        self.report(3.0)
        self.assertGreater(self.pace("g1"), 1.0)
        self.assertAlmostEqual(self.paces.own_reports()["g1"].pace, 1.0, delta=0.1)


class ChoiceTests(PaceTestCase):
    """One slow group among equal ones, and how many requests each has."""

    def setUp(self):
        super().setUp()
        self.respond_equally()
        self.loads = dict.fromkeys(("g1", "g2", "g3", "g4"), 0)
        self.candidates = [
            Candidate(name, name, 1, "", "norte", 9) for name in self.loads
        ]
        for number in range(3):
            report = PaceReport(3.0, 5, 0.0)
            self.paces.note_reports(f"n{number}", {"g1": report})
        self.pace("g1")

    def choose(self):
        chosen = choose_candidate(
            self.candidates,
            lambda candidate: self.loads[candidate.name],
            "norte",
            random.Random(1),
            0,
            StartEstimate(self.paces, TIMES, WORK.prompt_tokens),
        )
        return chosen.name

    def test_slow_group_is_chosen_if_the_others_are_full(self):
        self.loads.update(dict.fromkeys(("g2", "g3", "g4"), 9))
        self.assertEqual(self.choose(), "g1")

    def test_slow_group_is_not_chosen_while_another_starts_earlier(self):
        self.loads.update(dict.fromkeys(("g2", "g3", "g4"), 8))
        self.assertNotEqual(self.choose(), "g1")

    def test_equal_groups_are_chosen_by_requests(self):
        self.loads.update(g2=5, g3=2, g4=5)
        self.assertEqual(self.choose(), "g3")

    def test_prompts_that_are_read_delay_the_start(self):
        self.loads.update(g2=4, g3=4, g4=5)
        self.begin("g2")
        self.begin("g3")
        self.assertEqual(self.choose(), "g4")
