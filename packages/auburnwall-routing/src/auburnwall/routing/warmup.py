"""Limits the request rate to a cold server across all nodes without coordination.

Every node derives the same few senders for a cold server from its name. Each sender
uses an equal share of the rate that the server can take.
"""

from auburnwall.base.rendezvous import ranked

# Nodes that may send to the same cold server.
MAX_SENDERS = 3


class WarmupGate:
    """Decides whether this node may send one more request to a cold server.

    ``nodes`` returns the names of all nodes that may send requests.
    """

    def __init__(self, node, nodes, clock):
        self._node = node
        self._nodes = nodes
        self._clock = clock
        self._next_send_at = {}

    def may_send(self, server, rate_per_s):
        """Return whether this node may send the server one more request now.

        ``rate_per_s`` is the request rate that the server can take while it is cold.
        At 0 any node may send.
        """
        return self._clock.monotonic() >= self._next_send_at.get(
            server, 0.0
        ) and self._is_sender(server, rate_per_s)

    def note_sent(self, server, rate_per_s):
        """Record a request that is sent to the cold server."""
        if rate_per_s > 0:
            interval_s = MAX_SENDERS / rate_per_s
            self._next_send_at[server] = self._clock.monotonic() + interval_s

    def _is_sender(self, server, rate_per_s):
        if rate_per_s <= 0:
            return True
        return self._node in ranked(server, self._nodes())[:MAX_SENDERS]
