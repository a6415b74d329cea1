"""What a node does that has had no word of the log's end for a while."""

import unittest

from auburnwall.fleet.freshness import Freshness, assess_freshness

FRESH_S = 2.0


class FreshnessTests(unittest.TestCase):
    def test_each_combination(self):
        # Age, members, in touch (with this node), of them with word: the mode.
        for age_s, members, in_touch, with_word, freshness in (
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
            with self.subTest(age=age_s, in_touch=in_touch, with_word=with_word):
                found = assess_freshness(age_s, FRESH_S, members, in_touch, with_word)
                self.assertEqual(found, freshness)

    def test_only_fresh_nodes_and_nodes_in_an_outage_serve(self):
        self.assertEqual(
            [freshness for freshness in Freshness if freshness.serves],
            [Freshness.FRESH, Freshness.OUTAGE],
        )


if __name__ == "__main__":
    unittest.main()
