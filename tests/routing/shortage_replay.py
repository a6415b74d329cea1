"""Replays a shortage of slots through the real placer, on a virtual clock.

``python -m tests.routing.shortage_replay`` compares orders of the waiting requests; its
figures are those of ``docs/design/order-in-shortage.md``.
"""

import random
from collections import Counter
from contextlib import ExitStack
from types import SimpleNamespace
from typing import NamedTuple
from unittest import mock

import gevent
from absl import logging

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.node.routed.views import SlotUsage
from auburnwall.routing import backlog, placer
from auburnwall.routing.brokered_placer import BrokeredPlacer
from auburnwall.routing.call import Call, RoutedRequest
from auburnwall.routing.exceptions import OverloadedError
from auburnwall.routing.in_flight import InFlightRequests
from auburnwall.routing.load_shedding import WaitClass
from auburnwall.routing.placer import Placer
from auburnwall.routing.rank_counts import RankCounts
from auburnwall.routing.rate_limits import RateLimitGate
from auburnwall.routing.retried_calls import DEADLINE_SPREAD_FRACTION
from auburnwall.routing.shortage_order import (
    RankOrder,
    bounded_work,
    deadline_key,
    mean_work,
    newest_key,
)
from auburnwall.routing.step_model import Work, service_time_s
from auburnwall.routing.warmup import WarmupGate
from tests.faults.virtual_time import VirtualClock, VirtualTime
from tests.routing.engine import ENGINE, MODEL

TIME_TO_START_S = 0.12
# Teams by their share of the requests.
TEAMS = {"large": 0.6, "medium": 0.25, "small": 0.1, "tiny": 0.05}
# Pause of a caller that repeats at once, in seconds.
HASTY_PAUSE_S = 0.1


class Kind(NamedTuple):
    """A kind of request; ``worth`` is that of a response in time and of a late one."""

    name: str
    rank: int
    per_s: float
    work: Work
    objective_s: float
    deadline_s: float
    worth: tuple


# The kinds of dalakurier that use the model of eight servers.
BRIEF = Kind("brief", 1, 11.3, Work(1460, 140), 0.504, 8.065, (1.9, 0.47))
SUMMARY = Kind("summary", 2, 9.98, Work(2000, 20), 1.005, 6.028, (0.51, 0.19))


class Outcome(NamedTuple):
    """How one caller fared: ``result`` is "in time", "late" or "unserved"."""

    kind: Kind
    team: str
    tokens: int
    result: str
    is_hasty: bool


class ReplayCounts(RankCounts):
    """Counts of the placer."""

    def __init__(self):
        self.refusals, self.evictions = Counter(), Counter()

    def record_refusal(self, rank):
        self.refusals[rank] += 1

    def record_eviction(self, rank):
        self.evictions[rank] += 1


class ReplayView:
    """The placer's view of groups whose slots are all that is scarce."""

    data_center = "norte"

    def __init__(self, in_flight, group_count, is_ranked):
        self.in_flight = in_flight
        self.ranked = is_ranked
        self.groups = [
            Candidate(f"g{n}", f"s{n}", 1, "", "norte", ENGINE.slots)
            for n in range(group_count)
        ]

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
        return None

    def expected_time_to_start_s(self, request):
        return TIME_TO_START_S

    def is_ranked(self, request):
        return self.ranked

    def bounded_work(self, request):
        return bounded_work(ENGINE, MODEL, request.work)

    def slot_usage(self, request):
        times_s = (
            service_time_s(ENGINE, MODEL, work, ENGINE.slots)
            for work in (request.work, mean_work(ENGINE))
        )
        return SlotUsage(sum(map(self.load, self.groups)), 0, *times_s)


