"""Late copies of earlier answers, in front of the answer that is due or within it."""

import gevent.monkey

gevent.monkey.patch_all()

import http.client  # noqa: E402
import itertools  # noqa: E402
import socket  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from unittest import mock  # noqa: E402

import gevent  # noqa: E402

from auburnwall.base import http_reader  # noqa: E402
from auburnwall.base.http_reader import (  # noqa: E402
    MAX_STALE_BYTES,
    MAX_STALE_RESPONSES,
)

from .raw_server import RawServer, attempt_id, read_request  # noqa: E402
from .support import FrontWithServers, send_call  # noqa: E402
from .test_broken_heads import EVENTS, only, response  # noqa: E402

OLD, OWN = b"earlier", b"the body"
FRAMINGS = ("sized", "chunked")
END = b"\r\n\r\n"


def copy_of(framing, body=OLD, **changes):
    """Return a copy of the answer to the request ``r-0``."""
    return response(framing, body, **changes).replace(b"%s", b"r-0")


class CopyingServer(RawServer):
    """Writes ``pieces``, with pauses, in place of the second answer of a connection.

    ``%s`` in them stands for the id of the request. ``runs`` are the ids of all
    requests, ``kept`` of those that came on a connection in use. With
    ``ends_connection`` the connection ends behind them.
    """

    def __init__(self):
        self.server = "desk-0"
        self.first = response("sized", OLD)
        self.pieces, self.pause_s = [], 0.0
        self.ends_connection = False
        self.runs, self.kept = [], []
        super().__init__()

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for number in itertools.count():
            if not (request := read_request(sock)):
                return
            request_id = attempt_id(request)
            self.runs.append(request_id.decode())
            if not number:
                sock.sendall(self.first.replace(b"%s", request_id))
                continue
            self.kept.append(request_id.decode())
            for piece in self.pieces:
                sock.sendall(piece.replace(b"%s", request_id))
                gevent.sleep(self.pause_s)
            if self.ends_connection:
                return


