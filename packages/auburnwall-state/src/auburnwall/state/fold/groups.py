"""Fold of serving groups.

A group changes only under the current fencing token of its data centre's controller,
only if its generation is still the one that the change names, and only with VMs that
are in no other group. So no VM is ever in two groups, even if two nodes both believe
that they hold the controller's lease.
"""

from ..records import Verdict
from .leases import is_current
from .model import Group


def controller_lease_name(data_center):
    """Return the name of the lease that permits changes to a data centre's groups."""
    # Records and messages call the controller the steward.
    return f"steward/{data_center}"


def fold_form(state, offset, body):
    """Form a group if its selector still needs one and its VMs are free."""
    selector_spec = state.config.get("selectors", {}).get(body["selector"])
    data_center = body["data_center"]
    # No group has an empty name, so this requires that no VM is in a group yet.
    rejection = (
        _fence_rejection(state, data_center, body["fence"])
        or _selector_rejection(state, body["selector"], selector_spec, data_center)
        or _member_rejection(state, selector_spec, body["members"], "")
    )
    if rejection:
        return Verdict(False, offset, *rejection)
    if body["group"] in state.groups:
        existing_generation = state.groups[body["group"]].generation
        return Verdict(
            False, offset, "a group of that name exists", existing_generation
        )
    model = selector_spec["model"]
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
    """Replace the group's members, under a new generation.

    The group also moves to the current version of its model.
    """
    group, rejection = _group_and_rejection(state, body)
    if not rejection and group.draining:
        rejection = ("the group is draining", group.generation)
    if not rejection:
        selector_spec = state.config.get("selectors", {}).get(group.selector)
        rejection = _member_rejection(state, selector_spec, body["members"], group.name)
    if rejection:
        return Verdict(False, offset, *rejection)
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
    """Mark the group as draining, so that it takes no new work; keep its generation."""
    group, rejection = _group_and_rejection(state, body)
    if rejection:
        return Verdict(False, offset, *rejection)
    state.put_group(group._replace(draining=True))
    return Verdict(True, offset)


def fold_drop(state, offset, body):
    """Remove the group and free its VMs."""
    group, rejection = _group_and_rejection(state, body)
    if rejection:
        return Verdict(False, offset, *rejection)
    state.remove_group(group.name)
    return Verdict(True, offset)


def counted_groups(state, selector_name):
    """Return the groups that count towards a selector's number of groups.

    These are the groups that are not draining and whose data centre is in service.
    """
    return [
        group
        for group in state.groups.values()
        if group.selector == selector_name
        and not group.draining
        and is_in_service(state, group.data_center)
    ]


def is_in_service(state, data_center):
    """Return whether the configuration has the data centre in service."""
    entry = state.config.get("data_centers", {}).get(data_center)
    return entry is not None and entry["state"] == "in"


def _fence_rejection(state, data_center, fence):
    """Return ``(reason, winner)`` unless the fencing token is current.

    ``winner`` is as in ``Verdict``. Returns ``None`` if the token is current. The other
    ``..._rejection`` functions return such a pair or ``None`` as well.
    """
    name = controller_lease_name(data_center)
    if is_current(state, name, fence):
        return None
    current = state.leases.get(name)
    return "the steward's fence is not current", current.fence if current else -1


def _selector_rejection(state, selector_name, selector_spec, data_center):
    if selector_spec is None:
        return "no such selector", state.config_offset
    if not is_in_service(state, data_center):
        return "the data centre is out", state.config_offset
    counted = counted_groups(state, selector_name)
    if len(counted) >= selector_spec["count"]:
        newest_generation = max((group.generation for group in counted), default=-1)
        return "the selector is filled", newest_generation
    return None


def _member_rejection(state, selector_spec, members, own_group):
    if selector_spec is None:
        return "no such selector", state.config_offset
    vms = [member["vm"] for member in members]
    # In the configuration, "groups" are kinds of group and "members" is their size.
    size = state.config["groups"][selector_spec["group"]]["members"]
    if len(vms) != size or len(set(vms)) != size:
        return f"a group needs {size} different VMs", state.config_offset
    # Each VM must be free or already in the group that is repaired. For a free VM the
    # default below is the name of that group, so it passes the check.
    for vm in vms:
        current = state.group_of_vm.get(vm, own_group)
        if current != own_group:
            return f"VM {vm} is in group {current}", state.groups[current].generation
    return None


def _group_and_rejection(state, body):
    """Return the group of a change, and ``None`` or why the change is rejected.

    It is rejected unless it names the group's generation and has the current fencing
    token. The group is ``None`` if it does not exist at that generation.
    """
    group = state.groups.get(body["group"])
    if group is None or group.generation != body["generation"]:
        winner = group.generation if group else -1
        return None, ("the group is not at that generation", winner)
    return group, _fence_rejection(state, group.data_center, body["fence"])
