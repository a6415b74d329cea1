"""Servers that name a limit get no more from all nodes together."""

import itertools
import time
from bisect import bisect_right

from .support import PlatformClusterTestCase

LIMIT_PER_S = 2.0
# The users' rule: from this time after the limit is first named, any window of this
# length has at most so many requests more than the limit allows.
CONTACT_S, WINDOW_S, OVER, SLACK = 3.0, 4.0, 1.5, 5
# Fraction of its limit that a server gets at least while more requests come.
MIN_USE = 0.5
# Time between two requests of one sender, and senders for each node and path.
INTERVAL_S, SENDERS = 0.1, 2
PATHS = ("/book/x", "/ask/x")


def most_in_window(times, since):
    """Return the largest number of times, from ``since`` on, in one window."""
    times = sorted(at for at in times if at >= since)
    return max(
        (bisect_right(times, at + WINDOW_S) - n for n, at in enumerate(times)),
        default=0,
    )


class ServerLimitTests(PlatformClusterTestCase):
    def setUp(self):
        super().setUp()
        self.wait_until_served(PATHS)

    def send_for(self, seconds):
        """Send more requests than the limits allow; return their statuses."""
        senders = SENDERS * list(itertools.product(self.names, PATHS))
        ended = self.send_requests_for(seconds, senders, INTERVAL_S)
        return [status for _, _, status in ended]

    def test_servers_get_no_more_than_the_limit_that_they_name(self):
        self.cluster.set_server_limit(LIMIT_PER_S)
        named_at = time.time()
        statuses = self.send_for(12.0)
        ended_at = time.time()
        arrivals = self.cluster.set_server_limit(None)
        most = {
            name: most_in_window(times, named_at + CONTACT_S)
            for name, times in arrivals.items()
        }
        allowed = OVER * LIMIT_PER_S * WINDOW_S + SLACK
        self.assertLessEqual(max(most.values()), allowed, most)
        rates = {
            name: sum(at > named_at + CONTACT_S for at in times)
            / (ended_at - named_at - CONTACT_S)
            for name, times in arrivals.items()
            if any(at < named_at for at in times)
        }
        self.assertGreaterEqual(min(rates.values()), MIN_USE * LIMIT_PER_S, rates)
        self.assertLessEqual(set(statuses), {200, 503})
        # A server that names no limit any more gets all that comes.
        self.wait_until_served(PATHS)
        self.assertGreater(self.send_for(4.0)[-60:].count(200), 50)


class RelayedServerLimitTests(ServerLimitTests):
    """The same with relays and brokers: two of five nodes are relays."""

    NODES = 5
    NODE_ENV = {"AUBURNWALL_MAX_MESH_NODES": "2"}
