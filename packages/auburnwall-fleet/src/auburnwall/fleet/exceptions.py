"""Errors raised by the clients of the VM list, the weight store and engines."""

from auburnwall.base.exceptions import AuburnwallError


class FleetError(AuburnwallError):
    """Base class of this package's errors."""


class VmListUnavailableError(FleetError):
    """The platform's VM list could not be read or is not valid."""


class WeightStoreError(FleetError):
    """The weight store could not be reached or returned an invalid response."""


class EngineError(FleetError):
    """A probe or an order failed or got an invalid response."""


class ServerPausedError(EngineError):
    """Nothing was sent, since the server wants nothing from this node for a time."""


class ServerRefusedError(EngineError):
    """The server's VM refused the connection: its process has ended."""


class OrderRefusedError(EngineError):
    """A backend server refused an order, for example one with an old fencing token."""
