"""Run one stand-in of a backend server as a process, registered in the store.

``python3 -m review.lib2.server_process`` with a JSON object of ``ServerSpec`` fields.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from contextlib import suppress  # noqa: E402
from typing import NamedTuple  # noqa: E402

import bottle  # noqa: E402
import gevent  # noqa: E402
import urllib3  # noqa: E402

from standins.modelserver import ModelServerStandin  # noqa: E402
from standins.server import StandinServer  # noqa: E402

HEARTBEAT_S = 1.2
ENDLESS_BYTES, ENDLESS_PAUSE_S = 65_536, 0.01
CHUNKS = b"1\r\nx\r\n" * 10_000


class ServerSpec(NamedTuple):
    """What one server process is; times are in seconds.

    ``registered`` is the address in its entry, if a proxy stands before it. ``domain``
    is empty for a plain server.
    """

    name: str
    service: str
    domain: str
    store: str
    address: str
    registered: str
    run_log: str
    zone: str = "norte"
    slots: int = 9
    answer_s: float = 0.0
    event_s: float = 0.04
    events: int = 60
    in_chunks: bool = False


class RemoteStore:
    """Writes a server's entry to the store of another process."""

    def __init__(self, address):
        self._url = f"http://{address}/standin/put"
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)

    def put(self, topic, key, value):
        """Write a record; a store that cannot be reached is tried again later."""
        body = {"topic": topic, "key": key, "value": value}
        with suppress(urllib3.exceptions.HTTPError):
            self._http.request("POST", self._url, json=body)


class LoggingServer(ModelServerStandin):
    """A server that logs each request that it begins to run.

    While ``is_endless``, the bodies of its answers have no end, until the caller
    closes: ``ENDLESS_BYTES`` each ``ENDLESS_PAUSE_S``, or with ``in_chunks`` chunks of
    one byte, as fast as they are read.
    """

    is_endless = False

    def __init__(self, spec):
        super().__init__(
            RemoteStore(spec.store),
            spec.name,
            spec.service,
            spec.zone,
            spec.domain,
            slots=spec.slots,
            heartbeat_s=HEARTBEAT_S,
        )
        self._http = StandinServer(self._new_app(), spec.address)
        self.registered_address = spec.registered
        self.answer_s, self.event_s = spec.answer_s, spec.event_s
        self.events = spec.events
        self._in_chunks = spec.in_chunks
        self._run_log = open(spec.run_log, "a", buffering=1)  # noqa: SIM115

    def _new_app(self):
        app = bottle.Bottle()
        app.route("/-/report", "GET", self._report)
        app.route("/-/order", "POST", self._order)
        app.route("/<path:path>", ["GET", "POST"], self._serve)
        return app

    def _serve(self, path):
        headers = bottle.request.headers
        if headers.get("X-Expect-Instance") == self.server:
            attempt, after = headers.get("X-Attempt-Id"), headers.get("Last-Event-Id")
            self._run_log.write(
                f"{time.time():.3f} run {attempt} at {self.server}"
                f" path /{path} after event {after}\n"
            )
            if self.is_endless:
                self._answer_without_end(bottle.request)
        return super()._serve(path)

    def _answer_without_end(self, req):
        """Send the head of an answer, then its body until the caller closes."""
        sock = req.environ["standin.socket"]
        field, piece, pause_s = (
            ("Transfer-Encoding: chunked", CHUNKS, 0.0)
            if self._in_chunks
            else ("Connection: close", b"x" * ENDLESS_BYTES, ENDLESS_PAUSE_S)
        )
        with suppress(OSError):
            sock.sendall(self._response_head(req, field))
            while True:
                sock.sendall(piece)
                gevent.sleep(pause_s)
        sock.close()
        raise gevent.GreenletExit

    def begin_trouble(self):
        """Let all answers from now on be without end."""
        self.is_endless = True

    def end_trouble(self):
        """Let the answers be whole again."""
        self.is_endless = False


def main():
    """Serve until killed; SIGUSR1 begins the trouble, SIGUSR2 ends it."""
    server = LoggingServer(ServerSpec(**json.loads(sys.argv[1])))
    gevent.signal_handler(signal.SIGUSR1, server.begin_trouble)
    gevent.signal_handler(signal.SIGUSR2, server.end_trouble)
    server.start()
    gevent.get_hub().join()


if __name__ == "__main__":
    main()
