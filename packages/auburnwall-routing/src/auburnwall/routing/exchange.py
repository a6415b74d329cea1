"""One HTTP exchange with a backend server, checked to be whole and ours.

A connection with an unfinished exchange is closed, never used again. The answer must
echo the request's id and must end as its framing says.
"""

from contextlib import closing, contextmanager

from urllib3.exceptions import HTTPError, NewConnectionError

from auburnwall.base.http import new_pool, timeout

from .exceptions import ExchangeError
from .hop_by_hop import HOP_BY_HOP
from .request import Answer

CONNECT_S = 0.5
MAX_ANSWER_BYTES = 16 * 1024 * 1024
READ_BYTES = 65_536
# Headers of a caller or an answer that are not passed on.
NOT_FORWARDED = HOP_BY_HOP | {"host"}


class Exchanges:
    """Own the connections to backend servers."""

    def __init__(self, connections=512):
        self._pool = new_pool(connections)

    def close(self):
        """Close all idle connections."""
        self._pool.clear()

    @contextmanager
    def open(self, request, address, headers, silence_s, body=None):
        """Send the request and yield the response; raise ``ExchangeError``.

        ``silence_s`` bounds each wait for bytes.
        """
        url = f"http://{address}{request.path}"
        sent_headers = {**forwardable(request.headers), **headers}
        sent_headers["X-Request-Id"] = request.request_id
        try:
            resp = self._pool.request(
                request.method,
                url,
                body=request.body if body is None else body,
                headers=sent_headers,
                timeout=timeout(CONNECT_S, silence_s),
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

    def whole(self, request, address, headers, silence_s, body=None):
        """Return the whole answer of one exchange; raise ``ExchangeError``."""
        with self.open(request, address, headers, silence_s, body) as resp:
            data = resp.read(MAX_ANSWER_BYTES + 1)
            if len(data) > MAX_ANSWER_BYTES:
                raise ExchangeError(
                    "the answer is too large",
                    step="read answer",
                    peer=address,
                    sent=True,
                )
            return Answer(resp.status, forwardable(resp.headers), data)

    def alone(self, request, address, headers, silence_s):
        """Return the whole answer of an exchange on a connection of its own.

        No connection that the other side may have closed is used, so that a failure
        before anything was sent is told from one after.
        """
        with closing(Exchanges(connections=1)) as fresh:
            return fresh.whole(request, address, headers, silence_s)

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
    """Return the headers that are not about one connection."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in NOT_FORWARDED
    }
