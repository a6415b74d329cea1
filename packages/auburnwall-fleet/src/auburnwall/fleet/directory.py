"""Which groups may take requests, by folded state and fresh evidence."""

from typing import NamedTuple

from auburnwall.base.rendezvous import ranked
from auburnwall.state.configuration.selection import holds_at
from auburnwall.state.fold.groups import data_center_in

# A judgement holds for a moment; for longer where judging takes long, so that it
# never takes more than one part in JUDGED_PER_COST of a core.
JUDGED_S = 0.02
MAX_JUDGED_S = 0.25
JUDGED_PER_COST = 100


class GroupView(NamedTuple):
    """A group that may take requests now; ``bears`` is what it bears at once."""

    name: str
    generation: int
    selector: str
    model: str
    data_center: str
    address: str
    bears: int
    running: int
    boot_id: str


class _Judged(NamedTuple):
    """Views of a model's groups as they were judged at one moment and offset."""

    offset: int
    holds_until: float
    views: list


class Directory:
    """Judge which groups may take requests."""

    def __init__(self, node, follower, evidence, roster, clock, most_groups):
        self._node = node
        self._follower = follower
        self._evidence = evidence
        self._roster = roster
        self._clock = clock
        self._most_groups = most_groups
        self._judged = {}

    def is_ready(self, name):
        """Return whether every member is ready at the group's generation."""
        group = self._follower.state.groups.get(name)
        return group is not None and self._reports(group) is not None

    def view(self, name):
        """Return the group's view if it may take requests, else ``None``."""
        group = self._follower.state.groups.get(name)
        return self._view(group) if group else None

    def eligible(self, model, team):
        """Return the groups that may take a request of ``team`` for ``model``.

        Groups of a selector that names a team are for that team alone.
        """
        config = self._follower.state.config
        now = self._clock.time()
        selectors = {
            name
            for name, selector in config.get("selectors", {}).items()
            if selector["model"] == model
            and selector.get("team", team) == team
            and holds_at(selector, now)
        }
        return [view for view in self._views(model) if view.selector in selectors]

    def _views(self, model):
        """Return the views of all groups of a model, judged a moment ago at most."""
        state, now = self._follower.state, self._clock.monotonic()
        judged = self._judged.get(model)
        if judged and judged.offset == state.offset and now < judged.holds_until:
            return judged.views
        groups = self._subset([g for g in state.groups.values() if g.model == model])
        views = [view for group in groups if (view := self._view(group)) is not None]
        took_s = self._clock.monotonic() - now
        hold_s = min(max(JUDGED_S, took_s * JUDGED_PER_COST), MAX_JUDGED_S)
        self._judged[model] = _Judged(state.offset, now + hold_s, views)
        return views

    def _subset(self, groups):
        """Return this node's share of many groups, so that its work stays bounded.

        Rendezvous hashing gives each node groups of its own and each group about as
        many nodes as any other.
        """
        if len(groups) <= self._most_groups:
            return groups
        by_name = {group.name: group for group in groups}
        chosen = ranked(f"subset/{self._node}", by_name)[: self._most_groups]
        return [by_name[name] for name in chosen]

    def obstacle(self, group):
        """Return why the group may take no requests, or an empty string."""
        waiting = [
            vm
            for vm in group.vms
            if self._evidence.ready_at(vm, group.generation) is None
        ]
        standing = self._standing_obstacle(group)
        if standing or not waiting:
            return standing
        return "not ready: " + ", ".join(waiting)

    def _standing_obstacle(self, group):
        """Return what configuration, log or list say against the group."""
        if group.draining:
            return "draining"
        if not data_center_in(self._follower.state, group.data_center):
            return "data centre out"
        leaving = [vm for vm in group.vms if self._roster.is_leaving(vm)]
        return "leaving: " + ", ".join(leaving) if leaving else ""

    def _reports(self, group):
        reports = [self._evidence.ready_at(vm, group.generation) for vm in group.vms]
        return None if None in reports else reports

    def _view(self, group):
        """Return the view of a group that may take requests, else ``None``."""
        if self._standing_obstacle(group):
            return None
        reports = self._reports(group)
        if reports is None:
            return None
        return GroupView(
            group.name,
            group.generation,
            group.selector,
            group.model,
            group.data_center,
            group.members[0]["address"],
            min(report.bears for report in reports),
            reports[0].running,
            "/".join(report.boot_id for report in reports),
        )
