"""Fold of serving groups.

A group is changed only under the current fence of its data centre's steward, only
from the generation that the change names, and only with VMs that are in no other
group. So no VM is ever in two groups, even when two nodes both believe that they
are the steward.
"""

from ..records import Verdict
from .leases import is_current
from .model import Group


def controller_lease_name(data_center):
    """Return the name of the lease under which a data centre's groups change."""
    return f"steward/{data_center}"


def fold_form(state, offset, body):
    """Form a group if its selector still asks for one and its VMs are free."""
    selector = state.config.get("selectors", {}).get(body["selector"])
    data_center = body["data_center"]
    wrong = (
        _fence_problem(state, data_center, body["fence"])
        or _selector_problem(state, body["selector"], selector, data_center)
        or _member_problem(state, selector, body["members"], "")
    )
    if wrong:
        return Verdict(False, offset, *wrong)
    if body["group"] in state.groups:
        taken = state.groups[body["group"]].generation
        return Verdict(False, offset, "a group of that name exists", taken)
    model = selector["model"]
    state.put_group(
        Group(
            str(body["group"]),
            body["selector"],
            model,
            state.config["models"][model]["version"],
            data_center,
            tuple(body["members"]),
            offset,
            body["fence"],
        )
    )
    return Verdict(True, offset)


def fold_repair(state, offset, body):
    """Give the group new members under a new generation."""
    group, wrong = _group_at(state, body)
    if not wrong and group.draining:
        wrong = ("the group is draining", group.generation)
    if not wrong:
        selector = state.config.get("selectors", {}).get(group.selector)
        wrong = _member_problem(state, selector, body["members"], group.name)
    if wrong:
        return Verdict(False, offset, *wrong)
    model = state.config["models"].get(group.model)
    state.put_group(
        group._replace(
            members=tuple(body["members"]),
            generation=offset,
            fence=body["fence"],
            version=model["version"] if model else group.version,
        )
    )
    return Verdict(True, offset)


def fold_drain(state, offset, body):
    """Let the group take no new work; its generation stays."""
    group, wrong = _group_at(state, body)
    if wrong:
        return Verdict(False, offset, *wrong)
    state.put_group(group._replace(draining=True))
    return Verdict(True, offset)


def fold_drop(state, offset, body):
    """Remove the group and free its VMs."""
    group, wrong = _group_at(state, body)
    if wrong:
        return Verdict(False, offset, *wrong)
    state.remove_group(group.name)
    return Verdict(True, offset)


def groups_that_count(state, selector):
    """Return the groups that fill a selector: not draining, data centre in."""
    return [
        group
        for group in state.groups.values()
        if group.selector == selector
        and not group.draining
        and data_center_in(state, group.data_center)
    ]


def data_center_in(state, name):
    """Return whether operators have the data centre in service."""
    entry = state.config.get("data_centers", {}).get(name)
    return entry is not None and entry["state"] == "in"


def _fence_problem(state, data_center, fence):
    name = controller_lease_name(data_center)
    if is_current(state, name, fence):
        return None
    current = state.leases.get(name)
    return "the steward's fence is not current", current.fence if current else -1


def _selector_problem(state, name, selector, data_center):
    if selector is None:
        return "no such selector", state.config_offset
    if not data_center_in(state, data_center):
        return "the data centre is out", state.config_offset
    filling = groups_that_count(state, name)
    if len(filling) >= selector["count"]:
        newest = max((group.generation for group in filling), default=-1)
        return "the selector is filled", newest
    return None


def _member_problem(state, selector, members, own_group):
    if selector is None:
        return "no such selector", state.config_offset
    vms = [member["vm"] for member in members]
    size = state.config["groups"][selector["group"]]["members"]
    if len(vms) != size or len(set(vms)) != size:
        return f"a group needs {size} different VMs", state.config_offset
    for vm in vms:
        holder = state.group_of_vm.get(vm, own_group)
        if holder != own_group:
            return f"VM {vm} is in group {holder}", state.groups[holder].generation
    return None


def _group_at(state, body):
    group = state.groups.get(body["group"])
    if group is None or group.generation != body["generation"]:
        winner = group.generation if group else -1
        return None, ("the group is not at that generation", winner)
    return group, _fence_problem(state, group.data_center, body["fence"])