class Replay:
    """One node and its callers.

    ``stated_by`` is the false work that the callers of a team state, by team.
    ``hasty`` is the fraction of callers that repeat a refused request at once.
    """

    def __init__(self, group_count, *, is_ranked=True, seed=1, hasty=0.2):
        self.time, self.rng = VirtualTime(), random.Random(seed)
        self.clock = VirtualClock(self.time)
        in_flight = InFlightRequests(self.clock, lambda name: None)
        self.view = ReplayView(in_flight, group_count, is_ranked)
        gates = (
            WarmupGate("n1", lambda: ["n1"], self.clock),
            RateLimitGate("n1", lambda: ["n1"], self.clock),
        )
        self.counts = ReplayCounts()
        self.local = Placer(
            self.view, in_flight, *gates, self.clock, self.rng, self.counts
        )
        brokers = SimpleNamespace(are_used=lambda: False)
        self.placer = BrokeredPlacer(self.local, self.view, brokers, self.clock)
        self.outcomes, self.refusals = [], []
        self._hasty = hasty
        self.stated_by = {}

    def request(self, kind, team, work, called_at, fingerprint):
        """Return a call of a caller that has first called at ``called_at``."""
        now = self.clock.monotonic()
        elapsed_s = now - called_at
        # What ``RetriedCallDetector`` tells from a new call.
        is_told = elapsed_s > DEADLINE_SPREAD_FRACTION * kind.deadline_s
        return RoutedRequest(
            Call("POST", "/", (), b"", now),
            fingerprint,
            SimpleNamespace(objective_s=kind.objective_s),
            "assist",
            team,
            "big",
            work,
            called_at + kind.deadline_s,
            kind.rank,
            elapsed_s=elapsed_s if is_told else 0.0,
            fingerprint=fingerprint,
        )

    def call(self, kind, team, work, fingerprint):
        """Call until served or out of time, and record the outcome."""
        called_at = self.clock.monotonic()
        is_hasty = self.rng.random() < self._hasty
        stated = self.stated_by.get(team, work)
        result = "unserved"
        while (left_s := called_at + kind.deadline_s - self.clock.monotonic()) > 0.2:
            request = self.request(kind, team, stated, called_at, fingerprint)
            try:
                placement = self.placer.place(request)
            except OverloadedError as exc:
                self.refusals.append((self.clock.monotonic(), kind, exc.retry_after_s))
                pause_s = min(exc.retry_after_s, left_s / 3)
                self.clock.sleep(HASTY_PAUSE_S if is_hasty else pause_s)
                continue
            started_s = self.clock.monotonic() - called_at + TIME_TO_START_S
            result = "in time" if started_s <= kind.objective_s else "late"
            self.clock.sleep(service_time_s(ENGINE, MODEL, work, ENGINE.slots))
            self.placer.release_slot(placement)
            break
        tokens = work.prompt_tokens + work.response_tokens
        self.outcomes.append(Outcome(kind, team, tokens, result, is_hasty))

    def run(self, seconds, kinds):
        """Let callers of the kinds arrive at random times, and end all calls."""
        per_s = sum(kind.per_s for kind in kinds)
        weights = [kind.per_s for kind in kinds]
        for number in range(int(seconds * per_s)):
            self.time.run_until(self.time.now + self.rng.expovariate(per_s))
            kind = self.rng.choices(kinds, weights)[0]
            team = self.rng.choices(list(TEAMS), TEAMS.values())[0]
            size = self.rng.lognormvariate(-0.18, 0.6)
            work = Work(*(max(1, int(size * tokens)) for tokens in kind.work))
            gevent.spawn(self.call, kind, team, work, f"request-{number}")
        self.time.run_until(self.time.now + 20.0)

    def worth(self):
        """Return the worth of all responses, as a fraction of all being in time."""
        gained = sum(
            o.kind.worth[("in time", "late").index(o.result)]
            for o in self.outcomes
            if o.result != "unserved"
        )
        return gained / sum(o.kind.worth[0] for o in self.outcomes)


class Variant(NamedTuple):
    """An order to compare: ``key`` is for requests that can be in time.

    Without ``has_bands`` all ranks are one band.
    """

    key: object
    has_bands: bool = True

    def orders(self):
        """Return the ``RankOrder`` of each class."""
        return {
            WaitClass.RESUMING: RankOrder(deadline_key),
            WaitClass.IN_TIME: RankOrder(self.key),
            WaitClass.LATE: RankOrder(deadline_key),
        }


