"""Order of waiting requests by rank, time left and work during a shortage.

Load pattern: for seconds, the requests to one model need more slots than its groups
have, and the routes to it have different priorities. If teams took turns over all
requests, a less urgent request of one team would be served while urgent ones of another
miss their objective. Here ranks come first, teams take turns within a rank, and a less
urgent rank still gets a fixed share of the slots. All times are in seconds.
"""

import heapq
import math
from collections import defaultdict
from typing import NamedTuple

from .admission import MAX_IDLE_CREDIT_REQUESTS, QueueOrder
from .routes import ranks_of_service
from .step_model import Work, group_seconds_per_request

# Largest rank that is told from others; servers know urgencies from 0 to 9.
MAX_RANK = 9
# Slots that others get before a waiting band gets one. Of one in two, less urgent short
# requests are served more often than urgent long ones; of one in eight, callers gain
# less in all.
SLOTS_BETWEEN_TURNS = 3
# Bounds of a request's work, as multiples of the model's mean. Stated numbers of tokens
# beyond them gain nothing.
MIN_RELATIVE_WORK, MAX_RELATIVE_WORK = 0.2, 5.0
# Requests that are queued within this time of each other count as of the same age. With
# much more, the order would hang on hints of the length, which are often far off.
AGE_STEP_S = 0.15
# Time left that counts as much as the model's mean work when a request is evicted, as a
# fraction of the objective.
EVICTION_WORK_WEIGHT = 0.25
# Elements that a heap may hold in excess of twice the waiting ones before those that
# have left are removed.
HEAP_SLACK = 16


class BoundedWork(NamedTuple):
    """A request's work in group-seconds, and as a multiple of the model's mean.

    Both are bounded. ``relative`` is between ``MIN_RELATIVE_WORK`` and
    ``MAX_RELATIVE_WORK``.
    """

    work_s: float
    relative: float


# Work of a request to a service or model whose mean work is not known.
UNKNOWN_WORK = BoundedWork(0.0, 1.0)


def bounded_work(engine, model, work):
    """Return the ``BoundedWork`` of a request to an engine's model."""
    mean_s = group_seconds_per_request(engine, model, mean_work(engine))
    if mean_s <= 0:
        return UNKNOWN_WORK
    relative = group_seconds_per_request(engine, model, work) / mean_s
    relative = min(MAX_RELATIVE_WORK, max(MIN_RELATIVE_WORK, relative))
    return BoundedWork(relative * mean_s, relative)


def mean_work(engine):
    """Return the mean ``Work`` of an engine's requests."""
    return Work(engine.mean_prompt_tokens, max(1, engine.mean_response_tokens))


def ranked_services(config):
    """Return the names of the services with models whose routes differ in priority.

    ``config`` is the ``RoutingConfig`` in force.
    """
    return frozenset(
        name
        for name, service in config.services.items()
        if service.engine is not None and len(ranks_of_service(config, name)) > 1
    )


def rank_of(request):
    """Return a request's rank, from 0 for the most urgent to ``MAX_RANK``."""
    return min(MAX_RANK, max(0, -request.priority))


def newest_key(waiting):
    """Order requests that can be in time: newest first, about equal ages by work."""
    age_step = math.floor(waiting.queued_at / AGE_STEP_S)
    return -age_step, waiting.relative_work, -waiting.number


def deadline_key(waiting):
    """Order late requests and resuming streams: callers that came back, by deadline."""
    return not waiting.has_returned, waiting.request.deadline, waiting.number


def eviction_key(waiting):
    """Order requests by eviction: the most work for the least time left goes first.

    Work of the model's mean counts like ``EVICTION_WORK_WEIGHT`` of the objective. A
    ratio of the two would change its order with time, which a heap does not allow.
    """
    request = waiting.request
    work_s = EVICTION_WORK_WEIGHT * waiting.relative_work * request.route.objective_s
    return request.objective_at - work_s, waiting.number


