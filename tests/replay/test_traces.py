"""Recorded traces against stated outcomes, on virtual time."""

import contextlib
import io
import json
import unittest
from pathlib import Path

from tests.faults.callers import CUT, TOKENS
from tests.faults.promises import violations
from tests.faults.world import RigNode, World, base_config

SEED = 1
TRACES = Path(__file__).parent
MAX_TRIES = 3


class Replay:
    """One trace, line by line."""

    def __init__(self, path):
        lines = [json.loads(line) for line in path.read_text("utf-8").splitlines()]
        self.name = lines[0]["trace"]
        self.outcome = lines[-1]["outcome"]
        self._events = lines[1:-1]
        self.world = World(SEED, **lines[0]["world"])
        self.began = self.world.time.now

    def run(self):
        """Run the trace to its end."""
        world = self.world
        world.later(2.0, world.change_config, lambda config: base_config())
        for event in self._events[:-1]:
            action = getattr(self, "_" + event["do"])
            world.later(event["at"], action, event)
        world.run(self._events[-1]["at"])

    def right_share(self, bookings, since=0.0):
        """Return the share of requests that got their right answer in the end.

        Asks of one completion or of one key count as one request.
        """
        last = {}
        for o in self.world.outcomes:
            if bool(o.key) == bookings and o.asked_at >= self.began + since:
                name = o.key or o.request_id.partition("/")[0]
                last[name] = last.get(name, False) or o.right
        return sum(last.values()) / len(last)

    def longest_gap(self):
        """Return the longest time in which no completion came back right."""
        ended = sorted(o.ended_at for o in self.world.outcomes if o.right and not o.key)
        return max(b - a for a, b in zip(ended, ended[1:], strict=False))

    def _completions(self, event):
        self._repeat(event, self._complete)

    def _bookings(self, event):
        self._repeat(event, lambda: self.world.ask_booking(self._nodes()))

    def _repeat(self, event, ask):
        ends_at = self.began + event["until"]
        while self.world.time.now < ends_at:
            self.world.spawn(ask)
            self.world.time.after(1 / event["per_s"]).wait()

    def _complete(self):
        """Ask as a caller does who goes to the next address after a refusal."""
        name = self.world.new_name()
        for node in self._nodes()[:MAX_TRIES]:
            self.world.ask_completion(node, TOKENS, name)
            if self.world.outcomes[-1].right:
                return

    def _nodes(self):
        """Return the nodes that callers are told to use, in random order."""
        nodes = self.world.entry_nodes()
        told = [n for n in nodes if not n.components.membership.draining]
        return told or nodes

    def _center(self, event):
        self.world.set_center(event["name"], event["state"])

    def _kill_group(self, event):
        vms = [vm for vm in self.world.vms.values() if vm.group and vm.up]
        group = vms[0].group
        for vm in vms:
            if vm.group == group:
                vm.kill()
                self.world.later(20.0, vm.revive)

    def _log(self, event):
        self.world.log.down = event["state"] == "down"

    def _hours(self, event):
        hours = {name: event[name] for name in ("from", "until", "zone")}
        self._change_selector(event["selector"], hours)

    def _selector(self, event):
        chat = base_config()["selectors"]["chat"]
        fields = {k: v for k, v in event.items() if k not in ("at", "do", "name")}
        self._change_selector(event["name"], {**chat, **fields})

    def _change_selector(self, name, fields):
        def change(config):
            config["selectors"].setdefault(name, {}).update(fields)
            return config

        self.world.change_config(change)

    def _restart(self, event):
        name = event["node"]
        node = self.world.nodes[name]
        node.stop()
        while node.up:
            self.world.time.after(0.5).wait()
        self.world.nodes[name] = RigNode(self.world, name, node.center, generation=1)


class TraceTests(unittest.TestCase):
    def check(self, path):
        with contextlib.redirect_stderr(io.StringIO()):
            replay = Replay(path)
            self.addCleanup(replay.world.close)
            replay.run()
        stated, world = replay.outcome, replay.world
        broken = [v for v in violations(world, 1e12) if v.startswith("P")]
        self.assertEqual(broken, [])
        right = replay.right_share(bookings=False)
        self.assertGreaterEqual(right, stated["completions_right"])
        booked = replay.right_share(bookings=True)
        self.assertGreaterEqual(booked, stated["bookings_right"])
        self.assertLessEqual(replay.longest_gap(), stated["longest_gap_s"])
        self.assertFalse([o for o in world.outcomes if o.status is CUT])
        if "bookings_right_after" in stated:
            since, share = stated["bookings_right_after"]
            self.assertGreaterEqual(replay.right_share(True, since), share)
        if "groups_of" in stated:
            selector, count = stated["groups_of"]
            state = world.nodes["entry-0"].components.follower.state
            found = [g for g in state.groups.values() if g.selector == selector]
            self.assertEqual(len(found), count)

    def test_ospina_data_centre_leaves_and_returns_at_noon(self):
        self.check(TRACES / "ospina-noon.jsonl")

    def test_hekkie_dawn_surge_with_a_group_dying(self):
        self.check(TRACES / "hekkie-dawn.jsonl")

    def test_log_outage_over_a_time_of_day_shift(self):
        self.check(TRACES / "log-outage.jsonl")

    def test_rolling_restart_under_load(self):
        self.check(TRACES / "rolling-restart.jsonl")


if __name__ == "__main__":
    unittest.main()
