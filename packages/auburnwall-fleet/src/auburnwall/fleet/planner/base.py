"""Plan the actions that bring the fleet's groups to what the selectors ask for.

Goals, the most important first: keep serving groups complete; fill selectors by
priority; make groups ready soon; leave few VMs in domains with too few free VMs for a
group. Subclasses choose the VMs of a new group and the replacements for lost members.
"""

from abc import ABC, abstractmethod
from itertools import groupby
from typing import NamedTuple

from auburnwall.state.configuration.selection import is_active_at, matches
from auburnwall.state.fold.groups import counted_groups, is_in_service


class VmView(NamedTuple):
    """A VM as the planner sees it.

    ``alive`` and ``dead`` rest on fresh probe results. A VM without any is neither, nor
    is one whose probes have failed only for a short time or from too few nodes.
    ``group`` is the group that it is a member of, or an empty string. ``version`` is
    that of the weights that it holds, ``running`` its number of running requests.
    """

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
    """The input of a plan.

    ``now`` is Unix time in seconds, ``state`` the state folded from the log. ``vms``
    maps names to ``VmView``. ``ready_groups`` holds the names of the groups whose
    members are all ready.
    """

    now: float
    state: object
    vms: dict
    ready_groups: frozenset


class FormGroup(NamedTuple):
    """Form a group of ``vms`` (names, in order of rank) for ``selector``."""

    selector: str
    data_center: str
    vms: tuple
    cause: str


class RepairGroup(NamedTuple):
    """Make ``vms`` (names, in order of rank) all the members of ``group``."""

    group: str
    data_center: str
    vms: tuple
    cause: str


class DrainGroup(NamedTuple):
    """Stop sending new requests to ``group``."""

    group: str
    data_center: str
    cause: str


class DropGroup(NamedTuple):
    """Remove ``group`` and free its VMs."""

    group: str
    data_center: str
    cause: str


