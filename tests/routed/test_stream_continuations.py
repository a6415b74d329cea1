"""A stream that broke off goes on with its own next event, or stays broken off."""

import gevent.monkey

gevent.monkey.patch_all()

import http.client  # noqa: E402
import re  # noqa: E402
import unittest  # noqa: E402
from contextlib import closing  # noqa: E402

from auburnwall.routing.event_stream import NumberedEventSplitter  # noqa: E402

from .raw_server import RawServer, attempt_id, read_request  # noqa: E402
from .support import KEY, FrontWithServers, send_call  # noqa: E402

LAST_EVENT_ID = re.compile(rb"(?i)\r\nlast-event-id: *([^\r]*)")
SEALED = b"X-Attempt-Id: %s\r\nX-Server-Seal: seal\r\n"
EVENTS = b"Content-Type: text/event-stream\r\n"
JSON, HTML = b"Content-Type: application/json\r\n", b"Content-Type: text/html\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
TEXT = b'{"error": "no server left"}\n\n'
ERROR_HEAD = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 8\r\n\r\nfailed\n\n"
)
# The events that the caller has when the first server breaks off.
COUNT = 3


def numbered(*numbers):
    """Return events with these ids."""
    return b"".join(b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in numbers)


def sized(body, status=b"200 OK", fields=EVENTS + SEALED):
    """Return a response with a length."""
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + fields + length + body


def chunked(*chunks, fields=EVENTS + SEALED):
    """Return a whole response of chunks."""
    pieces = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return b"HTTP/1.1 200 OK\r\n" + fields + CHUNKED + b"\r\n" + pieces + b"0\r\n\r\n"


def unframed(body, fields=EVENTS + SEALED):
    """Return a response that ends with its connection."""
    return b"HTTP/1.1 200 OK\r\n" + fields + b"Connection: close\r\n\r\n" + body


# What a server sends instead of a continuation, and its events that do go on.
NO_CONTINUATIONS = {
    "500": (sized(TEXT, b"500 Failed", JSON + SEALED), 0),
    "500 without an id": (sized(TEXT, b"500 Failed", JSON), 0),
    "502 of a proxy": (sized(b"<html>\n\n", b"502 Bad Gateway", HTML), 0),
    "503 refusal": (sized(b"", b"503 Busy", b"X-Not-Executed: 1\r\n" + SEALED), 0),
    "503": (sized(TEXT, b"503 Busy", JSON + SEALED), 0),
    "404": (sized(TEXT, b"404 Not Found", JSON + SEALED), 0),
    "416": (sized(b"", b"416 Range", SEALED), 0),
    "301": (sized(b"", b"301 Moved", b"Location: /x\r\n" + SEALED), 0),
    "103": (b"HTTP/1.1 103 Hints\r\n" + SEALED + b"\r\n", 0),
    "no response": (b"", 0),
    "error text": (sized(TEXT, fields=JSON + SEALED), 0),
    "error text in chunks": (chunked(TEXT, fields=JSON + SEALED), 0),
    "error text without a type": (sized(TEXT, fields=SEALED), 0),
    "error text as a stream": (chunked(TEXT), 0),
    "error text, unframed": (unframed(TEXT), 0),
    "error text without its end": (chunked(TEXT.strip()), 0),
    "a page": (chunked(b"<html>\n\n</html>\n\n", fields=HTML + SEALED), 0),
    "events as a page": (chunked(numbered(4, 5), fields=HTML + SEALED), 0),
    "error event": (chunked(b"event: error\ndata: no server\n\n"), 0),
    "head of another answer": (chunked(ERROR_HEAD), 0),
    "head of another answer, unframed": (unframed(ERROR_HEAD), 0),
    "201": (sized(numbered(4, 5), b"201 Created"), 0),
    "202": (sized(TEXT, b"202 Accepted"), 0),
    "204": (b"HTTP/1.1 204 No Content\r\n" + SEALED + b"\r\n", 0),
    "206": (sized(numbered(4, 5), b"206 Partial"), 0),
    "nothing": (sized(b""), 0),
    "nothing, in chunks": (chunked(), 0),
    "nothing, unframed": (unframed(b""), 0),
    "comments only": (chunked(b": nothing\n\n"), 0),
    "from the start": (chunked(numbered(1, 2, 3, 4, 5)), 0),
    "from the last event": (chunked(numbered(3, 4, 5)), 0),
    "a gap": (chunked(numbered(6, 7)), 0),
    "without ids": (chunked(b"data: piece-4\n\n", b"data: piece-5\n\n"), 0),
    "empty id": (chunked(b"id:\ndata: piece-4\n\n"), 0),
    "id of another form": (chunked(b"id: x4\ndata: piece-4\n\n"), 0),
    "falling ids": (chunked(numbered(4, 2, 5)), 1),
    "repeated id": (chunked(numbered(4), numbered(4), numbered(5)), 1),
    "error text after an event": (chunked(numbered(4), TEXT), 1),
    "error text in one chunk with an event": (chunked(numbered(4) + TEXT), 1),
    "error event after an event": (chunked(numbered(4), b"data: failed\n\n"), 1),
    "head after an event, unframed": (unframed(numbered(4) + ERROR_HEAD), 1),
}
CONTINUATIONS = {
    "chunks": chunked(numbered(4), numbered(5)),
    "one chunk": chunked(numbered(4, 5)),
    "length": sized(numbered(4, 5)),
    "unframed": unframed(numbered(4, 5)),
    "type with a charset": chunked(
        numbered(4, 5),
        fields=b"Content-Type: text/event-stream; charset=utf-8\r\n" + SEALED,
    ),
    "without a type": chunked(numbered(4, 5), fields=SEALED),
}


