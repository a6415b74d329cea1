"""Groups of model servers of which some become slow, and their callers.

The groups are simulated in virtual time, by the step model. The paces are measured and
the groups are chosen by the product's code.
"""

import random
from types import SimpleNamespace

import gevent

from auburnwall.base.lateness import LoopLateness
from auburnwall.fleet.candidate_index import Candidate
from auburnwall.node.routed.fleet_load import load_of_pulse, sum_loads
from auburnwall.node.routed.start_times import StartTimes
from auburnwall.node.routed.views import SlotUsage
from auburnwall.routing.exceptions import OverloadedError
from auburnwall.routing.in_flight import InFlightRequests
from auburnwall.routing.placer import Placer
from auburnwall.routing.rate_limits import RateLimitGate
from auburnwall.routing.response_timing import StepTimes
from auburnwall.routing.shortage_order import UNKNOWN_WORK
from auburnwall.routing.step_model import Work
from auburnwall.routing.warmup import WarmupGate
from auburnwall.wire.peer.ttypes import Pulse
from tests.faults.virtual_time import START_S, VirtualClock, VirtualTime
from tests.routing.engine import ENGINE, MODEL

OBJECTIVE_S, DEADLINE_S = 0.15, 6.0
WORK, EVENTS = Work(979, 154), 31
TIMES = StepTimes(ENGINE, MODEL)
CONFIG = SimpleNamespace(services={"assist": SimpleNamespace(engine=ENGINE)})


def new_pulse(slow_paces):
    """Return the heartbeat of a node that tells these paces."""
    return Pulse(
        running={}, demand={}, suspects=[], has_traffic=True, slow_paces=slow_paces
    )


class SimulatedGroup:
    """A group that reads prompts one after the other and then sends events.

    While it reads a prompt, the events of its other requests are delayed. ``pace_at``
    returns its pace at a time after the start.
    """

    def __init__(self, number, clock, rng, pace_at):
        self.candidate = Candidate(
            f"g{number}", f"s{number}", 1, "", "norte", ENGINE.slots
        )
        self.running = 0
        self._clock, self._rng, self._pace_at = clock, rng, pace_at
        self._reads_until = 0.0
        self._reading_s = 0.0

    def pace(self):
        return self._pace_at(self._clock.monotonic() - START_S)

    def serve(self, prompt_tokens):
        """Yield when each event of a response is sent."""
        self.running += 1
        try:
            now = self._clock.monotonic()
            reading_s = self.pace() * TIMES.prefill_s(prompt_tokens)
            self._reads_until = max(now, self._reads_until) + reading_s
            self._reading_s += reading_s
            self._clock.sleep(self._reads_until - now)
            for _ in range(EVENTS):
                read_s = self._reading_s
                noise = self._rng.uniform(0.9, 1.1)
                self._clock.sleep(noise * self.pace() * TIMES.event_s(self.running))
                self._clock.sleep(self._reading_s - read_s)
                yield
        finally:
            self.running -= 1


class FixedGroupsView:
    """A view of the groups, of which all requests are those of one placer."""

    data_center = "norte"

    def __init__(self, groups, in_flight):
        self.groups = [group.candidate for group in groups]
        self._in_flight = in_flight

    def candidates(self, request):
        return self.groups

    def load(self, candidate):
        return self._in_flight.count(candidate.name)

    def must_avoid(self, name):
        return False

    def pause_left_s(self, server):
        return 0.0

    def cold_rate(self, candidate):
        return None

    def limit_per_s(self, server):
        return None

    def expected_time_to_start_s(self, request):
        return TIMES.first_event_s(WORK.prompt_tokens, ENGINE.slots, 0.0)

    def slot_usage(self, request):
        in_use = sum(map(self.load, self.groups))
        slot_time_s = EVENTS * TIMES.event_s(ENGINE.slots)
        return SlotUsage(in_use, 0, slot_time_s, slot_time_s)

    def is_ranked(self, request):
        return False

    def bounded_work(self, request):
        return UNKNOWN_WORK


