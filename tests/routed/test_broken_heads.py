"""Heads that are broken off, and what a node makes of the bytes behind the break."""

import gevent.monkey

gevent.monkey.patch_all()

import http.client  # noqa: E402
import itertools  # noqa: E402
import socket  # noqa: E402
import struct  # noqa: E402
import unittest  # noqa: E402
from contextlib import closing  # noqa: E402

from auburnwall.base.clock import SystemClock  # noqa: E402
from auburnwall.routing.exceptions import ExchangeError  # noqa: E402
from auburnwall.routing.exchange import Exchanges  # noqa: E402
from auburnwall.routing.request import CallerRequest  # noqa: E402

from .raw_server import RawServer, attempt_id, read_request  # noqa: E402
from .support import FrontWithServers, send_call  # noqa: E402

# The id of a request that is answered in full, so that its connection is kept.
WARM_ID = "w"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
# Closes a connection with a reset.
RESET = struct.pack("ii", 1, 0)


def response(framing, body, status=b"200 OK", seal=b"s", fields=b""):
    """Return a response; ``%s`` in it stands for the id of the request."""
    head = b"HTTP/1.1 " + status + b"\r\nX-Attempt-Id: %s\r\n"
    head += b"X-Server-Seal: " + seal + b"\r\n" + fields
    if framing == "sized":
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if framing == "chunked":
        half = len(body) // 2
        chunks = [b"%x\r\n%b\r\n" % (len(c), c) for c in (body[:half], body[half:])]
        return (
            head + b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(chunks)
        ) + b"0\r\n\r\n"
    return head + b"\r\n" + body


class BreakingServer(RawServer):
    """Sends the first ``cut`` bytes of ``answer`` and closes, or resets, then.

    The request with the id ``WARM_ID`` gets the whole of ``warm_answer``, and its
    connection is kept.
    """

    def __init__(self, server="desk-0"):
        self.server = server
        self.answer = self.warm_answer = b""
        self.cut, self.resets = None, False
        self.broken = []
        super().__init__()

    def serve(self, sock):
        for number in itertools.count():
            if not (request := read_request(sock)):
                return
            request_id = attempt_id(request)
            if request_id == WARM_ID.encode():
                sock.sendall(self.warm_answer.replace(b"%s", request_id))
                continue
            self.broken.append(number)
            sock.sendall(self.answer.replace(b"%s", request_id)[: self.cut])
            if self.resets:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return


def only(servers, server):
    """Make ``server`` the only one of ``servers``."""
    del servers[1:]
    server.server = servers[0].server
    servers[0] = server


class BrokenAnswerTests(unittest.TestCase):
    """Guards against a success, or a promise, for an answer that broke off."""

    def call(self, front, path, request_id="r"):
        """Return status, body and whether the response looks complete."""
        try:
            status, _, body = send_call(front.address, "POST", path, request_id)
        except http.client.IncompleteRead as exc:
            return 200, exc.partial, False
        return status, body, True

    def check(self, front, server, path, framing, body, is_warm, resets):
        """Break an answer after each of its bytes; return the number of breaks."""
        whole = response(framing, body).replace(b"%s", b"r")
        server.answer, server.warm_answer = whole, response("sized", body)
        server.resets = resets
        head_size = whole.index(b"\r\n\r\n") + 4
        # Without a reset, a body without a length ends wherever its connection does.
        is_told = framing != "none" or resets
        for cut in range(len(whole) if is_told else head_size):
            server.cut = cut
            if is_warm:
                self.assertEqual(self.call(front, path, WARM_ID)[0], 200)
            status, got, complete = self.call(front, path)
            with self.subTest(
                path=path, framing=framing, reset=resets, warm=is_warm, cut=whole[:cut]
            ):
                if complete:
                    self.assertEqual(status, 502, got)
                else:
                    self.assertTrue(path == "/once/x" and body.startswith(got), got)
        self.assertEqual({bool(n) for n in server.broken}, {is_warm})
        server.broken.clear()
        server.cut, server.resets = None, False
        self.assertEqual(self.call(front, path), (200, body, True))
        server.broken.clear()

    def check_all(self, front, server, paths):
        for path, framing, (is_warm, resets) in itertools.product(
            paths, ("sized", "chunked", "none"), ((False, True), (True, False))
        ):
            body = EVENTS if path == "/once/x" else b"body"
            self.check(front, server, path, framing, body, is_warm, resets)

    def server(self):
        server = BreakingServer()
        self.addCleanup(server.stop)
        return server

    def test_answers_to_bookings(self):
        server = self.server()
        with FrontWithServers() as front:
            only(front.desks, server)
            self.check_all(front, server, ["/book/x"])

    def test_streams(self):
        server = self.server()
        with FrontWithServers() as front:
            only(front.engines, server)
            self.check_all(front, server, ["/once/x"])

    def test_answers_of_a_peer(self):
        server = self.server()
        with FrontWithServers(peers=[server]) as front:
            front.reach.cut_off = True
            front.detours.note_unreachable = lambda peer: None
            self.check_all(front, server, ["/book/x", "/once/x"])

    def test_request_that_may_be_repeated_is_answered_elsewhere(self):
        server = self.server()
        whole = response("sized", b"body")
        server.answer = server.warm_answer = whole
        with FrontWithServers() as front:
            server.server = front.desks[0].server
            front.desks[0] = server
            front.budget.take = lambda: True
            for server.resets, server.cut in itertools.product(
                (False, True), range(len(whole) - 2)
            ):
                while not server.broken:
                    status, headers, body = send_call(
                        front.address, "POST", "/look/x", "r"
                    )
                    self.assertEqual(status, 200)
                    self.assertNotEqual(headers["X-Server-Seal"], "s")
                    self.assertIn(b'"of"', body)
                server.broken.clear()

    def test_answers_at_the_own_interface(self):
        clock, server, own_id = SystemClock(), self.server(), b"X-Request-Id: %s\r\n"
        with closing(Exchanges(clock)) as exchanges:

            def call(request_id):
                request = CallerRequest(
                    request_id, "a", 1.0, "x", clock.monotonic() + 60, 0, "POST", "/x",
                    {"X-Attempt-Id": request_id}, b"body",
                )  # fmt: skip
                return exchanges.exchange_complete(request, server.address, {}, 1.0)

            for framing, is_warm, server.resets in itertools.product(
                ("sized", "chunked", "none"), (False, True), (False, True)
            ):
                whole = response(framing, b"body", fields=own_id).replace(b"%s", b"r")
                warm = response("sized", b"body", fields=own_id)
                server.answer, server.warm_answer = whole, warm
                is_told = framing != "none" or server.resets
                cuts = len(whole) if is_told else whole.index(b"\r\n\r\n") + 4
                for server.cut in range(cuts):
                    if is_warm:
                        self.assertEqual(call(WARM_ID).status, 200)
                    with (
                        self.subTest(framing=framing, cut=whole[: server.cut]),
                        self.assertRaises(ExchangeError),
                    ):
                        call("r")
                server.broken.clear()
                if framing != "none" or not server.resets:
                    server.cut, server.resets = None, False
                    self.assertEqual(call("r").body, b"body")


