"""What parsers of HTTP take for sound, and how long they need for it.

``python -m benchmarks.framing`` gives malformed and sound messages to the readers of
this project, to the libraries below them, and to ``h11``, and prints who accepts which
and the processor time and memory of each for a request and for an answer.
"""

import gevent.monkey

gevent.monkey.patch_all()

import io  # noqa: E402
import itertools  # noqa: E402
import time  # noqa: E402
import tracemalloc  # noqa: E402
from contextlib import redirect_stderr  # noqa: E402
from http.client import HTTPResponse  # noqa: E402
from types import SimpleNamespace  # noqa: E402

import h11  # noqa: E402
from absl import logging  # noqa: E402
from gevent.pywsgi import Environ, WSGIHandler  # noqa: E402
from urllib3 import HTTPResponse as PooledResponse  # noqa: E402

from auburnwall.base.http_reader import Connection  # noqa: E402
from auburnwall.node.callers import make_handler  # noqa: E402

MAX_BODY_BYTES = 2_000_000
REPEATS = 5
FIELDS = b"Host: a.example\r\n" + b"".join(
    b"X-Field-%d: some value of a field\r\n" % n for n in range(10)
)
REQUEST = b"POST /book/x HTTP/1.1\r\n" + FIELDS
ANSWER = b"HTTP/1.1 200 OK\r\n" + FIELDS
SIZED = b"Content-Length: 2\r\n\r\nab"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"2\r\nab\r\n0\r\n\r\n"
# The end of a message after its first line and fields, and whether it is sound.
ENDS = {
    "a length": (SIZED, True),
    "chunks, extension, trailer": (
        CHUNKED + b"2;a=b\r\nab\r\n0\r\nX-T: 1\r\n\r\n",
        True,
    ),
    "multipart type": (b"Content-Type: multipart/mixed; boundary=b\r\n" + SIZED, True),
    "head cut in a line": (b"X-Cut: a", False),
    "head cut behind a line": (b"X-Cut: a\r\n", False),
    "body cut": (SIZED[:-1], False),
    "chunk cut": (CHUNKED + b"2\r\na", False),
    "last chunk missing": (CHUNKED + b"2\r\nab\r\n", False),
    "cut behind the last chunk": (CHUNKED + b"2\r\nab\r\n0\r\n", False),
    "a line without a colon": (b"no field\r\n" + SIZED, False),
    "a CR in a line": (b"a: b\rc\r\n" + SIZED, False),
    "space before the colon": (b"a : b\r\n" + SIZED, False),
    "a name that is no token": (b"a;b: c\r\n" + SIZED, False),
    "a line From": (SIZED.replace(b"\r\n\r\n", b"\r\nFrom a b\r\n\r\n"), False),
    "length +2": (SIZED.replace(b"2", b"+2"), False),
    "length 0_2": (SIZED.replace(b"2", b"0_2"), False),
    "length with VT": (SIZED.replace(b"2", b"\x0b2"), False),
    "two lengths": (b"Content-Length: 3\r\n" + SIZED, False),
    "length and chunks": (b"Content-Length: 2\r\n" + CHUNKED + CHUNKS, False),
    "coding gzip, chunked": (CHUNKED.replace(b"c", b"gzip, c", 1) + CHUNKS, False),
    "coding with VT": (CHUNKED.replace(b" c", b" \x0bc") + CHUNKS, False),
    "chunk size -0": (CHUNKED + b"2\r\nab\r\n-0\r\n\r\n", False),
    "chunk size 0x2": (CHUNKED + b"0x2\r\nab\r\n0\r\n\r\n", False),
    "chunk without a size": (CHUNKED + b"\r\n" + CHUNKS, False),
    "chunk without its end": (CHUNKED + b"2\r\nabXX0\r\n\r\n", False),
    "LF in an extension": (CHUNKED + b"2;a\nb\r\nab\r\n0\r\n\r\n", False),
    "trailer that is no field": (CHUNKED + b"2\r\nab\r\n0\r\nno field\r\n\r\n", False),
}
FIRST_LINES = {
    REQUEST: {
        "HTTP/1": b"POST /book/x HTTP/1",
        "HTTP/1.1.1": b"POST /book/x HTTP/1.1.1",
        "without a version": b"GET /book/x",
        "VT for a space": b"POST\x0b/book/x HTTP/1.1",
    },
    ANSWER: {
        "status 0200": b"HTTP/1.1 0200 OK",
        "status +200": b"HTTP/1.1 +200 OK",
        "VT for a space": b"HTTP/1.1\x0b200 OK",
        "a tab before it": b"\tHTTP/1.1 200 OK",
    },
}
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"


class FakeSocket:
    """A socket from which a message and then its end can be read."""

    def __init__(self, data):
        self._data = io.BytesIO(data)
        self.recv_into = self._data.readinto

    def makefile(self, *args):
        """Return a file object over the message."""
        return io.BufferedReader(_Raw(self._data))

    def setsockopt(self, *args):
        """Do nothing."""

    def fileno(self):
        """Return no descriptor."""
        return -1


class _Raw(io.RawIOBase):
    def __init__(self, data):
        self._data = data

    def readable(self):
        return True

    def readinto(self, buffer):
        return self._data.readinto(buffer)


def read_request_with(handler_class, data):
    """Return the body of a request that a handler of ``gevent`` reads."""
    server = SimpleNamespace(get_environ=lambda: Environ(), error_log=io.StringIO())
    handler = handler_class(FakeSocket(data), ("127.0.0.1", 1), server)
    line = handler.read_requestline()
    if not line or not handler.read_request(line):
        raise ValueError("no request")
    environ = handler.get_environ()
    return environ["wsgi.input"].read(MAX_BODY_BYTES)


