"""Records of the fleet's table: planner, nodes, groups and blocked prompt parts.

Races between planners are decided by the order of writes to the table. Each write of a
planner names the end of the table that it is based on, and fails if anything was
written since. Two planners can thus not assign the same server. A group's epoch is made
of the table's era and the offset of the record that created it. Epochs therefore only
increase, also when the store has lost records and gives their offsets out again, and a
server refuses an order with an older epoch than it has seen. The lowest bits of an
epoch are a hash of the members: a write without a response may take effect in a later
era at an offset that another record had in its own.
"""

import json
from typing import NamedTuple

import xxhash

from auburnwall.base.logs import event
from auburnwall.state.exceptions import StateError

PLANNER_KEY = "planner"
NODE_PREFIX = "node/"
GROUP_PREFIX = "group/"
BLOCKED_PART_PREFIX = "blocked-part/"

SERVING, ENDING = "serving", "ending"
# Offsets of one era, and hashes of one offset, that an epoch can hold. The table
# gets some dozen records a second, and the store loses records in a few drills, so
# epochs stay exact as JSON numbers.
OFFSETS_PER_ERA, HASHES_PER_OFFSET = 2**27, 2**16
# Nodes of one data centre that are enough to be used without those of others.
MIN_NEAR_NODES = 2


class NotPlannerError(StateError):
    """Another node has become the planner."""


class PlannerRecord(NamedTuple):
    """The node that plans; ``term`` increases whenever a node becomes the planner."""

    node: str
    incarnation: str
    term: int


class NodeRecord(NamedTuple):
    """A node, with its addresses for callers (``front``) and other nodes (``peer``).

    ``cores`` is how much of a processor its VM has, in cores.
    """

    node: str
    incarnation: str
    front: str
    peer: str
    data_center: str
    cores: float = 1.0


def nodes_near(nodes, data_center):
    """Return the nodes of a data centre, or all if too few of them are there.

    The latency to the others is higher.
    """
    near = [node for node in nodes if node.data_center == data_center]
    return near if len(near) >= MIN_NEAR_NODES else nodes


class Member(NamedTuple):
    """A server in one of its incarnations, which ``born`` identifies."""

    server: str
    born: int
    address: str


class GroupRecord(NamedTuple):
    """A group; the head is the first of its members.

    ``phase`` changes from serving to ending and never back, so a group is opened at
    most once at an epoch. ``ending_epoch`` is the epoch of the record that ended the
    group. ``at_once`` is whether running requests are stopped instead of completed.
    ``written_era`` is the era of the table in which the planner decided to write the
    record.
    """

    name: str
    epoch: int
    service: str
    model: str
    members: tuple
    phase: str = SERVING
    at_once: bool = False
    ending_epoch: int = -1
    written_era: int = 0

    @property
    def head(self):
        """Return the member that takes requests."""
        return self.members[0]


class FleetState:
    """The state of the fleet, from the records of the table's replica.

    ``known_groups`` holds the names of all groups that the table has had since this
    node started, or since its copy was begun anew, without those that the store has
    lost for good. ``late_groups`` holds the keys of
    group records that were decided in an earlier era and written in this one. Nothing
    follows from these: their servers may have got another group in the time that the
    store has lost. ``blocked_parts`` maps the prompt parts and the fingerprints of
    requests that crash servers to the node that has recorded each.
    """

    def __init__(self, replica):
        self.replica = replica
        self.planner = None
        self.nodes = {}
        self.groups = {}
        self.known_groups = set()
        self.late_groups = set()
        self.blocked_parts = {}
        self.change_count = 0
        replica.listeners.append(self._apply)
        replica.reset_listeners.append(self.known_groups.clear)

    def next_epoch(self, entries_before=0, members=()):
        """Return the epoch of a record that is written at the end of the table.

        ``entries_before`` records of the same write precede it. Without ``members`` the
        epoch is not greater than any with members.
        """
        offset = self.replica.end + entries_before
        epoch = (self.replica.era * OFFSETS_PER_ERA + offset) * HASHES_PER_OFFSET
        return epoch + (_hash(members) if members else 0)

    def lost_entries(self):
        """Return the planner's entries that the store has lost or has older, as pairs.

        The nodes' own records are not among them: each node writes its own again.
        """
        return [
            (key, self._current_value(key))
            for key in self.replica.unsettled
            if not key.startswith(NODE_PREFIX)
        ]

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
        except Exception as exc:
            # Whatever is wrong with one record, the others must still be read.
            event("bad fleet record", key=record.key, why=repr(exc))

    def _store(self, key, value):
        if key == PLANNER_KEY:
            self.planner = PlannerRecord(*value) if value else None
        elif key.startswith(NODE_PREFIX):
            _set_or_remove(self.nodes, key, value and NodeRecord(*value))
        elif key.startswith(GROUP_PREFIX):
            self._store_group(key, value and _group_from(value))
        elif key.startswith(BLOCKED_PART_PREFIX):
            _set_or_remove(self.blocked_parts, key, value)

    def _store_group(self, key, group):
        self.late_groups.discard(key)
        if group is not None:
            replica = self.replica
            if group.written_era != replica.era and not replica.reloading:
                self.late_groups.add(key)
                event(
                    "late group record ignored",
                    group=group.name,
                    written_era=group.written_era,
                    era=replica.era,
                )
                return
            self.known_groups.add(group.name)
        elif self.replica.reloading:
            # The store does not have it any more. No planner need have dissolved it.
            self.known_groups.discard(key.partition("/")[2])
        _set_or_remove(self.groups, key, group)

    def _current_value(self, key):
        """Return the value to write again for a key, ``None`` to remove the key."""
        group = self.groups.get(key.partition("/")[2])
        if key.startswith(GROUP_PREFIX) and group is not None:
            return encode(group._replace(written_era=self.replica.era))
        record = self.replica.entries.get(key)
        return record.value if record else None


