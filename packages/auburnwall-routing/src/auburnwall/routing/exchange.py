"""HTTP exchanges with backend servers.

Each response is checked to be complete and to belong to the request: it must be as
long as its framing says and echo the request's id. A connection whose exchange did not
finish is closed and not reused.
"""

from contextlib import closing, contextmanager

import gevent
from urllib3.exceptions import HTTPError, NewConnectionError

from auburnwall.base.http import new_pool, read_response, timeout

from .exceptions import ExchangeError
from .hop_by_hop import HOP_BY_HOP
from .request import Answer

CONNECT_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Headers of a request or a response that are not forwarded.
NOT_FORWARDED = HOP_BY_HOP | {"host"}


class Exchanges:
    """Makes exchanges and owns the connections to backend servers."""

    def __init__(self, clock, connections=512):
        self._clock = clock
        self._pool = new_pool(connections)

    def close(self):
        """Close all idle connections."""
        self._pool.clear()

    @contextmanager
    def open(self, request, address, headers, read_timeout_s, body=None):
        """Send the request and yield the response; raise ``ExchangeError``.

        ``headers`` are added to those of the request, and ``body`` replaces the body
        of the request if it is given. ``read_timeout_s`` limits each read; the head
        must be complete by the request's deadline, or within ``read_timeout_s``.
        """
        url = f"http://{address}{request.path}"
        sent_headers = {**forwardable(request.headers), **headers}
        sent_headers["X-Request-Id"] = request.request_id
        try:
            with self._limit_time(request, address, read_timeout_s):
                resp = self._pool.request(
                    request.method,
                    url,
                    body=request.body if body is None else body,
                    headers=sent_headers,
                    timeout=timeout(CONNECT_TIMEOUT_S, read_timeout_s),
                    preload_content=False,
                    redirect=False,
                    decode_content=False,
                )
        except NewConnectionError as exc:
            raise ExchangeError(
                str(exc), step="connect", peer=address, sent=False
            ) from exc
        except HTTPError as exc:
            raise ExchangeError(str(exc), step="send", peer=address, sent=True) from exc
        try:
            self._check_id(resp, request, address)
            yield resp
        except HTTPError as exc:
            raise ExchangeError(
                str(exc), step="read answer", peer=address, sent=True
            ) from exc
        finally:
            if not resp.closed:
                resp.close()
            resp.release_conn()

    def exchange_complete(self, request, address, headers, read_timeout_s, body=None):
        """Return the complete ``Answer`` of one exchange; raise ``ExchangeError``.

        It must be complete by the request's deadline, or within ``read_timeout_s``.
        """
        with (
            self._limit_time(request, address, read_timeout_s),
            self.open(request, address, headers, read_timeout_s, body) as resp,
        ):
            resp = read_response(resp, MAX_ANSWER_BYTES)
            return Answer(resp.status, forwardable(resp.headers), resp.data)

    def _limit_time(self, request, address, least_s):
        """Return a context that ends at the request's deadline with an error.

        It lasts for ``least_s`` seconds at least.
        """
        total_s = max(least_s, request.deadline - self._clock.monotonic())
        error = ExchangeError(
            f"no complete response within {total_s:.1f} s",
            step="read answer",
            peer=address,
            sent=True,
        )
        return gevent.Timeout(total_s, error)

    def exchange_on_new_connection(self, request, address, headers, read_timeout_s):
        """Return the complete ``Answer`` of an exchange on a new connection.

        A pooled connection may have been closed by the server, and a failure on it
        does not show whether anything was sent. On a new connection, a failure to
        connect shows that nothing was. Raises ``ExchangeError``.
        """
        with closing(Exchanges(self._clock, connections=1)) as exchanges:
            return exchanges.exchange_complete(
                request, address, headers, read_timeout_s
            )

    @staticmethod
    def _check_id(resp, request, address):
        echoed = resp.headers.get("X-Request-Id")
        if echoed != request.request_id:
            raise ExchangeError(
                f"the answer, status {resp.status}, is to request {echoed!r}",
                step="check answer",
                peer=address,
                sent=True,
            )


def forwardable(headers):
    """Return the headers that are to be forwarded: not hop-by-hop and not Host."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in NOT_FORWARDED
    }
