"""Decide which groups may take requests, from the folded state and fresh evidence."""

from typing import NamedTuple

from auburnwall.base.rendezvous import ranked
from auburnwall.state.configuration.selection import is_active_at
from auburnwall.state.fold.groups import is_in_service

# The views of a model's groups are cached for CACHE_PER_COST times as long as building
# them takes, but for at least MIN_CACHE_S and at most MAX_CACHE_S. Below that maximum,
# building them takes at most 1% of a core.
MIN_CACHE_S = 0.02
MAX_CACHE_S = 0.25
CACHE_PER_COST = 100


class GroupView(NamedTuple):
    """A group that may take requests now.

    ``address`` is that of its first member. ``max_concurrent`` is how many concurrent
    requests it can take, ``running`` how many it runs. ``boot_id`` holds those of all
    members, separated by slashes.
    """

    name: str
    generation: int
    selector: str
    model: str
    data_center: str
    address: str
    max_concurrent: int
    running: int
    boot_id: str


class _CachedViews(NamedTuple):
    """Views of a model's groups, built at an offset of the log.

    ``valid_until`` is on the monotonic clock.
    """

    offset: int
    valid_until: float
    views: list


class Directory:
    """Decide which groups may take requests.

    ``most_groups`` limits how many groups of a model this node sends requests to.
    """

    def __init__(self, node, follower, evidence, roster, clock, most_groups):
        self._node = node
        self._follower = follower
        self._evidence = evidence
        self._roster = roster
        self._clock = clock
        self._most_groups = most_groups
        self._cached_views = {}

    def is_ready(self, name):
        """Return whether all members of the group are ready at its generation."""
        group = self._follower.state.groups.get(name)
        return group is not None and self._reports(group) is not None

    def group_view(self, name):
        """Return the group's view if it may take requests, else ``None``."""
        group = self._follower.state.groups.get(name)
        return self._view(group) if group else None

    def eligible(self, model, team):
        """Return views of the groups that may take a request of ``team`` for ``model``.

        Groups of a selector that names a team serve only that team.
        """
        config = self._follower.state.config
        now = self._clock.time()
        selectors = {
            name
            for name, selector in config.get("selectors", {}).items()
            if selector["model"] == model
            and selector.get("team", team) == team
            and is_active_at(selector, now)
        }
        return [view for view in self._views(model) if view.selector in selectors]

    def _views(self, model):
        """Return the views of a model's groups, from the cache if it is still valid."""
        state, now = self._follower.state, self._clock.monotonic()
        cached = self._cached_views.get(model)
        if cached and cached.offset == state.offset and now < cached.valid_until:
            return cached.views
        groups = self._limit_groups(
            [g for g in state.groups.values() if g.model == model]
        )
        views = [view for group in groups if (view := self._view(group)) is not None]
        took_s = self._clock.monotonic() - now
        cache_s = min(max(MIN_CACHE_S, took_s * CACHE_PER_COST), MAX_CACHE_S)
        self._cached_views[model] = _CachedViews(state.offset, now + cache_s, views)
        return views

    def _limit_groups(self, groups):
        """Return at most ``most_groups`` groups, so that this node's work is bounded.

        Rendezvous hashing gives each node a different subset and each group about the
        same number of nodes.
        """
        if len(groups) <= self._most_groups:
            return groups
        by_name = {group.name: group for group in groups}
        chosen = ranked(f"subset/{self._node}", by_name)[: self._most_groups]
        return [by_name[name] for name in chosen]

    def obstacle(self, group):
        """Return why the group may take no requests, or an empty string."""
        not_ready = [
            vm
            for vm in group.vms
            if self._evidence.report_if_ready(vm, group.generation) is None
        ]
        administrative_obstacle = self._administrative_obstacle(group)
        if administrative_obstacle or not not_ready:
            return administrative_obstacle
        return "not ready: " + ", ".join(not_ready)

    def _administrative_obstacle(self, group):
        """Return why the configuration, the log or the VM list excludes the group.

        Returns an empty string if none of them does.
        """
        if group.draining:
            return "draining"
        if not is_in_service(self._follower.state, group.data_center):
            return "data centre out"
        leaving = [vm for vm in group.vms if self._roster.is_leaving(vm)]
        return "leaving: " + ", ".join(leaving) if leaving else ""

    def _reports(self, group):
        """Return the reports of all members, ``None`` if any of them is not ready."""
        reports = [
            self._evidence.report_if_ready(vm, group.generation) for vm in group.vms
        ]
        return None if None in reports else reports

    def _view(self, group):
        """Return the view of a group that may take requests, else ``None``."""
        if self._administrative_obstacle(group):
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
