"""Decide which model gets the next servers.

Load pattern: pairs of servers are lost every few seconds, and the demand for one model
can rise to 2.5 times its level within a second. Urgent and less urgent models share the
servers of a domain. A loss costs the model with the largest groups a whole group, which
needs many servers of one domain and is thus the slowest to replace.
"""

from abc import ABC, abstractmethod

# Lower bound of a model's demand, in groups. A model without recent requests thus keeps
# capacity for the next one.
MIN_DEMAND_GROUPS = 0.3
# A model with at least this ratio of groups to demand gets no more groups. From the
# servers that stay free, a new group can form without delay when one has lost a member.
SUFFICIENT_COVERAGE = 2.5
# A model below this coverage has too few groups and gets servers of other models.
LOW_COVERAGE = 1.25
# A model keeps at least this coverage when it gives servers to another one. It is above
# ``LOW_COVERAGE`` so that the model does not need them back at once.
DONOR_COVERAGE = 1.6
# A model keeps at least this coverage when its servers become a reserve for others.
SURPLUS_COVERAGE = 3.2


def count_groups(model, group_counts):
    """Return the number of groups of ``model`` in all data centres."""
    return sum(count for (name, _), count in group_counts.items() if name == model)


def coverage(model, group_counts, demand):
    """Return the ratio of groups of ``model`` that serve or form to its demand."""
    groups = count_groups(model, group_counts)
    return groups / max(demand.get(model, 0.0), MIN_DEMAND_GROUPS)


class ModelOrder(ABC):
    """The order in which models get servers.

    ``models`` maps names to the service's ``ModelSpec``, ``demand`` to the work in
    groups. ``group_counts`` of the methods maps pairs of model and data centre to the
    number of groups that serve or form.
    """

    def __init__(self, models, demand):
        self.models = models
        self.demand = demand

    def coverage(self, name, group_counts):
        """Return the ratio of a model's groups to its demand."""
        return coverage(name, group_counts, self.demand)

    def sorted_names(self, group_counts):
        """Return the names of the models, the first to get servers first."""
        return sorted(self.models, key=lambda name: self._priority(name, group_counts))

    @abstractmethod
    def _priority(self, name, group_counts):
        """Return the sort key of a model, lowest for the first to get servers."""

    @abstractmethod
    def is_sufficient(self, name, group_counts):
        """Return whether a model gets no more groups, nor any after it."""

    @abstractmethod
    def names_to_shift_to(self, group_counts):
        """Return the models that get servers of other models, the first one first."""

    def donor_coverage(self, donor, name, group_counts):
        """Return the coverage that ``donor`` keeps when ``name`` gets its servers."""
        return DONOR_COVERAGE

    @abstractmethod
    def scarcest(self, group_counts):
        """Return the model whose next group hosts stage first, empty for none."""


class CoverageOrder(ModelOrder):
    """Models by the ratio of their groups to their demand."""

    def _priority(self, name, group_counts):
        return self.coverage(name, group_counts), -self.models[name].members

    def is_sufficient(self, name, group_counts):
        """Return whether the model with the lowest coverage has spare groups."""
        return self.coverage(name, group_counts) >= SUFFICIENT_COVERAGE

    def names_to_shift_to(self, group_counts):
        """Return the model with the lowest coverage if it is low."""
        lowest = min(
            self.models, key=lambda name: self.coverage(name, group_counts), default=""
        )
        is_low = lowest and self.coverage(lowest, group_counts) < LOW_COVERAGE
        return [lowest] if is_low else []

    def scarcest(self, group_counts):
        """Return an empty name: hosts stage by the size of the groups."""
        return ""


class UrgencyOrder(ModelOrder):
    """Models with too few groups by urgency, the others by their coverage.

    ``ranks`` maps models to the lowest rank of the routes that use them, 0 being the
    most urgent. Once no model has too few groups, the one with the most members gets a
    spare group, one more than its demand needs.
    """

    def __init__(self, models, demand, ranks):
        super().__init__(models, demand)
        self._ranks = ranks
        by_members = sorted(models, key=lambda name: -models[name].members)
        # Without a model of smaller groups, no loss affects one more than the others.
        has_largest = (
            len(by_members) > 1
            and models[by_members[0]].members > models[by_members[1]].members
        )
        self._largest = by_members[0] if has_largest else ""

    def _priority(self, name, group_counts):
        covered, members = self.coverage(name, group_counts), self.models[name].members
        if self._is_short(name, group_counts):
            return 0, self._ranks.get(name, 0), covered, -members
        without_spare = self._lacks_spare(name, group_counts)
        return 1 if without_spare else 2, 0, covered, -members

    def is_sufficient(self, name, group_counts):
        """Return whether a model has its spare group and more than it needs."""
        return self.coverage(
            name, group_counts
        ) >= SUFFICIENT_COVERAGE and not self._lacks_spare(name, group_counts)

    def names_to_shift_to(self, group_counts):
        """Return the models with too few groups, then one without its spare group."""
        return [
            name
            for name in self.sorted_names(group_counts)
            if self._is_short(name, group_counts)
            or self._lacks_spare(name, group_counts)
        ]

    def donor_coverage(self, donor, name, group_counts):
        """Return the coverage that ``donor`` keeps when ``name`` gets its servers.

        For a more urgent model that is short, it gives all that it does not need. It
        gets them back only once that model has more than enough, so they do not move to
        and fro. For the spare group of a less urgent one it gives only a large surplus.
        """
        own, other = self._ranks.get(donor, 0), self._ranks.get(name, 0)
        if self._is_short(name, group_counts):
            return LOW_COVERAGE if other < own else DONOR_COVERAGE
        return SURPLUS_COVERAGE if own < other else DONOR_COVERAGE

    def scarcest(self, group_counts):
        """Return the first model with too few groups or without its spare group."""
        return next(iter(self.names_to_shift_to(group_counts)), "")

    def _needed(self, name):
        return LOW_COVERAGE * max(self.demand.get(name, 0.0), MIN_DEMAND_GROUPS)

    def _is_short(self, name, group_counts):
        return count_groups(name, group_counts) < self._needed(name)

    def _lacks_spare(self, name, group_counts):
        if name != self._largest:
            return False
        return count_groups(name, group_counts) - 1 < self._needed(name)
