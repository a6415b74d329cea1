"""The fair queue before ranks were told apart, to compare the present one with.

It is unchanged, so that deployments whose routes have equal priorities are served as
before.
"""

import heapq
from itertools import count

# How far a team that was idle may start behind the virtual time, in requests.
MAX_IDLE_CREDIT_REQUESTS = 2.0


class _TeamQueue:
    """A team's waiting requests and the virtual time of its next turn."""

    def __init__(self):
        self.heap = []
        self.next_virtual_time = 0.0


class FairQueue:
    """A bounded queue that serves teams in proportion to their weights.

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

    def __init__(self, max_size, *, newest_first=False):
        self._max_size = max_size
        self._newest_first = newest_first
        self._teams = {}
        self._virtual_time = 0.0
        self._order = count()
        self._size = 0

    def __len__(self):
        return self._size

    def push(self, waiting):
        """Queue ``waiting``; return the evicted entry, or ``None`` if there is none.

        A full queue evicts an entry of the lowest priority: ``waiting`` itself, unless
        another entry has a lower priority.
        """
        evicted = None
        if self._size >= self._max_size:
            evicted = self._lowest_priority(waiting)
            if evicted is waiting:
                waiting.left_queue = True
                return evicted
            self.remove(evicted)
        request = waiting.request
        team = self._teams.setdefault(request.team, _TeamQueue())
        if not team.heap:
            team.next_virtual_time = max(
                team.next_virtual_time,
                self._virtual_time - MAX_IDLE_CREDIT_REQUESTS / request.weight,
            )
        waiting.number = next(self._order)
        sort_key = self._sort_key(request, waiting.number)
        heapq.heappush(team.heap, (sort_key, waiting))
        self._size += 1
        return evicted

    def next_per_team(self):
        """Return each team's next request, the team that is furthest behind first."""
        self._prune()
        active = [team for team in self._teams.values() if team.heap]
        return [
            team.heap[0][1]
            for team in sorted(active, key=lambda team: team.next_virtual_time)
        ]

    def dequeue(self, waiting):
        """Remove ``waiting`` and advance its team's virtual time."""
        team = self._teams[waiting.request.team]
        self.remove(waiting)
        self._virtual_time = max(self._virtual_time, team.next_virtual_time)
        team.next_virtual_time += 1 / waiting.request.weight

    def remove(self, waiting):
        """Remove ``waiting`` without charging its team.

        It stays in the heap, with ``left_queue`` set, until it reaches the top.
        """
        if not waiting.left_queue:
            waiting.left_queue = True
            self._size -= 1

    def entries(self):
        """Return all entries that still wait, in no particular order."""
        return [
            waiting
            for team in self._teams.values()
            for _, waiting in team.heap
            if not waiting.left_queue
        ]

    def oldest_of_largest(self):
        """Return the oldest entry of the team with the most waiting entries."""
        by_team = {}
        for waiting in self.entries():
            by_team.setdefault(waiting.request.team, []).append(waiting)
        largest = max(by_team.values(), key=len)
        return min(largest, key=lambda waiting: waiting.number)

    def _sort_key(self, request, number):
        if self._newest_first:
            return -request.priority, -number
        return -request.priority, request.deadline, number

    def _lowest_priority(self, newcomer):
        return min(
            reversed([*self.entries(), newcomer]), key=lambda w: w.request.priority
        )

    def _prune(self):
        for name, team in list(self._teams.items()):
            while team.heap and team.heap[0][1].left_queue:
                heapq.heappop(team.heap)
            if not team.heap and team.next_virtual_time <= self._virtual_time:
                del self._teams[name]
