"""A short seeded run of the fault soak, and the seeds that ever failed."""

import json
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from .callers import Outcome
from .plan import MAX_NODES_DOWN, NODE_KINDS, draw
from .run import Soak, _torn

SEED = 1
# Seeds that ever failed, with the cause.
REGRESSIONS = {
    5: "servers that had vanished counted as open; once a node took 4 s to end after "
    "its last line, while the machine stood still (its nodes logged pauses of 3 s)",
    11: "the time in which a node is paused counted against its requests",
}
# The same, played by hand: ``make soak SEEDS=3,6,32,43``.
PLAYED_BY_HAND = {
    3: "as 5",
    6: "as 5",
    32: "as 11; once a port was taken before its node listened on it",
    43: "as 11",
}
RUN_WITHIN_S = 120.0


class PlanTests(unittest.TestCase):
    def test_a_seed_always_draws_the_same_troubles(self):
        self.assertEqual(draw(7), draw(7))
        self.assertNotEqual(draw(7), draw(8))

    def test_one_node_is_always_left(self):
        for seed in range(200):
            down = [t for t in draw(seed) if t.kind in NODE_KINDS]
            for trouble in down:
                beside = {
                    other.target
                    for other in down
                    if other.at_s <= trouble.at_s < other.until_s
                }
                self.assertLessEqual(len(beside), MAX_NODES_DOWN)


class CheckTests(unittest.TestCase):
    """Each check, on what it is there to find."""

    def broken(self, outcome, runs, paused=()):
        """Return what is found in one bad outcome among many good ones."""
        soak = Soak(SEED, "unused")
        soak.world = SimpleNamespace(runs=lambda name: runs if name == "bad" else 1)
        soak._paused = list(paused)
        good = Outcome("good", "ask", "edge-1", 200, "", 10.0, 0.2)
        soak._check([outcome, *[good] * 9])
        return soak.broken

    def outcome(self, **changes):
        bad = Outcome("bad", "book", "edge-1", 200, "", 10.0, 0.2)
        return bad._replace(**changes)

    def test_good_outcome(self):
        self.assertEqual(self.broken(self.outcome(), 1), [])

    def test_booking_that_ran_twice(self):
        self.assertEqual(len(self.broken(self.outcome(), 2)), 1)

    def test_refusal_of_what_ran(self):
        self.assertEqual(len(self.broken(self.outcome(status=503), 1)), 1)
        self.assertEqual(self.broken(self.outcome(status=503), 0), [])

    def test_request_held_past_its_deadline(self):
        held = self.outcome(took_s=4.5)
        self.assertEqual(len(self.broken(held, 1)), 1)
        self.assertEqual(self.broken(held, 1, [("edge-1", 10.5, 13.0)]), [])
        self.assertEqual(len(self.broken(held, 1, [("edge-2", 10.5, 13.0)])), 1)

    def test_answer_that_is_not_whole(self):
        self.assertEqual(len(self.broken(self.outcome(fault="pieces []"), 1)), 1)

    def test_open_group_with_a_member_in_a_later_one(self):
        def server(name, epoch):
            return SimpleNamespace(server=name, group={"epoch": epoch})

        members = [server("a", 4), server("b", 9)]
        self.assertEqual(len(list(_torn(server("a", 4), members))), 1)
        self.assertEqual(list(_torn(server("a", 9), members)), [])


class SoakTests(unittest.TestCase):
    def test_short_runs(self):
        with ThreadPoolExecutor() as pool:
            runs = {seed: pool.submit(run_one, seed) for seed in (SEED, *REGRESSIONS)}
        for seed, run in runs.items():
            with self.subTest(seed):
                broken, counts = run.result()
                self.assertEqual(broken, [])
                self.assertGreater(counts["200"], 0)


def run_one(seed):
    """Return what a run in a process of its own found, and its outcomes by status."""
    command = [sys.executable, "-m", "tests.soak", "--one", str(seed)]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=RUN_WITHIN_S, check=True
    )
    return json.loads(done.stdout.splitlines()[-1])


if __name__ == "__main__":
    unittest.main()
