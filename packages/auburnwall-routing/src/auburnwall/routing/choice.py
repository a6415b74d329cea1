"""Load balancing: the choice of a group among the eligible ones."""

from abc import ABC, abstractmethod


class Chooser(ABC):
    """Orders the candidate groups for a request, the best first."""

    @abstractmethod
    def order(self, request, candidates, in_flight):
        """Return ``candidates`` in the order in which to try them.

        ``in_flight`` maps a group's name to the number of this node's requests there.
        """


class LeastOutstanding(Chooser):
    """Prefers the group with the fewest requests of this node in flight.

    The baseline for benchmarks.
    """

    def order(self, request, candidates, in_flight):
        """Return the candidates by this node's requests in flight, the fewest first."""
        return sorted(candidates, key=lambda view: in_flight.get(view.name, 0))


class TwoChoices(Chooser):
    """Power of two choices: the cheaper of two random candidates comes first.

    The other of the two follows, then all others by cost as fallbacks. The cost of a
    group is the used fraction of its capacity, plus ``remote_penalty`` if the group is
    in another data centre. The server's report of running requests lags, so the
    number of this node's own requests counts if it is larger.
    """

    def __init__(self, rng, data_center, *, remote_penalty=0.15):
        self._rng = rng
        self._data_center = data_center
        self._remote_penalty = remote_penalty

    def order(self, request, candidates, in_flight):
        """Return two random candidates by cost, then the others by cost."""
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        names = {view.name for view in sampled}
        others = [view for view in candidates if view.name not in names]

        def cost(view):
            return self._cost(view, in_flight.get(view.name, 0))

        return sorted(sampled, key=cost) + sorted(others, key=cost)

    def _cost(self, view, own_in_flight):
        utilization = max(own_in_flight, view.running) / max(view.max_concurrent, 1)
        penalty = self._remote_penalty if view.data_center != self._data_center else 0.0
        return utilization + penalty
