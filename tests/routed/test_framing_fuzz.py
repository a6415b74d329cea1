"""Messages that are cut, repeated, lengthened and spoiled at any byte."""

import gevent.monkey

gevent.monkey.patch_all()

import itertools  # noqa: E402
import re  # noqa: E402
import socket  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402

import gevent  # noqa: E402
from hypothesis import given, settings  # noqa: E402
from hypothesis import strategies as st  # noqa: E402

from .raw_server import RawServer, attempt_id, read_request  # noqa: E402
from .support import KEY, FrontWithServers, send_call  # noqa: E402
from .test_broken_heads import only, response  # noqa: E402

BODY = b"a body of some bytes"
# Longest time for an answer whose connection ends, in seconds.
MAX_ANSWER_S = 2.0
SPOILS = (
    *(bytes([n]) for n in (0, 9, 10, 11, 12, 13, 28, 32, 48, 58, 59, 120, 133, 255)),
    b"\r\n",
    b"\n\n",
    b"\r\r\n",
    b"\r\n\r\n",
    b"0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"x" * 70_000,
)
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# Of the first line only the status matters: the node reads nothing else from it.
HEAD = re.compile(
    rb"[^\r\n]*?HTTP/1\.\S*[ \t\v\f\x1c-\x1f\x85\xa0]+(\d{3})[^\r\n]*\r?\n"
    rb"((?:" + TOKEN + rb":[^\r\n]*\r?\n)*)\r?\n"
)
CHUNK = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r?\n")
# What may follow the last chunk.
TRAILER = re.compile(rb"(?:[^\r\n]+\r?\n)*\r?\n")


@st.composite
def changes(draw):
    """Return what is done to a message: a list of steps with their places."""
    place = st.floats(0, 1, exclude_max=True)
    step = st.one_of(
        st.tuples(st.just("cut"), place, place),
        st.tuples(st.just("repeat"), place, place),
        st.tuples(st.just("drop"), place, place),
        st.tuples(st.just("insert"), place, st.sampled_from(SPOILS)),
        st.tuples(st.just("replace"), place, st.sampled_from(SPOILS)),
    )
    return draw(st.lists(step, min_size=1, max_size=3))


def change(data, steps):
    """Return the bytes of a message after the steps."""
    for kind, place, value in steps:
        at = int(place * len(data))
        if kind == "cut":
            data = data[:at]
        elif kind in ("repeat", "drop"):
            end = at + int(value * (len(data) - at)) + 1
            kept = 2 * data[at:end] if kind == "repeat" else b""
            data = data[:at] + kept + data[end:]
        else:
            data = data[:at] + value + data[at + (kind == "replace") :]
    return data


def fields_of(lines, name):
    """Return the values of a field in the lines of a head."""
    pairs = (line.partition(b":") for line in lines.split(b"\n") if line)
    return [value.strip(b" \t") for key, _, value in pairs if key.lower() == name]


def read_strictly(data):
    """Return status, seal and body of the first response, ``None`` for a bad one."""
    if not (head := HEAD.match(data)):
        return None
    lines, rest = head[2].replace(b"\r\n", b"\n"), data[head.end() :]
    ids, seals = fields_of(lines, b"x-attempt-id"), fields_of(lines, b"x-server-seal")
    lengths = fields_of(lines, b"content-length")
    codings = [c.lower() for c in fields_of(lines, b"transfer-encoding")]
    if ids != [b"r"] or len(lengths) + len(codings) > 1:
        return None
    if codings:
        body = read_chunks(rest) if codings == [b"chunked"] else None
    elif lengths:
        size = int(lengths[0]) if re.fullmatch(rb"\d{1,9}", lengths[0]) else -1
        body = rest[:size] if 0 <= size <= len(rest) else None
    else:
        body = rest
    return (
        None
        if body is None
        else (int(head[1]), b", ".join(seals).decode("latin-1"), body)
    )


def read_chunks(rest):
    """Return the data of whole chunks, ``None`` for bad ones."""
    found = read_chunks_to_end(rest)
    return None if found is None else found[0]


def read_chunks_to_end(data):
    """Return the data of whole chunks and their size with framing, or ``None``."""
    body, rest = b"", data
    while line := CHUNK.match(rest):
        size = int(line[1], 16)
        rest = rest[line.end() :]
        if not size:
            trailer = TRAILER.match(rest)
            return (body, len(data) - len(rest) + trailer.end()) if trailer else None
        body += rest[:size]
        if rest[size : size + 2] != b"\r\n":
            return None
        rest = rest[size + 2 :]
    return None


class SpoilingServer(RawServer):
    """Answers each request with ``answer`` and ends the connection."""

    def __init__(self):
        self.server, self.answer = "desk-0", b""
        super().__init__()

    def serve(self, sock):
        if read_request(sock):
            sock.sendall(self.answer)


