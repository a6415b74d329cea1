"""Loads of the two fleets on the planning functions, with the part and without it."""

import unittest

from tests.fleet.capacity_replay import (
    EIGHTEEN,
    SCARCE_EIGHTEEN,
    TWENTY_SEVEN,
    Replay,
    jump,
    steady,
)

# Domains of 18 and of 27 servers.
FLEETS = (EIGHTEEN, TWENTY_SEVEN)
JUMP_AT = 10.0


class ReplayTestCase(unittest.TestCase):
    def replay(self, fleet, ahead, factor, seconds=30.0, **fields):
        replay = Replay(fleet, ahead, factor, **fields)
        replay.run(seconds)
        self.assertEqual(replay.bad_formations, [])
        return replay


class JumpTests(ReplayTestCase):
    """A jump of 2.5 times for 8 s; loads take 12 to 16 s, joins about 1 s.

    Only servers whose hosts have the model staged help in this time.
    """

    def test_jump_is_followed_two_seconds_earlier(self):
        """Without the part, the mean shows the jump only once half of it is over."""
        for fleet in FLEETS:
            with self.subTest(servers=fleet.domain_size):
                before = self.replay(fleet, False, jump("small"))
                after = self.replay(fleet, True, jump("small"))
                followed_at = after.followed_at["small", 2.5]
                self.assertLess(followed_at - JUMP_AT, 4.0)
                self.assertGreater(before.followed_at["small", 2.5] - followed_at, 2.0)
                self.assertEqual(after.bad_endings, [])

    def test_fewer_groups_are_missing_in_a_jump_of_either_model(self):
        for fleet in FLEETS:
            for model in ("big", "small"):
                with self.subTest(servers=fleet.domain_size, model=model):
                    before = self.replay(fleet, False, jump(model)).missing
                    after = self.replay(fleet, True, jump(model)).missing
                    self.assertLess(after[model], 0.8 * before[model])
                    other = "small" if model == "big" else "big"
                    self.assertEqual(after[other], before[other])

    def test_urgent_model_gets_servers_that_the_other_does_not_need(self):
        """Without the part, the less urgent model keeps 1.6 times its demand."""
        before = self.replay(SCARCE_EIGHTEEN, False, jump("small"))
        after = self.replay(SCARCE_EIGHTEEN, True, jump("small"))
        self.assertNotIn(("small", 2.5), before.followed_at)
        self.assertLess(after.followed_at["small", 2.5] - JUMP_AT, 4.0)
        self.assertLess(after.missing["small"], 0.6 * before.missing["small"])
        self.assertEqual(after.missing["big"], 0.0)
        self.assertEqual(after.bad_endings, [])

    def test_less_urgent_model_takes_nothing_from_the_urgent_one(self):
        before = self.replay(SCARCE_EIGHTEEN, False, jump("big"))
        after = self.replay(SCARCE_EIGHTEEN, True, jump("big"))
        self.assertEqual(after.missing["small"], 0.0)
        self.assertLessEqual(after.missing["big"], before.missing["big"])

    def test_steady_demand_moves_no_server(self):
        """Guards against servers that move to and fro between two models."""
        for fleet in (*FLEETS, SCARCE_EIGHTEEN):
            replay = Replay(fleet, True, steady)
            groups = set(replay.groups)
            replay.run(30.0)
            self.assertLessEqual(groups, set(replay.groups))


class LossTests(ReplayTestCase):
    """Two servers of one group are lost every 3 s and are back, empty, after 10 s."""

    def missing(self, fleet, ahead, factor):
        """Return the mean group-seconds missing over several seeds, by model."""
        replays = [
            self.replay(fleet, ahead, factor, 45.0, losses=3.0, seed=seed)
            for seed in range(6)
        ]
        for replay in replays:
            self.assertEqual(replay.bad_endings, [])
        return {
            model: sum(replay.missing[model] for replay in replays) / len(replays)
            for model in fleet.models
        }

    def test_losses_alone_leave_enough_groups(self):
        for fleet in FLEETS:
            with self.subTest(servers=fleet.domain_size):
                after = self.missing(fleet, True, steady)
                before = self.missing(fleet, False, steady)
                for model in fleet.models:
                    self.assertLessEqual(after[model], before[model] + 0.5)

    def test_jump_of_the_largest_model_between_losses(self):
        for fleet in FLEETS:
            with self.subTest(servers=fleet.domain_size):
                factor = jump("big", begins_at=30.0)
                before = self.missing(fleet, False, factor)
                after = self.missing(fleet, True, factor)
                self.assertLess(after["big"], before["big"])
                self.assertLessEqual(after["small"], before["small"] + 0.5)


if __name__ == "__main__":
    unittest.main()
