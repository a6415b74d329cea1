"""What the versions of a configuration allow at the time of a request."""

import unittest

from .configuration_history import Answer, History, Version

BOUND_S = 2.0


class HistoryTests(unittest.TestCase):
    def setUp(self):
        """Version 1 has a route; 2 moves it; 4 drops it, and takes a key away."""
        keys, fewer = frozenset({"a", "b"}), frozenset({"a"})
        self.history = History(BOUND_S)
        self.history.versions = [
            Version(1, {"/r/": "desk"}, keys, 0.0, 0.1),
            Version(2, {"/r/": "annex"}, keys, 10.0, 10.1),
            Version(3, {}, keys, 20.0, None),
            Version(4, {"/s/": "desk"}, fewer, 30.0, 30.1),
        ]

    def breach(self, at, status, *, prefix="/r/", key="a", service=""):
        answer = Answer("n1", prefix, key, at, at + 0.05, status, service)
        return self.history.breach(answer)

    def test_older_version_is_allowed_within_the_bound(self):
        self.assertIsNone(self.breach(12.0, 200, service="desk"))
        breach = self.breach(12.2, 200, service="desk")
        self.assertEqual(breach.oldest, 2)
        self.assertAlmostEqual(breach.late_s, 2.1)

    def test_newer_version_is_allowed_once_it_is_sent(self):
        self.assertIsNone(self.breach(9.97, 200, service="annex"))
        self.assertIsNotNone(self.breach(9.9, 200, service="annex"))

    def test_version_without_acknowledgement_may_be_in_force_or_not(self):
        self.assertIsNone(self.breach(25.0, 404))
        self.assertIsNone(self.breach(25.0, 200, service="annex"))
        self.assertIsNotNone(self.breach(25.0, 200, service="desk"))

    def test_route_that_was_dropped_and_route_that_was_added(self):
        self.assertIsNotNone(self.breach(33.0, 200, service="annex"))
        self.assertIsNone(self.breach(33.0, 404))
        self.assertIsNotNone(self.breach(33.0, 404, prefix="/s/"))
        self.assertIsNone(self.breach(32.0, 404, prefix="/s/"))

    def test_key_that_was_taken_away(self):
        served = {"prefix": "/s/", "service": "desk"}
        self.assertIsNone(self.breach(33.0, 401, prefix="/s/", key="b"))
        self.assertIsNotNone(self.breach(33.0, 200, key="b", **served))
        self.assertIsNone(self.breach(33.0, 200, **served))
        self.assertIsNotNone(self.breach(33.0, 401, prefix="/s/"))

    def test_other_answers_leave_the_version_open(self):
        for status in (0, 429, 502, 503, 504):
            self.assertIsNone(self.breach(33.0, status, prefix="/s/"))


if __name__ == "__main__":
    unittest.main()
