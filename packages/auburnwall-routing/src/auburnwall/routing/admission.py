"""Weighted fair queueing over teams, by priority and deadline within a team."""

import heapq
from itertools import count

CREDIT = 2.0


class Waiting:
    """One request in a queue; ``result`` is set when it leaves.

    ``number`` tells in which order requests came to their queue.
    """

    def __init__(self, request, avoid, result):
        self.request = request
        self.avoid = avoid
        self.result = result
        self.gone = False
        self.number = 0


class _TeamQueue:
    """A team's waiting requests and the virtual time at which it is next served."""

    def __init__(self):
        self.heap = []
        self.tag = 0.0


class FairQueue:
    """Serve teams in proportion to their weights, whatever each one asks for.

    The virtual time of a team advances by 1 / weight with each of its requests; the
    team that is furthest behind is next. A team that was idle starts ``CREDIT``
    requests behind the present virtual time, so that a few at once need not wait for
    the turns of the others, and has no more credit than that from the past.

    With ``newest_first`` a team's requests of equal priority leave in the opposite
    order: of those that must begin within a moment, some then begin at once, instead
    of all of them when that moment is over.
    """

    def __init__(self, most, *, newest_first=False):
        self._most = most
        self._newest_first = newest_first
        self._teams = {}
        self._virtual = 0.0
        self._order = count()
        self._size = 0

    def __len__(self):
        return self._size

    def push(self, waiting):
        """Queue ``waiting``; return the entry that must give way, or ``None``.

        A full queue gives up its entry of the lowest priority, the newest among
        equals, which may be ``waiting`` itself.
        """
        shed = None
        if self._size >= self._most:
            shed = self._lowest(waiting)
            if shed is waiting:
                waiting.gone = True
                return shed
            self.discard(shed)
        request = waiting.request
        team = self._teams.setdefault(request.team, _TeamQueue())
        if not team.heap:
            team.tag = max(team.tag, self._virtual - CREDIT / request.weight)
        waiting.number = next(self._order)
        rank = self._rank(request, waiting.number)
        heapq.heappush(team.heap, (rank, waiting))
        self._size += 1
        return shed

    def heads(self):
        """Return each team's next request, the team that is furthest behind first."""
        self._drop_gone()
        active = [team for team in self._teams.values() if team.heap]
        return [team.heap[0][1] for team in sorted(active, key=lambda team: team.tag)]

    def take(self, waiting):
        """Take ``waiting`` out and charge its team for it."""
        team = self._teams[waiting.request.team]
        self.discard(waiting)
        self._virtual = max(self._virtual, team.tag)
        team.tag += 1 / waiting.request.weight

    def discard(self, waiting):
        """Take ``waiting`` out without charge; its place in the heap goes later."""
        if not waiting.gone:
            waiting.gone = True
            self._size -= 1

    def entries(self):
        """Return all that still wait."""
        return [
            waiting
            for team in self._teams.values()
            for _, waiting in team.heap
            if not waiting.gone
        ]

    def oldest_of_largest(self):
        """Return what has waited longest of the team of which the most waits."""
        by_team = {}
        for waiting in self.entries():
            by_team.setdefault(waiting.request.team, []).append(waiting)
        largest = max(by_team.values(), key=len)
        return min(largest, key=lambda waiting: waiting.number)

    def _rank(self, request, number):
        if self._newest_first:
            return -request.priority, -number
        return -request.priority, request.deadline, number

    def _lowest(self, newcomer):
        return min(
            reversed([*self.entries(), newcomer]), key=lambda w: w.request.priority
        )

    def _drop_gone(self):
        for name, team in list(self._teams.items()):
            while team.heap and team.heap[0][1].gone:
                heapq.heappop(team.heap)
            if not team.heap and team.tag <= self._virtual:
                del self._teams[name]
