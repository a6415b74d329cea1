"""The requests that wait for one service and model, in a queue for each class."""

from collections import defaultdict

from .admission import FairQueue, TeamOrder
from .load_shedding import ShortageDetector, WaitClass
from .shortage_order import (
    SLOTS_BETWEEN_TURNS,
    RankOrder,
    deadline_key,
    newest_key,
)

# Requests of one class that may wait at this node for one service and model.
MAX_WAITING = 256
# Weight of a request in the mean work of those that were given slots. The mean follows
# a change of the kinds of requests within some 20 of them.
WORK_SMOOTHING = 0.05


class Backlog:
    """The waiting requests of one service and model, and its shortages.

    While ``is_ranked``, bands of equal rank are served in their order, and each has a
    shortage of its own. Otherwise ranks are considered only within a team, and all
    requests share ``shortage``.
    """

    def __init__(self):
        self.is_ranked = False
        self.queues = {
            wait_class: FairQueue(MAX_WAITING, order)
            for wait_class, order in _team_orders().items()
        }
        self.shortage = ShortageDetector()
        self._shortages = defaultdict(ShortageDetector)
        self._mean_work = 1.0

    def __len__(self):
        return sum(len(queue) for queue in self.queues.values())

    def set_ranked(self, is_ranked):
        """Change the order of the queues if the configuration has; keep the entries."""
        if is_ranked == self.is_ranked:
            return
        self.is_ranked = is_ranked
        self.shortage = ShortageDetector()
        self._shortages.clear()
        orders = _rank_orders() if is_ranked else _team_orders()
        for wait_class, queue in self.queues.items():
            queue.set_order(orders[wait_class])

    def queued_ahead(self, wait_class, rank):
        """Return how many requests are given slots before a new one.

        The queue of ``IN_TIME`` is newest first, so a new request of that class goes
        before all others of its band, or of the class if there are no bands. The order
        of teams is ignored.
        """
        if wait_class is not WaitClass.IN_TIME:
            return sum(
                queue.count_ahead(rank) if other is wait_class else len(queue)
                for other, queue in self.queues.items()
                if other <= wait_class
            )
        ahead = len(self.queues[WaitClass.RESUMING])
        if not self.is_ranked:
            return ahead
        more_urgent = self.queues[WaitClass.IN_TIME].count_ahead(rank - 1)
        return ahead + min(SLOTS_BETWEEN_TURNS, more_urgent)

    def shortage_s(self, rank, now):
        """Return for how many seconds slots have been scarce for a rank, 0 if not.

        A shortage of a more urgent band is one of the less urgent ones too.
        """
        if not self.is_ranked:
            return self.shortage.duration_s(now)
        return max(
            (
                shortage.duration_s(now)
                for other, shortage in self._shortages.items()
                if other <= rank
            ),
            default=0.0,
        )

    def note_placed(self, rank):
        """Record a request that could be in time and was given a slot."""
        self._shortage(rank).note_placed()

    def note_missed(self, rank, now):
        """Record a request that could have been in time and found no slot.

        Returns the late entries that have to leave, as a shortage has begun.
        """
        self._shortage(rank).note_missed(now)
        if not self._shortage(rank).duration_s(now):
            return []
        queue = self.queues[WaitClass.LATE]
        leaving = queue.entries(rank)
        for waiting in leaving:
            queue.remove(waiting)
        return leaving

    def note_work(self, relative_work):
        """Record the bounded work of a request that was given a slot."""
        self._mean_work += WORK_SMOOTHING * (relative_work - self._mean_work)

    def slot_time_s(self, usage):
        """Return for how long a slot is held, from a view's slot usage.

        Where ranks are told apart, it does not depend on the tokens that the request
        states: it is a time that others hold their slots.
        """
        if not self.is_ranked:
            return usage.slot_time_s
        return usage.mean_slot_time_s * self._mean_work

    def _shortage(self, rank):
        return self._shortages[rank] if self.is_ranked else self.shortage


def _team_orders():
    return {
        WaitClass.RESUMING: TeamOrder(),
        WaitClass.IN_TIME: TeamOrder(newest_first=True),
        WaitClass.LATE: TeamOrder(),
    }


def _rank_orders():
    return {
        WaitClass.RESUMING: RankOrder(deadline_key),
        WaitClass.IN_TIME: RankOrder(newest_key),
        WaitClass.LATE: RankOrder(deadline_key),
    }
