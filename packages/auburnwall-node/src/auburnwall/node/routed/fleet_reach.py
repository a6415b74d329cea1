"""Which services and servers this node and its peers reach."""

from collections import Counter

import gevent

from auburnwall.base.logs import event
from auburnwall.wire.exceptions import PeerUnavailableError

# Live peers of each data centre that are asked whether they reach a server.
PEERS_ASKED_PER_DATA_CENTER = 2


class FleetReach:
    """What this node's own links reach, and what its peers say of theirs.

    ``reach`` is the node's ``ServerReach``, ``source`` its configuration.
    """

    def __init__(self, reach, peers, state, source, rng):
        self._reach = reach
        self._peers = peers
        self._state = state
        self._source = source
        self._rng = rng

    def is_cut_off(self):
        """Return whether this node does not reach the model servers of a service.

        Then it neither plans nor grants slots.
        """
        config = self._source.config
        return config is not None and any(
            config.services[service].engine is not None
            for service in self._reach.lost_services
            if service in config.services
        )

    def peers_reaching(self, service):
        """Return the ``NodeRecord`` of each ready peer that reaches a service."""
        return [
            self._state.nodes[name]
            for name, status in self._peers.live().items()
            if status.ready
            and not status.stopping
            and service not in status.lost_services
        ]

    def is_reached_by_peer(self, member):
        """Return whether a live peer reaches a server that this node cannot reach."""
        live = [name for name in self._peers.live() if name in self._state.nodes]
        self._rng.shuffle(live)
        asked, counts = [], Counter()
        for name in live:
            data_center = self._state.nodes[name].data_center
            counts[data_center] += 1
            if counts[data_center] <= PEERS_ASKED_PER_DATA_CENTER:
                asked.append(name)
        calls = [gevent.spawn(self._peer_reaches, name, member) for name in asked]
        gevent.joinall(calls)
        return any(call.value for call in calls)

    def _peer_reaches(self, name, member):
        try:
            address = self._peers.address(name)
            return self._peers.call(address, "reaches", member.server, member.address)
        except PeerUnavailableError as exc:
            event("peer check failed", peer=name, step="reaches", why=exc.detail)
            return False
