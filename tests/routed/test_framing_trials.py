"""Whole exchanges that are cut, spoiled, repeated, split and ended in any way.

``python -m tests.routed.test_framing_trials --seeds 1-500`` plays them at random, with
the same rules: nothing passes that a strict reader of the same bytes doesn't see.
"""

import gevent.monkey

gevent.monkey.patch_all()

import argparse  # noqa: E402
import http.client  # noqa: E402
import re  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import traceback  # noqa: E402
import unittest  # noqa: E402
from collections import Counter  # noqa: E402
from contextlib import closing, suppress  # noqa: E402
from typing import NamedTuple  # noqa: E402

import gevent  # noqa: E402
import hypothesis  # noqa: E402
from absl import logging  # noqa: E402
from hypothesis import strategies as st  # noqa: E402

from tests.soak.__main__ import parse_seeds  # noqa: E402

from .raw_server import RawServer, attempt_id, read_request  # noqa: E402
from .support import KEY, FrontWithServers, send_call  # noqa: E402
from .test_broken_heads import EVENTS, RESET, WARM_ID, only, response  # noqa: E402
from .test_framing_fuzz import (  # noqa: E402
    BODY,
    TOKEN,
    RecordingServer,
    change,
    changes,
    fields_of,
    read_chunks_to_end,
)
from .test_request_framing import OwnInterface  # noqa: E402

# Longest time for an exchange, in seconds, and the deadline of its request.
MAX_EXCHANGE_S = 2.0
DEADLINE_MS = 300
# Statuses that promise a caller that its request has not run.
PROMISES = (408, 421, 429, 503)
FIELDS = rb"((?:" + TOKEN + rb":[^\r\n]*\r?\n)*)\r?\n"
# A server's field may go on in the next line.
FOLDED = FIELDS.replace(rb")*)", rb"(?:[ \t][^\r\n]*\r?\n)*)*)")
RESPONSE_HEAD = re.compile(rb"HTTP/1\.\d +(\d{3})(?: [^\r\n]*)?\r?\n" + FOLDED)
REQUEST_HEAD = re.compile(rb"(" + TOKEN + rb" [\x21-\x7e]+) HTTP/1\.\d\r?\n" + FIELDS)
INTERIM = (
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n",
)
ODD_FIELDS = (
    b"",
    b"X-Other: a b\r\n",
    b"Content-Type: multipart/form-data; boundary=b\r\n",
    b"Connection: keep-alive\r\n",
    b"Connection: close\r\n",
    b"Connection: Upgrade\r\nUpgrade: websocket\r\n",
)
SPOILED_FIELDS = (
    b"Content-Length: 3\r\n",
    b"Content-Length: +20\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: \x0bchunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"From a to b\r\n",
)


class Part(NamedTuple):
    """What a strict reader sees: what it is and its body; ``end`` is where it ends."""

    what: object
    body: bytes
    end: int


def read_length(lines, rest):
    """Return the body and the number of its bytes, ``None`` if it isn't clear.

    The number is ``None`` for a body that ends with its connection.
    """
    lengths = fields_of(lines, b"content-length")
    codings = [c.lower() for c in fields_of(lines, b"transfer-encoding")]
    if len(lengths) + len(codings) > 1:
        return None
    if codings:
        return read_chunks_to_end(rest) if codings == [b"chunked"] else None
    if lengths:
        size = int(lengths[0]) if re.fullmatch(rb"\d{1,18}", lengths[0]) else -1
        return (rest[:size], size) if 0 <= size <= len(rest) else None
    return rest, None


