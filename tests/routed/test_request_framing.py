"""Requests whose heads and bodies are framed in an odd way, at both interfaces."""

import gevent.monkey

gevent.monkey.patch_all()

import contextlib  # noqa: E402
import io  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402
from contextlib import ExitStack  # noqa: E402

import gevent  # noqa: E402
from absl import logging  # noqa: E402

from auburnwall.node.callers import make_handler  # noqa: E402
from auburnwall.node.webserver import new_server, read_body  # noqa: E402
from auburnwall.routing.exceptions import BadRequestError  # noqa: E402

from .support import KEY, FrontWithServers  # noqa: E402
from .test_broken_heads import RESET, only  # noqa: E402
from .test_framing_fuzz import RecordingServer  # noqa: E402

MAX_BODY_BYTES = 100_000
HEAD = (
    f"Host: shop.example\r\nAuthorization: Bearer {KEY}\r\nX-Attempt-Id: r\r\n"
).encode()
LINE = b"POST /book/x HTTP/1.1"


def request(*fields, line=LINE, body=b""):
    """Return the bytes of a request."""
    return b"\r\n".join((line, HEAD + b"\r\n".join((*fields, b"", b"")))) + body


class OwnInterface:
    """A server with the request handler of the product's own interface.

    ``requests`` are those that it has read, with method and path, and body. It refuses
    those to the path ``/unread`` without a look at their bodies.
    """

    def __init__(self):
        self.requests = []
        handler = make_handler(5.0, MAX_BODY_BYTES)
        self._server = new_server("127.0.0.1:0", self._serve, handler_class=handler)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        """Stop listening."""
        self._server.stop(0.1)

    def _serve(self, environ, start_response):
        if environ["PATH_INFO"] == "/unread":
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        try:
            body = read_body(environ["wsgi.input"], length, MAX_BODY_BYTES)
        except BadRequestError:
            start_response("400 Bad Request", [("Content-Length", "0")])
            return [b""]
        line = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        self.requests.append((line, body))
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]


