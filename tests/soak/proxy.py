"""A loopback proxy that delays, cuts and silences connections."""

from contextlib import suppress
from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET
from struct import pack

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection

# What a proxy does: nothing, late bytes, connections reset and refused, no bytes at
# all, requests that arrive and answers that do not.
MODES = ("pass", "delay", "reset", "silent", "deaf")
DELAY_S = 0.15
CHUNK_BYTES = 65_536


class TroubledProxy:
    """Forward connections to ``target()``, an address, as ``mode`` says."""

    def __init__(self, target):
        self.mode = "pass"
        self._target = target
        self._open = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)

    @property
    def address(self):
        """Return where the proxy listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def start(self):
        """Begin to accept."""
        self._server.start()

    def stop(self):
        """End everything."""
        self._server.stop(timeout=0)
        self._reset_all()

    def set_mode(self, mode):
        """Change what happens, to open connections as well."""
        self.mode = mode
        if mode == "reset":
            self._reset_all()

    def _serve(self, sock, _):
        if self.mode == "reset":
            _reset(sock)
            return
        host, _, port = self._target().rpartition(":")
        try:
            other = create_connection((host, int(port)), timeout=2.0)
        except OSError:
            _reset(sock)
            return
        other.settimeout(None)
        self._open |= {sock, other}
        back = gevent.spawn(self._pump, other, sock, ("silent", "deaf"))
        self._pump(sock, other, ("silent",))
        back.join()
        self._open -= {sock, other}

    def _pump(self, source, sink, dropped_in):
        """Forward bytes one way; they wait while the mode drops them."""
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                while self.mode in dropped_in:
                    gevent.sleep(0.05)
                if self.mode == "delay":
                    gevent.sleep(DELAY_S)
                sink.sendall(data)
        for sock in (sink, source):
            with suppress(OSError):
                sock.shutdown(SHUT_RDWR)

    def _reset_all(self):
        for sock in list(self._open):
            _reset(sock)
        self._open.clear()


def _reset(sock):
    with suppress(OSError):
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        sock.shutdown(SHUT_RDWR)
    sock.close()
