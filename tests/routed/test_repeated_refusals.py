"""A refusal counts only for the request that it is the answer to."""

import gevent.monkey

gevent.monkey.patch_all()

import itertools  # noqa: E402
import unittest  # noqa: E402
from contextlib import closing  # noqa: E402

import gevent  # noqa: E402

from auburnwall.fleet.engines.group import LeaveOrder, OrderOutcome  # noqa: E402
from auburnwall.platform.servers import ServerClient  # noqa: E402

from .raw_server import RawServer, attempt_id, read_request  # noqa: E402
from .support import FrontWithServers, send_call  # noqa: E402

# Statuses by which a node promises that a request has not run and will not.
PROMISES = (408, 421, 429, 503)
EARLIER, NO_ID, EMPTY_ID = "earlier", "none", "empty"
STATUSES = (400, 408, 421, 429, 503)
FIELDS = {
    EARLIER: "X-Attempt-Id: r-earlier\r\n",
    NO_ID: "",
    EMPTY_ID: "X-Attempt-Id:\r\n",
}


def refusal(status, request_id, *, stated):
    """Return the bytes of a refusal, for an earlier request or for none."""
    statement = "X-Not-Executed: 1\r\n" if stated else ""
    return (
        f"HTTP/1.1 {status} No\r\n{FIELDS[request_id]}{statement}"
        "Retry-After: 9\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class FaultyServer(RawServer):
    """Runs each request; writes ``extra`` before the answer, as ``when`` says.

    ``"kept"``: before the second answer on a connection and those after it. ``"new"``:
    before the first one. ``"same"``: in one piece with the first answer, after it.
    ``"idle"``: a moment after it.
    """

    def __init__(self, server, extra, when, runs):
        self.server = server
        self._extra, self._when, self._runs = extra, when, runs
        super().__init__()

    def serve(self, sock):
        for number in itertools.count():
            if not (request := read_request(sock)):
                return
            attempt = attempt_id(request)
            self._runs.append(attempt.decode())
            answer = (
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + b"\r\n"
                b"X-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok"
            )
            if self._when == ("kept" if number else "new"):
                sock.sendall(self._extra)
                gevent.sleep(0.02)
            sock.sendall(answer + (self._extra if self._when == "same" else b""))
            if self._when == "idle":
                gevent.sleep(0.02)
                sock.sendall(self._extra)


class RepeatedRefusalTests(unittest.TestCase):
    """Guards against "not run" for a request that has run, and against a second run."""

    def check(self, path, extra, when):
        runs = []
        with FrontWithServers() as front:
            for servers in (front.desks, front.engines):
                for standin in servers[:]:
                    server = FaultyServer(standin.server, extra, when, runs)
                    self.addCleanup(server.stop)
                    servers.remove(standin)
                    servers.append(server)
            front.budget.take = lambda: True
            for number in range(6):
                status, _, _ = send_call(front.address, "POST", path, f"r-{number}")
                self.assertNotIn(status, PROMISES, (number, runs))
                gevent.sleep(0.03)
            self.assertEqual(len(runs), len(set(runs)), runs)
            # What a foreign refusal says of its server counts for nothing either.
            for server in (*front.desks, *front.engines):
                self.assertEqual(front.notices.pause_left_s(server.server), 0)

    def test_requests_that_must_not_run_twice(self):
        for status, request_id, stated, when in itertools.product(
            STATUSES, FIELDS, (True, False), ("kept", "new", "same", "idle")
        ):
            for path in ("/book/x", "/once/x"):
                with self.subTest(
                    path=path, status=status, id=request_id, stated=stated, when=when
                ):
                    extra = refusal(status, request_id, stated=stated)
                    self.check(path, extra, when)

    def test_answer_of_the_server_that_looks_like_a_promise(self):
        """Such a status of a server that has run the request is not passed on."""
        for status in PROMISES:
            if status == 421:
                continue
            with self.subTest(status=status), FrontWithServers() as front:
                for server in front.desks:
                    server.run_status = status
                for path in ("/book/x", "/look/x"):
                    got, headers, _ = send_call(front.address, "POST", path, "r-1")
                    self.assertEqual(got, 502)
                    self.assertNotIn("X-Server-Seal", headers)
                self.assertEqual([s for s in front.desks if len(s.seen) > 2], [])

    def test_success_that_is_stated_not_to_have_run(self):
        """A contradiction is no promise, and no success."""
        with FrontWithServers() as front:
            for server in front.desks:
                server.faults.add("contradiction")
            status, _, _ = send_call(front.address, "POST", "/book/x", "r-1")
            self.assertEqual(status, 502)


class RepeatedOrderOutcomeTests(unittest.TestCase):
    """Guards against an order that takes an earlier order's outcome for its own."""

    def test_late_copy_of_an_earlier_outcome(self):
        server = LateCopyServer()
        self.addCleanup(server.stop)
        with closing(ServerClient()) as client:
            order = LeaveOrder("g1", 5)
            for status, outcome in (
                (202, OrderOutcome.BEGUN),
                (409, OrderOutcome.REFUSED),
                (412, OrderOutcome.STALE),
                (202, OrderOutcome.BEGUN),
            ):
                server.status = status
                client.fetch_report("i-1", server.address)
                got = client.send_order("i-1", server.address, order)
                self.assertEqual(got, outcome)


class LateCopyServer(RawServer):
    """Writes a copy of the last outcome of an order before the next response."""

    def __init__(self):
        self.status = 200
        super().__init__()

    def serve(self, sock):
        copy, report = b"", b'{"born": 5}'
        while request := sock.recv(65536):
            if b"/-/report" in request:
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(report)}\r\n\r\n"
                sock.sendall(head.encode() + report)
                continue
            if copy:
                sock.sendall(copy)
                gevent.sleep(0.02)
            head = f"HTTP/1.1 {self.status} OK\r\nContent-Length: 0\r\n\r\n"
            copy = head.encode()
            sock.sendall(copy)


if __name__ == "__main__":
    unittest.main()
