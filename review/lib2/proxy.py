"""A proxy on a loopback address that can hold back the bytes of its connections."""

import socket
import threading
from contextlib import suppress

CHUNK_BYTES = 65_536


class HoldingProxy:
    """Forwards connections to ``target``; a cut link holds the bytes, and loses none.

    What was held is delivered when the cut ends, and so is the end of a connection.
    """

    def __init__(self, address, target):
        self._target = target
        self._open = threading.Event()
        self._open.set()
        self._listener = socket.create_server(address)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Hold back all bytes, in both directions."""
        self._open.clear()

    def heal(self):
        """Deliver what was held, and forward again."""
        self._open.set()

    def _accept(self):
        while True:
            conn, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        self._open.wait()
        try:
            upstream = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            conn.close()
            return
        upstream.settimeout(None)
        for sock in (conn, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(
            target=self._forward, args=(upstream, conn), daemon=True
        )
        back.start()
        self._forward(conn, upstream)
        back.join()
        conn.close()
        upstream.close()

    def _forward(self, source, sink):
        with suppress(OSError):
            while True:
                data = source.recv(CHUNK_BYTES)
                self._open.wait()
                if not data:
                    break
                sink.sendall(data)
        self._open.wait()
        with suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
