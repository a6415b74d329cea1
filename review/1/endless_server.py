"""A server of the application service that may send bytes without end.

``python3 -m review.1.endless_server STORE ADDRESS ID FORM``. It answers soundly until
it gets a line on standard input. Then it answers each request for a run with bytes
that are no answer, until the caller closes. ``FORM`` says where these are: in a
``head`` (interim responses that no answer follows), in a ``body`` (lines after the
last chunk that are never followed by the empty one), or in the body of a ``stream``
(random bytes, with an empty line now and then). It sends as fast as it can.
"""

import http.client
import json
import random
import socket
import sys
import threading
import time
from contextlib import suppress

HEARTBEAT_S = 1.2
STREAM_BYTES = 65_536
HEADS = {
    "head": b"",
    "body": b"HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\n",
    "stream": b"HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n",
}
FILLINGS = {
    "head": b"HTTP/1.1 100 Continue\r\n\r\n",
    "body": b"x: y\r\n",
    "stream": b"%x\r\n" % (STREAM_BYTES + 2)
    + random.Random(1).randbytes(STREAM_BYTES)
    + b"\n\n\r\n",
}
BLOCK_BYTES = 1 << 18


class EndlessServer:
    """One server; ``is_endless`` is set while it sends bytes without end."""

    def __init__(self, store, address, server, form):
        self.is_endless = threading.Event()
        self._store = store
        self._address = address
        self._server = server
        self._head = HEADS[form]
        filling = FILLINGS[form]
        self._block = filling * (BLOCK_BYTES // len(filling))
        self._born = int(time.time() * 1000)

    def run(self):
        """Register with each heartbeat and serve connections."""
        host, _, port = self._address.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=64)
        threading.Thread(target=self._register, daemon=True).start()
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _register(self):
        for count in range(1, 1 << 30):
            entry = {
                "Service": "app-despacho",
                "Address": self._address,
                "Zone": "norte-cali",
                "Version": "v1",
                "BatchSlots": 6,
                "State": "ready",
                "WarmupLeftMs": 0,
                "Seqno": count,
                "born": self._born,
            }
            body = {"topic": "keyed.servers", "key": self._server, "value": entry}
            with suppress(OSError, http.client.HTTPException):
                conn = http.client.HTTPConnection(self._store, timeout=2.0)
                headers = {"Content-Type": "application/json"}
                conn.request("POST", "/review/put", json.dumps(body), headers)
                conn.getresponse().read()
                conn.close()
            time.sleep(HEARTBEAT_S)

    def _serve(self, sock):
        with suppress(OSError), sock, sock.makefile("rb") as reader:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while line := reader.readline():
                path = line.split()[1].decode()
                headers = http.client.parse_headers(reader)
                reader.read(int(headers.get("Content-Length") or 0))
                self._answer(sock, path, headers)

    def _answer(self, sock, path, headers):
        if path.startswith("/-/"):
            body = json.dumps({"born": self._born}).encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\n" + _framed(body))
            return
        attempt = headers.get("X-Attempt-Id", "")
        if headers.get("X-Expect-Instance") != self._server:
            head = f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {attempt}\r\n"
            sock.sendall(head.encode() + _framed(b""))
            return
        fields = f"X-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-of-{self._server}"
        if not self.is_endless.is_set():
            head = f"HTTP/1.1 200 OK\r\n{fields}\r\n"
            sock.sendall(head.encode() + _framed(b"answer"))
            return
        print(f"endless to {attempt}", flush=True)
        sent, started_at = 0, time.monotonic()
        try:
            sock.sendall(self._head.replace(b"%s", fields.encode()))
            while True:
                sock.sendall(self._block)
                sent += len(self._block)
        finally:
            took_s = time.monotonic() - started_at
            print(f"closed by the caller of {attempt} after {took_s:.2f} s", flush=True)


def _framed(body):
    return f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def main():
    """Serve until the process is ended."""
    server = EndlessServer(*sys.argv[1:])
    threading.Thread(target=server.run, daemon=True).start()
    for _ in sys.stdin:
        server.is_endless.set()
    threading.Event().wait()


if __name__ == "__main__":
    main()
