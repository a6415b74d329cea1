"""Detection of retried calls by the time that the caller has left."""

import random
import unittest

from auburnwall.routing.retried_calls import RetriedCallDetector


class RetriedCallTests(unittest.TestCase):
    def test_caller_with_less_time_left_is_retried(self):
        detector = RetriedCallDetector()
        self.assertEqual(detector.elapsed_s("r", 6.0), 0.0)
        self.assertAlmostEqual(detector.elapsed_s("r", 4.5), 1.5)
        self.assertEqual(detector.elapsed_s("r", 6.0), 0.0)

    def test_shortage_in_which_most_calls_are_retried(self):
        detector = RetriedCallDetector()
        for _ in range(40):
            detector.elapsed_s("r", 6.0)
            for time_left_s in (4.0, 3.9, 3.0):
                self.assertGreater(detector.elapsed_s("r", time_left_s), 0.0)

    def test_usual_spread_of_deadlines_is_not_taken_for_retries(self):
        """In recorded traffic callers allow 0.845 to 1.0 of the route's time."""
        detector, rng = RetriedCallDetector(), random.Random(3)
        for _ in range(400):
            elapsed_s = detector.elapsed_s("r", rng.uniform(0.845, 1.0) * 6.0)
            self.assertEqual(elapsed_s, 0.0)

    def test_few_callers_with_long_deadlines_change_nothing(self):
        detector = RetriedCallDetector()
        for number in range(200):
            time_left_s = 900.0 if number % 20 == 0 else 6.0
            elapsed_s = detector.elapsed_s("r", time_left_s)
            if number > 20:
                self.assertEqual(elapsed_s, 0.0)

    def test_routes_are_independent(self):
        detector = RetriedCallDetector()
        detector.elapsed_s("long", 60.0)
        self.assertEqual(detector.elapsed_s("short", 1.5), 0.0)


if __name__ == "__main__":
    unittest.main()