class UnevenLoad:
    """Callers of one model at ``group_count`` groups; ``pace_of(number, at)``.

    One placer places all requests. The responses are measured by ``node_count`` nodes,
    each at random, which report to the placer every 0.4 s if there are several, as to
    the broker of a large fleet. Without ``uses_paces`` the placer ignores the paces.
    """

    def __init__(self, group_count, pace_of, seed, node_count=1, uses_paces=True):
        self.time, self.rng = VirtualTime(), random.Random(seed)
        # Of their own, so that the same callers arrive with paces and without.
        self.arrivals = random.Random(seed)
        self.clock = VirtualClock(self.time)
        self.groups = {}
        for number in range(group_count):
            group = SimulatedGroup(
                number, self.clock, self.rng, lambda at, n=number: pace_of(n, at)
            )
            self.groups[group.candidate.name] = group
        self.in_flight = InFlightRequests(self.clock, lambda name: None)
        view = FixedGroupsView(self.groups.values(), self.in_flight)

        def new_start_times():
            source = SimpleNamespace(config=CONFIG)
            lateness = LoopLateness(self.clock)
            return StartTimes(source, view.load, self.clock, lateness)

        self.nodes = [new_start_times() for _ in range(node_count)]
        self.start_times = self.nodes[0] if node_count == 1 else new_start_times()
        gates = (
            WarmupGate("n1", lambda: ["n1"], self.clock),
            RateLimitGate("n1", lambda: ["n1"], self.clock),
        )
        arguments = (view, self.in_flight, *gates, self.clock, self.rng)
        self.placer = Placer(
            *arguments,
            **(
                {"start_estimate": self.start_times.start_estimate}
                if uses_paces
                else {}
            ),
        )
        self.arrived = self.in_time = self.refused = self.refused_while_idle = 0
        self.placed = []
        self.slow_seen = set()

    def call(self):
        now = arrived_at = self.clock.monotonic()
        request = SimpleNamespace(
            request_id="r",
            service="assist",
            model="big",
            team="blue",
            priority=0,
            weight=1.0,
            work=WORK,
            deadline=now + DEADLINE_S,
            objective_at=now + OBJECTIVE_S,
            route=SimpleNamespace(objective_s=OBJECTIVE_S, streams=True),
        )
        try:
            placement = self.placer.place(request)
        except OverloadedError:
            self.refused += 1
            self.refused_while_idle += any(
                self.in_flight.count(name) < ENGINE.slots for name in self.groups
            )
            return
        name = placement.candidate.name
        self.placed.append((self.clock.monotonic() - START_S, name))
        node = self.rng.choice(self.nodes)
        timing = node.new_timing(request, placement.candidate)
        is_first = True
        for _ in self.groups[name].serve(WORK.prompt_tokens):
            now = self.clock.monotonic()
            timing.note_event()
            self.in_time += is_first and now - arrived_at <= OBJECTIVE_S
            is_first = False
            timing.note_wait()
        timing.end()
        self.placer.release_slot(placement)

    def run(self, seconds, per_s):
        """Let callers arrive at random times, and reports every 0.4 s."""
        ends_at = self.time.now + seconds
        if len(self.nodes) > 1:
            gevent.spawn(self._report, ends_at)
        gevent.spawn(self._observe, ends_at)
        while self.time.now < ends_at:
            self.time.run_until(self.time.now + self.arrivals.expovariate(per_s))
            self.arrived += 1
            gevent.spawn(self.call)
        self.time.run_until(self.time.now + 20.0)

    def placed_at(self, name, begin, end):
        """Return how many requests a group got between two times after the start."""
        return sum(n == name and begin <= at < end for at, n in self.placed)

    def _report(self, ends_at):
        """Pass on the reports, which all nodes have after 0.4 s."""
        while self.time.now < ends_at:
            pulses = [new_pulse(node.paces_to_tell()) for node in self.nodes]
            self.clock.sleep(0.4)
            load = sum_loads(map(load_of_pulse, pulses))
            for node in [self.start_times, *self.nodes]:
                node.note_peer_paces(load.slow_paces, "relay", True)

    def _observe(self, ends_at):
        while self.time.now < ends_at:
            at = self.time.now - START_S
            paces = self.start_times.paces.paces()
            self.slow_seen |= {
                (name, round(at, 1)) for name, pace in paces.items() if pace >= 1.5
            }
            self.clock.sleep(0.1)
