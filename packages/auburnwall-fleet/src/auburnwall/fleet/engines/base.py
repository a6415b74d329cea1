"""Interface to a model engine; see ``docs/ref/engine.md``.

Adapters to other engines implement ``Engine``.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple


class EngineReport(NamedTuple):
    """An engine's report on itself.

    ``boot_id`` changes with every start. ``generation`` is that of the last order that
    it carried out, 0 for none. ``bears`` is how many concurrent requests it can take
    now, which is few while it is cold. ``running`` is its number of running requests
    and may be out of date.
    """

    boot_id: str
    state: str
    generation: int
    version: str
    running: int
    bears: int
    fence: int


class LoadOrder(NamedTuple):
    """Serve a version of a model as member number ``rank`` of a group.

    ``members`` are the addresses of all members, in order of rank.
    """

    fence: int
    generation: int
    group: str
    model: str
    version: str
    adapters: tuple
    rank: int
    members: tuple


class IdleOrder(NamedTuple):
    """Serve nothing; ``generation`` is the newest group generation that this ends."""

    fence: int
    generation: int


class PreloadOrder(NamedTuple):
    """Fetch the weights of a version ahead of need, without serving."""

    fence: int
    generation: int
    model: str
    version: str


READY = "ready"
EMPTY = "empty"


class Engine(ABC):
    """Send probes, orders and cancellations to an engine by its address."""

    @abstractmethod
    def report(self, address):
        """Return an ``EngineReport``.

        Raises ``EngineError``.
        """

    @abstractmethod
    def send_order(self, address, order):
        """Send an order, which states the desired state and so is idempotent.

        Raises ``OrderRefusedError`` if the engine refuses it, and ``EngineError`` for
        any other failure.
        """

    @abstractmethod
    def cancel(self, address, request_id):
        """Ask the engine to stop a request whose caller no longer waits.

        Raises ``EngineError``.
        """
