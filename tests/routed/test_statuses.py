"""A response counts only with a status of three digits from 200 to 599.

Guards against a server in trouble whose status, such as 000 or 600, reaches the caller
as an answer.
"""

import gevent.monkey

gevent.monkey.patch_all()

import unittest  # noqa: E402
from types import SimpleNamespace  # noqa: E402

from auburnwall.base.clock import SystemClock  # noqa: E402
from auburnwall.fleet.engines.group import StageOrder  # noqa: E402
from auburnwall.fleet.exceptions import EngineError  # noqa: E402
from auburnwall.platform.servers import ServerClient  # noqa: E402
from auburnwall.platform.store import StoreTables  # noqa: E402
from auburnwall.routing.exceptions import ExchangeError  # noqa: E402
from auburnwall.routing.exchange import Exchanges  # noqa: E402
from auburnwall.routing.request import CallerRequest  # noqa: E402
from auburnwall.state.exceptions import LogUnavailableError  # noqa: E402

from .raw_server import RawServer, attempt_id, read_request  # noqa: E402
from .support import FrontWithServers, send_call  # noqa: E402

PATHS = ("/book/x", "/look/x", "/ask/x", "/once/x")
# What stands between the protocol and the reason; none of them is a final status.
BAD_STATUSES = (
    *("000", "001", "007", "010", "099", "101", "600", "601", "700", "999"),
    *("0", "7", "20", "2000", "0200", "-200", "+200", "2e2", "0x2", "20x", "", "OK"),
    *(" 200", "\t200", "200\t", "2 00", "200,200"),
)
BAD_VERSIONS = ("HTTP/0.9", "HTTP/2.0", "HTTP/1", "HTTP/11.1", "http/1.1", "ICY")
EVENT = b"id: 1\ndata: x\n\n"


class StatusServer(RawServer):
    """Answers each request with the first line ``line``, sealed and with a body."""

    line = b""

    def serve(self, sock):
        while request := read_request(sock):
            fields = b"X-Attempt-Id: %b\r\nX-Server-Seal: seal\r\nX-Request-Id: r\r\n"
            length = b"Content-Length: %d\r\n\r\n" % len(EVENT)
            head = self.line + b"\r\n" + fields % attempt_id(request)
            sock.sendall(head + b"Content-Type: text/event-stream\r\n" + length + EVENT)


def bad_lines():
    """Return first lines of responses that are none."""
    return [f"HTTP/1.1 {status} Text".encode() for status in BAD_STATUSES] + [
        f"{version} 200 OK".encode() for version in BAD_VERSIONS
    ]


class StatusTests(unittest.TestCase):
    def setUp(self):
        self.server = StatusServer()
        self.addCleanup(self.server.stop)

    def test_callers_get_502(self):
        with FrontWithServers() as front:
            front.budget.take = lambda: True
            for servers in (front.desks, front.engines):
                servers[:] = [
                    SimpleNamespace(server=s.server, address=self.server.address)
                    for s in servers
                ]
            for path in PATHS:
                for number, line in enumerate(bad_lines()):
                    with self.subTest(path=path, line=line):
                        self.server.line = line
                        status, headers, _ = send_call(
                            front.address, "POST", path, f"r-{number}"
                        )
                        self.assertEqual(status, 502)
                        self.assertNotIn("X-Server-Seal", headers)
                self.server.line = b"HTTP/1.1 200 OK"
                status, headers, _ = send_call(front.address, "POST", path, "r-whole")
                self.assertEqual((status, headers["X-Server-Seal"]), (200, "seal"))

    def check_calls(self, call, error):
        for line in bad_lines():
            with self.subTest(line=line), self.assertRaises(error):
                self.server.line = line
                call(self.server.address)

    def test_probes_and_orders(self):
        client = ServerClient()
        self.check_calls(lambda at: client.fetch_report("m-1", at), EngineError)
        order = StageOrder("big")
        self.check_calls(lambda at: client.send_order("m-1", at, order), EngineError)

    def test_reads_of_the_store(self):
        self.check_calls(
            lambda at: StoreTables(at).read("fleet", 0, wait_s=0.0), LogUnavailableError
        )

    def test_engines_and_services_of_the_own_interface(self):
        clock = SystemClock()
        exchanges = Exchanges(clock)
        deadline = clock.monotonic() + 5.0
        request = CallerRequest("r", "t", 1.0, "m", deadline, 5, "POST", "/", {}, b"{}")
        self.check_calls(
            lambda at: exchanges.exchange_complete(request, at, {}, 1.0), ExchangeError
        )


if __name__ == "__main__":
    unittest.main()
