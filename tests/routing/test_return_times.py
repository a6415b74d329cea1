"""Return times: their limits and their spread, and callers that come back early."""

import unittest
from collections import Counter
from types import SimpleNamespace

from auburnwall.routing.call import Call, RoutedRequest
from auburnwall.routing.load_shedding import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
)
from auburnwall.routing.return_times import (
    MAX_MODELS,
    MAX_REFUSED_CALLERS,
    RefusedCallers,
    ReturnTimes,
)
from auburnwall.routing.shortage_order import (
    MAX_RANK,
)
from auburnwall.routing.step_model import Work
from tests.state.test_table import FakeClock


class ReturnTimeTests(unittest.TestCase):
    def assign(self, times, count=1, rank=1, now=100.0, left_s=6.0, per_s=10.0, **kw):
        return [times.assign("m", rank, now, left_s, per_s, **kw) for _ in range(count)]

    def test_time_is_within_its_limits(self):
        times = ReturnTimes()
        for left_s in (0.1, 2.9, 3.1, 6.0, 9.0, 600.0):
            for after_s in self.assign(times, 100, left_s=left_s):
                longest_s = min(MAX_RETRY_AFTER_S, left_s / 3)
                self.assertLessEqual(after_s, max(MIN_RETRY_AFTER_S, longest_s))
                self.assertGreaterEqual(after_s, MIN_RETRY_AFTER_S)

    def test_time_covers_a_pause_of_all_servers(self):
        (after_s,) = self.assign(ReturnTimes(), pause_s=5.0)
        self.assertEqual(after_s, 5.0)

    def test_callers_are_spread_over_the_expected_slots(self):
        after = self.assign(ReturnTimes(), 15, left_s=9.0)
        per_second = Counter(int(10 * after_s) for after_s in after)
        self.assertLessEqual(max(per_second.values()), 2)
        self.assertEqual(after, sorted(after))

    def test_callers_are_spread_if_there_are_more_than_slots_or_no_slot_is_known(self):
        for per_s in (1.0, None):
            after = self.assign(ReturnTimes(), 300, left_s=9.0, per_s=per_s)
            counts = Counter(int(10 * after_s) for after_s in after)
            self.assertLessEqual(max(counts.values()), 2 * min(counts.values()) + 2)
            self.assertGreater(len(set(after)), 100)

    def test_urgent_caller_gets_an_early_time_after_less_urgent_ones(self):
        times = ReturnTimes()
        first, *_ = self.assign(times, 100, rank=5)
        (urgent,) = self.assign(times, rank=0)
        (less_urgent,) = self.assign(times, rank=5)
        self.assertLessEqual(urgent, first + 0.1)
        self.assertGreater(less_urgent, urgent)

    def test_memory_is_bounded(self):
        times = ReturnTimes()
        for number in range(1_000):
            for rank in range(MAX_RANK + 1):
                times.assign(number % 200, rank, 100.0 + number, 9.0, 10.0)
        self.assertLessEqual(len(times._schedules), MAX_MODELS)
        for number in range(1_000):
            times.assign("m", 1, 2_000.0 + 0.1 * number, 9.0, 10.0)
        self.assertLess(len(times._schedules["m"]._expected), 40)


class RefusedCallerTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.callers = RefusedCallers(self.clock)

    def request(self, left_s=6.0, fingerprint="f", elapsed_s=0.0):
        now = self.clock.monotonic()
        return RoutedRequest(
            Call("POST", "/", (), b"", now),
            "r",
            SimpleNamespace(objective_s=0.5),
            "assist",
            "blue",
            "big",
            Work(700, 150),
            now + left_s,
            1,
            elapsed_s=elapsed_s,
            fingerprint=fingerprint,
        )

    def test_caller_that_repeats_at_once_is_no_new_request(self):
        """Its objective counts from the first call, and its return time stays."""
        first = self.request()
        self.assertEqual(self.callers.note_refused(first, 2.0), 2.0)
        self.clock.now += 0.3
        again = self.callers.recognise(self.request(left_s=5.7))
        self.assertTrue(again.came_early)
        self.assertAlmostEqual(again.objective_at, first.objective_at)
        self.assertAlmostEqual(self.callers.note_refused(again, 1.0), 1.7)

    def test_caller_that_comes_back_on_time_is_not_early(self):
        self.callers.note_refused(self.request(), 2.0)
        self.clock.now += 2.0
        again = self.callers.recognise(self.request(left_s=4.0))
        self.assertFalse(again.came_early)
        self.assertAlmostEqual(again.elapsed_s, 2.0)

    def test_further_attempt_of_the_same_call_is_not_early(self):
        """Guards against a request that loses its wait because its own was refused."""
        first = self.request()
        self.callers.note_refused(first, 2.0)
        self.clock.now += 0.3
        self.assertEqual(self.callers.recognise(first), first)

    def test_equal_request_of_another_caller_is_not_taken_for_a_repeat(self):
        """Guards against callers that wait for others with the same text."""
        self.callers.note_refused(self.request(), 2.0)
        self.clock.now += 1.0
        other = self.request(left_s=6.0)
        self.assertIs(self.callers.recognise(other), other)

    def test_memory_is_bounded(self):
        for number in range(MAX_REFUSED_CALLERS + 100):
            self.callers.note_refused(self.request(fingerprint=f"f-{number}"), 2.0)
        self.assertEqual(len(self.callers), MAX_REFUSED_CALLERS)


if __name__ == "__main__":
    unittest.main()
