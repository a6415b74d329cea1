"""Waiting and placement under overload, in virtual time."""

import random
import unittest
from types import SimpleNamespace

import gevent

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.node.routed.views import SlotUsage
from auburnwall.routing.call import Call, RoutedRequest
from auburnwall.routing.exceptions import OverloadedError
from auburnwall.routing.in_flight import InFlightRequests
from auburnwall.routing.load_shedding import LATE_WAIT_S
from auburnwall.routing.placer import Placer
from auburnwall.routing.rate_limits import RateLimitGate
from auburnwall.routing.shortage_order import UNKNOWN_WORK
from auburnwall.routing.step_model import Work
from auburnwall.routing.warmup import WarmupGate
from tests.faults.virtual_time import VirtualClock, VirtualTime

# Nodes that share the limits of servers.
NODES = [f"n{number}" for number in range(7)]
SLOTS, SERVICE_S, TIME_TO_START_S, OBJECTIVE_S, DEADLINE_S = 9, 1.5, 0.17, 0.3, 6.0


class FixedGroupsView:
    """A view of groups that serve nine requests each, for 1.5 s per request."""

    data_center = "norte"

    def __init__(self, group_count):
        self.groups = [
            Candidate(f"g{n}", f"s{n}", 1, "", "norte", SLOTS)
            for n in range(group_count)
        ]
        self.in_flight = None
        self.limits = {}

    def candidates(self, request):
        return self.groups

    def load(self, candidate):
        return self.in_flight.count(candidate.name)

    def must_avoid(self, name):
        return False

    def pause_left_s(self, server):
        return 0.0

    def cold_rate(self, candidate):
        return None

    def limit_per_s(self, server):
        return self.limits.get(server)

    def expected_time_to_start_s(self, request):
        return TIME_TO_START_S

    def is_ranked(self, request):
        return False

    def bounded_work(self, request):
        return UNKNOWN_WORK

    def slot_usage(self, request):
        slots_in_use = sum(map(self.load, self.groups))
        return SlotUsage(slots_in_use, 0, SERVICE_S)


class SimulatedNode:
    """One node and its callers, each of which retries once when it is refused."""

    def __init__(self, group_count, seed=1):
        self.time, self.rng = VirtualTime(), random.Random(seed)
        self.clock = VirtualClock(self.time)
        view = FixedGroupsView(group_count)
        view.in_flight = self.in_flight = InFlightRequests(
            self.clock, lambda name: None
        )
        gates = (
            WarmupGate("n1", lambda: ["n1"], self.clock),
            RateLimitGate("n1", lambda: NODES, self.clock),
        )
        self.limits = view.limits
        self.placer = Placer(view, self.in_flight, *gates, self.clock, self.rng)
        self.in_time = self.late = self.unserved = 0
        self.refusal_waits_s = []

    def request(self, arrived_at, team):
        now = self.clock.monotonic()
        route = SimpleNamespace(objective_s=OBJECTIVE_S, timeout_s=DEADLINE_S)
        return RoutedRequest(
            Call("POST", "/", (), b"", now),
            "r",
            route,
            "assist",
            team,
            "small",
            Work(700, 150),
            arrived_at + DEADLINE_S,
            5,
            elapsed_s=now - arrived_at,
        )

    def call(self, team, max_calls=2):
        arrived_at = self.clock.monotonic()
        for _ in range(max_calls):
            called_at = self.clock.monotonic()
            try:
                placement = self.placer.place(self.request(arrived_at, team))
            except OverloadedError as exc:
                self.refusal_waits_s.append(self.clock.monotonic() - called_at)
                self.clock.sleep(exc.retry_after_s)
                continue
            time_to_start_s = self.clock.monotonic() - arrived_at + TIME_TO_START_S
            self.clock.sleep(SERVICE_S)
            self.placer.release_slot(placement)
            self.in_time += time_to_start_s <= OBJECTIVE_S
            self.late += time_to_start_s > OBJECTIVE_S
            return
        self.unserved += 1

    def run(self, seconds, per_s, team=lambda n: "blue"):
        """Let callers arrive at random times; return how many arrived."""
        count = int(seconds * per_s)
        for number in range(count):
            self.time.run_until(self.time.now + self.rng.expovariate(per_s))
            gevent.spawn(self.call, team(number))
        # Longer than any caller waits and is served, so that all are done.
        self.time.run_until(self.time.now + 20.0)
        return count


def erlang_b(slots, offered_erlangs):
    """Return the fraction of arrivals that find all slots in use."""
    blocked = 1.0
    for slot in range(1, slots + 1):
        blocked = offered_erlangs * blocked / (slot + offered_erlangs * blocked)
    return blocked


class OverloadTests(unittest.TestCase):
    """Three groups serve 18 requests per second."""

    def test_double_load_serves_half_the_callers_in_time(self):
        """Of 36 callers per second 18 can be served, at least 0.8 of them in time."""
        node = SimulatedNode(group_count=3)
        arrived = node.run(20, per_s=36)
        self.assertGreater(node.in_time, 0.8 * arrived / 2)
        self.assertLess(node.late, 0.1 * arrived)

    def test_most_refusals_come_within_the_objective(self):
        """Callers wait only while they can be in time, or outside a shortage."""
        node = SimulatedNode(group_count=3)
        node.run(20, per_s=36)
        refusal_waits_s = sorted(node.refusal_waits_s)
        self.assertLess(refusal_waits_s[int(0.95 * len(refusal_waits_s))], OBJECTIVE_S)
        self.assertLess(refusal_waits_s[-1], LATE_WAIT_S)

    def test_few_callers_are_unserved_at_90_percent_load(self):
        """Of the callers that find a free slot by Erlang B, over 0.95 are in time."""
        arrived = in_time = unserved = 0
        for seed in range(1, 7):
            node = SimulatedNode(group_count=3, seed=seed)
            arrived += node.run(30, per_s=16)
            in_time += node.in_time
            unserved += node.unserved
        blocked = erlang_b(slots=3 * SLOTS, offered_erlangs=16 * SERVICE_S)
        self.assertGreater(in_time, 0.95 * (1 - blocked) * arrived)
        self.assertLess(unserved, 0.05 * arrived)

    def test_callers_of_a_short_burst_are_served_on_retry(self):
        """The burst lasts 2 s, at three times the load that the groups can serve."""
        node = SimulatedNode(group_count=3)
        arrived = node.run(2, per_s=54)
        self.assertLess(node.unserved, 0.3 * arrived)

    def test_small_team_is_served_at_a_higher_rate_than_a_large_one(self):
        served = {"big": 0, "small": 0}
        node = SimulatedNode(group_count=3)
        requested = {"big": 0, "small": 0}

        def team(number):
            name = "small" if number % 9 == 0 else "big"
            requested[name] += 1
            return name

        original_place = node.placer.place

        def counting_place(request, *args):
            found = original_place(request, *args)
            served[request.team] += 1
            return found

        node.placer.place = counting_place
        node.run(20, per_s=45, team=team)
        served_fraction = {name: served[name] / requested[name] for name in requested}
        self.assertGreater(served_fraction["small"], served_fraction["big"])


if __name__ == "__main__":
    unittest.main()
