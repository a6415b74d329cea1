"""Errors of calls between nodes."""

from auburnwall.base.exceptions import AuburnwallError


class PeerUnavailableError(AuburnwallError):
    """A call to a peer failed or got an error; the peer may have executed it."""