class AnswerBehindABrokenOneTests(unittest.TestCase):
    """Guards against the head of one answer with the body or status of another."""

    def check(self, front, server, earlier, own, expected):
        """Write each part of the head of an earlier answer before the own one."""
        mixed = []
        for cut in range(1, earlier.index(b"\r\n\r\n") + 4):
            server.answer = earlier[:cut] + own
            status, headers, body = send_call(front.address, "POST", "/book/x", "r")
            got = status, headers.get("X-Server-Seal"), body
            if status != 502 and got != expected:
                mixed.append((earlier[:cut][-24:], got))
        self.assertEqual(mixed, [])

    def test_part_of_an_answer_before_another(self):
        server = BreakingServer()
        self.addCleanup(server.stop)
        statuses = [
            (b"200 OK", b"500 No"),
            (b"500 No", b"200 OK"),
            (b"200 OK", b"503 No"),
        ]
        with FrontWithServers() as front:
            only(front.desks, server)
            for (status, own_status), first_id, is_id_last in itertools.product(
                statuses, (b"%s", b"e"), (False, True)
            ):
                earlier = response("sized", b"old", status, b"old")
                lines = earlier.replace(b"%s", first_id).split(b"\r\n")
                if is_id_last:
                    # A part of the head may then have a seal and no id.
                    lines[1:4] = lines[2:4] + lines[1:2]
                earlier = b"\r\n".join(lines)
                own = response("sized", b"body", own_status)
                expected = int(own_status[:3]), "s", b"body"
                with self.subTest(first=earlier, own=own):
                    self.check(front, server, earlier, own, expected)

    def test_answer_within_a_body(self):
        """An answer is told there by the same line as where one is due."""
        server = BreakingServer()
        self.addCleanup(server.stop)
        with FrontWithServers() as front:
            only(front.desks, server)
            for line in (b"HTTP/1.1 200 OK", b"HTTP/1.1  200 OK", b"HTTP/1.0   200"):
                head = line + b"\r\nX-Attempt-Id: %s\r\n\r\n"
                server.answer = response("sized", b"a " + head.replace(b"%s", b"r"))
                with self.subTest(line=line):
                    status, _, _ = send_call(front.address, "POST", "/book/x", "r")
                    self.assertEqual(status, 502)

    def test_lines_that_are_no_fields(self):
        """Behind such a line the parser sees no fields, so it misses the length."""
        server = BreakingServer()
        self.addCleanup(server.stop)
        with FrontWithServers() as front:
            only(front.desks, server)
            for line in (
                b"no field", b": x", b"a b: c", b"a : c", b"x: a\rb: c",
                b"x: a\r\n b: c", b"\x00", b"\r",
                b"HTTP/1.1 200 OK", b"From a b",
            ):  # fmt: skip
                for body in (b"body", b"bo", b"body and more"):
                    whole = response("sized", b"body", fields=line + b"\r\n")
                    server.answer = whole.removesuffix(b"body") + body
                    status, _, got = send_call(front.address, "POST", "/book/x", "r")
                    with self.subTest(line=line, body=body):
                        if status != 502:
                            self.assertEqual((status, got), (200, b"body"))


if __name__ == "__main__":
    unittest.main()
