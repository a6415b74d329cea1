"""Proposals, leases and snapshots with lost responses, pauses and expired records."""

import unittest

from auburnwall.state.exceptions import LogUnavailableError, OutcomeUnknownError
from auburnwall.state.leases import LeaseKeeper
from auburnwall.state.records import CONTROL_STREAM
from auburnwall.state.snapshots import SNAPSHOT_STREAM, SnapshotStore, Snapshotter

from .support import LogSimulation, Process
from .test_fold import CONFIG, config_patch

TERM_S = 6.0


class LogTestCase(unittest.TestCase):
    def setUp(self):
        self.simulation = LogSimulation()
        self.addCleanup(self.simulation.close)
        self.one = Process(self.simulation, "one")
        self.two = Process(self.simulation, "two")
        self.simulation.run(1.0)

    def propose(self, process, kind, body, timeout_s=10.0):
        return self.simulation.spawn(process.proposer.propose, kind, body, timeout_s)

    def configure(self, process, base=-1, config=CONFIG):
        body = {"base": base, "patch": config_patch(config), "author": "op"}
        return self.propose(process, "config", body)


class ProposalTests(LogTestCase):
    def test_lost_response_is_resolved_by_reading_the_log(self):
        self.simulation.log.lose_answers = 1
        task = self.configure(self.one)
        self.simulation.run(5.0)
        self.assertTrue(task.value.accepted)
        self.assertEqual(len(self.simulation.log.streams[CONTROL_STREAM]), 1)

    def test_unavailable_log_is_reported_as_nothing_appended(self):
        self.simulation.log.down = True
        task = self.configure(self.one)
        task.rawlink(lambda task: None)
        self.simulation.run(20.0)
        self.assertIsInstance(task.exception, LogUnavailableError)
        self.assertFalse(task.exception.effect_possible)
        self.assertEqual(self.simulation.log.streams[CONTROL_STREAM], [])

    def test_lost_response_and_unreachable_log_mean_outcome_unknown(self):
        def disconnect(process):
            self.simulation.cuts |= {(process, "log"), ("log", process)}

        self.simulation.steps["appended config"] = disconnect
        task = self.configure(self.one)
        task.rawlink(lambda task: None)
        self.simulation.run(20.0)
        self.assertIsInstance(task.exception, OutcomeUnknownError)
        self.assertEqual(len(self.simulation.log.streams[CONTROL_STREAM]), 1)

    def test_one_of_two_concurrent_changes_wins_and_the_other_is_rejected(self):
        tasks = [self.configure(self.one), self.configure(self.two)]
        self.simulation.run(2.0)
        self.assertEqual(sorted(task.value.accepted for task in tasks), [False, True])
        loser = next(task.value for task in tasks if not task.value.accepted)
        self.assertEqual(loser.winner, self.one.follower.state.config_offset)


class LeaseTests(LogTestCase):
    def keeper(self, process, name):
        keeper = LeaseKeeper(
            "steward/norte",
            name,
            process.proposer,
            process.follower,
            process.clock,
            term_s=TERM_S,
        )

        def step_forever():
            while True:
                keeper.step(0.0)
                process.clock.sleep(0.3)

        self.simulation.spawn(step_forever)
        return keeper

    def holders(self, keepers):
        return [keeper for keeper in keepers if keeper.fence() is not None]

    def test_at_most_one_node_holds_the_lease_while_processes_pause(self):
        keepers = [self.keeper(self.one, "one"), self.keeper(self.two, "two")]
        for paused in (self.one, self.two, self.one):
            paused.clock.pause()
            for _ in range(40):
                self.simulation.run(0.5)
                self.assertLessEqual(len(self.holders(keepers)), 1)
            paused.clock.resume()
            self.assertLessEqual(len(self.holders(keepers)), 1)
            self.simulation.run(3.0)
            self.assertEqual(len(self.holders(keepers)), 1)

    def test_holder_cut_off_from_the_log_stops_before_another_starts(self):
        keepers = [self.keeper(self.one, "one"), self.keeper(self.two, "two")]
        self.simulation.run(1.0)
        first_holder = self.holders(keepers)[0]
        name = "one" if first_holder is keepers[0] else "two"
        self.simulation.cuts |= {(name, "log"), ("log", name)}
        for _ in range(60):
            self.simulation.run(0.25)
            self.assertLessEqual(len(self.holders(keepers)), 1)
        self.assertNotEqual(self.holders(keepers), [first_holder])

    def test_lost_responses_to_renewals_do_not_extend_the_term(self):
        keepers = [self.keeper(self.one, "one"), self.keeper(self.two, "two")]
        self.simulation.run(1.0)
        self.simulation.log.lose_answers = 6
        for _ in range(80):
            self.simulation.run(0.25)
            self.assertLessEqual(len(self.holders(keepers)), 1)


