"""What the system asks of model engines that serve as members of a group."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import NamedTuple


class MemberReport(NamedTuple):
    """What a server says of itself when asked: its incarnation and its group."""

    born: int
    group_membership: object


class JoinOrder(NamedTuple):
    """Be one of ``members`` (server ids, the head first) of a group at ``epoch``."""

    group: str
    epoch: int
    model: str
    members: tuple


class OpenOrder(NamedTuple):
    """Head of a group whose members are all ready: begin to serve."""

    group: str
    epoch: int


class CloseOrder(NamedTuple):
    """Head: take nothing new; ``at_once`` also ends what runs."""

    group: str
    epoch: int
    at_once: bool


class LeaveOrder(NamedTuple):
    """Leave the group."""

    group: str
    epoch: int


class StageOrder(NamedTuple):
    """Load the weights of ``model`` onto the host."""

    model: str


class OrderOutcome(Enum):
    """What became of an order that was answered."""

    BEGUN = "begun"
    HOLDS = "holds"
    REFUSED = "refused"
    STALE = "stale"
    WRONG_SERVER = "wrong server"


class MemberEngine(ABC):
    """Ask and order single servers; all methods raise ``EngineError``."""

    @abstractmethod
    def report(self, server, address):
        """Return the ``MemberReport`` of the server at ``address``."""

    @abstractmethod
    def give(self, server, address, order):
        """Give an order and return its ``OrderOutcome``.

        After an ``EngineError`` the order may still be carried out, even seconds
        later.
        """
