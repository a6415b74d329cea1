"""Groups that stand although the fleet's table has no record of them.

The store may come back without its newest records, and the nodes that knew these may
be gone as well. What the servers report is the truth then: a whole group is adopted as
it is, and the servers of a group whose head may serve callers are left alone.
"""

from collections import defaultdict
from typing import NamedTuple

from ..registrations import CLOSING, OPEN
from .records import GroupRecord, Member


class ReportedGroup(NamedTuple):
    """A group as its registered servers report it; ``entries`` are theirs, by rank."""

    name: str
    epoch: int
    entries: dict

    @property
    def may_serve(self):
        """Return whether the head reports that it takes requests or finishes some."""
        head = self.entries.get(0)
        return head is not None and head.group_membership.state in (OPEN, CLOSING)


def unrecorded_groups(registrations, known_groups):
    """Return the ``ReportedGroup`` objects whose names are not in ``known_groups``."""
    groups = defaultdict(dict)
    for entry in registrations:
        membership = entry.group_membership
        if membership is not None and membership.group not in known_groups:
            key = membership.group, membership.epoch
            groups[key][membership.rank] = entry
    return [ReportedGroup(*key, entries) for key, entries in groups.items()]


def adopted_record(group, engines):
    """Return the ``GroupRecord`` of a whole, open group, otherwise ``None``.

    ``engines`` maps services to their ``EngineSpec``. A group is whole if each rank is
    taken and its members are as many as its model has.
    """
    head = group.entries.get(0)
    if head is None or head.group_membership.state != OPEN:
        return None
    engine = engines.get(head.service)
    model = engine.models.get(head.model) if engine else None
    if model is None or set(group.entries) != set(range(model.members)):
        return None
    members = tuple(
        Member(entry.server, entry.born, entry.address)
        for _, entry in sorted(group.entries.items())
    )
    return GroupRecord(group.name, group.epoch, head.service, head.model, members)