class SnapshotTests(LogTestCase):
    def snapshotter(self, process, every_records=5):
        keeper = LeaseKeeper(
            "snapshots",
            "one",
            process.proposer,
            process.follower,
            process.clock,
            term_s=TERM_S,
        )
        snapshotter = Snapshotter(
            SnapshotStore(process.log),
            keeper,
            process.follower,
            process.clock,
            every_records=every_records,
            every_s=60.0,
        )

        def step_forever():
            while True:
                snapshotter.step(0.0)
                process.clock.sleep(0.5)

        self.simulation.spawn(step_forever)
        return snapshotter

    def test_new_process_restores_a_snapshot_after_records_expired(self):
        self.snapshotter(self.one)
        self.configure(self.one)
        self.simulation.run(60.0)
        self.simulation.log.expire_records(CONTROL_STREAM, keep=6)
        third = Process(self.simulation, "three")
        self.simulation.run(3.0)
        self.assertEqual(third.follower.state.config, CONFIG)
        self.assertEqual(
            third.follower.state.digest(), self.one.follower.state.digest()
        )
        self.assertLess(third.follower.log_end_age_s(), 2.0)

    def test_process_paused_past_retention_is_not_fresh_until_it_catches_up(self):
        self.snapshotter(self.one)
        self.configure(self.one)
        self.simulation.run(2.0)
        self.two.clock.pause()
        self.simulation.run(60.0)
        self.simulation.log.expire_records(CONTROL_STREAM, keep=4)
        self.assertGreater(self.two.follower.log_end_age_s(), 50.0)
        self.two.clock.resume()
        self.simulation.run(3.0)
        self.assertLess(self.two.follower.log_end_age_s(), 2.0)
        self.assertEqual(
            self.two.follower.state.digest(), self.one.follower.state.digest()
        )

    def test_incomplete_or_damaged_snapshot_is_not_used(self):
        self.configure(self.one)
        self.simulation.run(2.0)
        store = SnapshotStore(self.one.log)
        state = self.one.follower.state
        write_task = self.simulation.spawn(store.write, state)
        self.simulation.run(1.0)
        self.assertEqual(write_task.value, 1)
        valid_part = dict(self.simulation.log.streams[SNAPSHOT_STREAM][0].data)
        later_offset = state.offset + 100
        missing = {**valid_part, "offset": later_offset, "parts": 2}
        damaged = {
            **valid_part,
            "offset": later_offset + 1,
            "text": valid_part["text"] + " ",
        }
        self.simulation.log.put(SNAPSHOT_STREAM, [missing, damaged])
        read_task = self.simulation.spawn(store.newest)
        self.simulation.run(1.0)
        self.assertEqual(read_task.value.offset, state.offset)

    def test_state_is_not_fresh_without_a_usable_snapshot(self):
        self.configure(self.one)
        self.simulation.run(1.0)
        self.configure(self.one, 0, {**CONFIG, "selectors": {}})
        self.simulation.run(1.0)
        self.simulation.log.expire_records(CONTROL_STREAM, keep=1)
        third = Process(self.simulation, "three")
        self.simulation.run(20.0)
        self.assertIsNone(third.follower.log_end_age_s())
        self.assertEqual(third.follower.state.config, {})


if __name__ == "__main__":
    unittest.main()
