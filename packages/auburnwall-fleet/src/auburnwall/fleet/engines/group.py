"""Interface to model engines that serve as members of a group."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import NamedTuple


class MemberReport(NamedTuple):
    """A server's response to a probe: its incarnation and its group membership.

    ``group_membership`` is ``None`` if the server is in no group.
    """

    born: int
    group_membership: object


class JoinOrder(NamedTuple):
    """Join a group at ``epoch`` as one of its ``members`` (server ids, head first)."""

    group: str
    epoch: int
    model: str
    members: tuple


class OpenOrder(NamedTuple):
    """Tell the head to begin serving; all members must be ready."""

    group: str
    epoch: int


class CloseOrder(NamedTuple):
    """Tell the head to accept no new requests; ``at_once`` also ends running ones."""

    group: str
    epoch: int
    at_once: bool


class LeaveOrder(NamedTuple):
    """Leave the group."""

    group: str
    epoch: int


class StageOrder(NamedTuple):
    """Load the weights of ``model`` into the host's memory."""

    model: str


class OrderOutcome(Enum):
    """A server's response to an order."""

    # The server has begun to execute the order.
    BEGUN = "begun"
    # The effect of the order is already in place.
    HOLDS = "holds"
    # The order is not possible in the server's present state.
    REFUSED = "refused"
    # The server has seen a later epoch than the order's.
    STALE = "stale"
    # Another server has the address and got the order.
    WRONG_SERVER = "wrong server"


class MemberClient(ABC):
    """Probe and command single servers; all methods raise ``EngineError``.

    ``notices`` records what servers say of themselves in their responses. To a server
    that wants a pause nothing is sent; the methods raise ``ServerPausedError``.
    """

    notices = None

    @abstractmethod
    def fetch_report(self, server, address):
        """Return the ``MemberReport`` of the server at ``address``."""

    @abstractmethod
    def send_order(self, server, address, order):
        """Send an order and return its ``OrderOutcome``.

        After an ``EngineError`` the server may still execute the order, even seconds
        later.
        """
