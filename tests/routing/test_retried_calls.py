"""Callers that come back, and new ones."""

import random
import unittest

from auburnwall.routing.retried_calls import RetriedCallDetector


class ComebackTests(unittest.TestCase):
    def test_caller_that_lacks_time_has_come_back(self):
        detector = RetriedCallDetector()
        self.assertEqual(detector.elapsed_s("r", 6.0), 0.0)
        self.assertAlmostEqual(detector.elapsed_s("r", 4.5), 1.5)
        self.assertEqual(detector.elapsed_s("r", 6.0), 0.0)

    def test_shortage_in_which_most_come_back(self):
        detector = RetriedCallDetector()
        for _ in range(40):
            detector.elapsed_s("r", 6.0)
            for left_s in (4.0, 3.9, 3.0):
                self.assertGreater(detector.elapsed_s("r", left_s), 0.0)

    def test_callers_that_allow_different_times_are_all_new(self):
        """As seen on users' days: between 0.845 of the route's time and all of it."""
        detector, rng = RetriedCallDetector(), random.Random(3)
        for _ in range(400):
            elapsed_s = detector.elapsed_s("r", rng.uniform(0.845, 1.0) * 6.0)
            self.assertEqual(elapsed_s, 0.0)

    def test_few_callers_with_much_patience_change_nothing(self):
        detector = RetriedCallDetector()
        for number in range(200):
            left_s = 900.0 if number % 20 == 0 else 6.0
            elapsed_s = detector.elapsed_s("r", left_s)
            if number > 20:
                self.assertEqual(elapsed_s, 0.0)

    def test_routes_have_callers_of_their_own(self):
        detector = RetriedCallDetector()
        detector.elapsed_s("long", 60.0)
        self.assertEqual(detector.elapsed_s("short", 1.5), 0.0)


if __name__ == "__main__":
    unittest.main()
