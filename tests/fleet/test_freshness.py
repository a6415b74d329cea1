"""Freshness of a node that has not known the log's end for a while."""

import unittest

from auburnwall.fleet.freshness import Freshness, assess_freshness

FRESH_S = 2.0


class FreshnessTests(unittest.TestCase):
    def test_each_combination(self):
        # Age, members, reachable nodes (this one included), fresh peers, expected.
        for age_s, members, reachable, fresh_peers, expected in (
            (None, 7, 7, 6, Freshness.STARTING),
            (0.1, 7, 1, 0, Freshness.FRESH),
            (2.5, 7, 7, 0, Freshness.OUTAGE),
            (2.5, 7, 4, 0, Freshness.OUTAGE),
            (2.5, 7, 3, 0, Freshness.CUT_OFF),
            (2.5, 7, 1, 0, Freshness.CUT_OFF),
            (2.5, 7, 4, 1, Freshness.CUT_OFF),
            (2.5, 6, 3, 0, Freshness.CUT_OFF),
            (2.5, 1, 1, 0, Freshness.OUTAGE),
        ):
            with self.subTest(age=age_s, reachable=reachable, fresh_peers=fresh_peers):
                found = assess_freshness(
                    age_s, FRESH_S, members, reachable, fresh_peers
                )
                self.assertEqual(found, expected)

    def test_only_fresh_nodes_and_nodes_in_an_outage_serve(self):
        self.assertEqual(
            [freshness for freshness in Freshness if freshness.serves],
            [Freshness.FRESH, Freshness.OUTAGE],
        )


if __name__ == "__main__":
    unittest.main()
