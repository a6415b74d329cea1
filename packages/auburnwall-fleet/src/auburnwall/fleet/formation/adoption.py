"""Groups that stand although the fleet's table has no record of them.

The store may come back without its newest records, and the nodes that knew these may
be gone as well. What the servers report is the truth then: a whole group is adopted as
it is, and the servers of a group whose head may serve callers are left alone.
"""

from collections import defaultdict
from typing import NamedTuple

from ..registrations import CLOSING, OPEN
from .records import GroupRecord, Member

# A group without a record is adopted if it is reported for this time, in seconds:
# longer than it takes until a group that was dissolved is no longer reported open.
ADOPTION_DELAY_S = 2.0


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


class UnrecordedGroups:
    """The groups that servers report and that the fleet's table never had."""

    def __init__(self, state, registry, clock):
        self._state = state
        self._registry = registry
        self._clock = clock
        self._reported_since = {}

    def records_to_adopt(self, engines):
        """Return the ``GroupRecord`` of each group that is to be adopted now.

        ``engines`` maps services to their ``EngineSpec``. This method must be called
        regularly, as a group must have been reported for ``ADOPTION_DELAY_S``.
        """
        now, groups = self._clock.monotonic(), self._reported()
        self._reported_since = {
            group.name: self._reported_since.get(group.name, now)
            for group in groups
            if group.may_serve
        }
        return [
            record
            for group in groups
            if now - self._reported_since.get(group.name, now) >= ADOPTION_DELAY_S
            and (record := adopted_record(group, engines))
        ]

    def servers(self):
        """Return the servers of groups whose heads may serve callers."""
        return {
            entry.server
            for group in self._reported()
            if group.may_serve
            for entry in group.entries.values()
        }

    def _reported(self):
        groups = defaultdict(dict)
        for entry in self._registry.servers.values():
            membership = entry.group_membership
            known = self._state.known_groups
            if membership is not None and membership.group not in known:
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