class Planner(ABC):
    """Plan the whole fleet.

    Each data centre controller carries out only the actions for its own data centre.
    ``pre_shift_s`` is how long before a selector's hours its groups are formed, in
    seconds.
    """

    def __init__(self, *, pre_shift_s=0.0):
        self._pre_shift_s = pre_shift_s

    @abstractmethod
    def place(self, selector, size, free, existing):
        """Return ``size`` VMs out of ``free`` for a new group, or ``None``.

        ``existing`` are the groups that count towards the selector already. Groups
        planned in the same run appear there as their first VM, so implementations may
        read only ``data_center``.
        """

    @abstractmethod
    def repair(self, group, remaining, lost, free):
        """Return VMs out of ``free`` that replace the ``lost`` members, or ``None``.

        Returns one VM for each of them. ``lost`` are names, ``remaining`` the views of
        the other members.
        """

    def plan(self, view):
        """Return the actions, the most important first."""
        free = self._free_vms(view)
        actions = [
            action
            for name in sorted(view.state.groups)
            if (action := self._reconcile(view, view.state.groups[name], free))
        ]
        changed_groups = {action.group for action in actions}
        for name, selector in by_priority(view.state.config):
            existing = [
                group
                for group in counted_groups(view.state, name)
                if group.name not in changed_groups
                or any(
                    a.group == group.name and isinstance(a, RepairGroup)
                    for a in actions
                )
            ]
            target = self.target(selector, view.now)
            actions.extend(self._drain_surplus(view, existing, target))
            actions.extend(
                self._form_missing(view, name, selector, existing, target, free)
            )
        return actions

    def target(self, selector, now):
        """Return how many groups a selector asks for now or ``pre_shift_s`` from now.

        ``now`` is Unix time in seconds.
        """
        wanted = is_active_at(selector, now) or is_active_at(
            selector, now + self._pre_shift_s
        )
        return selector["count"] if wanted else 0

    def _reconcile(self, view, group, free):
        members = [view.vms.get(vm) for vm in group.vms]
        lost = [
            vm
            for vm, member in zip(group.vms, members, strict=True)
            if member is None or member.dead
        ]
        if lost:
            return self._repair_or_drop(view, group, lost, free)
        head = members[0]
        if group.draining:
            if head.alive and head.running == 0:
                return DropGroup(group.name, group.data_center, "drained")
            return None
        if cause := self._drain_cause(view, group, members):
            return DrainGroup(group.name, group.data_center, cause)
        return None

    def _repair_or_drop(self, view, group, lost, free):
        """Return the action for a group with lost members.

        VMs that replace them are removed from ``free``.
        """
        selector = view.state.config.get("selectors", {}).get(group.selector)
        cause = "lost " + ", ".join(lost)
        remaining = [view.vms[vm] for vm in group.vms if vm not in lost]
        # A group with a member that leaves is not repaired: it would break again soon.
        may_repair = (
            selector is not None
            and not group.draining
            and is_in_service(view.state, group.data_center)
            and not any(member.leaving for member in remaining)
        )
        candidates = [
            vm
            for vm in free.values()
            if may_repair and matches(selector.get("where", {}), vm.labels)
        ]
        chosen = self.repair(group, remaining, lost, candidates) if may_repair else None
        if not chosen:
            return DropGroup(group.name, group.data_center, cause)
        for vm in chosen:
            del free[vm.name]
        replacements = iter(chosen)
        vms = tuple(
            vm if vm not in lost else next(replacements).name for vm in group.vms
        )
        return RepairGroup(group.name, group.data_center, vms, cause)

    def _drain_cause(self, view, group, members):
        selector = view.state.config.get("selectors", {}).get(group.selector)
        if selector is None or selector["model"] != group.model:
            return "no selector asks for it"
        if not is_in_service(view.state, group.data_center):
            return "its data centre is out"
        if leaving := [member.name for member in members if member.leaving]:
            return "leaving: " + ", ".join(leaving)
        if not all(matches(selector.get("where", {}), m.labels) for m in members):
            return "its labels no longer match"
        version = view.state.config["models"][group.model]["version"]
        others = [
            other
            for other in counted_groups(view.state, group.selector)
            if other.name != group.name
        ]
        if group.version != version and all(
            other.name in view.ready_groups for other in others
        ):
            # Outdated groups are replaced one at a time, in order of name.
            outdated = sorted(o.name for o in others if o.version != version)
            if not outdated or group.name < outdated[0]:
                return f"version {version} replaces {group.version}"
        return None

    def _drain_surplus(self, view, existing, target):
        ranked = sorted(
            existing, key=lambda g: (g.name not in view.ready_groups, g.generation)
        )
        surplus = ranked[target:] if len(ranked) > target else []
        cause = "its hours have ended" if target == 0 else "more than the selector asks"
        return [DrainGroup(g.name, g.data_center, cause) for g in surplus]

    def _form_missing(self, view, name, selector, existing, target, free):
        """Yield the groups to form and remove their VMs from ``free``."""
        size = view.state.config["groups"][selector["group"]]["members"]
        existing = list(existing)
        for _ in range(target - len(existing)):
            candidates = [
                vm
                for vm in free.values()
                if matches(selector.get("where", {}), vm.labels)
            ]
            chosen = self.place(selector, size, candidates, existing)
            if not chosen:
                return
            for vm in chosen:
                del free[vm.name]
            data_center = chosen[0].data_center
            names = tuple(vm.name for vm in chosen)
            yield FormGroup(
                name, data_center, names, f"{len(existing)} of {target} groups"
            )
            existing.append(chosen[0])

    def _free_vms(self, view):
        """Return the VMs that may join a group, by name.

        VMs of services without serving groups are left out.
        """
        services = view.state.config.get("services", {}).values()
        return {
            name: vm
            for name, vm in sorted(view.vms.items())
            if vm.alive
            and not vm.group
            and not vm.leaving
            and is_in_service(view.state, vm.data_center)
            and not any(matches(service["where"], vm.labels) for service in services)
        }


def by_priority(config):
    """Return pairs of name and selector, by descending priority, then by name."""
    return sorted(
        config.get("selectors", {}).items(),
        key=lambda item: (-item[1].get("priority", 0), item[0]),
    )


def by_data_center_and_domain(vms):
    """Return VMs in order of name, grouped by data centre and fabric domain.

    Keys are pairs of data centre and fabric domain, values are lists.
    """

    def domain(vm):
        return vm.data_center, vm.fabric_domain

    ordered = sorted(vms, key=lambda vm: (domain(vm), vm.name))
    return {key: list(members) for key, members in groupby(ordered, key=domain)}
