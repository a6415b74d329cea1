"""Callers of the rig: they ask nodes through their WSGI application."""

import io
import json
from typing import NamedTuple

import gevent
from gevent.queue import Queue

from standins.engine import response_words

from .virtual_time import EPOCH_S

KEY = "drivers-key"
MODEL = "m"
TOKENS = 12
CALL_TIMEOUT_S = 20.0
CUT = object()


class Outcome(NamedTuple):
    """What a caller got for one ask."""

    asked_at: float
    ended_at: float
    request_id: str
    key: str
    node: str
    status: object
    ran: str
    right: bool


class Callers:
    """What callers do, for a world that has ``time``, ``nodes`` and ``outcomes``."""

    def call(self, node, method, path, body, headers):
        """Send one HTTP request to a node; return status, headers and body bytes.

        The status is ``CUT`` if the node went away or did not answer in time.
        """
        chunks, data = Queue(), json.dumps(body).encode()
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": "",
            "SERVER_NAME": node.name,
            "SERVER_PORT": "80",
            "CONTENT_LENGTH": str(len(data)),
            "CONTENT_TYPE": "application/json",
            "wsgi.input": io.BytesIO(data),
            "wsgi.errors": io.StringIO(),
            "wsgi.url_scheme": "http",
            "HTTP_AUTHORIZATION": f"Bearer {KEY}",
            "HTTP_X_RIG_NODE": node.name,
            **{f"HTTP_{k.upper().replace('-', '_')}": v for k, v in headers.items()},
        }
        node.tasks.spawn(_serve, node, environ, chunks)
        first = self._next(chunks)
        if first is CUT:
            return CUT, {}, b""
        status, answer_headers = first
        body_chunks = []
        while (chunk := self._next(chunks)) is not None:
            if chunk is CUT:
                return CUT, {}, b"".join(body_chunks)
            body_chunks.append(chunk)
            self.first_at.setdefault(headers["X-Request-Id"], self.time.now)
        return status, answer_headers, b"".join(body_chunks)

    def _next(self, chunks):
        """Return the next chunk, or ``CUT`` if none comes in time."""
        waiter = gevent.spawn(chunks.get)
        gevent.wait([waiter, self.time.after(CALL_TIMEOUT_S)], count=1)
        if waiter.ready():
            return waiter.value
        waiter.kill()
        return CUT

    def new_name(self):
        """Return a name for a completion."""
        return f"chat-{next(self._ids)}"

    def ask_completion(self, node, tokens=TOKENS, subject=None):
        """Ask for a streamed completion at a node and note the outcome.

        Each ask has an id of its own: the subject's name and a number.
        """
        subject = subject or self.new_name()
        asked_at, name = self.time.now, f"{subject}/{next(self._ids)}"
        messages = [{"role": "user", "content": subject}]
        body = {"model": MODEL, "stream": True, "max_tokens": tokens}
        status, _, data = self.call(
            node,
            "POST",
            "/v1/chat/completions",
            {**body, "messages": messages},
            {"X-Request-Id": name, "X-Auburnwall-Deadline-Ms": "8000"},
        )
        ran, right = _read_completion(status, data, messages, tokens)
        if status == 200 and ran:
            status = "broken"
        self._note(asked_at, name, "", node, status, ran, right)

    def ask_booking(self, nodes):
        """Ask for a booking, again at other nodes under the same key if need be."""
        self._ask_booking(self._new_key(), nodes)

    def ask_booking_twice(self, nodes):
        """Ask for one booking at two nodes at the same time."""
        key = self._new_key()
        self.spawn(self._ask_booking, key, nodes)
        self._ask_booking(key, nodes[::-1])

    def _ask_booking(self, key, nodes):
        for node in nodes:
            if not node.up:
                continue
            asked_at, name = self.time.now, f"book-{next(self._ids)}"
            status, headers, data = self.call(
                node,
                "POST",
                "/v1/services/desk/bookings",
                {"key": key},
                {
                    "X-Request-Id": name,
                    "Idempotency-Key": key,
                    "X-Auburnwall-Deadline-Ms": "6000",
                },
            )
            answer = json.loads(data) if data and status is not CUT else {}
            right = status == 201 and answer == {"booked": key}
            self._note(asked_at, name, key, node, status, answer.get("ran", ""), right)
            if status == 201:
                return
            self.time.after(float(headers.get("Retry-After", 1.0))).wait()

    def _note(self, asked_at, name, key, node, status, ran, right):
        outcome = Outcome(
            asked_at, self.time.now, name, key, node.name, status, ran, right
        )
        self.outcomes.append(outcome)

    def entry_nodes(self):
        """Return nodes in random order, as callers that hold an answer know them."""
        nodes = [node for node in self.nodes.values() if node.up]
        return self.rng.sample(nodes, len(nodes))

    def _new_key(self):
        born_ms = int((EPOCH_S + self.time.now) * 1000)
        tail = self.rng.getrandbits(62)
        number = born_ms << 80 | 7 << 76 | 2 << 62 | tail
        text = f"{number:032x}"
        return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def _serve(node, environ, chunks):
    """Run the node's application for one call, in a task of the node."""

    def start_response(status, headers, exc_info=None):
        chunks.put((int(status.split()[0]), dict(headers)))

    whole = False
    try:
        node.clock.gate()
        result = node.app(environ, start_response)
        try:
            for chunk in result:
                chunks.put(chunk)
        finally:
            if hasattr(result, "close"):
                result.close()
        whole = True
    finally:
        chunks.put(None if whole else CUT)


def _read_completion(status, data, messages, tokens):
    """Return what the caller was told of the run, and whether the answer is right."""
    if status is CUT:
        return "", False
    if status != 200:
        return json.loads(data)["ran"], False
    text, done = "", False
    for line in data.decode().split("\n"):
        if line == "data: [DONE]":
            done = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            if "error" in event:
                return event["error"]["ran"], False
            text += event["choices"][0]["delta"].get("content", "")
    expected = response_words(json.dumps(messages), tokens)
    return "", done and text.split() == expected
