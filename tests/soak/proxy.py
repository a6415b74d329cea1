"""A loopback proxy that can delay, reset and stall connections."""

from contextlib import suppress
from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET
from struct import pack

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection

# What a proxy does to connections: nothing; delay the bytes; reset open and new
# connections; hold back all bytes; forward requests but hold back responses.
MODES = ("pass", "delay", "reset", "silent", "deaf")
DELAY_S = 0.15
CHUNK_BYTES = 65_536


class FaultyProxy:
    """Forward connections to the address ``target()``, with the faults of ``mode``."""

    def __init__(self, target):
        self.mode = "pass"
        self._target = target
        self._open_sockets = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)

    @property
    def address(self):
        """Return the address at which the proxy listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def start(self):
        """Accept connections."""
        self._server.start()

    def stop(self):
        """Stop listening and reset all connections."""
        self._server.stop(timeout=0)
        self._reset_all()

    def set_mode(self, mode):
        """Change the mode; it applies to open connections as well."""
        self.mode = mode
        if mode == "reset":
            self._reset_all()

    def _serve(self, client, _):
        if self.mode == "reset":
            _reset(client)
            return
        host, _, port = self._target().rpartition(":")
        try:
            upstream = create_connection((host, int(port)), timeout=2.0)
        except OSError:
            _reset(client)
            return
        upstream.settimeout(None)
        self._open_sockets |= {client, upstream}
        response_task = gevent.spawn(
            self._forward, upstream, client, ("silent", "deaf")
        )
        self._forward(client, upstream, ("silent",))
        response_task.join()
        self._open_sockets -= {client, upstream}

    def _forward(self, source, sink, held_modes):
        """Forward bytes in one direction; hold them back while in ``held_modes``."""
        with suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                while self.mode in held_modes:
                    gevent.sleep(0.05)
                if self.mode == "delay":
                    gevent.sleep(DELAY_S)
                sink.sendall(data)
        for socket in (sink, source):
            with suppress(OSError):
                socket.shutdown(SHUT_RDWR)

    def _reset_all(self):
        for socket in list(self._open_sockets):
            _reset(socket)
        self._open_sockets.clear()


def _reset(socket):
    with suppress(OSError):
        socket.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        socket.shutdown(SHUT_RDWR)
    socket.close()
