"""HTTP exchanges over ``urllib3``, without automatic retries."""

import json
import socket
from typing import NamedTuple

import gevent
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from . import memory
from .body_buffer import BodyBuffer
from .http_reader import ConnectionPools

JSON_HEADERS = {"Content-Type": "application/json"}

# Largest read from a response, in bytes.
READ_BYTES = 65_536
# Ratio of the time for a whole response to the longest silence within it.
TOTAL_FACTOR = 3
# Largest JSON response, in bytes.
MAX_JSON_BYTES = 16 * 1024 * 1024
# Unanswered keepalive probes after which the kernel closes a connection.
MAX_KEEPALIVE_PROBES = 3


class ResponseTooLargeError(HTTPError):
    """The body of a response is longer than allowed."""


class ResponseTooSlowError(HTTPError):
    """A response is not complete in time, although bytes may still arrive."""


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


# These values detect a vanished server within 3 s, even if no timeout applies to the
# request: with a user timeout the kernel gives up at the first probe after it, whatever
# the number of probes.
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    *keepalive_options(probe_s=1, user_timeout_ms=2_000),
)


def is_refused(exc):
    """Return whether a ``urllib3`` error is a refused connection.

    The VM is up then, and no process listens at the address.
    """
    return isinstance(exc, NewConnectionError) and isinstance(
        exc.__cause__, ConnectionRefusedError
    )


def new_pool(connections=64):
    """Return a pool for ``connections`` hosts, without retries or redirects."""
    return ConnectionPools(
        num_pools=connections,
        maxsize=8,
        retries=False,
        block=False,
        socket_options=SOCKET_OPTIONS,
    )


def timeout(connect_s, read_s):
    """Return a timeout for connecting and for each read, in seconds."""
    return urllib3.Timeout(connect=connect_s, read=read_s)


class ExchangeLimits(NamedTuple):
    """Limits of one exchange.

    The peer has ``connect_s`` to accept the connection and may be silent for up to
    ``silence_s``. The body may have ``body_bytes``. The whole exchange must end within
    ``TOTAL_FACTOR`` times ``silence_s``, counted from after the time to connect.
    """

    connect_s: float
    silence_s: float
    body_bytes: int


class Response(NamedTuple):
    """A complete response, with its whole body in ``data``."""

    status: int
    headers: object
    data: bytes


def exchange(pool, method, url, *, body=None, headers=None, limits):
    """Return the ``Response`` to one request within ``limits``, without redirects.

    A peer may send bytes without end, also slowly, in the head or in the body. The
    connection is then closed, and ``urllib3.exceptions.HTTPError`` is raised, as for
    any other failed exchange.
    """
    total_s = limits.connect_s + TOTAL_FACTOR * limits.silence_s
    too_slow = ResponseTooSlowError(f"no complete response within {total_s:.1f} s")
    with gevent.Timeout(total_s, too_slow):
        resp = pool.request(
            method,
            url,
            body=body,
            headers=headers,
            timeout=timeout(limits.connect_s, limits.silence_s),
            redirect=False,
            preload_content=False,
        )
        return read_response(resp, limits.body_bytes)


def read_response(resp, max_bytes):
    """Return the complete ``Response`` and give the connection back to its pool.

    ``resp`` is a response of ``urllib3`` whose head has been read. Closes the
    connection and raises ``urllib3.exceptions.HTTPError`` if the body is cut short, has
    over ``max_bytes`` bytes or is too large beside other messages of this process.
    """
    complete, body, account = False, BodyBuffer(), memory.budget.open()
    try:
        for chunk in resp.stream(READ_BYTES, decode_content=False):
            account.add(len(chunk))
            if account.error:
                raise ResponseTooLargeError(str(account.error))
            body.add(chunk)
            if body.size > max_bytes:
                raise ResponseTooLargeError(f"the body has over {max_bytes} bytes")
        complete = True
    finally:
        account.close()
        if not complete:
            resp.close()
        resp.release_conn()
    return Response(resp.status, resp.headers, body.take())


def exchange_json(pool, method, url, body=None, *, connect_s=1.0, read_s=2.0):
    """Return the status and the decoded JSON of one exchange.

    The JSON value is ``None`` if the response has no body. Raises
    ``urllib3.exceptions.HTTPError`` for a failed exchange and ``ValueError`` for a
    response that is not JSON.
    """
    data = None if body is None else json.dumps(body).encode()
    resp = exchange(
        pool,
        method,
        url,
        body=data,
        headers=JSON_HEADERS,
        limits=ExchangeLimits(connect_s, read_s, MAX_JSON_BYTES),
    )
    return resp.status, json.loads(resp.data) if resp.data else None
