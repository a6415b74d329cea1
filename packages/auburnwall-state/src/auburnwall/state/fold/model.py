"""The state that results from the records of the control stream."""

import copy
import json
from typing import NamedTuple

import xxhash

from ..records import Verdict


class Lease(NamedTuple):
    """A lease; its fencing token is the offset of the record that granted it.

    ``renewed`` is the offset of the record that last granted, renewed or released it.
    """

    name: str
    holder: str
    incarnation: str
    fence: int
    renewed: int
    released: bool = False


class Node(NamedTuple):
    """A node in the membership; ``joined`` is the offset of its join record."""

    name: str
    incarnation: str
    address: str
    peer_address: str
    data_center: str
    joined: int


class Group(NamedTuple):
    """A serving group.

    ``generation`` is the offset of the record that last changed its members, ``fence``
    the fencing token under which that record was written.
    """

    name: str
    selector: str
    model: str
    version: str
    data_center: str
    members: tuple
    generation: int
    fence: int
    draining: bool = False

    @property
    def vms(self):
        """Names of the VMs; the first one is the entry VM, which receives requests."""
        return tuple(member["vm"] for member in self.members)


class WriterEntry(NamedTuple):
    """The last sequence number applied from a writer, and the verdict on its record."""

    seq: int
    verdict: Verdict


class State:
    """The result of all records of the control stream up to ``offset``."""

    def __init__(self):
        self.offset = -1
        self.config = {}
        self.config_offset = -1
        self.membership_offset = -1
        self.leases = {}
        self.nodes = {}
        self.groups = {}
        self.writers = {}
        self.group_of_vm = {}

    def put_group(self, group):
        """Insert or replace ``group`` and update the index of VMs."""
        self.remove_group(group.name)
        self.groups[group.name] = group
        self.group_of_vm.update(dict.fromkeys(group.vms, group.name))

    def remove_group(self, name):
        """Remove a group, if it exists, and free its VMs."""
        old = self.groups.pop(name, None)
        for vm in old.vms if old else ():
            del self.group_of_vm[vm]

    def to_dict(self):
        """Return the state as JSON values, in the same order for every reader."""
        return {
            "offset": self.offset,
            "config": copy.deepcopy(self.config),
            "config_offset": self.config_offset,
            "membership_offset": self.membership_offset,
            "leases": [list(self.leases[key]) for key in sorted(self.leases)],
            "nodes": [list(self.nodes[key]) for key in sorted(self.nodes)],
            "groups": [list(self.groups[key]) for key in sorted(self.groups)],
            "writers": [
                [key, self.writers[key].seq, list(self.writers[key].verdict)]
                for key in sorted(self.writers)
            ],
        }

    @classmethod
    def from_dict(cls, data):
        """Return the state that ``data``, a result of ``to_dict``, describes."""
        state = cls()
        state.offset = data["offset"]
        state.config = copy.deepcopy(data["config"])
        state.config_offset = data["config_offset"]
        state.membership_offset = data["membership_offset"]
        state.leases = {row[0]: Lease(*row) for row in data["leases"]}
        state.nodes = {row[0]: Node(*row) for row in data["nodes"]}
        for row in data["groups"]:
            group = Group(*row)
            state.put_group(group._replace(members=tuple(group.members)))
        state.writers = {
            writer: WriterEntry(seq, Verdict(*verdict))
            for writer, seq, verdict in data["writers"]
        }
        return state

    def digest(self):
        """Return a hash of the state, by which two readers can compare their states."""
        text = json.dumps(self.to_dict(), sort_keys=True)
        return xxhash.xxh3_64_hexdigest(text.encode())
