"""Simulated callers, which send requests to a node's WSGI application."""

import io
import json
from typing import NamedTuple

import gevent
from gevent.queue import Queue

from standins.engine import response_words

from .virtual_time import EPOCH_S

KEY = "drivers-key"
MODEL = "m"
COMPLETION_TOKENS = 12
CALL_TIMEOUT_S = 20.0
# The status of a call whose response did not come or broke off.
BROKEN_OFF = object()


class Outcome(NamedTuple):
    """The outcome of one attempt, as its caller saw it.

    ``ran`` is what a refusal states about the execution of the request. ``correct`` is
    whether the caller got the complete and correct response.
    """

    sent_at: float
    ended_at: float
    request_id: str
    key: str
    node: str
    status: object
    ran: str
    correct: bool


class Callers:
    """A mixin with the actions of callers.

    It uses ``time``, ``nodes``, ``outcomes``, ``first_chunk_at``, ``rng``, ``spawn``
    and ``_ids`` of the class.
    """

    def call(self, node, method, path, body, headers):
        """Send one HTTP request to a node; return status, headers and body bytes.

        The status is ``BROKEN_OFF`` if the node stopped or did not respond in time.
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
        response_start = self._next_chunk(chunks)
        if response_start is BROKEN_OFF:
            return BROKEN_OFF, {}, b""
        status, response_headers = response_start
        body_chunks = []
        while (chunk := self._next_chunk(chunks)) is not None:
            if chunk is BROKEN_OFF:
                return BROKEN_OFF, {}, b"".join(body_chunks)
            body_chunks.append(chunk)
            self.first_chunk_at.setdefault(headers["X-Request-Id"], self.time.now)
        return status, response_headers, b"".join(body_chunks)

    def _next_chunk(self, chunks):
        """Return the next chunk, or ``BROKEN_OFF`` after ``CALL_TIMEOUT_S``."""
        waiter = gevent.spawn(chunks.get)
        gevent.wait([waiter, self.time.after(CALL_TIMEOUT_S)], count=1)
        if waiter.ready():
            return waiter.value
        waiter.kill()
        return BROKEN_OFF

    def new_completion_name(self):
        """Return a unique name for a completion."""
        return f"chat-{next(self._ids)}"

    def send_completion(self, node, tokens=COMPLETION_TOKENS, subject=None):
        """Send a request for a streamed completion to a node and record the outcome.

        Each attempt has its own request id: the subject and a number.
        """
        subject = subject or self.new_completion_name()
        sent_at, request_id = self.time.now, f"{subject}/{next(self._ids)}"
        messages = [{"role": "user", "content": subject}]
        body = {"model": MODEL, "stream": True, "max_tokens": tokens}
        status, _, data = self.call(
            node,
            "POST",
            "/v1/chat/completions",
            {**body, "messages": messages},
            {"X-Request-Id": request_id, "X-Auburnwall-Deadline-Ms": "8000"},
        )
        ran, correct = _read_completion(status, data, messages, tokens)
        if status == 200 and ran:
            status = "broken"
        self._record_outcome(sent_at, request_id, "", node, status, ran, correct)

    def send_booking(self, nodes):
        """Send a booking; retry it at the other nodes under the same key."""
        self._send_booking(self._new_key(), nodes)

    def send_booking_twice(self, nodes):
        """Send one booking to two nodes at the same time, under one key."""
        key = self._new_key()
        self.spawn(self._send_booking, key, nodes)
        self._send_booking(key, nodes[::-1])

    def _send_booking(self, key, nodes):
        for node in nodes:
            if not node.up:
                continue
            sent_at, request_id = self.time.now, f"book-{next(self._ids)}"
            status, headers, data = self.call(
                node,
                "POST",
                "/v1/services/desk/bookings",
                {"key": key},
                {
                    "X-Request-Id": request_id,
                    "Idempotency-Key": key,
                    "X-Auburnwall-Deadline-Ms": "6000",
                },
            )
            response = json.loads(data) if data and status is not BROKEN_OFF else {}
            correct = status == 201 and response == {"booked": key}
            self._record_outcome(
                sent_at, request_id, key, node, status, response.get("ran", ""), correct
            )
            if status == 201:
                return
            self.time.after(float(headers.get("Retry-After", 1.0))).wait()

    def _record_outcome(self, sent_at, request_id, key, node, status, ran, correct):
        outcome = Outcome(
            sent_at, self.time.now, request_id, key, node.name, status, ran, correct
        )
        self.outcomes.append(outcome)

    def entry_nodes(self):
        """Return the running nodes in random order."""
        nodes = [node for node in self.nodes.values() if node.up]
        return self.rng.sample(nodes, len(nodes))

    def _new_key(self):
        created_ms = int((EPOCH_S + self.time.now) * 1000)
        random_bits = self.rng.getrandbits(62)
        value = created_ms << 80 | 7 << 76 | 2 << 62 | random_bits
        text = f"{value:032x}"
        return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def _serve(node, environ, chunks):
    """Run the node's application for one call; runs as a task of the node."""

    def start_response(status, headers, exc_info=None):
        chunks.put((int(status.split()[0]), dict(headers)))

    complete = False
    try:
        node.clock.gate()
        result = node.app(environ, start_response)
        try:
            for chunk in result:
                chunks.put(chunk)
        finally:
            if hasattr(result, "close"):
                result.close()
        complete = True
    finally:
        chunks.put(None if complete else BROKEN_OFF)


def _read_completion(status, data, messages, tokens):
    """Return what a refusal states about execution, and whether the response is right.

    The statement is an empty string if the response is not a refusal.
    """
    if status is BROKEN_OFF:
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
