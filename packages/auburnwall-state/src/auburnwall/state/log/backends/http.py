"""The platform's log over HTTP; see ``docs/ref/log.md``."""

from urllib.parse import quote

from urllib3.exceptions import HTTPError, NewConnectionError

from auburnwall.base.http import exchange_json, new_pool

from ...exceptions import LogTruncatedError, LogUnavailableError
from ..base import LogBatch, LogClient, LogRecord

# The timeout of a read is this much longer than the time it waits for new records.
_READ_MARGIN_S = 1.0


class HttpLog(LogClient):
    """Client of the log service at ``url``."""

    def __init__(self, url, *, timeout_s=2.0):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = new_pool()

    def append(self, stream, payloads):
        """Append ``payloads`` and return the offset of the first one."""
        response = self._exchange(
            "POST", self._path(stream), {"records": payloads}, self._timeout_s
        )
        return response["offset"]

    def read(self, stream, offset, *, limit, wait_s):
        """Return records from ``offset`` on, waiting up to ``wait_s`` for the first."""
        path = f"{self._path(stream)}?from={offset}&limit={limit}"
        path += f"&wait_ms={int(wait_s * 1000)}"
        response = self._exchange("GET", path, None, wait_s + _READ_MARGIN_S)
        records = [LogRecord(*row) for row in response["records"]]
        return LogBatch(records, response["oldest"], response["end"])

    def close(self):
        """Close idle connections."""
        self._pool.clear()

    def _path(self, stream):
        return f"{self._url}/v1/streams/{quote(stream, safe='')}/records"

    def _exchange(self, method, url, body, read_s):
        step = "log append" if method == "POST" else "log read"
        try:
            status, response = exchange_json(
                self._pool, method, url, body, read_s=read_s
            )
        except NewConnectionError as exc:
            raise LogUnavailableError(
                str(exc), step=step, peer=self._url, effect_possible=False
            ) from exc
        except (HTTPError, ValueError) as exc:
            raise LogUnavailableError(str(exc), step=step, peer=self._url) from exc
        if status == 410:
            raise LogTruncatedError(response["oldest"], step=step, peer=self._url)
        if status != 200:
            raise LogUnavailableError(
                f"status {status}",
                step=step,
                peer=self._url,
                effect_possible=status not in (429, 503),
            )
        return response