def read_answer_of_library(data):
    """Return the body that the standard library reads."""
    resp = HTTPResponse(FakeSocket(data), method="POST")
    resp.begin()
    return resp.read()


def read_answer_pooled(data):
    """Return the body that ``urllib3`` reads."""
    return _pooled(HTTPResponse(FakeSocket(data), method="POST"))


def read_own_answer(data):
    """Return the body that the reader of this project reads."""
    resp = CONNECTION.response_class(FakeSocket(data), method="POST")
    return _pooled(resp)


def _pooled(resp):
    resp.begin()
    pooled = PooledResponse(
        body=resp, headers=resp.msg.items(), status=resp.status,
        preload_content=False, original_response=resp, decode_content=False,
        enforce_content_length=True, request_method="POST",
    )  # fmt: skip
    return b"".join(pooled.stream(65_536))


def read_with_h11(role, data):
    """Return the body that ``h11`` reads."""
    conn = h11.Connection(role)
    if role is h11.CLIENT:
        conn.send(h11.Request(method="POST", target="/", headers=[("Host", "a")]))
        conn.send(h11.EndOfMessage())
    conn.receive_data(data)
    has_ended, pieces = False, []
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            if has_ended:
                raise ValueError("cut off")
            conn.receive_data(b"")
            has_ended = True
        elif isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(pieces)
        elif isinstance(event, (h11.ConnectionClosed, h11.Response)) and pieces:
            raise ValueError("cut off")
        elif isinstance(event, h11.ConnectionClosed):
            raise ValueError("no message")


CONNECTION = Connection("a")
OWN_HANDLER = make_handler(5.0, MAX_BODY_BYTES)
READERS = {
    REQUEST: {
        "own": lambda data: read_request_with(OWN_HANDLER, data),
        "gevent": lambda data: read_request_with(WSGIHandler, data),
        "h11": lambda data: read_with_h11(h11.SERVER, data),
    },
    ANSWER: {
        "own": read_own_answer,
        "http.client": read_answer_of_library,
        "urllib3": read_answer_pooled,
        "h11": lambda data: read_with_h11(h11.CLIENT, data),
    },
}


def accepts(read, data):
    """Return whether a reader takes a message for whole and sound."""
    try:
        with redirect_stderr(io.StringIO()):
            read(data)
    except Exception:
        return False
    return True


def cases(head):
    """Yield the name, the bytes and whether they are sound, of each message."""
    yield from ((name, head + end, sound) for name, (end, sound) in ENDS.items())
    for name, line in FIRST_LINES[head].items():
        yield f"first line: {name}", line + head[head.index(b"\r\n") :] + SIZED, False
    if head is ANSWER:
        yield "behind 103", HINTS + head + SIZED, True
        yield "100 cut off before it", HINTS[:14] + head + SIZED, False


def print_verdicts():
    """Print for each message who judges it wrongly, and the sums."""
    for head, readers in READERS.items():
        kind = "request" if head is REQUEST else "answer"
        print(f"\n| {kind} | {' | '.join(readers)} |")
        print(f"| --- |{' --- |' * len(readers)}")
        wrong = dict.fromkeys(readers, 0)
        count = 0
        for name, data, sound in cases(head):
            verdicts = {who: accepts(read, data) for who, read in readers.items()}
            count += 1
            for who, verdict in verdicts.items():
                wrong[who] += verdict != sound
            if any(verdict != sound for verdict in verdicts.values()):
                cells = ("accepts" if v else "refuses" for v in verdicts.values())
                name = f"{name} ({'sound' if sound else 'bad'})"
                print(f"| {name} | {' | '.join(cells)} |")
        cells = (f"{wrong[who]} of {count}" for who in readers)
        print(f"| **wrong** | {' | '.join(cells)} |")


def loads(head):
    """Return the messages that are timed, by name."""
    body = b"x" * 300
    chunks = b"64\r\n" + b"y" * 100 + b"\r\n"
    return {
        "head, 300 bytes": head + b"Content-Length: 300\r\n\r\n" + body,
        "1 MB with a length": head
        + b"Content-Length: 1000000\r\n\r\n"
        + b"x" * 1_000_000,
        "1,000 chunks of 100 bytes": head + CHUNKED + chunks * 1_000 + b"0\r\n\r\n",
    }


def time_us(read, data):
    """Return the least processor time of one message, in microseconds."""
    count = 300 if len(data) < 5_000 else 10
    best = float("inf")
    for _ in range(REPEATS):
        begin = time.process_time()
        for _ in itertools.repeat(None, count):
            read(data)
        best = min(best, time.process_time() - begin)
    return best / count * 1e6


def peak_kb(read, data):
    """Return the most memory that a reader allocates for a message, in kB."""
    tracemalloc.start()
    try:
        read(data)
        return tracemalloc.get_traced_memory()[1] / 1_000
    finally:
        tracemalloc.stop()


def print_loads(unit, measure):
    """Print what ``measure(read, data)`` returns for each reader and each load."""
    for head, readers in READERS.items():
        kind = "request" if head is REQUEST else "answer"
        print(f"\n| {kind}, {unit} | {' | '.join(readers)} |")
        print(f"| --- |{' --- |' * len(readers)}")
        for name, data in loads(head).items():
            cells = (f"{measure(read, data):,.0f}" for read in readers.values())
            print(f"| {name} | {' | '.join(cells)} |")


def main():
    """Print all tables."""
    logging.set_verbosity(logging.FATAL)
    print_verdicts()
    print_loads("us", time_us)
    print_loads("kB", peak_kb)


if __name__ == "__main__":
    main()