class ResponseTests(unittest.TestCase):
    """Guards against a success that a strict reader of the same bytes doesn't see."""

    def setUp(self):
        self.server = SpoilingServer()
        self.addCleanup(self.server.stop)
        self.front = self.enterContext(FrontWithServers())
        only(self.front.desks, self.server)

    def check(self, data):
        self.server.answer = data
        started_at = time.monotonic()
        status, headers, body = send_call(self.front.address, "POST", "/book/x", "r")
        self.assertLess(time.monotonic() - started_at, MAX_ANSWER_S)
        self.assertNotIn(status, (408, 421, 429, 503), body)
        if status == 502 and "X-Server-Seal" not in headers:
            return
        seals = headers.get_all("X-Server-Seal", [])
        got = status, ", ".join(seal.strip(" \t") for seal in seals), body
        if got != (200, "s", BODY):
            self.assertEqual(got, read_strictly(data))

    @settings(max_examples=400, deadline=None, derandomize=True, database=None)
    @given(st.sampled_from(["sized", "chunked", "none"]), changes())
    def test_spoiled_responses(self, framing, steps):
        self.check(change(response(framing, BODY).replace(b"%s", b"r"), steps))

    def test_sound_responses(self):
        """The strict reader takes what is sound, so that it can tell what is not."""
        for framing in ("sized", "chunked", "none"):
            data = response(framing, BODY).replace(b"%s", b"r")
            self.assertEqual(read_strictly(data), (200, "s", BODY))
            self.check(data)


class RecordingServer(RawServer):
    """Records what arrives on each connection, and answers."""

    def __init__(self):
        self.server, self.requests = "desk-0", []
        super().__init__()

    def serve(self, sock):
        while head := read_request(sock):
            head, _, body = head.partition(b"\r\n\r\n")
            length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
            while length and len(body) < int(length[1]):
                body += sock.recv(65536)
            self.requests.append((head, body))
            answer = response("sized", BODY).replace(b"%s", attempt_id(head))
            sock.sendall(answer)


class RequestTests(unittest.TestCase):
    """Guards against a request in a body that runs, and a body that is changed."""

    BEGIN = (
        "POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
        f"Authorization: Bearer {KEY}\r\nX-Attempt-Id: r\r\nX-Other: a"
    ).encode()
    WITHIN = BEGIN.replace(b"-Id: r", b"-Id: evil") + b"\r\nContent-Length: 0\r\n\r\n"
    SIZED = b"\r\nContent-Length: %d\r\n\r\n" % len(WITHIN) + WITHIN
    CHUNKED = (
        b"\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(WITHIN)
        + WITHIN
        + b"\r\n0\r\n\r\n"
    )

    def setUp(self):
        self.server = RecordingServer()
        self.addCleanup(self.server.stop)
        self.front = self.enterContext(FrontWithServers())
        only(self.front.desks, self.server)

    def check(self, data, body=WITHIN):
        self.server.requests.clear()
        host, _, port = self.front.address.rpartition(":")
        started_at = time.monotonic()
        with socket.create_connection((host, int(port)), timeout=5.0) as sock:
            sock.sendall(data)
            # Nothing more follows, but the caller waits for its answer.
            sock.settimeout(0.02)
            try:
                while sock.recv(65536):
                    pass
            except (TimeoutError, ConnectionResetError):
                # A refused head closes the connection with bytes unread.
                pass
        gevent.sleep(0.001)
        self.assertLess(time.monotonic() - started_at, MAX_ANSWER_S)
        for head, got in self.server.requests:
            self.assertNotIn(b"evil", head)
            self.assertEqual(got, body)

    @settings(max_examples=120, deadline=None, derandomize=True, database=None)
    @given(st.sampled_from([SIZED, CHUNKED]), changes())
    def test_spoiled_requests(self, end, steps):
        """What states the length of the body is left as it is."""
        begin = change(self.BEGIN, steps)
        # An empty line ends the head before the length is stated.
        has_ended = re.search(rb"\n\r?\n", begin + b"\r\n")
        self.check(begin + end, b"" if has_ended else self.WITHIN)

    def test_sound_requests(self):
        for end in (self.SIZED, self.CHUNKED):
            self.check(self.BEGIN + end)
            self.assertEqual(len(self.server.requests), 1)

    def test_lines_that_are_no_fields(self):
        """Behind such a line the parser sees no fields, so it misses the length."""
        lines = (
            b"no field",
            b": x",
            b"a b: c",
            b"a: b\r",
            b"\r",
            b"\rb: c",
            b" b: c",
            b"\tb",
            b"a: b\rc",
        )
        for line, end in itertools.product(lines, (self.SIZED, self.CHUNKED)):
            with self.subTest(line=line, end=end[:30]):
                self.check(self.BEGIN + b"\r\n" + line + end)

    def test_id_that_goes_on_in_the_next_line(self):
        """It was echoed in an answer that could then not be written."""
        begin = self.BEGIN.replace(b"-Id: r", b"-Id:\r\n r")
        for end in (self.SIZED, self.CHUNKED):
            self.check(begin + end)
            self.assertEqual(self.server.requests, [])

    def test_requests_that_are_cut(self):
        for end in (self.SIZED, self.CHUNKED):
            for cut in range(1, len(end), 5):
                self.check(self.BEGIN + end[:cut])
                self.assertEqual(self.server.requests, [])


if __name__ == "__main__":
    unittest.main()