class RankOrder(QueueOrder):
    """Serves bands of equal rank, the most urgent first, and teams in turn within one.

    Within a team, ``sort_key(waiting)`` decides, which must not change with time. A
    band that others were preferred to ``SLOTS_BETWEEN_TURNS`` times is next, unless the
    last slot was given for that reason: the most urgent band gets at least every
    second one.

    Adding, serving and evicting takes time in proportion to the logarithm of the number
    of waiting requests, and to the number of bands, which is at most 10.

    >>> queue = FairQueue(256, RankOrder(newest_key))
    """

    def __init__(self, sort_key):
        self._sort_key = sort_key
        self._bands = {}
        self._was_out_of_turn = False

    def add(self, waiting):
        """Add an entry, whose ``number`` is set."""
        if waiting.rank not in self._bands:
            self._bands[waiting.rank] = _Band(self._sort_key)
            self._bands = dict(sorted(self._bands.items()))
        self._bands[waiting.rank].add(waiting)

    def note_left(self, waiting):
        """Record that an entry has left."""
        self._bands[waiting.rank].note_left(waiting)

    def note_served(self, waiting):
        """Charge an entry's team for a slot."""
        self._was_out_of_turn = (
            not self._was_out_of_turn and self._band_out_of_turn() == waiting.rank
        )
        for rank, band in self._waiting_bands():
            if rank != waiting.rank:
                band.passed_over += 1
        band = self._bands[waiting.rank]
        band.passed_over = 0
        band.note_served(waiting)

    def next_per_team(self):
        """Yield each team's next request of each band, in the order of turns."""
        ranks = [rank for rank, _ in self._waiting_bands()]
        first = None if self._was_out_of_turn else self._band_out_of_turn()
        if first is not None:
            ranks.remove(first)
            ranks.insert(0, first)
        for rank in ranks:
            yield from self._bands[rank].next_per_team()

    def entries(self, min_rank=0):
        """Return the entries that wait, of ``min_rank`` and less urgent ones."""
        return [
            waiting
            for rank, band in self._bands.items()
            if rank >= min_rank
            for waiting in band.entries()
        ]

    def evicted_by(self, newcomer):
        """Return an entry of the least urgent band, or ``newcomer``."""
        rank, band = max(self._waiting_bands())
        return newcomer if newcomer.rank > rank else band.first_evicted()

    def beyond_limit(self, newcomer, size, limit):
        """Return an entry of a band that has more ahead than can start in time.

        Of each band, as many may wait as its share of the slots allows.
        """
        if newcomer.rank in self._bands:
            self._bands[newcomer.rank].limit = limit
        ahead = 0
        for rank, band in self._waiting_bands():
            ahead += band.size
            share = max(1, band.limit // (SLOTS_BETWEEN_TURNS + 1))
            if rank >= newcomer.rank and ahead > band.limit and band.size > share:
                return band.first_evicted()
        return None

    def count_ahead(self, rank, size):
        """Return how many entries have turns before those after ``rank``."""
        return sum(band.size for other, band in self._waiting_bands() if other <= rank)

    def _waiting_bands(self):
        """Return pairs of rank and band, for bands with entries, most urgent first."""
        return [(rank, band) for rank, band in self._bands.items() if band.size]

    def _band_out_of_turn(self):
        """Return the rank of the band that is due although others are more urgent."""
        due = [
            (band.passed_over, -rank)
            for rank, band in self._waiting_bands()[1:]
            if band.passed_over >= SLOTS_BETWEEN_TURNS
        ]
        return -max(due)[1] if due else None


class _Band:
    """The waiting requests of one rank, with a queue for each team."""

    def __init__(self, sort_key):
        self.size = 0
        self.limit = 0
        self.passed_over = 0
        self._sort_key = sort_key
        self._teams = {}
        self._turns = []
        self._virtual_time = 0.0
        # Teams by their number of waiting requests, and the largest such number.
        self._teams_by_size = defaultdict(dict)
        self._largest = 0

    def add(self, waiting):
        request = waiting.request
        team = self._teams.get(request.team)
        if team is None:
            team = self._teams[request.team] = _Team(request.team)
        if not team.size:
            team.next_virtual_time = max(
                team.next_virtual_time,
                self._virtual_time - MAX_IDLE_CREDIT_REQUESTS / request.weight,
            )
            self._push_turn(team)
        team.push(self._sort_key(waiting), waiting)
        self._resize(team, 1)

    def note_left(self, waiting):
        team = self._teams[waiting.request.team]
        self._resize(team, -1)
        team.prune()
        if not self.size:
            self.passed_over = min(SLOTS_BETWEEN_TURNS, self.passed_over)

    def note_served(self, waiting):
        team = self._teams[waiting.request.team]
        self._virtual_time = max(self._virtual_time, team.next_virtual_time)
        team.next_virtual_time += 1 / waiting.request.weight
        self._push_turn(team)

    def next_per_team(self):
        """Yield each team's next request, the team that is furthest behind first.

        The heap is walked, not changed: mostly only the first is asked for.
        """
        turns = self._turns
        while turns and not self._is_current(turns[0]):
            heapq.heappop(turns)
        open_positions = [(turns[0], 0)] if turns else []
        while open_positions:
            turn, position = heapq.heappop(open_positions)
            for child in (2 * position + 1, 2 * position + 2):
                if child < len(turns):
                    heapq.heappush(open_positions, (turns[child], child))
            if self._is_current(turn):
                yield self._teams[turn[2]].by_turn[0][-1]

    def entries(self):
        return [w for team in self._teams.values() for w in team.entries()]

    def first_evicted(self):
        """Return the entry to evict, of the team with the most waiting requests."""
        return next(iter(self._teams_by_size[self._largest].values())).first_evicted()

    def _resize(self, team, change):
        """Change a team's number of waiting requests by 1 or -1."""
        self._teams_by_size[team.size].pop(team.name, None)
        team.size += change
        self.size += change
        self._teams_by_size[team.size][team.name] = team
        if team.size > self._largest:
            self._largest = team.size
        elif not self._teams_by_size[self._largest]:
            # The largest team has just shrunk by one.
            del self._teams_by_size[self._largest]
            self._largest -= 1

    def _push_turn(self, team):
        team.turn_number += 1
        turn = (team.next_virtual_time, team.turn_number, team.name)
        heapq.heappush(self._turns, turn)
        if len(self._turns) > 2 * len(self._teams) + HEAP_SLACK:
            self._turns = list(filter(self._is_current, self._turns))
            heapq.heapify(self._turns)

    def _is_current(self, turn):
        _, number, name = turn
        team = self._teams.get(name)
        return team is not None and team.size > 0 and team.turn_number == number


class _Team:
    """A team's waiting requests of one rank, by turn and by eviction.

    An entry that has left stays in a heap until it reaches the top, or until such
    entries are more than the others.
    """

    def __init__(self, name):
        self.name = name
        self.size = 0
        self.next_virtual_time = 0.0
        self.turn_number = 0
        self.by_turn = []
        self._by_eviction = []

    def push(self, key, waiting):
        heapq.heappush(self.by_turn, (key, waiting))
        heapq.heappush(self._by_eviction, (eviction_key(waiting), waiting))

    def entries(self):
        return [w for _, w in self.by_turn if not w.left_queue]

    def first_evicted(self):
        return self._by_eviction[0][-1]

    def prune(self):
        for heap in (self.by_turn, self._by_eviction):
            while heap and heap[0][-1].left_queue:
                heapq.heappop(heap)
            if len(heap) > 2 * self.size + HEAP_SLACK:
                heap[:] = [pair for pair in heap if not pair[-1].left_queue]
                heapq.heapify(heap)
