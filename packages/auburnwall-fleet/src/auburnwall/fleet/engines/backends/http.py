"""Engine adapter over HTTP; see ``docs/ref/engine.md``."""

from urllib3.exceptions import HTTPError

from auburnwall.base.http import exchange_json, new_pool

from ...exceptions import EngineError, OrderRefusedError
from ..base import Engine, EngineReport, IdleOrder, LoadOrder, PreloadOrder

CONNECT_TIMEOUT_S = 0.3
PROBE_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 1.0
ORDER_KINDS = {LoadOrder: "load", IdleOrder: "idle", PreloadOrder: "preload"}


class HttpEngine(Engine):
    """Call engines over HTTP.

    ``connections`` is the size of the connection pool.
    """

    def __init__(self, connections=256):
        self._pool = new_pool(connections)

    def report(self, address):
        """Return the engine's report on itself."""
        status, response = self._exchange(
            "GET", address, "/health", None, PROBE_TIMEOUT_S
        )
        if status != 200:
            raise EngineError(f"HTTP status {status}", step="probe", peer=address)
        try:
            return EngineReport(
                response["boot_id"],
                response["state"],
                int(response["generation"]),
                str(response.get("version", "")),
                int(response["running"]),
                int(response["bears"]),
                int(response["fence"]),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise EngineError(repr(exc), step="probe", peer=address) from exc

    def send_order(self, address, order):
        """Send an order; a response with status 409 means that it is refused."""
        body = {"kind": ORDER_KINDS[type(order)], **order._asdict()}
        status, response = self._exchange(
            "POST", address, "/orders", body, ORDER_TIMEOUT_S
        )
        if status == 409:
            raise OrderRefusedError(str(response), step="order", peer=address)
        if status != 200:
            raise EngineError(f"HTTP status {status}", step="order", peer=address)

    def cancel(self, address, request_id):
        """Ask the engine to stop a request; the response status is not checked."""
        body = {"request_id": request_id}
        self._exchange("POST", address, "/cancel", body, ORDER_TIMEOUT_S)

    def _exchange(self, method, address, path, body, read_timeout_s):
        url = f"http://{address}{path}"
        try:
            return exchange_json(
                self._pool,
                method,
                url,
                body,
                connect_s=CONNECT_TIMEOUT_S,
                read_s=read_timeout_s,
            )
        except (HTTPError, ValueError) as exc:
            raise EngineError(str(exc), step=method + path, peer=address) from exc
