"""What a node that reports to a relay knows from the relay's digests."""

from typing import NamedTuple

from auburnwall.wire.peer.ttypes import Load

from .fleet_load import subtract_running
from .peer_status import ConfigStatus, config_status_of, status_of


class ReceivedDigest(NamedTuple):
    """The last digest of a relay, without this node's own requests in ``running``.

    ``config`` is the relay's ``ConfigStatus``.
    """

    relay: str
    incarnation: str
    version: int
    load: Load
    running: dict
    received_at: float
    config: ConfigStatus


class RelayDigest:
    """What the relay of node ``own_name`` has told it in its digests.

    ``last`` is the ``ReceivedDigest``, ``None`` if there is none. It names the nodes
    that have changed; those of all digests are kept.
    """

    def __init__(self, own_name, clock):
        self.last = None
        self._own_name = own_name
        self._clock = clock
        self._nodes = {}

    def clear(self):
        """Forget the digest; this node has no relay any more."""
        self.last = None
        self._nodes.clear()

    def known_to(self, relay):
        """Return of which incarnation of a relay a digest is known, and its version.

        That is ``""`` and 0 if the last digest is another relay's.
        """
        if self.last is None or self.last.relay != relay:
            return "", 0
        return self.last.incarnation, self.last.version

    def apply(self, relay, sent, reply):
        """Apply the ``FleetDigest`` that a relay sent in reply to a ``Pulse``."""
        now = self._clock.monotonic()
        if reply.whole:
            self._nodes.clear()
        for node in reply.nodes:
            if node.node != self._own_name:
                self._nodes[node.node] = status_of(node, now)
        for name in reply.lost:
            self._nodes.pop(name, None)
        self.last = ReceivedDigest(
            relay,
            reply.incarnation,
            reply.version,
            reply.load,
            subtract_running(reply.load.running, sent.running),
            now,
            config_status_of(reply),
        )

    def newest_statuses(self, heard):
        """Return the newer ``PeerStatus`` of each node, from the digest or ``heard``.

        Both are by name.
        """
        if self.last is None:
            return heard
        heard_at = self.last.received_at
        statuses = {
            name: status._replace(heard_at=heard_at)
            for name, status in self._nodes.items()
        }
        for name, status in heard.items():
            if name not in statuses or status.heard_at > heard_at:
                statuses[name] = status
        return statuses