def newest_only_key(waiting):
    """Order by age alone."""
    return -waiting.number


def least_work_key(waiting):
    """Order by work alone."""
    return waiting.relative_work, -waiting.number


def least_slack_key(waiting):
    """Order by the time left to the objective."""
    return waiting.request.objective_at, waiting.number


def value_key(waiting):
    """Order by the worth of a response in time for the work that it takes."""
    kind = {k.rank: k for k in (BRIEF, SUMMARY)}[-waiting.request.priority]
    return -kind.worth[0] / waiting.relative_work, -waiting.number


VARIANTS = {
    "teams before ranks, today": None,
    "bands, newest first": Variant(newest_only_key),
    "bands, about equal ages by work": Variant(newest_key),
    "bands, least work": Variant(least_work_key),
    "bands, least slack": Variant(least_slack_key),
    "no bands, value for work": Variant(value_key, has_bands=False),
}


def compare(group_count, kinds, seconds=20, seeds=(1, 2, 3)):
    """Print the results of all variants, as means over the seeds."""
    for name, variant in VARIANTS.items():
        replays = [
            replay_variant(variant, group_count, kinds, seconds, seed) for seed in seeds
        ]
        worth = mean(replay.worth() for replay in replays)
        figures = [f"{name:31} worth {worth:.2f}"]
        for kind in kinds:
            groups = [[o for o in r.outcomes if o.kind == kind] for r in replays]
            in_time, late = (
                mean(fraction(group, result) for group in groups)
                for result in ("in time", "late")
            )
            largest = mean(map(served_of_largest, groups))
            figures.append(
                f"{kind.name} {in_time:.2f} + {late:.2f} late, largest {largest:.2f}"
            )
        least = mean(min(served_of_teams(replay)) for replay in replays)
        figures.append(f"least team {least:.2f}")
        print("; ".join(figures))


def fraction(outcomes, result):
    """Return the fraction of the callers with a result."""
    return sum(outcome.result == result for outcome in outcomes) / len(outcomes)


def replay_variant(variant, group_count, kinds, seconds, seed):
    """Return a ``Replay`` that has run with a variant of the order."""
    replay = Replay(group_count, is_ranked=variant is not None, seed=seed)
    with ExitStack() as stack:
        if variant is not None:
            stack.enter_context(
                mock.patch.object(backlog, "_rank_orders", variant.orders)
            )
        if variant is not None and not variant.has_bands:
            stack.enter_context(mock.patch.object(placer, "rank_of", lambda request: 0))
        replay.run(seconds, kinds)
    return replay


def served(outcomes):
    """Return the fraction of the callers that got a response."""
    return sum(o.result != "unserved" for o in outcomes) / max(1, len(outcomes))


def served_of_largest(outcomes):
    """Return how often the largest tenth is served, relative to all outcomes."""
    largest = sorted(outcomes, key=lambda o: -o.tokens)[: len(outcomes) // 10]
    return served(largest) / served(outcomes)


def served_of_teams(replay):
    """Return how often each team is served, relative to all teams together."""
    teams = [[o for o in replay.outcomes if o.team == team] for team in TEAMS]
    return [served(team) / served(replay.outcomes) for team in teams]


def mean(values):
    """Return the mean of some numbers."""
    values = list(values)
    return sum(values) / len(values)


def main():
    """Compare the orders under three loads."""
    logging.set_verbosity(logging.FATAL)
    for title, group_count, factors in (
        ("half of the groups lost", 1, (1.0, 1.0)),
        ("2.5 times as many summaries", 2, (1.0, 2.5)),
        ("2 times as many briefs", 2, (2.0, 1.0)),
        ("2 times as many of both", 2, (2.0, 2.0)),
    ):
        print(title)
        kinds = [
            kind._replace(per_s=kind.per_s * factor)
            for kind, factor in zip((BRIEF, SUMMARY), factors, strict=True)
        ]
        compare(group_count, kinds)


if __name__ == "__main__":
    main()
