"""Servers with a limit, when all nodes together have more requests for them."""

import unittest
from types import SimpleNamespace

from auburnwall.routing.load_shedding import (
    MAX_RETRY_AFTER_S,
    WaitClass,
    WaitContext,
    decide_wait,
)
from auburnwall.routing.rate_limits import MIN_RATE_PER_S, RateLimitGate

from .test_placer import SimulatedNode

# The users' rule: so many requests more than the limit allows, in any such window.
WINDOW_S, OVER, SLACK = 4.0, 1.5, 5
# Time between two looks of a node, as a fraction of that between two requests.
STEP_FRACTION, MAX_STEP_S = 0.1, 0.05
SERVER = "s1"


def most_in_window(times):
    """Return the largest number of the sorted times in one window."""
    return max(
        sum(at <= other < at + WINDOW_S for other in times[n:])
        for n, at in enumerate(times)
    )


def play(node_count, limit_per_s, seconds=30.0, views=lambda names, n: names):
    """Return when requests are sent, if each node has one ready at any time.

    ``views(names, n)`` returns the names of the nodes that the node ``n`` knows.
    """
    clock = SimpleNamespace(now=0.0)
    clock.monotonic = lambda: clock.now
    names = [f"n{number}" for number in range(node_count)]
    gates = [
        RateLimitGate(name, lambda n=n: views(names, n), clock)
        for n, name in enumerate(names)
    ]
    times = []
    while clock.now < seconds:
        for gate in gates:
            if gate.may_send(SERVER, limit_per_s):
                gate.note_sent(SERVER, limit_per_s)
                times.append(clock.now)
        clock.now += min(MAX_STEP_S, STEP_FRACTION / max(limit_per_s, 1.0))
    return times


class SharedLimitTests(unittest.TestCase):
    def check(self, node_count, limit_per_s, **kwargs):
        seconds = 30.0 + 3 / limit_per_s
        times = play(node_count, limit_per_s, seconds, **kwargs)
        allowed = OVER * limit_per_s * WINDOW_S + SLACK
        self.assertLessEqual(most_in_window(times), allowed)
        return len(times) / seconds

    def test_nodes_use_the_limit_and_do_not_pass_it(self):
        for node_count in (1, 3, 7, 60):
            for limit_per_s in (0.2, 0.7, 1.6, 5.0, 40.0):
                with self.subTest(nodes=node_count, limit=limit_per_s):
                    rate = self.check(node_count, limit_per_s)
                    self.assertGreater(rate, 0.8 * limit_per_s)

    def test_nodes_that_have_not_heard_of_a_new_one_do_not_pass_the_limit(self):
        def known(names, n):
            return names[:-1] if n % 2 == 0 and n + 1 < len(names) else names

        for node_count in (3, 7, 60):
            for limit_per_s in (0.7, 1.6, 5.0):
                with self.subTest(nodes=node_count, limit=limit_per_s):
                    self.check(node_count, limit_per_s, views=known)

    def test_server_that_takes_nothing_is_asked_now_and_then(self):
        """Only a response can tell that the limit has ended."""
        times = play(7, 0.0, seconds=100.0)
        self.assertLessEqual(most_in_window(times), SLACK)
        self.assertGreaterEqual(len(times), 0.8 * MIN_RATE_PER_S * 100.0)
        self.assertLessEqual(len(times), MIN_RATE_PER_S * 100.0 + SLACK)


class LimitedPlacementTests(unittest.TestCase):
    def test_server_without_a_limit_gets_the_rest(self):
        node = SimulatedNode(2)
        node.limits["s0"] = 1.4
        placed = [node.placer.place(node.request(node.time.now, "t")) for _ in range(6)]
        groups = [placement.candidate.name for placement in placed]
        self.assertEqual(groups.count("g0"), 1)
        self.assertEqual(node.refusal_waits_s, [])

    def test_overload_by_limits_is_refused_at_once_with_the_time_to_a_place(self):
        node = SimulatedNode(3)
        node.limits.update(dict.fromkeys(("s0", "s1", "s2"), 1.4))
        count = node.run(20.0, per_s=6.0)
        # The node's share of three limits is 0.6 a second.
        served = node.in_time + node.late
        self.assertGreater(served, 0.7 * 0.6 * 20.0)
        self.assertLess(served, 0.6 * 20.0 + 8)
        self.assertLess(served, count / 2)
        at_once = sum(wait_s < 0.01 for wait_s in node.refusal_waits_s)
        self.assertGreater(at_once, 0.5 * len(node.refusal_waits_s))

    def test_request_is_refused_if_this_node_may_send_nothing(self):
        context = WaitContext(
            wait_class=WaitClass.IN_TIME,
            queued_ahead=0,
            slots_in_use=0.0,
            forming_groups=1,
            slot_time_s=1.0,
            expected_time_to_start_s=0.1,
            time_left_s=6.0,
            objective_left_s=0.3,
            rate_per_s=0.0,
        )
        decision = decide_wait(context)
        self.assertFalse(decision.wait)
        self.assertEqual(decision.retry_after_s, MAX_RETRY_AFTER_S)


if __name__ == "__main__":
    unittest.main()
