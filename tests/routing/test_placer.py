"""Waiting and giving places at the worst load, on virtual time."""

import random
import unittest
from types import SimpleNamespace

import gevent

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.node.routed.views import Capacity
from auburnwall.routing.call import Call, RoutedRequest
from auburnwall.routing.exceptions import OverloadedError
from auburnwall.routing.in_flight import InFlightRequests
from auburnwall.routing.load_shedding import LATE_WAIT_S
from auburnwall.routing.placer import Placer
from auburnwall.routing.step_model import Work
from auburnwall.routing.warmup import WarmupGate
from tests.faults.virtual_time import VirtualClock, VirtualTime

SLOTS, SERVICE_S, START_S, OBJECTIVE_S, DEADLINE_S = 9, 1.5, 0.17, 0.3, 6.0


class World:
    """Groups that each serve nine requests for a second and a half."""

    data_center = "norte"

    def __init__(self, groups):
        self.groups = [
            Candidate(f"g{n}", f"s{n}", 1, "", "norte", SLOTS) for n in range(groups)
        ]
        self.in_flight = None

    def candidates(self, request):
        return self.groups

    def load(self, candidate):
        return self.in_flight.count(candidate.name)

    def is_suspect(self, name):
        return False

    def cold_rate(self, candidate):
        return None

    def expected_start_s(self, request):
        return START_S

    def capacity(self, request):
        serving = sum(map(self.load, self.groups))
        return Capacity(serving, 0, SERVICE_S)


class Shop:
    """Callers of one node: each comes back once if it is told to."""

    def __init__(self, groups, seed=1):
        self.time, self.rng = VirtualTime(), random.Random(seed)
        self.clock = VirtualClock(self.time)
        view = World(groups)
        view.in_flight = self.in_flight = InFlightRequests(
            self.clock, lambda name: None
        )
        gate = WarmupGate("n1", lambda: ["n1"], self.clock)
        self.placer = Placer(view, self.in_flight, gate, self.clock, self.rng)
        self.in_time = self.late = self.lost = 0
        self.held_s = []

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

    def call(self, team, tries=2):
        arrived_at = self.clock.monotonic()
        for _ in range(tries):
            asked_at = self.clock.monotonic()
            try:
                place = self.placer.place(self.request(arrived_at, team))
            except OverloadedError as exc:
                self.held_s.append(self.clock.monotonic() - asked_at)
                self.clock.sleep(exc.retry_after_s)
                continue
            begun_s = self.clock.monotonic() - arrived_at + START_S
            self.clock.sleep(SERVICE_S)
            self.placer.give_back(place)
            self.in_time += begun_s <= OBJECTIVE_S
            self.late += begun_s > OBJECTIVE_S
            return
        self.lost += 1

    def run(self, seconds, per_s, team=lambda n: "blue"):
        """Let callers come at random moments; return how many came."""
        count = int(seconds * per_s)
        for number in range(count):
            self.time.run_until(self.time.now + self.rng.expovariate(per_s))
            gevent.spawn(self.call, team(number))
        self.time.run_until(self.time.now + 20.0)
        return count


def erlang_b(places, load):
    """Return the part of arrivals that finds all places taken."""
    blocked = 1.0
    for place in range(1, places + 1):
        blocked = load * blocked / (place + load * blocked)
    return blocked


class WorstHourTests(unittest.TestCase):
    """Three groups begin 18 requests a second."""

    def test_twice_as_many_callers_as_places(self):
        """What is served is in time: of 36 callers a second 18 can be served at all."""
        shop = Shop(groups=3)
        came = shop.run(20, per_s=36)
        self.assertGreater(shop.in_time, 0.8 * came / 2)
        self.assertLess(shop.late, 0.1 * came)

    def test_refusals_come_at_once(self):
        """Only who may still be served in time, or before the shortage, waits."""
        shop = Shop(groups=3)
        shop.run(20, per_s=36)
        held_s = sorted(shop.held_s)
        self.assertLess(held_s[int(0.95 * len(held_s))], OBJECTIVE_S)
        self.assertLess(held_s[-1], LATE_WAIT_S)

    def test_at_nine_tenths_of_the_load_few_callers_are_lost(self):
        """The aim is 0.95 of those for whom a place is free by Erlang's formula."""
        came = in_time = lost = 0
        for seed in range(1, 7):
            shop = Shop(groups=3, seed=seed)
            came += shop.run(30, per_s=16)
            in_time += shop.in_time
            lost += shop.lost
        blocked = erlang_b(places=3 * SLOTS, load=16 * SERVICE_S)
        self.assertGreater(in_time, 0.95 * (1 - blocked) * came)
        self.assertLess(lost, 0.05 * came)

    def test_callers_of_a_short_burst_come_back_after_it(self):
        """Two seconds of three times the load."""
        shop = Shop(groups=3)
        came = shop.run(2, per_s=54)
        self.assertLess(shop.lost, 0.3 * came)

    def test_team_that_asks_for_most_leaves_the_others_their_share(self):
        served = {"big": 0, "small": 0}
        shop = Shop(groups=3)
        asked = {"big": 0, "small": 0}

        def team(number):
            name = "small" if number % 9 == 0 else "big"
            asked[name] += 1
            return name

        place = shop.placer.place

        def note(request, *args):
            found = place(request, *args)
            served[request.team] += 1
            return found

        shop.placer.place = note
        shop.run(20, per_s=45, team=team)
        share = {name: served[name] / asked[name] for name in asked}
        self.assertGreater(share["small"], share["big"])


if __name__ == "__main__":
    unittest.main()
