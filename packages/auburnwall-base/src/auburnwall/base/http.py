"""HTTP exchanges over ``urllib3``: one exchange, one answer, no hidden retry."""

import json
import socket

import urllib3

JSON_HEADERS = {"Content-Type": "application/json"}

# Unanswered probes after which a silent connection is given up.
PROBES = 3


def keepalive_options(*, probe_s, unconfirmed_ms):
    """Return socket options by which the kernel notices that a peer has vanished.

    A connection that is silent for ``probe_s`` is probed as often; data that the peer
    does not confirm for ``unconfirmed_ms`` ends it as well.
    """
    return (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unconfirmed_ms),
    )


# A server that has vanished is noticed within 4 s, also where no time limit of a
# caller applies.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    *keepalive_options(probe_s=1, unconfirmed_ms=2_000),
)


def new_pool(connections=64):
    """Return a pool that never retries or follows a redirect by itself."""
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
    """Return status and decoded JSON of one exchange.

    Raises ``urllib3.exceptions.HTTPError`` for a failed exchange and ``ValueError``
    for an answer that is not JSON.
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