class StaleAnswerTests(unittest.TestCase):
    """Guards against a failure though the right answer stands behind a stale one."""

    def setUp(self):
        self.server = CopyingServer()
        self.addCleanup(self.server.stop)
        self.front = self.enterContext(FrontWithServers())
        only(self.front.desks, self.server)

    def call(self, *pieces, path="/book/x", method="POST", request_id="r-1"):
        """Return status, seal and body of the second request on a connection."""
        server = self.server
        self.front.channels.close_idle()
        server.runs.clear()
        server.kept.clear()
        server.pieces = pieces
        status, _, _ = send_call(self.front.address, "POST", path, "r-0")
        self.assertEqual(status, 200)
        status, headers, body = send_call(self.front.address, method, path, request_id)
        self.assertEqual(server.runs.count(request_id), 1 + (request_id == "r-0"))
        if request_id != "r-0":
            self.assertEqual(server.kept, [request_id])
        return status, headers.get("X-Server-Seal"), body

    def check(self, is_skipped, *pieces, **changes):
        got = self.call(*pieces, **changes)
        if is_skipped:
            self.assertEqual(got, (200, "own", OWN))
        else:
            self.assertEqual((got[0], got[1]), (502, None), got)

    def own(self, framing="sized", body=OWN, **changes):
        return response(framing, body, seal=b"own", **changes)

    def test_copies_of_every_kind_and_number(self):
        statuses = (b"200 OK", b"404 No", b"500 No", b"503 No", b"204 None")
        for framing, status, own_framing, count in itertools.product(
            FRAMINGS, statuses, FRAMINGS, range(1, MAX_STALE_RESPONSES + 2)
        ):
            body = b"" if status.startswith(b"204") else OLD
            fields = b"X-Not-Executed: 1\r\n" if status.startswith(b"503") else b""
            if status.startswith(b"204"):
                framing = "sized"
            copies = count * [copy_of(framing, body, status=status, fields=fields)]
            own = self.own(own_framing)
            for pieces in ((*copies, own), (b"".join((*copies, own)),)):
                with self.subTest(copies=copies, own=own, pieces=len(pieces)):
                    self.check(count <= MAX_STALE_RESPONSES, *pieces)

    def test_copy_split_over_packets(self):
        self.server.pause_s = 0.002
        for framing in FRAMINGS:
            whole = copy_of(framing) + self.own(framing).replace(b"%s", b"r-1")
            for cut in range(1, len(whole)):
                with self.subTest(cut=whole[:cut][-30:]):
                    self.check(True, whole[:cut], whole[cut:])

    def test_copies_that_are_not_read_past(self):
        """Only what is surely a whole answer to an earlier request may be dropped."""
        long = b"x" * (MAX_STALE_BYTES + 1)
        own = self.own()
        for copy in (
            response("sized", OLD).replace(b"%s", b"r-2"),
            response("sized", OLD).replace(b"X-Attempt-Id: %s\r\n", b""),
            response("sized", OLD).replace(b"%s", b""),
            copy_of("sized", long),
            copy_of("none"),
            copy_of("sized", fields=b"Connection: close\r\n"),
            copy_of("sized", fields=b"Content-Length: 7\r\n"),
            copy_of("chunked").replace(b"\r\n0\r\n", b"\r\n-0\r\n"),
            copy_of("sized") + b"\r\n",
            copy_of("sized") + b"x",
        ):
            with self.subTest(copy=copy[:200]):
                self.check(False, copy + own)

    def test_what_follows_a_copy_must_be_the_own_answer(self):
        copy = copy_of("sized")
        for own in (
            self.own().replace(b"%s", b"r-2"),
            self.own().replace(b"X-Attempt-Id: %s\r\n", b""),
            self.own().replace(b"X-Server-Seal: own\r\n", b""),
            self.own()[:-1],
            b"",
        ):
            with self.subTest(own=own):
                # The connection ends behind it.
                self.server.serve, serve = self.serve_and_close, self.server.serve
                self.check(False, copy + own)
                self.server.serve = serve

    def serve_and_close(self, sock):
        server = self.server
        for answer in (server.first, b"".join(server.pieces)):
            if not (request := read_request(sock)):
                return
            request_id = attempt_id(request)
            server.runs.append(request_id.decode())
            if answer != server.first:
                server.kept.append(request_id.decode())
            sock.sendall(answer.replace(b"%s", request_id))

    @mock.patch.object(http_reader, "MAX_STALE_S", 0.02)
    def test_part_of_a_copy(self):
        """A part swallows the begin of the own answer, and never becomes a success."""
        for framing, own in itertools.product(
            FRAMINGS, (self.own(), self.own(body=b""))
        ):
            copy = copy_of(framing, b"longer than a head" * 8)
            for cut in range(1, len(copy), 2):
                started_at = time.monotonic()
                with self.subTest(part=copy[:cut][-30:], own=own[-30:]):
                    got = self.call(copy[:cut] + own)
                    if got[0] != 502:
                        self.assertEqual(got, (200, "own", own.partition(END)[2]))
                    self.assertLess(time.monotonic() - started_at, 0.5)

    def test_copy_that_arrives_before_the_request(self):
        self.server.first += copy_of("sized")
        for _ in range(3):
            status, _, body = send_call(self.front.address, "POST", "/book/x", "r-0")
            self.assertEqual((status, body), (200, OLD))
        self.assertEqual(self.server.kept, [])

    def test_request_whose_id_the_connection_has_answered(self):
        """A copy of the earlier answer could not be told from the one that is due."""
        got = self.call(copy_of("sized"), self.own(), request_id="r-0")
        self.assertEqual(got, (200, "s", OLD))
        self.assertEqual(self.server.kept, [])

    def test_connection_with_a_copy_is_not_used_again(self):
        self.check(True, copy_of("sized"), self.own())
        status, _, _ = send_call(self.front.address, "POST", "/book/x", "r-3")
        self.assertEqual((status, self.server.kept), (200, ["r-1"]))

    def test_answer_without_a_length_behind_a_copy(self):
        self.server.serve = self.serve_and_close
        self.check(True, copy_of("chunked"), self.own("none"))

    def test_copy_before_the_answer_to_head(self):
        """The parser takes each response to HEAD for one without a body."""
        self.check(False, copy_of("sized") + self.own(body=b""), method="HEAD")