def encode(record):
    """Return a record's value in the table."""
    return json.dumps(record, separators=(",", ":")).encode()


def _group_from(value):
    group = GroupRecord(*value)
    members = tuple(Member(*member) for member in group.members)
    if not members:
        raise ValueError("group record has no members")
    return group._replace(members=members)


def _hash(members):
    servers = ",".join(f"{member.server}@{member.born}" for member in members)
    return xxhash.xxh3_64_intdigest(servers.encode()) % HASHES_PER_OFFSET


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
        self._check_planner()
        state = self._state
        at, era = state.replica.end, state.replica.era
        entries = [(GROUP_PREFIX + group.name, None) for group in finished]
        entries += [(key, None) for key in sorted(state.late_groups)]
        for group, at_once in ended:
            ending = group._replace(
                phase=ENDING,
                at_once=at_once,
                ending_epoch=state.next_epoch(len(entries), group.members),
                written_era=era,
            )
            entries.append((GROUP_PREFIX + group.name, encode(ending)))
        for service, model, members in formations:
            epoch = state.next_epoch(len(entries), members)
            record = GroupRecord(
                f"g{epoch}", epoch, service, model, members, written_era=era
            )
            entries.append((GROUP_PREFIX + record.name, encode(record)))
        if entries:
            self._append(entries, at=at)

    def write_blocked_parts(self, blocked, unblocked):
        """Add and remove the records of blocked prompt parts, in one append.

        Raises ``NotPlannerError`` or ``TableChangedError`` without a write.
        """
        self._check_planner()
        node = json.dumps(self._identity.node).encode()
        entries = [(BLOCKED_PART_PREFIX + part, node) for part in blocked]
        entries += [(BLOCKED_PART_PREFIX + part, None) for part in unblocked]
        self._append(entries, at=self._state.replica.end)

    def adopt_groups(self, groups):
        """Write records of groups that stand without one; return the groups' names.

        Raises ``NotPlannerError`` or ``TableChangedError`` without a write.
        """
        self._check_planner()
        era = self._state.replica.era
        self._append(
            [
                (GROUP_PREFIX + g.name, encode(g._replace(written_era=era)))
                for g in groups
            ],
            at=self._state.replica.end,
        )
        return [group.name for group in groups]

    def write_lost_entries(self):
        """Write again what the store has lost, and return the keys.

        Raises ``NotPlannerError`` or ``TableChangedError`` without a write.
        """
        self._check_planner()
        entries = self._state.lost_entries()
        if entries:
            self._append(entries, at=self._state.replica.end)
        return [key for key, _ in entries]

    def _check_planner(self):
        if not self.is_planner():
            raise NotPlannerError("another node is the planner", step="write groups")

    def _append(self, entries, at):
        """Append entries, if ``at`` is ``None`` or still the end of the table."""
        asked_at = self._clock.monotonic()
        replica = self._state.replica
        result = self._client.append(replica.table, entries, at=at)
        if at is not None:
            replica.apply_written(result, entries, asked_at)
