"""Keep a cold server's requests under what it bears, over all nodes together.

Only a few nodes, the same ones for all, send to a cold server, each at an equal part
of the rate that it bears.
"""

from auburnwall.base.rendezvous import ranked

# Nodes that may send to the same cold server.
MAX_SENDERS = 3


class WarmupGate:
    """Decide whether this node may send one more request to a cold server.

    ``nodes`` returns the names of all nodes that may send requests.
    """

    def __init__(self, node, nodes, clock):
        self._node = node
        self._nodes = nodes
        self._clock = clock
        self._next_at = {}

    def may_send(self, server, per_s):
        """Return whether the server may get one more request from this node now."""
        return self._clock.monotonic() >= self._next_at.get(
            server, 0.0
        ) and self._is_sender(server, per_s)

    def note_sent(self, server, per_s):
        """Count a request that goes to the cold server."""
        if per_s > 0:
            gap_s = MAX_SENDERS / per_s
            self._next_at[server] = self._clock.monotonic() + gap_s

    def _is_sender(self, server, per_s):
        if per_s <= 0:
            return True
        return self._node in ranked(server, self._nodes())[:MAX_SENDERS]
