"""The first claim of a key in the stream wins, whoever owns the shard."""

import unittest

from auburnwall.state.claims.index import Claim
from auburnwall.state.claims.keys import KeyRefusedError, check_age, created_at_s
from auburnwall.state.claims.shard import ClaimShard
from auburnwall.state.exceptions import StateError

from .support import LogSimulation, Process

KEY = "018f0000-0000-7000-8000-000000000001"


def make_claim(attempt, key=KEY, node="one"):
    return Claim(key, "digest", attempt, node, f"{node}-incarnation")


class ClaimTests(unittest.TestCase):
    def setUp(self):
        self.simulation = LogSimulation()
        self.addCleanup(self.simulation.close)
        self.shards = [self.new_shard(name) for name in ("one", "two")]
        self.simulation.run(0.1)

    def new_shard(self, name):
        process = Process(self.simulation, name)
        shard = ClaimShard(
            0, process.log, process.clock, gather_s=0.03, retention_s=1_000.0
        )
        self.simulation.spawn(shard.run)
        return shard

    def claim(self, shard, attempt, timeout_s=4.0, **fields):
        task = self.simulation.spawn(
            shard.claim, make_claim(attempt, **fields), timeout_s
        )
        task.rawlink(lambda task: None)
        return task

    def test_first_claim_wins_with_two_concurrent_owners(self):
        tasks = [self.claim(s, f"a{n}") for n, s in enumerate(self.shards)]
        self.simulation.run(2.0)
        self.assertEqual(len({task.value.attempt for task in tasks}), 1)

    def test_second_claim_of_the_same_attempt_is_harmless(self):
        for _ in range(2):
            task = self.claim(self.shards[0], "a")
            self.simulation.run(1.0)
            self.assertEqual(task.value.attempt, "a")
        self.assertEqual(len(self.simulation.log.streams["claims-0"]), 1)

    def test_gathered_claims_are_written_in_one_append(self):
        tasks = [self.claim(self.shards[0], f"a{n}", key=f"key-{n}") for n in range(50)]
        self.simulation.run(1.0)
        self.assertTrue(all(task.value.attempt.startswith("a") for task in tasks))
        self.assertEqual(self.shards[0].appends, 1)

    def test_lost_response_is_resolved_by_reading_not_by_a_second_claim(self):
        self.simulation.log.lose_answers = 1
        task = self.claim(self.shards[0], "a", timeout_s=6.0)
        self.simulation.run(6.0)
        self.assertEqual(task.value.attempt, "a")
        self.assertEqual(len(self.simulation.log.streams["claims-0"]), 1)

    def test_new_owner_reads_the_stream_before_it_returns_a_winner(self):
        self.claim(self.shards[0], "a")
        self.simulation.run(1.0)
        later = self.claim(self.new_shard("three"), "b", node="three")
        self.simulation.run(1.0)
        self.assertEqual(later.value.attempt, "a")

    def test_claim_during_a_log_outage_fails_and_does_not_take_the_key(self):
        self.simulation.log.down = True
        task = self.claim(self.shards[0], "a")
        self.simulation.run(10.0)
        self.assertIsInstance(task.exception, StateError)
        self.simulation.log.down = False
        second = self.claim(self.shards[1], "b")
        self.simulation.run(2.0)
        self.assertEqual(second.value.attempt, "b")

    def test_released_key_goes_to_the_next_claim(self):
        self.claim(self.shards[0], "a")
        self.simulation.run(1.0)
        self.shards[0].release(KEY, "a")
        self.simulation.run(1.0)
        task = self.claim(self.shards[0], "b")
        self.simulation.run(1.0)
        self.assertEqual(task.value.attempt, "b")

    def test_release_by_another_attempt_does_not_free_the_key(self):
        self.claim(self.shards[0], "a")
        self.simulation.run(1.0)
        self.shards[0].release(KEY, "b")
        self.simulation.run(1.0)
        task = self.claim(self.shards[0], "b")
        self.simulation.run(1.0)
        self.assertEqual(task.value.attempt, "a")


class KeyTests(unittest.TestCase):
    def test_key_outside_the_window_is_refused(self):
        created_s = created_at_s(KEY)
        check_age(KEY, created_s + 899, 900, 30)
        check_age(KEY, created_s - 29, 900, 30)
        for now in (created_s + 901, created_s - 31):
            with self.assertRaises(KeyRefusedError):
                check_age(KEY, now, 900, 30)

    def test_key_that_is_not_a_uuid_of_version_7_is_refused(self):
        for key in ("", "x", "6ba7b810-9dad-41d1-80b4-00c04fd430c8"):
            with self.assertRaises(KeyRefusedError):
                check_age(key, 0, 900, 30)


if __name__ == "__main__":
    unittest.main()
