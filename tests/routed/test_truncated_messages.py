"""Messages that end early, at any byte, count for nothing."""

import gevent.monkey

gevent.monkey.patch_all()

import json  # noqa: E402
import socket  # noqa: E402
import struct  # noqa: E402
import unittest  # noqa: E402
from contextlib import contextmanager  # noqa: E402
from types import SimpleNamespace  # noqa: E402

import gevent  # noqa: E402

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
from .support import KEY, FrontWithServers, send_call  # noqa: E402

SEALED_HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\n"
CHUNKED = SEALED_HEAD + b"Transfer-Encoding: chunked\r\n"
# Responses whose framing is spoiled, and sound ones.
SPOILED = (
    *(
        CHUNKED + b"\r\n" + chunks
        for chunks in (
            b"2\r\nok\r\n-0\r\n\r\n",
            b"0x2\r\nok\r\n0\r\n\r\n",
            b"+2\r\nok\r\n0\r\n\r\n",
            b"0_2\r\nok\r\n0\r\n\r\n",
            b" 2\r\nok\r\n0\r\n\r\n",
            b"2\r\nokXX0\r\n\r\n",
            b"2\r\nok\n\r0\r\n\r\n",
            b"2\r\nok\r\n\r\n0\r\n\r\n",
            b"2 2\r\nok\r\n0\r\n\r\n",
            b"2\r\nok\r\n0\r\nno field\r\n\r\n",
            b"2\r\nok\r\n0\r\n: x\r\n\r\n",
            b"2\r\nok\r\n0\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        )
    ),
    CHUNKED + b"Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    SEALED_HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    SEALED_HEAD + b"Transfer-Encoding: identity\r\n\r\nok",
    SEALED_HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    *(
        SEALED_HEAD + b"Content-Length: " + length + b"\r\n\r\nok"
        for length in (
            b"-2",
            b"+2",
            b"2, 2",
            b"0x2",
            b"two",
            b"",
            b"2_0",
            b"\xb2",
            b"\v2",
            b"2\f",
        )
    ),
    SEALED_HEAD + b"a;b: c\r\nContent-Length: 2\r\n\r\nok",
    SEALED_HEAD + b"Content-Length/: 2\r\n\r\nok",
    *(
        SEALED_HEAD.replace(b"HTTP/1.1 200 OK", line) + b"Content-Length: 2\r\n\r\nok"
        for line in (
            b"HTTP/1.1 +200 OK",
            b"HTTP/1.1 0200 OK",
            b"HTTP/1.1 2_00 OK",
            b"HTTP/1.1\x0b200 OK",
            b"HTTP/1.1 200\x0bOK",
            b"\tHTTP/1.1 200 OK",
            b" HTTP/1.1 200 OK",
            b"HTTP/1HTTP/1.1 200 OK",
            b"HTTP/1.1x 200 OK",
            b"HTTP/1. 200 OK",
            b"x HTTP/1.1 200 OK",
        )
    ),
)
SOUND = (
    CHUNKED + b"\r\n2\r\nok\r\n0\r\n\r\n",
    CHUNKED + b"\r\n02 ;a=b\r\nok\r\n00\r\nX-Trailer: 1\r\n\r\n",
    CHUNKED + b"\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
    SEALED_HEAD + b"Content-Length: 2 \r\n\r\nok",
    SEALED_HEAD + b"\r\nok",
    *(
        SEALED_HEAD.replace(b"HTTP/1.1 200 OK", line) + b"Content-Length: 2\r\n\r\nok"
        for line in (b"HTTP/1.1 200", b"HTTP/1.1 200 ", b"HTTP/1.0 200 O K")
    ),
    SEALED_HEAD + b"Content-Type: multipart/mixed; boundary=b\r\n"
    b"Content-Length: 2\r\n\r\nok",
)


class CuttingServer(RawServer):
    """Sends the first ``cut`` bytes of ``answer`` to each request, then closes.

    ``%s`` in the answer stands for the request's id.
    """

    def __init__(self, answer):
        self.answer, self.cut = answer, None
        super().__init__()

    def serve(self, sock):
        if request := read_request(sock):
            answer = self.answer.replace(b"%s", attempt_id(request))
            sock.sendall(answer[: self.cut])


def answer(body, *fields):
    """Return a response with a body, or with its chunks if ``body`` is a list."""
    if isinstance(body, list):
        fields = (*fields, "Transfer-Encoding: chunked")
        pieces = [b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in body]
        body = b"".join([*pieces, b"0\r\n\r\n"])
    else:
        fields = (*fields, f"Content-Length: {len(body)}")
    head = "\r\n".join(("HTTP/1.1 200 OK", *fields, "", ""))
    return head.encode() + body


@contextmanager
def front_before(server, names):
    """Run a front whose servers ``names`` (``desks``, ``engines``) are ``server``."""
    with FrontWithServers() as front:
        servers = getattr(front, names)
        for standin in servers[:]:
            servers.remove(standin)
            replaced = SimpleNamespace(server=standin.server, address=server.address)
            servers.append(replaced)
        # Failures must not make the repeats of other requests scarce.
        front.budget.take = lambda: True
        yield front


class TruncatedResponseTests(unittest.TestCase):
    """Guards against an answer cut off in its head that passes as a whole success."""

    SEALED = ("X-Attempt-Id: %s", "X-Server-Seal: seal-1", "X-Late: 1")

    def server(self, whole):
        server = CuttingServer(whole)
        self.addCleanup(server.stop)
        return server

    def check_request(self, path, names, whole, body):
        server = self.server(whole)
        with front_before(server, names) as front:
            for cut in range(len(whole)):
                server.cut = cut
                with self.subTest(path=path, cut=whole[:cut][-30:]):
                    try:
                        status, _, got = send_call(front.address, "POST", path, "r1")
                    except OSError:
                        continue
                    except Exception as exc:
                        # A stream that ends within its chunks.
                        self.assertIn("IncompleteRead", repr(exc))
                        continue
                    self.assertFalse(200 <= status < 300, (status, got))
            server.cut = None
            status, _, got = send_call(front.address, "POST", path, "r2")
            self.assertEqual((status, got), (200, body))

    def test_answers(self):
        body = b"a body of some bytes"
        for path in ("/book/x", "/look/x"):
            for sent in (body, [body[:5], body[5:]]):
                whole = answer(sent, *self.SEALED)
                self.check_request(path, "desks", whole, body)

    def test_streams(self):
        events = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"]
        whole = answer(events, "Content-Type: text/event-stream", *self.SEALED)
        self.check_request("/once/x", "engines", whole, b"".join(events))

    def check_call(self, call, error, whole):
        """Check that a call fails however its response is cut."""
        server = self.server(whole)
        call(server.address)
        for cut in range(len(whole)):
            server.cut = cut
            with self.subTest(cut=whole[:cut][-30:]), self.assertRaises(error):
                call(server.address)

    def test_probes_and_orders(self):
        client = ServerClient()
        report = json.dumps({"born": 5}).encode()
        probe = lambda at: client.fetch_report("m-1", at)  # noqa: E731
        order = lambda at: client.send_order("m-1", at, StageOrder("big"))  # noqa: E731
        self.check_call(probe, EngineError, answer(report, "X-Instance-Id: m-1"))
        self.check_call(order, EngineError, answer(b"", "X-Instance-Id: m-1"))

    def test_reads_of_the_store(self):
        read = lambda at: StoreTables(at).read("fleet", 0, wait_s=0.0)  # noqa: E731
        newest = lambda at: StoreTables(at).newest("fleet")  # noqa: E731
        record = b"\x01kvalue"
        records = struct.pack(">QQI", 1, 0, len(record)) + record
        page = json.dumps({"Entries": [], "HasMore": False, "End": 3}).encode()
        self.check_call(read, LogUnavailableError, answer(records, "Store-Era: 12"))
        self.check_call(newest, LogUnavailableError, answer(page, "Store-Era: 12"))

    def test_answers_of_model_engines_and_services(self):
        clock = SystemClock()
        request = CallerRequest(
            "r-1", "a", 1.0, "x", clock.monotonic() + 60, 0, "GET", "/x", {}, b""
        )
        exchanges = Exchanges(clock)
        self.check_call(
            lambda at: exchanges.exchange_complete(request, at, {}, 1.0),
            ExchangeError,
            answer(b"body", "X-Request-Id: r-1", "X-Late: 1"),
        )


class SpoiledFramingTests(unittest.TestCase):
    """Guards against a body that is taken for sound although its framing is spoiled."""

    def statuses(self, answers):
        server = CuttingServer(b"")
        self.addCleanup(server.stop)
        with front_before(server, "desks") as front:
            for answer in answers:
                server.answer = answer
                for path in ("/book/x", "/look/x"):
                    status, _, body = send_call(front.address, "POST", path, "r1")
                    yield answer, status, body

    def test_spoiled_framing(self):
        for answer, status, body in self.statuses(SPOILED):
            with self.subTest(answer=answer[60:]):
                self.assertEqual(status, 502, body)

    def test_sound_framing(self):
        for answer, status, body in self.statuses(SOUND):
            with self.subTest(answer=answer[60:]):
                self.assertEqual((status, body), (200, b"ok"))


class TruncatedRequestTests(unittest.TestCase):
    """Guards against a request that runs although its caller left within it."""

    HEAD = (
        "POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r1\r\n"
        f"Authorization: Bearer {KEY}\r\n"
    ).encode()

    def test_requests(self):
        sized = self.HEAD + b"Content-Length: 5\r\n\r\nhello"
        chunked = self.HEAD + (
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
        )
        for whole in (sized, chunked):
            with FrontWithServers() as front:
                for desk in front.desks:
                    # With open connections a request is sent on without a wait.
                    while not desk.seen:
                        self.assertIn(b" 200 ", self.send(front.address, whole))
                for desk in front.desks:
                    desk.seen.clear()
                for cut in range(len(whole)):
                    self.send(front.address, whole[:cut], leave=True)
                    with self.subTest(cut=whole[:cut][-30:]):
                        gevent.sleep(0.005)
                        for desk in front.desks:
                            self.assertEqual(desk.seen, [])
                            desk.seen.clear()

    def send(self, address, data, *, leave=False):
        """Send bytes and return the response, or leave without it."""
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=3.0) as sock:
            sock.sendall(data)
            return b"" if leave else sock.recv(65536)


if __name__ == "__main__":
    unittest.main()