def read_answer(data, request_id, method, *, has_warm_id, ends_with_fin):
    """Return the ``Part`` that answers a request, ``None`` if there's no whole one."""
    at, stale_left = 0, 2 if has_warm_id else 0
    while head := RESPONSE_HEAD.match(data, at):
        status, lines = int(head[1]), head[2].replace(b"\r\n", b"\n")
        lines = re.sub(rb"\n[ \t]+", b" ", lines)
        at = head.end()
        if 100 <= status < 200 and status != 101:
            continue
        if status in (204, 304) or method == "HEAD":
            found = b"", 0
        else:
            found = read_length(lines, data[at:])
        if found is None:
            return None
        body, size = found
        ids = fields_of(lines, b"x-attempt-id")
        if ids == [WARM_ID.encode()] and stale_left and size is not None:
            stale_left -= 1
            at += size
            continue
        if ids != [request_id] or (size is None and not ends_with_fin):
            return None
        seal = b", ".join(fields_of(lines, b"x-server-seal")).decode("latin-1")
        return Part((status, seal), body, at + (size or 0))
    return None


def read_requests(data):
    """Return the ``Part`` of each whole request, up to the first bad one."""
    parts, at = [], 0
    while head := REQUEST_HEAD.match(data, at):
        at = head.end()
        found = read_length(head[2].replace(b"\r\n", b"\n"), data[at:])
        if found is None:
            break
        body, size = found
        if size is None:
            body = b""
        at += size or 0
        parts.append(Part(head[1].decode(), body, at))
    return parts


def in_pieces(data, places):
    """Return the data cut at the places, which are fractions of it."""
    cuts = sorted({0, len(data), *(int(place * len(data)) for place in places)})
    return [data[a:b] for a, b in zip(cuts, cuts[1:], strict=False)]


def send_pieces(sock, pieces):
    """Send pieces so that they arrive one by one."""
    for piece in pieces:
        sock.sendall(piece)
        gevent.sleep(0.002)


places = st.lists(st.floats(0, 1), max_size=3)
# Most exchanges are spoiled in one way only, some not at all.
spoiling = st.one_of(st.just([]), changes())


class AnswerPlay(NamedTuple):
    """What a server sends for one request; ``end`` is fin, reset or open."""

    path: str
    method: str
    is_warm: bool
    data: bytes
    places: list
    end: str
    is_spoiled: bool


@st.composite
def answer_plays(draw):
    """Return an ``AnswerPlay``."""
    path, method = draw(
        st.sampled_from([("/book/x", "POST"), ("/once/x", "POST"), ("/look/x", "HEAD")])
    )
    framing = draw(st.sampled_from(["sized", "chunked", "none"]))
    body = EVENTS if path == "/once/x" else BODY
    if method == "HEAD" and framing != "sized":
        body = b""
    status = draw(st.sampled_from([b"200 OK"] * 6 + [b"404 No", b"204 None", b"500 X"]))
    fields = draw(st.sampled_from(ODD_FIELDS[:4]))
    own = response(framing, body, status, fields=fields)
    if status[:3] == b"204":
        framing = "sized"
        own = response(framing, b"", status, fields=fields)
    elif method == "HEAD":
        own = own[: own.index(b"\r\n\r\n") + 4]
    is_warm = path != "/once/x" and draw(st.booleans())
    stale = response(draw(st.sampled_from(["sized", "chunked"])), b"old", seal=b"old")
    stale = stale.replace(b"%s", WARM_ID.encode())
    before = b"".join(draw(st.lists(st.sampled_from(INTERIM), max_size=2)))
    stales = draw(st.integers(0, 2)) if is_warm and method != "HEAD" else 0
    behind = draw(st.sampled_from([b"", b"", b"", stale, own, b"x", b"\r\n"]))
    steps = draw(spoiling)
    data = before + stales * stale + own + behind
    data = change(data, steps).replace(b"%s", b"r")
    end = draw(st.sampled_from(["fin", "fin", "reset", "open"]))
    is_spoiled = bool(steps or behind) or end == "reset"
    is_spoiled = is_spoiled or (framing == "none" and end != "fin")
    return AnswerPlay(path, method, is_warm, data, draw(places), end, is_spoiled)


