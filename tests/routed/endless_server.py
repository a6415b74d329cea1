"""A process that sends bytes without end, as fast as they are read.

``python -m tests.routed.endless_server FORM`` prints its port and answers each request
in this way. With an address as second argument it sends a request to that address
instead. It is a process of its own, so that it sends while its reader is busy. It stops
after ``MAX_SEND_S``, so that a reader that never stops fails a test, but ends.
"""

import socket
import sys
import threading
import time
from contextlib import suppress

from .raw_server import attempt_id, read_request

MAX_SEND_S = 6.0
BLOCK_BYTES = 1 << 18
CHUNKED = b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n"
EVENTS = b"id: 1\ndata: " + b"x" * 1000 + b"\n\n"
# What comes before the bytes without end, and the piece that is repeated. ``%s`` stands
# for the fields that a server adds to the head of its response.
FORMS = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header": (b"HTTP/1.1 200 OK\r\nX-Fill: ", b"x" * 1000),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "body": (b"HTTP/1.1 200 OK\r\n%s\r\n", b"x" * 1000),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
    "chunk size": (CHUNKED, b"0" * 1000),
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"x: y\r\n"),
    "events": (CHUNKED, b"%x\r\n%s\r\n" % (len(EVENTS), EVENTS)),
}
REQUEST = (
    b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
    b"X-Attempt-Id: endless\r\nTransfer-Encoding: chunked\r\n\r\n"
)
REQUEST_FORMS = {
    "trailers": (REQUEST + b"2\r\nok\r\n0\r\n", b"x: y\r\n"),
    "chunks": (REQUEST, b"1\r\nx\r\n"),
    "headers": (REQUEST[:-2], b"x: y\r\n"),
}


def send_without_end(sock, begin, piece):
    """Send until the reader closes or ``MAX_SEND_S`` have passed."""
    block = piece * (BLOCK_BYTES // len(piece))
    ends_at = time.monotonic() + MAX_SEND_S
    sock.settimeout(MAX_SEND_S)
    with suppress(OSError):
        sock.sendall(begin)
        while time.monotonic() < ends_at:
            sock.sendall(block)


def answer(sock, form):
    """Read one request and answer it."""
    if not (request := read_request(sock)):
        return
    fields = b"X-Server-Seal: endless\r\n"
    if attempt := attempt_id(request):
        fields += b"X-Attempt-Id: " + attempt + b"\r\n"
    begin, piece = FORMS[form]
    send_without_end(sock, begin.replace(b"%s", fields), piece)
    sock.close()


def main(form, address=None):
    """Serve until the process is ended, or send one request to ``address``."""
    if address:
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port))) as sock:
            send_without_end(sock, *REQUEST_FORMS[form])
        return
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=answer, args=(sock, form), daemon=True).start()


if __name__ == "__main__":
    main(*sys.argv[1:])
