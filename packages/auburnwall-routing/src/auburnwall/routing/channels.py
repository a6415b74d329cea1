"""Connections to backend servers: one request at a time, kept only when in order."""

from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read

from auburnwall.base.http import SOCKET_OPTIONS

# Idle time after which a connection is not used again, where the server names none.
KEPT_S = 4.0
# What is taken off the time that a server names, since it counts from its own moment.
KEPT_MARGIN_S = 0.5
# Idle connections that are kept to one server.
MAX_IDLE = 6
# Time for a connection to be established, in seconds; one lost packet is sent again
# after 1 s.
CONNECT_S = 0.5


class Channel:
    """A connection to one server incarnation."""

    def __init__(self, server, address, connect_s):
        host, _, port = address.rpartition(":")
        self.server = server
        self.kept_until = 0.0
        self.connection = HTTPConnection(
            host, int(port), timeout=connect_s, socket_options=SOCKET_OPTIONS
        )

    def connect(self):
        """Open the connection; raises ``urllib3`` errors or ``OSError``."""
        self.connection.connect()

    def close(self):
        """Close the connection."""
        self.connection.close()

    def in_order(self):
        """Return whether nothing has arrived that no request asked for."""
        sock = self.connection.sock
        return sock is not None and not wait_for_read(sock, timeout=0.0)


class ChannelPool:
    """Own the idle connections to all servers."""

    def __init__(self, clock):
        self._clock = clock
        self._idle = {}
        self.opened = 0

    def take(self, server, address):
        """Return an idle connection in order, or a new one that is not open yet."""
        idle = self._idle.get((server, address), [])
        while idle:
            channel = idle.pop()
            if self._clock.monotonic() < channel.kept_until and channel.in_order():
                return channel, True
            channel.close()
        self.opened += 1
        return Channel(server, address, CONNECT_S), False

    def give_back(self, channel, address, headers):
        """Keep a connection whose exchange is complete, as its server allows it."""
        kept_s = _kept_s(headers)
        idle = self._idle.setdefault((channel.server, address), [])
        if kept_s <= 0 or len(idle) >= MAX_IDLE:
            channel.close()
            return
        channel.kept_until = self._clock.monotonic() + kept_s
        idle.append(channel)

    def sweep(self):
        """Close the connections that are not to be used again."""
        now = self._clock.monotonic()
        for key, idle in list(self._idle.items()):
            for channel in [c for c in idle if c.kept_until <= now]:
                idle.remove(channel)
                channel.close()
            if not idle:
                del self._idle[key]

    def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for channel in idle:
                channel.close()
        self._idle.clear()


def _kept_s(headers):
    """Return how long a connection may be idle, from its last answer's headers."""
    if "close" in headers.get("Connection", "").lower():
        return 0.0
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(KEPT_S, int(value) - KEPT_MARGIN_S)
    return KEPT_S