class PlayingServer(RawServer):
    """Answers the request ``r`` as ``play`` says, and each other one with its id."""

    def __init__(self):
        self.server, self.play = "", None
        super().__init__()

    def serve(self, sock):
        while request := read_request(sock):
            request_id = attempt_id(request)
            if request_id != b"r":
                body = b"the body of " + request_id
                whole = response("sized", body, seal=b"s-" + request_id)
                sock.sendall(whole.replace(b"%s", request_id))
                continue
            play = self.play
            send_pieces(sock, in_pieces(play.data, play.places))
            if play.end == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            if play.end != "open":
                return


class AnswerTrials(unittest.TestCase):
    """Guards against an answer that isn't whole, or another request's."""

    def setUp(self):
        self.server = PlayingServer()
        self.addCleanup(self.server.stop)
        self.front = self.enterContext(FrontWithServers())
        self.front.budget.take = lambda: False
        # What one spoiled answer tells of the server doesn't count for the next.
        self.front.view.must_avoid = lambda name: False
        only(self.front.desks, self.server)
        only(self.front.engines, self.server)

    def call(self, play, request_id):
        """Return status, seal and body; status and seal are ``None`` if cut off."""
        path, method = "/look/x", "POST"
        if request_id == "r":
            path, method = play.path, play.method
        deadline = {"X-Deadline-Ms": str(DEADLINE_MS)}
        try:
            status, headers, body = send_call(
                self.front.address, method, path, request_id, **deadline
            )
        except http.client.IncompleteRead as exc:
            return None, None, exc.partial
        seal = ", ".join(s.strip(" \t") for s in headers.get_all("X-Server-Seal", []))
        return status, seal, body

    def check(self, play):
        self.server.play = play
        if play.is_warm:
            self.assertEqual(self.call(play, WARM_ID)[0], 200)
        started_at = time.monotonic()
        got = self.call(play, "r")
        self.assertLess(time.monotonic() - started_at, MAX_EXCHANGE_S)
        strict = read_answer(
            play.data, b"r", play.method,
            has_warm_id=play.is_warm, ends_with_fin=play.end == "fin",
        )  # fmt: skip
        expected = strict and (*strict.what, strict.body)
        status, seal, body = got
        if not play.is_spoiled:
            self.assertEqual(got, expected)
        elif status is None:
            self.assertEqual(play.path, "/once/x")
        elif status < 500 or seal:
            self.assertEqual(got, expected)
        else:
            self.assertNotIn(status, PROMISES, body)
        status, seal, body = self.call(play, "n")
        if status != 502:
            self.assertEqual((status, seal, body), (200, "s-n", b"the body of n"))

    @hypothesis.settings(
        max_examples=150, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(answer_plays())
    def test_answers(self, play):
        self.check(play)


class RequestPlay(NamedTuple):
    """What a caller sends; ``end`` is wait, fin, close or reset."""

    data: bytes
    places: list
    end: str
    is_spoiled: bool


def a_request(number, framing, body, fields=b""):
    """Return the bytes of a booking with a number as its path and id."""
    head = (
        f"POST /book/{number} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Authorization: Bearer {KEY}\r\nX-Attempt-Id: {number}\r\n"
    ).encode() + fields
    if framing == "sized":
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if framing == "chunked":
        return head + (
            b"Transfer-Encoding: chunked\r\n\r\n%x;e=1\r\n%b\r\n0\r\nX-T: 1\r\n\r\n"
            % (len(body), body)
        )
    return head + b"\r\n"


@st.composite
def request_plays(draw):
    """Return a ``RequestPlay`` of up to three requests in a row."""
    inner = a_request("evil", "sized", b"e")
    bodies = st.sampled_from([b"a", BODY, inner, b"x" * 5000])
    framings = st.sampled_from(["sized", "chunked", "none"])
    data, has_bad_field, has_closed = b"", False, False
    for number in range(draw(st.integers(1, 3))):
        fields = draw(st.sampled_from(ODD_FIELDS))
        if draw(st.integers(0, 7)) == 0:
            fields += draw(st.sampled_from(SPOILED_FIELDS))
            has_bad_field = True
        has_closed = has_closed or b"close" in fields
        data += a_request(number, draw(framings), draw(bodies), fields)
    steps = draw(spoiling)
    end = draw(st.sampled_from(["wait", "wait", "fin", "close", "reset"]))
    is_spoiled = bool(steps) or has_bad_field or has_closed or end != "wait"
    return RequestPlay(change(data, steps), draw(places), end, is_spoiled)


class RequestTrials(unittest.TestCase):
    """Guards against a request that runs and that nobody sent whole."""

    def setUp(self):
        self.server = RecordingServer()
        self.addCleanup(self.server.stop)
        self.front = self.enterContext(FrontWithServers())
        only(self.front.desks, self.server)
        self.own = OwnInterface()
        self.addCleanup(self.own.stop)

    def send(self, address, play):
        """Send what a caller sends; return what it gets."""
        host, _, port = address.rpartition(":")
        sock, got = socket.create_connection((host, int(port)), timeout=2.0), b""
        with closing(sock), suppress(OSError):
            send_pieces(sock, in_pieces(play.data, play.places))
            if play.end == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            if play.end in ("close", "reset"):
                return got
            if play.end == "fin":
                sock.shutdown(socket.SHUT_WR)
            sock.settimeout(0.05)
            while data := sock.recv(65536):
                got += data
        return got

    def check(self, play):
        whole = read_requests(play.data)
        self.server.requests.clear()
        got = self.send(self.front.address, play)
        gevent.sleep(0.003)
        ran = [
            (head.partition(b" HTTP/")[0].decode("latin-1"), body)
            for head, body in self.server.requests
        ]
        self.check_run(play, whole, ran)
        self.assertNotIn(b"HTTP/1.1 500", got)
        self.own.requests.clear()
        got = self.send(self.own.address, play)
        gevent.sleep(0.003)
        self.check_run(play, whole, self.own.requests)
        self.assertNotIn(b"HTTP/1.1 500", got)

    def check_run(self, play, whole, ran):
        sent = [(part.what, part.body) for part in whole]
        if not play.is_spoiled:
            self.assertEqual(ran, sent)
        left = iter(sent)
        for request in ran:
            self.assertIn(request, left, (ran, sent))

    @hypothesis.settings(
        max_examples=150, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(request_plays())
    def test_requests(self, play):
        self.check(play)


def play_seed(case, seed, examples):
    """Play the examples of a seed; return the first fault, ``None`` without one."""
    strategy = answer_plays() if case is AnswerTrials else request_plays()
    test = case(next(name for name in dir(case) if name.startswith("test_")))
    test.setUp()

    @hypothesis.seed(seed)
    @hypothesis.settings(
        max_examples=examples,
        deadline=None,
        database=None,
        print_blob=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategy)
    def play_all(play):
        test.check(play)

    try:
        play_all()
    except Exception:
        return traceback.format_exc()
    finally:
        test.doCleanups()
    return None


def main():
    """Play seeds and print their faults; return the exit code."""
    parser = argparse.ArgumentParser(prog="tests.routed.test_framing_trials")
    parser.add_argument("--seeds", default="1-100", help="1-50, 7,9 or fresh:10")
    parser.add_argument("--examples", type=int, default=20, help="plays of each seed")
    parser.add_argument("--only", choices=("answers", "requests"))
    args = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    cases = {"answers": AnswerTrials, "requests": RequestTrials}
    counts = Counter()
    for kind, case in cases.items():
        if args.only in (None, kind):
            seeds = parse_seeds(args.seeds)
            for seed in seeds:
                fault = play_seed(case, seed, args.examples)
                counts[kind, bool(fault)] += 1
                if fault:
                    print(f"{kind}, seed {seed}:\n{fault[-1800:]}", flush=True)
    for (kind, failed), count in sorted(counts.items()):
        print(f"{kind}: {count} seeds {'failed' if failed else 'passed'}")
    return 1 if any(failed for _, failed in counts) else 0


if __name__ == "__main__":
    sys.exit(main())
