"""What servers say of themselves in any response: that they leave, or want a pause.

Both count at once, whatever the platform's tables say. They are no failures: a server
that asks for a pause is not suspect.
"""

from typing import NamedTuple

from auburnwall.base.logs import event

# Value of the header by which a server states that it leaves.
LEAVING = "1"
# Time for which peers are told of a leaving server, in seconds: by then its
# registration says so as well, or is gone.
TELL_PEERS_S = 10.0


class _Pause(NamedTuple):
    """The incarnation of a server that wants no request before ``until``."""

    born: int
    until: float


class ServerNotices:
    """The leaving servers and the pauses that this node has heard of.

    Each counts for the incarnation of the server that is registered at that moment.
    """

    def __init__(self, registry, clock):
        self._registry = registry
        self._clock = clock
        self._pauses = {}
        self._leaving_heard_at = {}

    def note_response(self, server, source, *, is_leaving, pause_s):
        """Record what a response says of its server.

        ``pause_s`` is for how many seconds the server wants nothing from this node,
        ``None`` if it does not say so. ``source`` names the exchange, for the log.
        """
        if is_leaving:
            self._note_leaving(server, source)
        if pause_s is not None:
            self._note_pause(server, pause_s, source)

    def note_peer_leaving(self, servers, node):
        """Record the leaving servers that a peer has heard of, with their ``born``."""
        for server, born in servers.items():
            self._registry.note_leaving(server, born, node)

    def leaving(self):
        """Return the ``born`` of servers that said lately that they leave, by name."""
        oldest_at = self._clock.monotonic() - TELL_PEERS_S
        self._leaving_heard_at = {
            key: at for key, at in self._leaving_heard_at.items() if at >= oldest_at
        }
        return dict(self._leaving_heard_at.keys())

    def pause_left_s(self, server):
        """Return for how many seconds a server wants no request, 0 if it takes any."""
        pause = self._pauses.get(server)
        if pause is None:
            return 0.0
        left_s = pause.until - self._clock.monotonic()
        if left_s > 0 and self._born(server) in (pause.born, None):
            return left_s
        del self._pauses[server]
        return 0.0

    def _note_leaving(self, server, source):
        born = self._born(server)
        if born is None:
            return
        self._leaving_heard_at[server, born] = self._clock.monotonic()
        self._registry.note_leaving(server, born, source)

    def _note_pause(self, server, pause_s, source):
        now = self._clock.monotonic()
        until = max(now + pause_s, now + self.pause_left_s(server))
        if server not in self._pauses:
            event(
                "server asked for a pause",
                peer=server,
                source=source,
                pause_s=round(pause_s, 3),
            )
        self._pauses[server] = _Pause(self._born(server), until)

    def _born(self, server):
        entry = self._registry.servers.get(server)
        return entry.born if entry else None


def pause_from_header(status, value):
    """Return the seconds in a 503 response's ``Retry-After`` header, or ``None``.

    The header may also hold a date, which is not taken for a pause.

    >>> pause_from_header(503, "1.5")
    1.5
    """
    if status != 503 or not value:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0 < seconds < float("inf") else None
