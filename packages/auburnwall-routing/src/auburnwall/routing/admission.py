"""Weighted fair queueing over teams, by priority and deadline within a team."""

import heapq
from abc import ABC, abstractmethod
from itertools import count

# How far a team that was idle may start behind the virtual time, in requests.
MAX_IDLE_CREDIT_REQUESTS = 2.0


class Waiting:
    """One queued request; ``result`` is set when it gets a slot or is evicted.

    ``excluded`` holds the names of the servers or groups that must not get it.
    ``queued_at`` is the time at which it was queued. ``rank`` (0 is the most urgent),
    ``relative_work``, its work as a multiple of the model's mean, and ``has_returned``,
    whether the caller was refused before and came back on time, are used by
    ``shortage_order`` only. ``left_queue`` is set once it has left its queue.
    ``number`` is its position in the order of arrival.
    """

    def __init__(
        self,
        request,
        excluded,
        result,
        *,
        queued_at=0.0,
        rank=0,
        relative_work=1.0,
        has_returned=False,
    ):
        self.request = request
        self.excluded = excluded
        self.result = result
        self.queued_at = queued_at
        self.rank = rank
        self.relative_work = relative_work
        self.has_returned = has_returned
        self.left_queue = False
        self.number = 0


class QueueOrder(ABC):
    """Decides which entry of a ``FairQueue`` gets the next slot and which is evicted.

    An entry leaves when its ``left_queue`` is set, which the queue does before it calls
    ``note_left``.
    """

    @abstractmethod
    def add(self, waiting):
        """Add an entry, whose ``number`` is set."""

    @abstractmethod
    def note_left(self, waiting):
        """Record that an entry has left the queue."""

    @abstractmethod
    def note_served(self, waiting):
        """Charge an entry's team for a slot; called before the entry leaves."""

    @abstractmethod
    def next_per_team(self):
        """Return an iterable of each team's next entry, in the order of turns."""

    @abstractmethod
    def entries(self, min_rank=0):
        """Return all entries that still wait, in no particular order.

        An order that knows ranks returns only those of ``min_rank`` and less urgent.
        """

    @abstractmethod
    def evicted_by(self, newcomer):
        """Return the entry that leaves a full queue, which may be ``newcomer``."""

    @abstractmethod
    def beyond_limit(self, newcomer, size, limit):
        """Return an entry that leaves a queue of ``size``, or ``None``.

        ``newcomer`` has been added last. Of its class, ``limit`` requests can start in
        time.
        """

    @abstractmethod
    def count_ahead(self, rank, size):
        """Return how many of ``size`` entries have turns before a new one's band ends.

        These are the entries of ``rank`` and more urgent ones, or all entries in an
        order that ignores ranks between teams.
        """


class _TeamQueue:
    """A team's waiting requests and the virtual time of its next turn."""

    def __init__(self):
        self.heap = []
        self.next_virtual_time = 0.0


