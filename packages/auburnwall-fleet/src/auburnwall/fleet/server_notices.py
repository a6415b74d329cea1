"""What servers say of themselves in responses: that they leave, want a pause, a limit.

All count at once, whatever the platform's tables say. They are no failures: a server
that asks for a pause is not suspect.
"""

from typing import NamedTuple

from auburnwall.base.logs import event

# Value of the header by which a server states that it leaves.
LEAVING = "1"
# Time for which peers are told of a leaving server, in seconds: by then its
# registration says so as well, or is gone.
TELL_PEERS_S = 10.0
# Time after which a limit counts no more if no response has repeated it, in seconds.
LIMIT_MEMORY_S = 30.0
# Limits that a heartbeat carries.
MAX_LIMITS_TOLD = 64
# Characters of the header that are read.
MAX_LIMIT_TEXT = 40


class _Pause(NamedTuple):
    """The incarnation of a server that wants no request before ``until``."""

    born: int
    until: float


class _Limit(NamedTuple):
    """The requests per second that a server takes, as heard at ``heard_at``.

    ``per_s`` is ``None`` once the responses of this incarnation name no limit any more.
    ``is_own`` is whether this node has heard it itself.
    """

    born: int
    per_s: float | None
    heard_at: float
    is_own: bool


class ServerNotices:
    """The leaving servers, the pauses and the limits that this node has heard of.

    Each counts for the incarnation of the server that is registered at that moment.
    """

    def __init__(self, registry, clock):
        self._registry = registry
        self._clock = clock
        self._pauses = {}
        self._leaving_heard_at = {}
        self._limits = {}

    def note_response(self, server, source, *, is_leaving, pause_s):
        """Record what a response says of its server.

        ``pause_s`` is for how many seconds the server wants nothing from this node,
        ``None`` if it does not say so. ``source`` names the exchange, for the log.
        """
        if is_leaving:
            self._note_leaving(server, source)
        if pause_s is not None:
            self._note_pause(server, pause_s, source)

    def note_limit(self, server, source, per_s, asked_at):
        """Record how many requests per second a response says that its server takes.

        ``per_s`` is ``None`` if it names no limit. That counts only if the request was
        sent, at ``asked_at``, after the last response that did.
        """
        known = self._limits.get(server)
        if per_s is None and (known is None or asked_at < known.heard_at):
            return
        limit = _Limit(self._born(server), per_s, self._clock.monotonic(), True)
        self._set_limit(server, limit, source)

    def note_peer_limits(self, limits, node):
        """Record the limits that a peer has heard of, if its word is the newest.

        ``limits`` maps servers to objects with ``born``, ``per_s`` and ``age_ms``.
        """
        now = self._clock.monotonic()
        for server, told in limits.items():
            known, heard_at = self._limits.get(server), now - told.age_ms / 1000
            is_current = self._born(server) == told.born
            if is_current and (known is None or heard_at > known.heard_at):
                self._set_limit(
                    server, _Limit(told.born, told.per_s, heard_at, False), node
                )

    def own_limits(self):
        """Return the limits that this node has heard itself, the newest of them.

        Each is a tuple of server, ``born``, requests per second and age in seconds.
        """
        now = self._clock.monotonic()
        self._limits = {
            server: limit
            for server, limit in self._limits.items()
            if now - limit.heard_at < LIMIT_MEMORY_S
        }
        own = [
            (server, limit.born, limit.per_s, now - limit.heard_at)
            for server, limit in self._limits.items()
            if limit.is_own and limit.per_s is not None and limit.born is not None
        ]
        return sorted(own, key=lambda limit: limit[-1])[:MAX_LIMITS_TOLD]

    def limit_per_s(self, server):
        """Return the requests per second that a server takes, ``None`` if any."""
        known = self._limits.get(server)
        if known is None or self._born(server) not in (known.born, None):
            return None
        is_recent = self._clock.monotonic() - known.heard_at < LIMIT_MEMORY_S
        return known.per_s if is_recent else None

    def limited_servers(self):
        """Return the names of the servers that have a limit."""
        return [name for name in self._limits if self.limit_per_s(name) is not None]

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

    def _set_limit(self, server, limit, source):
        before = self.limit_per_s(server)
        self._limits[server] = limit
        if limit.per_s != before:
            event(
                "server limit changed",
                peer=server,
                source=source,
                per_s=limit.per_s,
                before_per_s=before,
            )

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


def limit_from_header(text):
    """Return the requests per second that a response names.

    ``None`` without the header. Raises ``ValueError`` if the header holds anything but
    one number that is 0 or more.

    >>> limit_from_header("1.5")
    1.5
    """
    if text is None:
        return None
    per_s = float(text[:MAX_LIMIT_TEXT])
    if not 0 <= per_s < float("inf"):
        raise ValueError(f"not a rate: {per_s}")
    return per_s
