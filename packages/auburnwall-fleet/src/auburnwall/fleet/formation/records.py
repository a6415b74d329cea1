"""Records of the fleet's table: the planner, the nodes and the groups.

Races between planners are decided by the order of writes to the table. Each write of a
planner names the end of the table that it is based on, and fails if anything was
written since. Two planners can thus not assign the same server. A group's epoch is the
offset of the record that created it. Epochs therefore only increase, and a server
refuses an order with an older epoch than it has seen.
"""

import json
from typing import NamedTuple

from auburnwall.base.logs import event
from auburnwall.state.exceptions import StateError

PLANNER_KEY = "planner"
NODE_PREFIX = "node/"
GROUP_PREFIX = "group/"

SERVING, ENDING = "serving", "ending"


class NotPlannerError(StateError):
    """Another node has become the planner."""


class PlannerRecord(NamedTuple):
    """The node that plans; ``term`` increases whenever a node becomes the planner."""

    node: str
    incarnation: str
    term: int


class NodeRecord(NamedTuple):
    """A node, with its addresses for callers (``front``) and other nodes (``peer``)."""

    node: str
    incarnation: str
    front: str
    peer: str
    data_center: str


class Member(NamedTuple):
    """A server in one of its incarnations, which ``born`` identifies."""

    server: str
    born: int
    address: str


class GroupRecord(NamedTuple):
    """A group; the head is the first of its members.

    ``phase`` changes from serving to ending and never back, so a group is opened at
    most once at an epoch. ``ending_epoch`` is the offset of the record that ended the
    group. ``at_once`` is whether running requests are stopped instead of completed.
    """

    name: str
    epoch: int
    service: str
    model: str
    members: tuple
    phase: str = SERVING
    at_once: bool = False
    ending_epoch: int = -1

    @property
    def head(self):
        """Return the member that takes requests."""
        return self.members[0]


class FleetState:
    """The state of the fleet, from the records of the table's replica."""

    def __init__(self, replica):
        self.replica = replica
        self.planner = None
        self.nodes = {}
        self.groups = {}
        self.change_count = 0
        replica.listeners.append(self._apply)

    def group_of_server(self):
        """Return the group's name for each server that is in one."""
        return {
            member.server: group.name
            for group in self.groups.values()
            for member in group.members
        }

    def _apply(self, record):
        self.change_count += 1
        try:
            value = None if record.value is None else json.loads(record.value)
            self._store(record.key, value)
        except (ValueError, TypeError) as exc:
            event("bad fleet record", key=record.key, why=repr(exc))

    def _store(self, key, value):
        if key == PLANNER_KEY:
            self.planner = PlannerRecord(*value) if value else None
        elif key.startswith(NODE_PREFIX):
            _set_or_remove(self.nodes, key, value and NodeRecord(*value))
        elif key.startswith(GROUP_PREFIX):
            _set_or_remove(self.groups, key, value and _group_from(value))


def encode(record):
    """Return a record's value in the table."""
    return json.dumps(record, separators=(",", ":")).encode()


def _group_from(value):
    group = GroupRecord(*value)
    members = tuple(Member(*member) for member in group.members)
    if not members:
        raise ValueError("group record has no members")
    return group._replace(members=members)


def _set_or_remove(table, key, record):
    name = key.partition("/")[2]
    if record is None:
        table.pop(name, None)
    else:
        table[name] = record


class FleetWriter:
    """Writes one node's changes to the fleet's table."""

    def __init__(self, state, client, clock, identity):
        self._state = state
        self._client = client
        self._clock = clock
        self._identity = identity

    def announce(self, node):
        """Write this node's own record."""
        self._append([(NODE_PREFIX + node.node, encode(node))], at=None)

    def withdraw(self):
        """Remove this node's own record, and its planner record if it has one."""
        is_planner = self.is_planner()
        entries = [(NODE_PREFIX + self._identity.node, None)]
        if is_planner:
            entries.append((PLANNER_KEY, None))
            self._append(entries, at=self._state.replica.end)
        else:
            self._append(entries, at=None)

    def is_planner(self):
        """Return whether this node is the planner, according to its replica."""
        planner = self._state.planner
        return planner is not None and planner.incarnation == self._identity.incarnation

    def become_planner(self):
        """Become the planner.

        Raises ``TableChangedError`` if anything was written since the last read.
        """
        planner = self._state.planner
        record = PlannerRecord(
            self._identity.node,
            self._identity.incarnation,
            planner.term + 1 if planner else 1,
        )
        self._append([(PLANNER_KEY, encode(record))], at=self._state.replica.end)

    def drop_nodes(self, names):
        """Remove the records of nodes that are gone.

        A node that is alive after all announces itself again.
        """
        entries = [(NODE_PREFIX + name, None) for name in names]
        self._append(entries, at=self._state.replica.end)

    def write_groups(self, ended, finished, formations):
        """Write the planner's decisions in one atomic append.

        ``ended`` are pairs of a group and whether it ends immediately, ``finished`` are
        groups whose servers are free, ``formations`` are tuples of service, model and
        members. Raises ``NotPlannerError`` or ``TableChangedError``, in both cases
        without a write.
        """
        if not self.is_planner():
            raise NotPlannerError("another node is the planner", step="write groups")
        at = self._state.replica.end
        entries = [(GROUP_PREFIX + group.name, None) for group in finished]
        for group, at_once in ended:
            ending = group._replace(
                phase=ENDING, at_once=at_once, ending_epoch=at + len(entries)
            )
            entries.append((GROUP_PREFIX + group.name, encode(ending)))
        for service, model, members in formations:
            epoch = at + len(entries)
            record = GroupRecord(f"g{epoch}", epoch, service, model, members)
            entries.append((GROUP_PREFIX + record.name, encode(record)))
        if entries:
            self._append(entries, at=at)

    def _append(self, entries, at):
        """Append entries, if ``at`` is ``None`` or still the end of the table."""
        asked_at = self._clock.monotonic()
        replica = self._state.replica
        offset = self._client.append(replica.table, entries, at=at)
        if at is not None:
            replica.apply_written(offset, entries, asked_at)
