"""Whether this node's own links to the backend servers work.

Failure pattern: a node is partitioned from all servers, or from those of a service,
while its peers still reach them. All its exchanges fail, and each failure looks like
one of its server. So a failure counts against a server only if this node has reached
any other since.
"""

import itertools
import math
from collections import Counter

import gevent
from gevent.event import AsyncResult

from auburnwall.base.logs import event

# Servers to which a check opens connections, at the same time in each of its rounds.
# A later round is needed only if all of the earlier ones fail.
SERVERS_PER_ROUND = (2, 4)
# With fewer registered servers of a service a failed check does not tell a lost link
# from a lost server.
MIN_SERVERS = 2
# Interval between two checks of a service whose servers are out of reach, in seconds.
RECHECK_INTERVAL_S = 0.3


class ServerReach:
    """Checks this node's links to a service when an exchange with a server has failed.

    A service is out of reach if none of its servers could be reached at the last check.
    ``can_connect(server, address)`` returns whether a new connection to a server can be
    opened. Each of ``listeners`` is called with a service and whether it is out of
    reach when that changes.
    """

    def __init__(self, registry, can_connect, clock, rng, tasks):
        self.listeners = []
        self._registry = registry
        self._can_connect = can_connect
        self._clock = clock
        self._rng = rng
        self._tasks = tasks
        self._proved_at = {}
        self._lost_at = {}
        self._running_checks = {}

    @property
    def lost_services(self):
        """Return the sorted names of the services that are out of reach."""
        return sorted(self._lost_at)

    def is_lost(self, service):
        """Return whether a service is out of reach."""
        return service in self._lost_at

    def proved_since(self, service, at):
        """Return whether a server of a service has been reached since the time ``at``.

        This is false for a service that is out of reach.
        """
        return not self.is_lost(service) and self._last_proved_at(service) >= at

    def note_connected(self, service):
        """Record that a new connection to a server of a service has been opened."""
        now = self._proved_at[service] = self._clock.monotonic()
        lost_at = self._lost_at.pop(service, None)
        if lost_at is not None:
            event(
                "servers reached again",
                service=service,
                after_s=round(now - lost_at, 2),
            )
            self._call_listeners(service)

    def doubt(self, service):
        """Start a check of a service in a task of its own, if none is running."""
        if not self.is_lost(service) and service not in self._running_checks:
            self._tasks.spawn(self.check, service)

    def recheck(self):
        """Check whether the services that are out of reach can be reached again."""
        for service in self.lost_services:
            self.check(service)

    def check(self, service):
        """Return whether this node reaches any server of a service.

        Opens connections to a few of them. Calls that overlap share one check.
        """
        if service in self._running_checks:
            return self._running_checks[service].get()
        check = self._running_checks[service] = AsyncResult()
        reached = False
        try:
            reached = self._check_service(service)
        finally:
            del self._running_checks[service]
            check.set(reached)
        return reached

    def reaches_any_since(self, at):
        """Return whether this node has reached any server since the time ``at``.

        Opens connections to a few servers of all services if it does not know.
        """
        if any(self.proved_since(service, at) for service in self._proved_at):
            return True
        servers = self._spread_over_data_centers(self._registry.servers.values())
        return len(servers) < MIN_SERVERS or self._connects_in_rounds(servers)

    def _check_service(self, service):
        entries = [e for e in self._registry.servers.values() if e.service == service]
        servers = self._spread_over_data_centers(entries)
        if len(servers) < MIN_SERVERS:
            return not self.is_lost(service)
        if self._connects_in_rounds(servers):
            return True
        if not self.is_lost(service):
            now = self._lost_at[service] = self._clock.monotonic()
            proved_at = self._last_proved_at(service)
            event(
                "servers out of reach",
                service=service,
                tried=min(sum(SERVERS_PER_ROUND), len(servers)),
                registered=len(servers),
                proved_s=round(now - proved_at, 2) if proved_at > -math.inf else None,
            )
            self._call_listeners(service)
            # What cut off one service has mostly cut off the others too.
            for other in {entry.service for entry in self._registry.servers.values()}:
                self.doubt(other)
        return False

    def _connects_in_rounds(self, servers):
        """Return whether a connection to one of the first servers can be opened.

        If so, its service is in reach.
        """
        remaining = iter(servers)
        return any(
            self._connects_to_any(list(itertools.islice(remaining, count)))
            for count in SERVERS_PER_ROUND
        )

    def _connects_to_any(self, entries):
        calls = {
            gevent.spawn(self._can_connect, entry.server, entry.address): entry
            for entry in entries
        }
        try:
            reached = next((c for c in gevent.iwait(list(calls)) if c.value), None)
        finally:
            gevent.killall(list(calls), block=False)
        if reached is None:
            return False
        self.note_connected(calls[reached].service)
        return True

    def _spread_over_data_centers(self, entries):
        """Return registrations in random order, those of the data centres by turns."""
        entries = list(entries)
        self._rng.shuffle(entries)
        turns, ranked = Counter(), []
        for entry in entries:
            ranked.append((turns[entry.data_center], entry))
            turns[entry.data_center] += 1
        return [entry for _, entry in sorted(ranked, key=lambda pair: pair[0])]

    def _last_proved_at(self, service):
        """Return when a server of a service was last reached, ``-inf`` if never."""
        return self._proved_at.get(service, -math.inf)

    def _call_listeners(self, service):
        for listener in self.listeners:
            listener(service, self.is_lost(service))
