"""A server that writes what it likes to its connections, for tests."""

import re
from abc import ABC, abstractmethod
from contextlib import suppress

from gevent.server import StreamServer

ATTEMPT_ID = re.compile(rb"(?i)x-attempt-id: *([^\r]*)")


def read_request(sock):
    """Return the head of the next request, empty if the connection has ended."""
    request = b""
    while b"\r\n\r\n" not in request:
        data = sock.recv(65536)
        if not data:
            return b""
        request += data
    return request


def attempt_id(request):
    """Return the id that a request states, empty without one."""
    match = ATTEMPT_ID.search(request)
    return match[1] if match else b""


class RawServer(ABC):
    """Listens at ``address``; each connection is closed once ``serve`` returns."""

    def __init__(self):
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    @abstractmethod
    def serve(self, sock):
        """Serve one connection."""

    def _serve(self, sock, address):
        with sock, suppress(OSError):
            self.serve(sock)

    def stop(self):
        """Stop listening."""
        self._server.stop(0.1)