class RequestFramingTests(unittest.TestCase):
    """Guards against requests that run otherwise than sent, at either interface."""

    def setUp(self):
        stack = self.enterContext(ExitStack())
        self.server, self.own = RecordingServer(), OwnInterface()
        stack.callback(self.server.stop)
        stack.callback(self.own.stop)
        self.front = stack.enter_context(FrontWithServers())
        only(self.front.desks, self.server)

    def send(self, address, data, leaves):
        """Return the status of the response, 0 without one."""
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=2.0) as sock:
            sock.sendall(data)
            if leaves:
                return 0
            got = sock.recv(65536)
        return int(got[9:12]) if got else 0

    def play(self, data, *, leaves=False):
        """Return status and bodies that ran, of the front and of the own interface."""
        self.server.requests.clear()
        self.own.requests.clear()
        statuses = [
            self.send(address, data, leaves)
            for address in (self.front.address, self.own.address)
        ]
        gevent.sleep(0.01)
        return [
            (statuses[0], [body for _, body in self.server.requests]),
            (statuses[1], [body for _, body in self.own.requests]),
        ]

    def test_sound_requests(self):
        for fields, body in (
            ([b"Content-Length: 2"], b"ab"),
            ([b"Transfer-Encoding: chunked"], b"2;a=b\r\nab\r\n0\r\nX-T: 1\r\n\r\n"),
            ([b"Transfer-Encoding: chunked"], b"1\r\na\r\n1;\r\nb\r\n0\r\n\r\n"),
        ):
            expected = [(200, [b"ab"])] * 2
            self.assertEqual(self.play(request(*fields, body=body)), expected)

    def test_line_that_begins_a_mail(self):
        """The parser of fields drops it at the begin and at the end of a head."""
        line, length = b"From a b", b"Content-Length: 2"
        for data in (
            request(line, length, body=b"ab"),
            request(length, line, body=b"ab"),
            request(length, body=b"ab").replace(HEAD, line + b"\r\n" + HEAD),
        ):
            with self.subTest(data=data):
                self.assertEqual(self.play(data), [(400, [])] * 2)

    def test_body_in_several_parts(self):
        """The parser of fields reads on for the parts, and misses them."""
        for kind in (
            b"multipart/form-data; boundary=b",
            b"multipart/mixed",
            b"multipart/related; boundary=b\r\nContent-Transfer-Encoding: base64",
        ):
            data = request(b"Content-Type: " + kind, b"Content-Length: 2", body=b"ab")
            with self.subTest(kind=kind):
                self.assertEqual(self.play(data), [(200, [b"ab"])] * 2)

    def test_request_that_asks_for_another_protocol(self):
        """Its body ends where it says, not where the connection does."""
        for ask in (b"Connection: Upgrade", b"Upgrade: websocket"):
            sized = request(ask, b"Content-Length: 2", body=b"ab")
            chunks = b"2\r\nab\r\n0\r\n\r\n"
            chunked = request(ask, b"Transfer-Encoding: chunked", body=chunks)
            for data in (sized, chunked):
                with self.subTest(data=data, ends=True):
                    self.assertEqual(self.play(data), [(200, [b"ab"])] * 2)
            # On a connection that is open, a request is sent on without a wait.
            self.play(request(b"Content-Length: 0"))
            for data in (sized[:-1], chunked[:-7]):
                with self.subTest(data=data, ends=False):
                    self.assertEqual(self.play(data, leaves=True), [(0, [])] * 2)

    def test_lengths_that_two_readers_may_read_differently(self):
        chunks = b"2\r\nab\r\n0\r\n\r\n"
        digits = (
            b"+2",
            b"-2",
            b"0x2",
            b"2_0",
            b"\x0b2",
            b"2\x0c",
            b"\xb2",
            b"2, 2",
            b"",
        )
        codings = (
            b"\x0bchunked", b"chunked\xa0", b"gzip, chunked", b"chunked, chunked",
            b"identity", b"",
        )  # fmt: skip
        for fields, body in (
            *(([b"Content-Length: " + text], b"ab" * 10) for text in digits),
            *(([b"Transfer-Encoding: " + text], chunks) for text in codings),
            ([b"Content-Length: 2", b"Content-Length: 3"], b"abc"),
            ([b"Content-Length: 2", b"content-length: 2"], b"ab"),
            ([b"Content-Length: 2", b"Transfer-Encoding: chunked"], chunks),
            ([b"Transfer-Encoding: chunked", b"Content-Length: 2"], chunks),
            ([b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"], chunks),
            ([b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip"], chunks),
        ):
            with self.subTest(fields=fields):
                # What is taken for the next request must not run either.
                data = request(*fields, body=body + request(b"Content-Length: 0"))
                self.assertEqual(self.play(data), [(400, [])] * 2)

    def test_first_lines_that_are_none(self):
        for line in (
            b"POST /book/x HTTP/1",
            b"POST /book/x HTTP/",
            b"POST /book/x HTTP/1.",
            b"POST /book/x HTTP/1.1.1",
            b"POST /book/x HTTP/+1.1",
            b"POST /book/x HTTP/1.-0",
            b"POST /book/x HTTP/01.1",
            b"POST /book/x HTTP/1.1_0",
            b"POST /book/x HTTP/2.0",
            b"POST /book/x HTTP/0.9",
            b"POST /book/x http/1.1",
            b"GET /look/x",
            b"POST\x0b/book/x\x0cHTTP/1.1",
            b"POST  /book/x HTTP/1.1",
            b" POST /book/x HTTP/1.1",
            b"POST /book/x HTTP/1.1 ",
            b"POST /book/x\xa0HTTP/1.1",
            b"POST /book/\x01 HTTP/1.1",
            b"POST /book/\xff HTTP/1.1",
            b"PO(ST /book/x HTTP/1.1",
            b"\xff /book/x HTTP/1.1",
        ):
            with self.subTest(line=line):
                data = request(b"Content-Length: 0", line=line)
                self.check_refused(data)

    def check_refused(self, data):
        """Check that both interfaces answer 400 and log one line, without traceback."""
        with (
            contextlib.redirect_stderr(io.StringIO()) as errors,
            self.assertLogs(logging.get_absl_logger()) as logs,
        ):
            self.assertEqual(self.play(data), [(400, [])] * 2)
        self.assertEqual(errors.getvalue(), "")
        lines = [(r.getMessage(), r.fields["status"]) for r in logs.records]
        self.assertEqual(lines, [("request head refused", 400)] * 2)

    def test_refused_heads_are_logged_in_one_line(self):
        for fields in (
            [b"no field"],
            [b"a;b: c"],
            [b"Content-Length/: 2"],
            [b"a: b\rc"],
            [b"a: b", b" c"],
            [b"Content-Length: two"],
            [b"Content-Length: 2", b"Transfer-Encoding: chunked"],
        ):
            with self.subTest(fields=fields):
                self.check_refused(request(*fields))

    def test_caller_that_resets_its_connection_leaves_no_traceback(self):
        whole = request(b"Content-Length: 2", body=b"ab")
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            for data in (whole[:9], whole[:40], b"bad\r\n" + whole):
                for address in (self.front.address, self.own.address):
                    host, _, port = address.rpartition(":")
                    sock = socket.create_connection((host, int(port)))
                    sock.sendall(data)
                    gevent.sleep(0.01)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    sock.close()
                    gevent.sleep(0.01)
        self.assertEqual(errors.getvalue(), "")

    def test_chunks_that_are_none(self):
        sound = b"2\r\nab\r\n0\r\n\r\n"
        for chunks in (
            b"\r\n" + sound,
            b";a=b\r\n" + sound,
            b"2\r\nab\r\n\r\n" + sound,
            b"0x2\r\nab\r\n0\r\n\r\n",
            b"-0\r\n\r\n",
            b"2\r\nabXX" + sound,
            b"2\r\nab\r\n0\r\na b: c\r\n\r\n",
            # A reader that ends lines at LF takes this for other chunks.
            b"2;a\nab\r\nab\r\n0\r\n\r\n",
            b"1;\n\r\na\r\n0\r\n\r\n",
            b"2\r\nab\r\n0;\n\r\n\r\n",
            b"2\r\nab\r\n0\r\na: b\nc: d\r\n\r\n",
        ):
            data = request(b"Transfer-Encoding: chunked", body=chunks)
            with self.subTest(chunks=chunks):
                # What is taken for the next request must not run either.
                more = request(b"Content-Length: 0")
                with contextlib.redirect_stderr(io.StringIO()) as errors:
                    self.assertEqual(self.play(data + more), [(400, [])] * 2)
                self.assertEqual(errors.getvalue(), "")

    def test_line_feeds_in_the_data_of_chunks(self):
        for data in (b"\n", b"\r", b"\n\n", b"\r\n", b"a\n", b"\na"):
            for size in (1, 2):
                pieces = [data[at : at + size] for at in range(0, len(data), size)]
                chunks = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces)
                chunked = b"Transfer-Encoding: chunked"
                with self.subTest(data=data, size=size):
                    got = self.play(request(chunked, body=chunks + b"0\r\n\r\n"))
                    self.assertEqual(got, [(200, [data])] * 2)

    def test_body_that_is_not_read_to_its_end(self):
        """Nothing behind the error, or the limit, is another request."""
        evil = request(b"Content-Length: 0")
        # The reader reads in such pieces; with each of them another request begins.
        piece_bytes = 8_192
        pad = piece_bytes - len(request(b"P: ", b"Content-Length: 0"))
        piece = request(b"P: " + b"x" * pad, b"Content-Length: 0")
        big = piece * 300
        head_bytes = len(request(b"P: ", b"Content-Length: %d" % len(big)))
        big_fields = [
            b"P: " + b"x" * (piece_bytes - head_bytes),
            b"Content-Length: %d" % len(big),
        ]
        for fields, body in (
            ([b"Transfer-Encoding: chunked"], b"x\r\n" + evil),
            ([b"Transfer-Encoding: chunked"], b"\r\n" + evil),
            ([b"Transfer-Encoding: chunked"], b"2\r\nabc\r\n" + evil),
            ([b"Transfer-Encoding: chunked"], b"0\r\na b\r\n" + evil),
            ([b"Transfer-Encoding: chunked"], b"x" + evil),
            ([b"Transfer-Encoding: chunked"], b"2\r\nabX" + evil),
            ([b"Transfer-Encoding: chunked"], b"0\r\na b" + evil),
            (big_fields, big),
        ):
            for line in (LINE, b"POST /unread HTTP/1.1"):
                with self.subTest(line=line, fields=fields, body=body[:20]):
                    self.own.requests.clear()
                    data = request(*fields, line=line, body=body)
                    with contextlib.suppress(ConnectionError):
                        self.send(self.own.address, data, leaves=False)
                    gevent.sleep(0.05)
                    self.assertEqual(len(self.own.requests), 0)


if __name__ == "__main__":
    unittest.main()
