"""Persistent connections to backend servers, each for one request at a time."""

from contextlib import closing

from urllib3.exceptions import HTTPError

from auburnwall.base.addresses import split_address
from auburnwall.base.digits import parse_digits
from auburnwall.base.http import SOCKET_OPTIONS, is_refused
from auburnwall.base.http_reader import Connection

# Idle time after which a connection is not reused, where the server states none.
IDLE_TIMEOUT_S = 4.0
# Longest idle time that a server can state, in seconds.
MAX_STATED_IDLE_S = 3_600
# Subtracted from the idle time that a server states, because the server starts to
# count at another moment.
IDLE_TIMEOUT_MARGIN_S = 0.5
# Idle connections that are kept per server.
MAX_IDLE_PER_SERVER = 6
# How connecting fails: with an error of ``urllib3`` or of the socket, or because the
# address cannot be used at all.
CONNECT_FAILURES = (HTTPError, OSError, ValueError)
# Shorter than the 1 s after which TCP retransmits a lost connection packet.
CONNECT_TIMEOUT_S = 0.5
# Timeout of the connection that shows whether a server has crashed, in seconds. The VM
# of a crashed server refuses it at once; a request may be waiting for the result.
CRASH_CHECK_TIMEOUT_S = 0.1
# Timeout of the connection that shows whether this node reaches a server, in seconds.
LINK_CHECK_TIMEOUT_S = 0.25


class Channel:
    """A connection to one server incarnation, which may be reused when idle."""

    def __init__(self, server, address, connect_timeout_s):
        host, port = split_address(address)
        self.server = server
        self.usable_until = 0.0
        self.connection = Connection(
            host, port, timeout=connect_timeout_s, socket_options=SOCKET_OPTIONS
        )

    def connect(self):
        """Open the connection; raises one of ``CONNECT_FAILURES``."""
        self.connection.connect()

    def close(self):
        """Close the connection."""
        self.connection.close()

    def is_clean(self):
        """Return whether the connection is open and has no unexpected data to read."""
        return self.connection.is_connected


class ChannelPool:
    """Owns the idle connections to all servers."""

    def __init__(self, clock):
        self._clock = clock
        self._idle = {}
        self.connections_opened = 0

    def take(self, server, address):
        """Return a channel to a server and whether it is a reused connection.

        A new channel is not connected yet. Raises one of ``CONNECT_FAILURES`` if the
        address cannot be used.
        """
        idle = self._idle.get((server, address), [])
        while idle:
            channel = idle.pop()
            if self._clock.monotonic() < channel.usable_until and channel.is_clean():
                return channel, True
            channel.close()
        self.connections_opened += 1
        return Channel(server, address, CONNECT_TIMEOUT_S), False

    def release(self, channel, address, headers, max_idle_s=None):
        """Keep the connection of a complete exchange for reuse if its server allows.

        ``headers`` are those of the last response. The connection is not reused after
        ``max_idle_s`` seconds, if given.
        """
        idle_timeout_s = _idle_timeout_s(headers)
        if max_idle_s is not None:
            idle_timeout_s = min(idle_timeout_s, max_idle_s)
        idle = self._idle.setdefault((channel.server, address), [])
        if idle_timeout_s <= 0 or len(idle) >= MAX_IDLE_PER_SERVER:
            channel.close()
            return
        channel.usable_until = self._clock.monotonic() + idle_timeout_s
        idle.append(channel)

    def has_crashed(self, server, address):
        """Return whether a server refuses connections: its process has ended.

        This is false if its VM does not respond, since nothing is known then.
        """
        return is_refused(_connect_error(server, address, CRASH_CHECK_TIMEOUT_S))

    def can_connect(self, server, address):
        """Return whether a new connection to a server can be opened."""
        return _connect_error(server, address, LINK_CHECK_TIMEOUT_S) is None

    def close_idle(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for channel in idle:
                channel.close()
        self._idle.clear()

    def close_expired(self):
        """Close idle connections that are past their idle timeout."""
        now = self._clock.monotonic()
        for key, idle in list(self._idle.items()):
            for channel in [c for c in idle if c.usable_until <= now]:
                idle.remove(channel)
                channel.close()
            if not idle:
                del self._idle[key]

    def close(self):
        """Close the pool with all its idle connections."""
        self.close_idle()


def _connect_error(server, address, timeout_s):
    """Return why no connection to a server can be opened, ``None`` if one can be."""
    try:
        channel = Channel(server, address, timeout_s)
        with closing(channel):
            channel.connect()
    except CONNECT_FAILURES as exc:
        # An expected result, from which the caller draws its conclusion.
        return exc
    return None


def _idle_timeout_s(headers):
    """Return for how many seconds a connection may be idle, 0 if it must be closed.

    ``headers`` are those of its last response.
    """
    if "close" in headers.get("Connection", "").lower():
        return 0.0
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            stated_s = parse_digits(value, MAX_STATED_IDLE_S)
            if stated_s is not None:
                return min(IDLE_TIMEOUT_S, stated_s - IDLE_TIMEOUT_MARGIN_S)
    return IDLE_TIMEOUT_S