class StaleStreamTests(unittest.TestCase):
    """The same in front of streams, and of what a peer sends."""

    def check(self, front, servers, path):
        server = CopyingServer()
        self.addCleanup(server.stop)
        if servers is not None:
            only(servers, server)
        body = EVENTS if path == "/once/x" else OWN
        server.first = response("chunked", body)
        for framing, copies in itertools.product(FRAMINGS, (0, 1, 2)):
            front.channels.close_idle()
            server.pieces = [*copies * [copy_of("chunked", body)]]
            server.pieces.append(response(framing, body, seal=b"own"))
            if servers is None:
                front._peers = [server]
            for request_id, seal in (("r-0", "s"), ("r-1", "own")):
                got = send_call(front.address, "POST", path, request_id)
                with self.subTest(path=path, framing=framing, copies=copies):
                    self.assertEqual((got[0], got[2]), (200, body))
                    self.assertEqual(got[1]["X-Server-Seal"], seal)

    def test_streams(self):
        with FrontWithServers() as front:
            self.check(front, front.engines, "/once/x")

    def test_answers_of_a_peer(self):
        with FrontWithServers() as front:
            front.reach.cut_off = True
            for path in ("/book/x", "/once/x"):
                self.check(front, None, path)


class CopyWithinAnswerTests(unittest.TestCase):
    """Guards against a caller that gets a copy as a part of its answer."""

    def call(self, front, server, path, pieces):
        """Return status, body and whether the response looks complete."""
        front.channels.close_idle()
        server.pieces = [b"".join(pieces)]
        status, _, _ = send_call(front.address, "POST", path, "r-0")
        self.assertEqual(status, 200)
        try:
            status, _, body = send_call(front.address, "POST", path, "r-1")
        except http.client.IncompleteRead as exc:
            return 200, exc.partial, False
        return status, body, True

    def check(self, front, servers, path, body, framings, copies):
        server = CopyingServer()
        self.addCleanup(server.stop)
        only(servers, server)
        server.first = response("chunked", body)
        server.ends_connection = True
        mixed, count = [], 0
        for framing, fields, (name, copy) in itertools.product(
            framings, (b"", b"Connection: close\r\n"), copies.items()
        ):
            own = response(framing, body, fields=fields).replace(b"%s", b"r-1")
            for at in range(own.index(END) + len(END) + 1, len(own)):
                count += 1
                status, got, complete = self.call(
                    front, server, path, (own[:at], copy, own[at:])
                )
                is_sound = status == 502 or got == body
                if not complete:
                    is_sound = body.startswith(got)
                if not is_sound:
                    mixed.append((framing, name, own[:at][-12:], got[-60:]))
        self.assertEqual(mixed, [], f"{len(mixed)} of {count}")

    def test_copies(self):
        body = b"a body of some bytes"
        whole = {f: copy_of(f, body) for f in FRAMINGS}
        with FrontWithServers() as front:
            self.check(front, front.desks, "/book/x", body, FRAMINGS, whole)

    def test_parts_of_copies(self):
        """A part is told if it has its status line and the own length is stated."""
        body = b"a body of some bytes"
        whole = copy_of("sized", body)
        parts = {n: whole[:n] for n in range(len("HTTP/1.1 200"), len(whole), 14)}
        with FrontWithServers() as front:
            self.check(front, front.desks, "/book/x", body, FRAMINGS, parts)

    def test_copies_within_streams(self):
        whole = {f: copy_of(f, EVENTS) for f in FRAMINGS}
        with FrontWithServers() as front:
            self.check(front, front.engines, "/once/x", EVENTS, FRAMINGS, whole)

    def test_copies_in_answers_without_a_length(self):
        with FrontWithServers() as front:
            for servers, path, body in (
                (front.desks, "/book/x", b"a body of some bytes"),
                (front.engines, "/once/x", EVENTS),
            ):
                whole = {f: copy_of(f, body) for f in FRAMINGS}
                self.check(front, servers, path, body, ("none",), whole)


if __name__ == "__main__":
    unittest.main()
