"""Records of the control stream, as typed messages.

A record is a proposal. Its envelope holds the writer's incarnation and a sequence
number, which distinguish a record that was appended twice from a new one.
"""

from typing import NamedTuple, TypedDict

CONTROL_STREAM = "control"


class Envelope(TypedDict):
    """Payload of one record of the control stream."""

    kind: str
    writer: str
    seq: int
    body: dict


class MemberRef(TypedDict):
    """One VM of a group and the address to which its orders are sent."""

    vm: str
    address: str


class ConfigBody(TypedDict):
    """A configuration change: an RFC 6902 patch of the version at offset ``base``."""

    base: int
    patch: list
    author: str


class LeaseTakeBody(TypedDict):
    """Take a lease; ``after`` is the offset of the last renewal the writer has read."""

    name: str
    holder: str
    incarnation: str
    after: int


class LeaseRenewBody(TypedDict):
    """Renew or release a lease that is held under the fencing token ``fence``."""

    name: str
    fence: int


class NodeJoinBody(TypedDict):
    """A node that joins; ``after`` is the incarnation that it replaces, or empty."""

    node: str
    incarnation: str
    after: str
    address: str
    peer_address: str
    data_center: str


class NodeLeaveBody(TypedDict):
    """A node that leaves the membership.

    Either it leaves by itself, or the node ``by`` removes it because the nodes in
    ``witnesses``, among them ``by``, consider it dead.
    """

    node: str
    incarnation: str
    by: str
    witnesses: list


class GroupFormBody(TypedDict):
    """A new group of VMs, formed under the controller's fencing token."""

    group: str
    selector: str
    data_center: str
    members: list
    fence: int
    cause: str


class GroupRepairBody(TypedDict):
    """New members for a group whose generation is still ``generation``."""

    group: str
    generation: int
    members: list
    fence: int
    cause: str


class GroupEndBody(TypedDict):
    """Drain or drop a group whose generation is still ``generation``."""

    group: str
    generation: int
    fence: int
    cause: str


class Verdict(NamedTuple):
    """The result of the fold for one record.

    ``winner`` is the offset of the earlier record that caused a rejection, or -1.
    """

    accepted: bool
    offset: int
    reason: str = ""
    winner: int = -1


def envelope(kind, writer, seq, body):
    """Return the payload of a record."""
    return Envelope(kind=kind, writer=writer, seq=seq, body=dict(body))
