"""A server whose streams a test sends piece by piece, for tests."""

import re
from contextlib import suppress

from gevent.event import Event

from .raw_server import RawServer, attempt_id, read_request

LAST_EVENT_ID = re.compile(rb"(?i)\r\nlast-event-id: *(\d+)")
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: seal\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def numbered(number):
    """Return the event with this id."""
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


class ScriptedServer(RawServer):
    """Keeps its requests in ``requests``; a test answers each of them.

    With ``answers_all``, further requests are answered as they arrive.
    """

    def __init__(self, server, count):
        self.server = server
        self.count = count
        self.requests = []
        self.answers_all = False
        super().__init__()

    def serve(self, sock):
        while request := read_request(sock):
            stream = ScriptedStream(sock, request, self.count)
            self.requests.append(stream)
            if self.answers_all:
                stream.answer()
            stream.has_ended.wait()


class ScriptedStream:
    """One request and its stream; ``last_id`` is the event after which it goes on."""

    def __init__(self, sock, request, count):
        match = LAST_EVENT_ID.search(request)
        self.last_id = int(match[1]) if match else 0
        self.has_ended = Event()
        self._sock = sock
        self._attempt = attempt_id(request)
        self._count = count
        self._has_head = False

    def _send(self, data):
        with suppress(OSError):
            self._sock.sendall(data)

    def send_head(self):
        """Send the head of the response, once."""
        if not self._has_head:
            self._has_head = True
            self._send(HEAD % self._attempt)

    def send_chunk(self, data):
        """Send one chunk."""
        self._send(b"%x\r\n%b\r\n" % (len(data), data))

    def send_events(self, begin, end):
        """Send the events from ``begin`` to ``end``, each in a chunk."""
        for number in range(begin, end + 1):
            self.send_chunk(numbered(number))
            self.last_id = number

    def send_rest(self):
        """Send what is left of the stream, and its end."""
        self.send_head()
        self.send_events(self.last_id + 1, self._count)
        self._send(b"0\r\n\r\n")
        self.has_ended.set()

    answer = send_rest

    def cut(self, data):
        """Send a chunk, and end the connection."""
        self.send_chunk(data)
        with suppress(OSError):
            self._sock.close()
        self.has_ended.set()