class TeamOrder(QueueOrder):
    """Serves teams in turn by their weights, and considers priority within a team.

    The share of a team does not depend on how much it requests. Its virtual time
    advances by 1 / weight with each of its requests, and the team that is furthest
    behind is next. A team that was idle starts ``MAX_IDLE_CREDIT_REQUESTS`` requests
    behind the current virtual time, so that a small burst need not wait for the turns
    of other teams. It gets no more credit than that for its idle time.

    With ``newest_first`` a team's requests of equal priority leave in reverse order of
    arrival, whatever their deadlines. If the queue is long and all of them must start
    within a short time, the newest then start almost immediately. In order of arrival,
    each would start only when its time is nearly over.
    """

    def __init__(self, *, newest_first=False):
        self._newest_first = newest_first
        self._teams = {}
        self._virtual_time = 0.0

    def add(self, waiting):
        """Add an entry, whose ``number`` is set."""
        request = waiting.request
        team = self._teams.setdefault(request.team, _TeamQueue())
        if not team.heap:
            team.next_virtual_time = max(
                team.next_virtual_time,
                self._virtual_time - MAX_IDLE_CREDIT_REQUESTS / request.weight,
            )
        sort_key = self._sort_key(request, waiting.number)
        heapq.heappush(team.heap, (sort_key, waiting))

    def note_left(self, waiting):
        """Do nothing: the entry stays in the heap until it reaches the top."""

    def note_served(self, waiting):
        """Charge an entry's team for a slot."""
        team = self._teams[waiting.request.team]
        self._virtual_time = max(self._virtual_time, team.next_virtual_time)
        team.next_virtual_time += 1 / waiting.request.weight

    def next_per_team(self):
        """Return each team's next entry, in the order of turns."""
        self._prune()
        active = [team for team in self._teams.values() if team.heap]
        return [
            team.heap[0][1]
            for team in sorted(active, key=lambda team: team.next_virtual_time)
        ]

    def entries(self, min_rank=0):
        """Return all entries that still wait."""
        return [
            waiting
            for team in self._teams.values()
            for _, waiting in team.heap
            if not waiting.left_queue
        ]

    def evicted_by(self, newcomer):
        """Return an entry of the lowest priority.

        This is ``newcomer``, unless another entry has a lower priority.
        """
        return min(
            reversed([*self.entries(), newcomer]), key=lambda w: w.request.priority
        )

    def beyond_limit(self, newcomer, size, limit):
        """Return the oldest entry of the team with the most waiting entries."""
        if size <= limit:
            return None
        by_team = {}
        for waiting in self.entries():
            by_team.setdefault(waiting.request.team, []).append(waiting)
        largest = max(by_team.values(), key=len)
        return min(largest, key=lambda waiting: waiting.number)

    def count_ahead(self, rank, size):
        """Return ``size``: turns do not depend on ranks."""
        return size

    def _sort_key(self, request, number):
        if self._newest_first:
            return -request.priority, -number
        return -request.priority, request.deadline, number

    def _prune(self):
        for name, team in list(self._teams.items()):
            while team.heap and team.heap[0][1].left_queue:
                heapq.heappop(team.heap)
            if not team.heap and team.next_virtual_time <= self._virtual_time:
                del self._teams[name]


class FairQueue:
    """A bounded queue whose order and evictions a ``QueueOrder`` decides."""

    def __init__(self, max_size, order=None):
        self._max_size = max_size
        self._order = order or TeamOrder()
        self._numbers = count()
        self._size = 0

    def __len__(self):
        return self._size

    def set_order(self, order):
        """Replace the order; the entries that wait are kept."""
        waiting = sorted(self.entries(), key=lambda entry: entry.number)
        self._order = order
        for entry in waiting:
            order.add(entry)

    def push(self, waiting):
        """Queue ``waiting``; return the evicted entry, or ``None`` if there is none.

        A full queue evicts an entry, which may be ``waiting`` itself.
        """
        evicted = None
        if self._size >= self._max_size:
            evicted = self._order.evicted_by(waiting)
            if evicted is waiting:
                waiting.left_queue = True
                return evicted
            self.remove(evicted)
        waiting.number = next(self._numbers)
        self._order.add(waiting)
        self._size += 1
        return evicted

    def evict_beyond(self, newcomer, limit):
        """Yield the entries that leave, as more wait than can start in time."""
        while evicted := self._order.beyond_limit(newcomer, self._size, limit):
            self.remove(evicted)
            yield evicted

    def next_per_team(self):
        """Return each team's next request, in the order of turns, as an iterable."""
        return self._order.next_per_team()

    def dequeue(self, waiting):
        """Remove ``waiting`` and charge its team for a slot."""
        self._order.note_served(waiting)
        self.remove(waiting)

    def remove(self, waiting):
        """Remove ``waiting`` without charging its team."""
        if not waiting.left_queue:
            waiting.left_queue = True
            self._size -= 1
            self._order.note_left(waiting)

    def entries(self, min_rank=0):
        """Return all entries that still wait; see ``QueueOrder.entries``."""
        return self._order.entries(min_rank)

    def count_ahead(self, rank):
        """Return how many entries have turns before those after ``rank``."""
        return self._order.count_ahead(rank, self._size)
