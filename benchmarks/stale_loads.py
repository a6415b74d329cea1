"""Requests sent to full groups when nodes know each other's requests late.

``python -m benchmarks.stale_loads`` plays, on virtual time and with the real choice of
a group, the requests of whole fleets, and prints what fraction goes to a group without
a free slot: by the age of the loads that a node knows, and by the number of groups
that it draws at random before it takes the least loaded of them.
"""

import heapq
import random
from collections import Counter
from typing import NamedTuple
from unittest import mock

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.routing import placement

# A request holds its slot for this time on the mean, from half to one and a half of it.
MEAN_HOLD_S = 1.2
# Seconds until the load is steady, and seconds that are counted after that.
WARM_UP_S, COUNTED_S = 3.0, 3.0
# Interval at which the loads are recorded, and of those of one node's views of them.
RECORD_INTERVAL_S = 0.05


class Fleet(NamedTuple):
    """A fleet and its load, and how old the loads are that a node knows.

    ``view_interval_s`` is the time between two views of the others' requests, each of
    which is ``age_s`` old when it arrives.
    """

    nodes: int
    data_centers: int
    groups: int
    slots: int
    requests_per_s: float
    age_s: float
    view_interval_s: float


FLEETS = (
    Fleet(7, 3, 12, 9, 60.0, 0.05, 0.12),
    Fleet(74, 3, 54, 9, 270.0, 0.7, 0.4),
    Fleet(195, 5, 65, 14, 500.0, 0.7, 0.4),
    Fleet(1_000, 15, 340, 14, 2_600.0, 0.7, 0.4),
)


def overfilled_fraction(fleet, sample_size, *, exact=False, seed=1):
    """Return the fraction of requests that go to a group without a free slot.

    With ``exact``, nodes know all requests of this moment, as a broker does.
    """
    with mock.patch.object(placement, "SAMPLE_SIZE", sample_size):
        return _Play(fleet, exact, seed).run()


class _Play:
    def __init__(self, fleet, exact, seed):
        self._fleet = fleet
        self._exact = exact
        self._rng = random.Random(seed)
        self._groups = [
            Candidate(n, n, 1, "", n % fleet.data_centers, fleet.slots)
            for n in range(fleet.groups)
        ]
        self._load = Counter()
        self._own = [Counter() for _ in range(fleet.nodes)]
        self._views = [(Counter(), Counter()) for _ in range(fleet.nodes)]
        self._history = []
        self._events = []
        self._placed = self._overfilled = 0

    def run(self):
        """Play the fleet and return the fraction of overfilling requests."""
        self._schedule(0.0, self._record)
        self._schedule(0.0, self._arrive)
        for node in range(self._fleet.nodes):
            delay_s = self._rng.random() * self._fleet.view_interval_s
            self._schedule(delay_s, self._view, node)
        while self._events[0][0] < WARM_UP_S + COUNTED_S:
            now, _, function, args = heapq.heappop(self._events)
            function(now, *args)
        return self._overfilled / max(1, self._placed)

    def _schedule(self, at, function, *args):
        heapq.heappush(self._events, (at, self._rng.random(), function, args))

    def _record(self, now):
        own = [Counter(counts) for counts in self._own]
        self._history = [*self._history[-60:], (now, Counter(self._load), own)]
        self._schedule(now + RECORD_INTERVAL_S, self._record)

    def _view(self, now, node):
        wanted_at = now - self._fleet.age_s
        _, load, own = next(
            (entry for entry in reversed(self._history) if entry[0] <= wanted_at),
            self._history[0],
        )
        self._views[node] = load, own[node]
        self._schedule(now + self._fleet.view_interval_s, self._view, node)

    def _arrive(self, now):
        fleet, rng = self._fleet, self._rng
        self._schedule(now + rng.expovariate(fleet.requests_per_s), self._arrive)
        node = rng.randrange(fleet.nodes)
        chosen = placement.choose_candidate(
            self._groups, self._known_load(node), node % fleet.data_centers, rng
        )
        if chosen is None:
            return
        name = chosen.name
        if now >= WARM_UP_S:
            self._placed += 1
            self._overfilled += self._load[name] >= fleet.slots
        self._load[name] += 1
        self._own[node][name] += 1
        hold_s = MEAN_HOLD_S * rng.uniform(0.5, 1.5)
        self._schedule(now + hold_s, self._leave, node, name)

    def _leave(self, now, node, name):
        self._load[name] -= 1
        self._own[node][name] -= 1

    def _known_load(self, node):
        if self._exact:
            return lambda group: self._load[group.name]
        (load, own_then), own = self._views[node], self._own[node]
        return lambda group: (
            max(0, load[group.name] - own_then[group.name]) + own[group.name]
        )


def main():
    """Print a table row for each fleet."""
    print("| nodes | groups | requests/s | exact | best of 8 | best of 4 | best of 2 |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for fleet in FLEETS:
        cells = [overfilled_fraction(fleet, 4, exact=True)]
        cells += [overfilled_fraction(fleet, size) for size in (4, 2, 1)]
        row = (fleet.nodes, fleet.groups, round(fleet.requests_per_s))
        print("|", " | ".join(map(str, row)), "|", end=" ")
        print(" | ".join(f"{cell:.2f}" for cell in cells), "|", flush=True)


if __name__ == "__main__":
    main()
