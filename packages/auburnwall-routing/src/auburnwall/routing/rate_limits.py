"""Keeps the requests of all nodes to a server within the rate that the server names.

Load pattern: a server in need names how many requests per second it takes from all
nodes together, and many nodes have more for it. No node can see in time what the others
send. So each node that may send derives the same equal share of the rate and spaces its
requests by that share. At the start of any window each sender may have one request
ready, so the fewer requests a server takes, the fewer nodes send to it.
"""

from functools import lru_cache

from auburnwall.base.rendezvous import ranked

# Rate at which all nodes together send to a server that takes fewer requests. Nothing
# but a response can tell that a limit has ended.
MIN_RATE_PER_S = 0.1
# Requests that a server may get at once, apart from the rate that it names.
MAX_BURST_REQUESTS = 5
# Time in which the senders of a server may add as many requests as it takes in that
# time, in seconds.
SENDER_SPREAD_S = 1.0
# Servers whose senders are remembered.
MAX_RANKED_SERVERS = 1_024


class RateLimitGate:
    """Decides whether this node may send one more request to a server with a limit.

    ``nodes`` returns the names of all nodes that may send requests to the server.
    """

    def __init__(self, node, nodes, clock):
        self._node = node
        self._nodes = nodes
        self._clock = clock
        self._next_send_at = {}

    def may_send(self, server, limit_per_s):
        """Return whether this node may send the server one more request now."""
        return self._clock.monotonic() >= self._next_send_at.get(server, 0.0) and (
            self.share_per_s(server, limit_per_s) > 0
        )

    def note_sent(self, server, limit_per_s):
        """Record a request that is sent to a server."""
        share_per_s = self.share_per_s(server, limit_per_s)
        if share_per_s > 0:
            self._next_send_at[server] = self._clock.monotonic() + 1 / share_per_s

    def share_per_s(self, server, limit_per_s):
        """Return how many requests per second this node may send to a server.

        Nodes are ranked by rendezvous hashing, and those ranked last may send none.
        """
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
        count = MAX_BURST_REQUESTS + int(SENDER_SPREAD_S * rate_per_s)
        senders = _first_ranked(server, tuple(self._nodes()), count)
        return rate_per_s / len(senders) if self._node in senders else 0.0


@lru_cache(maxsize=MAX_RANKED_SERVERS)
def _first_ranked(server, nodes, count):
    return frozenset(ranked(server, nodes)[:count])
