"""A server of the application service that may send bytes without end.

``python3 -m review.1.endless_server STORE ADDRESS ID FORM``. In trouble it answers each
request with bytes that are no answer, until the caller closes. ``FORM`` says where
these are: in a ``head`` (interim responses that no answer follows), in a ``body``
(lines after the last chunk that are never followed by the empty one), or in the body of
a ``stream`` (random bytes, with an empty line now and then).
"""

import random
import sys
import time

from ..lib.plain_server import PlainServer

STREAM_BYTES, BLOCK_BYTES = 1 << 16, 1 << 18
# ``%s`` stands for the fields that a server adds.
HEADS = {
    "head": b"",
    "body": b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
    "stream": b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n",
}
FILLINGS = {
    "head": b"HTTP/1.1 100 Continue\r\n\r\n",
    "body": b"x: y\r\n",
    "stream": b"%x\r\n" % (STREAM_BYTES + 2)
    + random.Random(1).randbytes(STREAM_BYTES)
    + b"\n\n\r\n",
}


class EndlessServer(PlainServer):
    """A server that sends as fast as its caller reads."""

    def __init__(self, store, address, server, form):
        super().__init__(store, address, server)
        self._head, filling = HEADS[form], FILLINGS[form]
        self._block = filling * (BLOCK_BYTES // len(filling))

    def answer(self, sock, attempt):
        """Send bytes without end; the caller has closed when this returns."""
        self.say(f"endless to {attempt}")
        started_at = time.monotonic()
        try:
            fields = self.head_fields(attempt).encode()
            sock.sendall(self._head.replace(b"%s", fields))
            while True:
                sock.sendall(self._block)
        finally:
            took_s = time.monotonic() - started_at
            self.say(f"closed by the caller of {attempt} after {took_s:.2f} s")


if __name__ == "__main__":
    EndlessServer(*sys.argv[1:]).main()
