"""The headers of a request that is passed on to a server or to a peer."""

from urllib3 import HTTPHeaderDict
from urllib3.util import SKIP_HEADER

from .forwarded import FORWARDED_BY, SERVERS_LEFT
from .hop_by_hop import HOP_BY_HOP
from .shortage_order import rank_of


class RequestHead:
    """The headers of one attempt at a request, made when they are sent.

    ``resume_at`` is the ``StreamPosition`` that the attempt is to resume after, or
    ``None``.
    """

    def __init__(self, deps, request, resume_at):
        self._deps = deps
        self._request = request
        self._last_id = resume_at.id_text if resume_at else None

    def for_server(self, server):
        """Return the headers for a server."""
        request, header_names = self._request, self._deps.header_names
        dropped = _connection_headers(request.call)
        replaced = (
            header_names.deadline_ms,
            header_names.team,
            header_names.expected_server,
            FORWARDED_BY,
            SERVERS_LEFT,
        )
        is_ranked = self._deps.is_ranked(request)
        if is_ranked:
            # A caller must not set its own urgency.
            replaced += (header_names.urgency,)
        dropped.update(name.lower() for name in replaced)
        if request.strip_key:
            dropped.add("authorization")
        headers = self._headers_without(dropped)
        headers[header_names.expected_server] = server
        if request.team:
            headers[header_names.team] = request.team
        if is_ranked:
            headers[header_names.urgency] = str(rank_of(request))
        return headers

    def for_peer(self, servers_left):
        """Return the headers for a peer, which decides on all that servers get."""
        dropped = _connection_headers(self._request.call)
        dropped.add(self._deps.header_names.deadline_ms.lower())
        headers = self._headers_without(dropped)
        headers[FORWARDED_BY] = self._deps.node
        headers[SERVERS_LEFT] = str(servers_left)
        return headers

    def _headers_without(self, dropped):
        """Return the caller's headers without those named in ``dropped``.

        The deadline and the event to resume after are those of this attempt.
        """
        request, header_names = self._request, self._deps.header_names
        call = request.call
        if self._last_id is not None:
            dropped.add(header_names.last_event_id.lower())
        headers = HTTPHeaderDict()
        for name, value in call.headers:
            if name.lower() not in dropped:
                headers.add(name, value, combine=True)
        # Keeps urllib3 from adding headers that the caller did not send.
        for name in ("User-Agent", "Accept-Encoding"):
            headers.setdefault(name, SKIP_HEADER)
        ends_at = self._deps.in_flight.stop_time.ends_at(
            request, has_begun=request.route.streams
        )
        time_left_s = ends_at - self._deps.clock.monotonic()
        headers[header_names.deadline_ms] = str(max(1, int(time_left_s * 1000)))
        if self._last_id is not None:
            headers[header_names.last_event_id] = self._last_id
        return headers


def _connection_headers(call):
    """Return the lower-case names of headers that are not passed on to a server.

    These are the hop-by-hop headers, ``Expect`` and those that ``Connection`` names.
    """
    named = call.header("Connection") or ""
    return {*HOP_BY_HOP, "expect", *(n.strip().lower() for n in named.split(","))}