class BreakingServer(RawServer):
    """Breaks a stream off after ``COUNT`` events, and answers attempts to resume it."""

    def __init__(self, server, continuation):
        self.server = server
        self.continuation = continuation
        self.first = unframed(b"", EVENTS + SEALED + CHUNKED)
        super().__init__()

    def serve(self, sock):
        if not (request := read_request(sock)):
            return
        attempt = attempt_id(request)
        if LAST_EVENT_ID.search(request):
            sock.sendall(self.continuation.replace(b"%s", attempt))
            return
        sock.sendall(self.first.replace(b"%s", attempt))
        for number in range(1, COUNT + 1):
            event = numbered(number)
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))


class ContinuationTests(unittest.TestCase):
    """Guards against an error in the middle of a stream, and a false end of one."""

    def setUp(self):
        self.front = self.enterContext(FrontWithServers())
        self.front.budget.take = lambda: True
        engines = self.front.engines
        for standin in engines[:]:
            server = BreakingServer(standin.server, b"")
            self.addCleanup(server.stop)
            engines.remove(standin)
            engines.append(server)

    def read_stream(self, continuation):
        """Return the bytes of one stream and whether it ended as complete."""
        for server in self.front.engines:
            server.continuation = continuation
        headers = {
            "Host": "shop.example",
            "X-Attempt-Id": "r-1",
            "X-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        with closing(http.client.HTTPConnection(self.front.address, timeout=6)) as conn:
            conn.request("POST", "/ask/x", headers=headers)
            resp = conn.getresponse()
            self.assertEqual(resp.status, 200)
            try:
                return resp.read(), True
            except http.client.IncompleteRead as exc:
                return exc.partial, False
            finally:
                # Nothing follows on the connection of a stream that broke off.
                if resp.fp is not None:
                    self.assertEqual(resp.fp.read(1), b"")

    def test_answers_that_are_no_continuation(self):
        for name, (answer, count) in NO_CONTINUATIONS.items():
            with self.subTest(name):
                body, complete = self.read_stream(answer)
                self.assertFalse(complete, body)
                self.assertEqual(body, numbered(*range(1, COUNT + count + 1)))

    def test_continuations(self):
        for name, answer in CONTINUATIONS.items():
            with self.subTest(name):
                body, complete = self.read_stream(answer)
                self.assertEqual((body, complete), (numbered(1, 2, 3, 4, 5), True))

    def test_caller_that_resumes_gets_no_event_twice(self):
        for name in ("from the start", "from the last event", "without ids"):
            answer, _ = NO_CONTINUATIONS[name]
            for server in self.front.engines:
                server.continuation = answer
            with self.subTest(name):
                status, _, body = send_call(
                    self.front.address,
                    "POST",
                    "/ask/x",
                    "r-1",
                    **{"Last-Event-Id": "3"},
                )
                self.assertEqual(status, 502, body)

    def test_interim_response_is_no_answer(self):
        """Guards against a caller that gets a status that is not final."""
        with FrontWithServers() as front:
            server = BreakingServer("desk-0", NO_CONTINUATIONS["103"][0])
            self.addCleanup(server.stop)
            front.desks[:] = [server]
            server.first = server.continuation
            status, _, _ = send_call(front.address, "POST", "/book/x", "r-1")
            self.assertEqual(status, 502)

    def test_caller_that_resumes_gets_what_follows(self):
        for answer in (chunked(numbered(4, 5)), chunked(numbered(7)), chunked()):
            for server in self.front.engines:
                server.continuation = answer
            status, _, body = send_call(
                self.front.address, "POST", "/ask/x", "r-1", **{"Last-Event-Id": "3"}
            )
            self.assertEqual(status, 200)
            self.assertIn(body, answer)


class EmptyLineTests(unittest.TestCase):
    """Guards against a stream that ends with an error at a further empty line."""

    def test_empty_lines_between_events(self):
        stream = b"id: 1\ndata: a\n\n\nid: 2\ndata: b\n\n\n\n\nid: 3\ndata: c\n\n\n"
        for size in range(1, len(stream) + 1):
            splitter, got = NumberedEventSplitter(), b""
            with self.subTest(size=size):
                for begin in range(0, len(stream), size):
                    got += splitter.feed(stream[begin : begin + size])
                self.assertEqual(splitter.fault, None)
                self.assertEqual((splitter.count, splitter.last_id), (3, "3"))
                self.assertFalse(splitter.pending)
                # A line at the end that ends no event may be left out.
                self.assertIn(got, (stream, stream[:-1]))


if __name__ == "__main__":
    unittest.main()
