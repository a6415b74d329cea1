"""Measure for which routes callers use a model, as the model's most urgent rank.

A route's service has several models, and only a request's header names the one that it
wants. The rank of a model is therefore known only from the requests themselves.
"""

from collections import defaultdict

from auburnwall.routing.routes import DEFAULT_RANK

# Factor by which older requests lose weight, per second. In a fleet of 60 nodes, one
# node gets a request for a rarely used model only every few seconds.
DECAY_PER_S = 0.97
# Minimum fraction of a model's work that a rank and those above it must have to count.
# A caller that sends a few requests for a model on an urgent route thus does not change
# the order in which models get servers.
MIN_SHARE = 0.1


class ModelRanks:
    """The work of recent requests at this node, by model and rank of their route."""

    def __init__(self):
        self._work = defaultdict(lambda: defaultdict(float))

    def record(self, model, priority, group_seconds):
        """Count the work of a request; ``priority`` of its route may be ``None``."""
        rank = DEFAULT_RANK if priority is None else priority
        self._work[model][rank] += group_seconds

    def decay(self, span_s):
        """Reduce the weight of all work so far for the time ``span_s``, in seconds."""
        factor = DECAY_PER_S**span_s
        for by_rank in self._work.values():
            for rank in by_rank:
                by_rank[rank] *= factor

    def lowest(self):
        """Return the lowest rank of each model that has had requests; 0 is first."""
        return {model: self._lowest(by_rank) for model, by_rank in self._work.items()}

    def _lowest(self, by_rank):
        total, share = sum(by_rank.values()), 0.0
        for rank in sorted(by_rank):
            share += by_rank[rank]
            if share >= MIN_SHARE * total:
                return rank
        return max(by_rank)
