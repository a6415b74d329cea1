"""Whether this node's own links to the backend servers work.

Failure pattern: a node is partitioned from all servers while its peers still reach
them. All its exchanges fail, and each failure looks like one of its server. So a
failure counts against a server only if this node has reached any server since.
"""

import math
from collections import Counter

import gevent
from gevent.event import AsyncResult

from auburnwall.base.logs import event

# Servers to which a check opens connections, at the same time in each of its rounds.
# A later round is needed only if all of the earlier ones fail.
SERVERS_PER_ROUND = (2, 4)
# With fewer registered servers a failed check does not tell a lost link from a lost
# server.
MIN_SERVERS = 2
# Interval between two checks of a node that is cut off, in seconds.
RECHECK_INTERVAL_S = 0.3


class ServerReach:
    """Checks this node's links when an exchange with a server has failed.

    ``cut_off`` is whether no server could be reached at the last check.
    ``can_connect(server, address)`` returns whether a new connection to a server can be
    opened. Each of ``listeners`` is called with ``cut_off`` when it changes.
    """

    def __init__(self, registry, can_connect, clock, rng, tasks):
        self.cut_off = False
        self.listeners = []
        self._registry = registry
        self._can_connect = can_connect
        self._clock = clock
        self._rng = rng
        self._tasks = tasks
        self._proved_at = -math.inf
        self._lost_at = None
        self._running_check = None

    def proved_since(self, at):
        """Return whether a server has been reached at or after the time ``at``."""
        return not self.cut_off and self._proved_at >= at

    def note_connected(self):
        """Record that a new connection to a server has been opened."""
        self._proved_at = self._clock.monotonic()
        if self.cut_off:
            self.cut_off = False
            event(
                "servers reached again",
                after_s=round(self._proved_at - self._lost_at, 2),
            )
            self._call_listeners()

    def doubt(self):
        """Start a check in a task of its own, if none is running."""
        if not self.cut_off and self._running_check is None:
            self._tasks.spawn(self.check)

    def recheck(self):
        """Check whether a node that is cut off reaches a server again."""
        if self.cut_off:
            self.check()

    def check(self):
        """Return whether this node reaches any server, by opening connections.

        Calls that overlap share one check.
        """
        if self._running_check is not None:
            return self._running_check.get()
        self._running_check = check = AsyncResult()
        reached = False
        try:
            reached = self._check_links()
        finally:
            self._running_check = None
            check.set(reached)
        return reached

    def _check_links(self):
        servers = self._spread_over_data_centers()
        if len(servers) < MIN_SERVERS:
            return not self.cut_off
        tried = 0
        for count in SERVERS_PER_ROUND:
            if self._connects_to_any(servers[tried : tried + count]):
                self.note_connected()
                return True
            tried += count
        if not self.cut_off:
            self.cut_off = True
            self._lost_at = self._clock.monotonic()
            event(
                "servers out of reach",
                tried=min(tried, len(servers)),
                registered=len(servers),
                proved_s=self._proved_age_s(),
            )
            self._call_listeners()
        return False

    def _connects_to_any(self, entries):
        calls = [
            gevent.spawn(self._can_connect, entry.server, entry.address)
            for entry in entries
        ]
        try:
            return any(call.value for call in gevent.iwait(calls))
        finally:
            gevent.killall(calls, block=False)

    def _spread_over_data_centers(self):
        """Return the registered servers in random order, data centres by turns."""
        entries = list(self._registry.servers.values())
        self._rng.shuffle(entries)
        turns, ranked = Counter(), []
        for entry in entries:
            ranked.append((turns[entry.data_center], entry))
            turns[entry.data_center] += 1
        return [entry for _, entry in sorted(ranked, key=lambda pair: pair[0])]

    def _proved_age_s(self):
        """Return how long ago a server was last reached, ``None`` if never."""
        if self._proved_at == -math.inf:
            return None
        return round(self._clock.monotonic() - self._proved_at, 2)

    def _call_listeners(self):
        for listener in self.listeners:
            listener(self.cut_off)
