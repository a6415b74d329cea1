"""HTTP exchanges over ``urllib3``, without automatic retries."""

import json
import socket

import urllib3

JSON_HEADERS = {"Content-Type": "application/json"}

# Unanswered keepalive probes after which the kernel closes a connection.
MAX_KEEPALIVE_PROBES = 3


def keepalive_options(*, probe_s, user_timeout_ms):
    """Return socket options by which the kernel detects that a peer has vanished.

    A connection that is idle for ``probe_s`` seconds is probed at intervals of
    ``probe_s``. The kernel also closes a connection if sent data is not acknowledged
    within ``user_timeout_ms`` milliseconds.
    """
    return (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )


# These values detect a vanished server within 4 s, even if no timeout applies to the
# request.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    *keepalive_options(probe_s=1, user_timeout_ms=2_000),
)


def new_pool(connections=64):
    """Return a pool for ``connections`` hosts, without retries or redirects."""
    return urllib3.PoolManager(
        num_pools=connections,
        maxsize=8,
        retries=False,
        block=False,
        socket_options=SOCKET_OPTIONS,
    )


def timeout(connect_s, read_s):
    """Return a timeout for connecting and for each read, in seconds."""
    return urllib3.Timeout(connect=connect_s, read=read_s)


def exchange_json(pool, method, url, body=None, *, connect_s=1.0, read_s=2.0):
    """Return the status and the decoded JSON of one exchange.

    The JSON value is ``None`` if the response has no body. Raises
    ``urllib3.exceptions.HTTPError`` for a failed exchange and ``ValueError`` for a
    response that is not JSON.
    """
    data = None if body is None else json.dumps(body).encode()
    resp = pool.request(
        method,
        url,
        body=data,
        headers=JSON_HEADERS,
        timeout=timeout(connect_s, read_s),
        redirect=False,
    )
    return resp.status, json.loads(resp.data) if resp.data else None
