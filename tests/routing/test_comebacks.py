"""Callers that come back, and new ones."""

import random
import unittest

from auburnwall.routing.comebacks import CallerPatience


class ComebackTests(unittest.TestCase):
    def test_caller_that_lacks_time_has_come_back(self):
        patience = CallerPatience()
        self.assertEqual(patience.passed("r", 6.0), 0.0)
        self.assertAlmostEqual(patience.passed("r", 4.5), 1.5)
        self.assertEqual(patience.passed("r", 6.0), 0.0)

    def test_shortage_in_which_most_come_back(self):
        patience = CallerPatience()
        for _ in range(40):
            patience.passed("r", 6.0)
            for left_s in (4.0, 3.9, 3.0):
                self.assertGreater(patience.passed("r", left_s), 0.0)

    def test_callers_that_allow_different_times_are_all_new(self):
        """As seen on users' days: between 0.845 of the route's time and all of it."""
        patience, rng = CallerPatience(), random.Random(3)
        for _ in range(400):
            passed_s = patience.passed("r", rng.uniform(0.845, 1.0) * 6.0)
            self.assertEqual(passed_s, 0.0)

    def test_few_callers_with_much_patience_change_nothing(self):
        patience = CallerPatience()
        for number in range(200):
            left_s = 900.0 if number % 20 == 0 else 6.0
            passed_s = patience.passed("r", left_s)
            if number > 20:
                self.assertEqual(passed_s, 0.0)

    def test_routes_have_callers_of_their_own(self):
        patience = CallerPatience()
        patience.passed("long", 60.0)
        self.assertEqual(patience.passed("short", 1.5), 0.0)


if __name__ == "__main__":
    unittest.main()
