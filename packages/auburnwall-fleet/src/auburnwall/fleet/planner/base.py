"""Planner: from what is to what selectors ask for.

Aims in their order: keep serving groups whole; fill selectors by priority; least
time until service; fewest stranded accelerators. Subclasses decide where a group is
placed and with which VM it is mended.
"""

from abc import ABC, abstractmethod
from itertools import groupby
from typing import NamedTuple

from auburnwall.state.configuration.selection import holds_at, matches
from auburnwall.state.fold.groups import data_center_in, groups_that_count


class VmView(NamedTuple):
    """A VM as the planner sees it; ``alive`` by fresh evidence, ``dead`` likewise."""

    name: str
    address: str
    data_center: str
    fabric_domain: str
    labels: dict
    alive: bool
    dead: bool
    leaving: bool
    group: str
    version: str = ""
    running: int = 0


class FleetView(NamedTuple):
    """Everything that a plan rests upon; ``now`` is seconds since the epoch."""

    now: float
    state: object
    vms: dict
    ready: frozenset


class FormGroup(NamedTuple):
    """Form a group of ``vms`` for ``selector``."""

    selector: str
    data_center: str
    vms: tuple
    cause: str


class RepairGroup(NamedTuple):
    """Give ``group`` the members ``vms``."""

    group: str
    data_center: str
    vms: tuple
    cause: str


class DrainGroup(NamedTuple):
    """Let ``group`` take no new work."""

    group: str
    data_center: str
    cause: str


class DropGroup(NamedTuple):
    """End ``group`` and free its VMs."""

    group: str
    data_center: str
    cause: str


class Planner(ABC):
    """Plan the whole fleet; each steward carries out the part of its data centre."""

    def __init__(self, *, pre_shift_s=0.0):
        self._pre_shift_s = pre_shift_s

    @abstractmethod
    def place(self, selector, size, free, filling):
        """Return ``size`` of the ``free`` VMs for a new group, or ``None``.

        ``filling`` are the groups that fill the selector already.
        """

    @abstractmethod
    def repair(self, group, whole, missing, free):
        """Return VMs from ``free`` that replace ``missing`` ones, or ``None``.

        ``whole`` are the views of the members that are still there.
        """

    def plan(self, view):
        """Return the actions, in the order in which they matter."""
        free = self._free(view)
        actions = [
            action
            for name in sorted(view.state.groups)
            if (action := self._tend(view, view.state.groups[name], free))
        ]
        touched = {action.group for action in actions}
        for name, selector in by_priority(view.state.config):
            filling = [
                group
                for group in groups_that_count(view.state, name)
                if group.name not in touched
                or any(
                    a.group == group.name and isinstance(a, RepairGroup)
                    for a in actions
                )
            ]
            target = self.target(selector, view.now)
            actions.extend(self._surplus(view, filling, target))
            actions.extend(self._missing(view, name, selector, filling, target, free))
        return actions

    def target(self, selector, now):
        """Return how many groups a selector wants now or shortly."""
        wanted = holds_at(selector, now) or holds_at(selector, now + self._pre_shift_s)
        return selector["count"] if wanted else 0

    def _tend(self, view, group, free):
        members = [view.vms.get(vm) for vm in group.vms]
        gone = [
            vm
            for vm, member in zip(group.vms, members, strict=True)
            if member is None or member.dead
        ]
        if gone:
            return self._repair_or_drop(view, group, gone, free)
        leader = members[0]
        if group.draining:
            if leader.alive and leader.running == 0:
                return DropGroup(group.name, group.data_center, "drained")
            return None
        if cause := self._drain_cause(view, group, members):
            return DrainGroup(group.name, group.data_center, cause)
        return None

    def _repair_or_drop(self, view, group, gone, free):
        selector = view.state.config.get("selectors", {}).get(group.selector)
        cause = "lost " + ", ".join(gone)
        whole = [view.vms[vm] for vm in group.vms if vm not in gone]
        may_repair = (
            selector is not None
            and not group.draining
            and data_center_in(view.state, group.data_center)
            and not any(member.leaving for member in whole)
        )
        usable = [
            vm
            for vm in free.values()
            if may_repair and matches(selector.get("where", {}), vm.labels)
        ]
        found = self.repair(group, whole, gone, usable) if may_repair else None
        if not found:
            return DropGroup(group.name, group.data_center, cause)
        for vm in found:
            del free[vm.name]
        replacements = iter(found)
        vms = tuple(
            vm if vm not in gone else next(replacements).name for vm in group.vms
        )
        return RepairGroup(group.name, group.data_center, vms, cause)

    def _drain_cause(self, view, group, members):
        selector = view.state.config.get("selectors", {}).get(group.selector)
        if selector is None or selector["model"] != group.model:
            return "no selector asks for it"
        if not data_center_in(view.state, group.data_center):
            return "its data centre is out"
        if leaving := [member.name for member in members if member.leaving]:
            return "leaving: " + ", ".join(leaving)
        if not all(matches(selector.get("where", {}), m.labels) for m in members):
            return "its labels no longer match"
        version = view.state.config["models"][group.model]["version"]
        others = [
            other
            for other in groups_that_count(view.state, group.selector)
            if other.name != group.name
        ]
        if group.version != version and all(
            other.name in view.ready for other in others
        ):
            outdated = sorted(o.name for o in others if o.version != version)
            if not outdated or group.name < outdated[0]:
                return f"version {version} replaces {group.version}"
        return None

    def _surplus(self, view, filling, target):
        ranking = sorted(
            filling, key=lambda g: (g.name not in view.ready, g.generation)
        )
        first_ready_last = ranking[target:] if len(ranking) > target else []
        cause = "its hours have ended" if target == 0 else "more than the selector asks"
        return [DrainGroup(g.name, g.data_center, cause) for g in first_ready_last]

    def _missing(self, view, name, selector, filling, target, free):
        size = view.state.config["groups"][selector["group"]]["members"]
        filling = list(filling)
        for _ in range(target - len(filling)):
            usable = [
                vm
                for vm in free.values()
                if matches(selector.get("where", {}), vm.labels)
            ]
            found = self.place(selector, size, usable, filling)
            if not found:
                return
            for vm in found:
                del free[vm.name]
            data_center = found[0].data_center
            names = tuple(vm.name for vm in found)
            yield FormGroup(
                name, data_center, names, f"{len(filling)} of {target} groups"
            )
            filling.append(found[0])

    def _free(self, view):
        """Return the VMs that a group may take; plain services' are not among them."""
        services = view.state.config.get("services", {}).values()
        return {
            name: vm
            for name, vm in sorted(view.vms.items())
            if vm.alive
            and not vm.group
            and not vm.leaving
            and data_center_in(view.state, vm.data_center)
            and not any(matches(service["where"], vm.labels) for service in services)
        }


def by_priority(config):
    """Return names and selectors, the highest priority first."""
    return sorted(
        config.get("selectors", {}).items(),
        key=lambda item: (-item[1].get("priority", 0), item[0]),
    )


def by_domain(vms):
    """Return lists of VMs that share data centre and fabric domain, by their names."""

    def domain(vm):
        return vm.data_center, vm.fabric_domain

    ordered = sorted(vms, key=lambda vm: (domain(vm), vm.name))
    return {key: list(members) for key, members in groupby(ordered, key=domain)}
