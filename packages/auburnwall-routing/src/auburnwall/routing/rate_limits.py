"""Keeps the requests of all nodes to a server within the rate that the server names.

Load pattern: a server in need names how many requests per second it takes from all
nodes together, and many nodes have more for it. No node can see in time what the others
send. So each node that may send derives the same equal share of the rate, and of the
burst that a server bears. Each sender may have a request ready at any time, so the
fewer requests a server takes, the fewer nodes send to it.
"""

from functools import lru_cache
from typing import NamedTuple

from auburnwall.base.rendezvous import ranked

# Rate at which all nodes together send to a server that takes fewer requests. Nothing
# but a response can tell that a limit has ended.
MIN_RATE_PER_S = 0.1
# Requests that a server may get at once, and for how long the rate that it names may
# come at once besides, in seconds.
MAX_BURST_REQUESTS, BURST_S = 5, 1.0
# Servers whose senders are remembered.
MAX_RANKED_SERVERS = 1_024


class _Share(NamedTuple):
    """The requests that one node may send: per second, and at once."""

    per_s: float
    burst: int


class RateLimitGate:
    """Decides whether this node may send one more request to a server with a limit.

    ``nodes`` returns the names of all nodes that may send requests to the server.
    """

    def __init__(self, node, nodes, clock):
        self._node = node
        self._nodes = nodes
        self._clock = clock
        # When the next request to each server is due at an even pace.
        self._on_time_at = {}

    def may_send(self, server, limit_per_s):
        """Return whether this node may send the server one more request now."""
        share = self._share(server, limit_per_s)
        if share is None:
            return False
        on_time_at = self._on_time_at.get(server, 0.0)
        return self._clock.monotonic() >= on_time_at - (share.burst - 1) / share.per_s

    def note_sent(self, server, limit_per_s):
        """Record a request that is sent to a server."""
        share = self._share(server, limit_per_s)
        if share is not None:
            now = self._clock.monotonic()
            on_time_at = max(now, self._on_time_at.get(server, 0.0))
            self._on_time_at[server] = on_time_at + 1 / share.per_s

    def share_per_s(self, server, limit_per_s):
        """Return how many requests per second this node may send to a server."""
        share = self._share(server, limit_per_s)
        return share.per_s if share else 0.0

    def _share(self, server, limit_per_s):
        """Return this node's ``_Share``, ``None`` if it may send nothing.

        Nodes are ranked by rendezvous hashing, and those ranked last may send nothing.
        """
        rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
        burst = MAX_BURST_REQUESTS + int(BURST_S * rate_per_s)
        senders = _first_ranked(server, tuple(self._nodes()), burst)
        if self._node not in senders:
            return None
        return _Share(rate_per_s / len(senders), burst // len(senders))


@lru_cache(maxsize=MAX_RANKED_SERVERS)
def _first_ranked(server, nodes, count):
    return frozenset(ranked(server, nodes)[:count])
