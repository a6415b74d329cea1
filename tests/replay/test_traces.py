"""Replay of traces on virtual time, with the outcomes that each trace requires.

A trace file has one JSON object a line: first the name and the settings of the
simulated system, then the events, of which the last marks the end, and finally the
required outcome.
"""

import contextlib
import io
import json
import unittest
from pathlib import Path

from tests.faults.callers import BROKEN_OFF, COMPLETION_TOKENS
from tests.faults.promises import violations
from tests.faults.world import SimulatedCluster, SimulatedNode, base_config

SEED = 1
TRACES = Path(__file__).parent
MAX_ATTEMPTS = 3


class Replay:
    """Replays one trace.

    An event runs the method whose name is ``_`` and the event's ``do``.
    """

    def __init__(self, path):
        lines = [json.loads(line) for line in path.read_text("utf-8").splitlines()]
        self.name = lines[0]["trace"]
        self.outcome = lines[-1]["outcome"]
        self._events = lines[1:-1]
        self.cluster = SimulatedCluster(SEED, **lines[0]["world"])
        self.started_at = self.cluster.time.now

    def run(self):
        """Run the trace to its end."""
        cluster = self.cluster
        cluster.call_later(2.0, cluster.change_config, lambda config: base_config())
        for event in self._events[:-1]:
            action = getattr(self, "_" + event["do"])
            cluster.call_later(event["at"], action, event)
        cluster.run(self._events[-1]["at"])

    def success_ratio(self, bookings, since=0.0):
        """Return the fraction of requests that got a correct response in the end.

        All attempts for one completion or one booking key count as one request.
        Requests sent earlier than ``since`` seconds into the trace are left out.
        """
        succeeded_by_name = {}
        for o in self.cluster.outcomes:
            if bool(o.key) == bookings and o.sent_at >= self.started_at + since:
                name = o.key or o.request_id.partition("/")[0]
                succeeded_by_name[name] = (
                    succeeded_by_name.get(name, False) or o.correct
                )
        return sum(succeeded_by_name.values()) / len(succeeded_by_name)

    def longest_gap(self):
        """Return the longest time without a correct completion, in seconds."""
        end_times = sorted(
            o.ended_at for o in self.cluster.outcomes if o.correct and not o.key
        )
        return max(b - a for a, b in zip(end_times, end_times[1:], strict=False))

    def _completions(self, event):
        self._send_at_rate(event, self._send_completion)

    def _bookings(self, event):
        self._send_at_rate(
            event, lambda: self.cluster.send_booking(self._entry_nodes())
        )

    def _send_at_rate(self, event, send):
        stops_at = self.started_at + event["until"]
        while self.cluster.time.now < stops_at:
            self.cluster.spawn(send)
            self.cluster.time.after(1 / event["per_s"]).wait()

    def _send_completion(self):
        """Send a completion as a caller does that retries at the next address."""
        name = self.cluster.new_completion_name()
        for node in self._entry_nodes()[:MAX_ATTEMPTS]:
            self.cluster.send_completion(node, COMPLETION_TOKENS, name)
            if self.cluster.outcomes[-1].correct:
                return

    def _entry_nodes(self):
        """Return the nodes whose addresses callers get, in random order."""
        nodes = self.cluster.entry_nodes()
        available = [n for n in nodes if not n.components.membership.draining]
        return available or nodes

    def _center(self, event):
        self.cluster.set_center(event["name"], event["state"])

    def _kill_group(self, event):
        vms = [vm for vm in self.cluster.vms.values() if vm.group and vm.up]
        group = vms[0].group
        for vm in vms:
            if vm.group == group:
                vm.kill()
                self.cluster.call_later(20.0, vm.revive)

    def _log(self, event):
        self.cluster.log.down = event["state"] == "down"

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

        self.cluster.change_config(change)

    def _restart(self, event):
        name = event["node"]
        node = self.cluster.nodes[name]
        node.stop()
        while node.up:
            self.cluster.time.after(0.5).wait()
        self.cluster.nodes[name] = SimulatedNode(
            self.cluster, name, node.center, generation=1
        )


class TraceTests(unittest.TestCase):
    def check(self, path):
        with contextlib.redirect_stderr(io.StringIO()):
            replay = Replay(path)
            self.addCleanup(replay.cluster.close)
            replay.run()
        required, cluster = replay.outcome, replay.cluster
        # Lines that start with P are broken promises; the others report lost service.
        violated = [v for v in violations(cluster, 1e12) if v.startswith("P")]
        self.assertEqual(violated, [])
        completion_ratio = replay.success_ratio(bookings=False)
        self.assertGreaterEqual(completion_ratio, required["completions_right"])
        booking_ratio = replay.success_ratio(bookings=True)
        self.assertGreaterEqual(booking_ratio, required["bookings_right"])
        self.assertLessEqual(replay.longest_gap(), required["longest_gap_s"])
        self.assertFalse([o for o in cluster.outcomes if o.status is BROKEN_OFF])
        if "bookings_right_after" in required:
            since, ratio = required["bookings_right_after"]
            self.assertGreaterEqual(replay.success_ratio(True, since), ratio)
        if "groups_of" in required:
            selector, count = required["groups_of"]
            state = cluster.nodes["entry-0"].components.follower.state
            selector_groups = [
                g for g in state.groups.values() if g.selector == selector
            ]
            self.assertEqual(len(selector_groups), count)

    def test_ospina_data_centre_leaves_and_returns_at_noon(self):
        self.check(TRACES / "ospina-noon.jsonl")

    def test_hekkie_dawn_surge_with_a_group_failure(self):
        self.check(TRACES / "hekkie-dawn.jsonl")

    def test_log_outage_over_a_time_of_day_shift(self):
        self.check(TRACES / "log-outage.jsonl")

    def test_rolling_restart_under_load(self):
        self.check(TRACES / "rolling-restart.jsonl")


if __name__ == "__main__":
    unittest.main()
