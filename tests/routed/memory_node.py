"""A process with a front, whose servers and callers send more than it may hold.

``python -m tests.routed.memory_node CASE LIMIT_MB`` prints one line of JSON: the memory
of the process before the case and at its peak, in MB, and the statuses of requests at
sound servers and of those in the case, 0 for a request without an answer. ``LIMIT_MB``
is the memory that messages may use, 0 for no limit.
"""

import gevent.monkey

gevent.monkey.patch_all()

import itertools  # noqa: E402
import json  # noqa: E402
import resource  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from contextlib import suppress  # noqa: E402
from http.client import HTTPException  # noqa: E402
from types import SimpleNamespace  # noqa: E402

import gevent  # noqa: E402
from absl import logging  # noqa: E402

from auburnwall.base import memory  # noqa: E402

from .raw_server import RawServer, attempt_id, read_request  # noqa: E402
from .support import KEY, FrontWithServers, config, send_call  # noqa: E402

SECONDS, SOUND_CALLERS, CALLERS = 3.0, 4, 24
BODY_BYTES = 3_000_000
PIECE = b"x" * 65_536
FIELDS = b"X-Attempt-Id: %b\r\nX-Server-Seal: seal\r\n"
STREAM = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
CHUNK = b"10000\r\n%b\r\n" % PIECE
LAST_CHUNK_BYTES = BODY_BYTES % len(PIECE)
CHUNKED_BODY = CHUNK * (BODY_BYTES // len(PIECE)) + b"%x\r\n%b\r\n0\r\n\r\n" % (
    LAST_CHUNK_BYTES,
    PIECE[:LAST_CHUNK_BYTES],
)
# What the servers of a case send after their head, and the path of the callers.
CASES = {
    "unframed": (b"\r\n", PIECE, "/look/x"),
    "length": (b"Content-Length: 999999999\r\n\r\n", PIECE, "/look/x"),
    "chunks": (b"Transfer-Encoding: chunked\r\n\r\n", CHUNK, "/look/x"),
    "small chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"2\r\nxx\r\n" * 9_000,
        "/book/x",
    ),
    "event": (STREAM + b"\r\n", CHUNK, "/ask/x"),
    "head": (b"X-Fill: ", PIECE, "/look/x"),
}


class Sender(RawServer):
    """Answers with a head and a piece that is repeated without end."""

    def __init__(self, server, head, piece):
        self.server = server
        self._head, self._piece = head, piece
        super().__init__()

    def serve(self, sock):
        attempt = attempt_id(read_request(sock))
        sock.sendall(b"HTTP/1.1 200 OK\r\n" + FIELDS % attempt + self._head)
        while True:
            sock.sendall(self._piece)
            gevent.sleep(0.005)


class LargeAnswers(RawServer):
    """Answers with whole bodies of ``BODY_BYTES``."""

    def __init__(self, server):
        self.server = server
        super().__init__()

    def serve(self, sock):
        while request := read_request(sock):
            length = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
            head = b"HTTP/1.1 200 OK\r\n" + FIELDS % attempt_id(request) + length
            sock.sendall(head)
            for _ in range(0, BODY_BYTES, 1000):
                sock.sendall(PIECE[:1000])


def new_config():
    """Return a configuration with large bodies, in which nothing is out of time."""
    body = config(MaxBodyBytes=BODY_BYTES)
    for route in body["Routes"]:
        route["TimeoutMs"] = 20_000
    return body


def call(front, path, number, body=b"", framing="", reads=True):
    """Send a request; return its status, 0 without a whole answer.

    ``framing`` is the field for its body, by default for one with a length.
    """
    host, _, port = front.address.rpartition(":")
    head = (
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r-{number}\r\n"
        f"Authorization: Bearer {KEY}\r\n"
        f"{framing or f'Content-Length: {len(body)}'}\r\n\r\n"
    )
    with suppress(OSError), socket.create_connection((host, int(port)), 20.0) as sock:
        sock.sendall(head.encode())
        sock.sendall(body)
        if not reads:
            gevent.sleep(SECONDS)
        answer = sock.recv(65536)
        return int(answer[9:12] or 0)
    return 0


def sound_calls(front, path, statuses, until):
    """Send requests to sound servers, one after the other."""
    for number in itertools.count():
        if time.monotonic() > until:
            return
        status = 0
        with suppress(OSError, HTTPException):
            status, _, _ = send_call(front.address, "POST", path, f"s-{number}-{path}")
        statuses.append(status)
        gevent.sleep(0.02)


def play(front, case):
    """Play one case; return the statuses of its requests."""
    body, framing, reads, path = b"", "", True, "/look/x"
    if case in CASES:
        head, piece, path = CASES[case]
        replace(front, path, lambda server: Sender(server, head, piece))
    elif case == "callers' bodies":
        body = b"x" * BODY_BYTES
    elif case == "callers' chunked bodies":
        body, framing = CHUNKED_BODY, "Transfer-Encoding: chunked"
    elif case == "callers that do not read":
        reads = False
        replace(front, path, LargeAnswers)
    calls = [
        gevent.spawn(call, front, path, n, body, framing, reads)
        for n in range(2 * CALLERS if body else CALLERS)
    ]
    gevent.joinall(calls, timeout=SECONDS + 1.0)
    return [task.value if task.ready() else 0 for task in calls]


def replace(front, path, new_server):
    """Replace the servers of a path."""
    servers = front.engines if path == "/ask/x" else front.desks
    servers[:] = [new_server(server.server) for server in servers]
    front.view.slots = CALLERS


def peak_mb():
    """Return the largest memory of this process until now, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def main(case, limit_mb):
    """Play one case and print its results."""
    logging.set_verbosity(logging.FATAL)
    memory.budget.limit_bytes = int(limit_mb) * 2**20 or float("inf")
    with FrontWithServers(new_config()) as front:
        # The service that the case doesn't use.
        path = "/look/s" if case == "event" else "/ask/s"
        statuses, until = [], time.monotonic() + SECONDS
        sound_calls(front, path, statuses, time.monotonic() + 0.2)
        before_mb = peak_mb()
        sound = [
            gevent.spawn(sound_calls, front, path, statuses, until)
            for _ in range(SOUND_CALLERS)
        ]
        others = play(front, case)
        gevent.joinall(sound)
    result = SimpleNamespace(
        before_mb=before_mb,
        peak_mb=peak_mb(),
        sound=sorted(set(statuses)),
        others=others,
        held_bytes=memory.budget.held_bytes,
    )
    print(json.dumps(vars(result)), flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
