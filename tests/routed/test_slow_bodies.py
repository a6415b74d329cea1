"""Plain responses whose body arrives slowly.

Guards against giving up a response that makes progress.
"""

import gevent.monkey

gevent.monkey.patch_all()

import time  # noqa: E402
import unittest  # noqa: E402

import gevent  # noqa: E402

from .raw_server import RawServer, attempt_id, read_request  # noqa: E402
from .support import FrontWithServers, send_call, wait_until  # noqa: E402

PIECES, PIECE = 20, b"x" * 100


class SlowServer(RawServer):
    """Sends each response in pieces, over ``body_s``; silent from ``stall_at`` on."""

    def __init__(self, server, body_s, stall_at=PIECES):
        self.server, self.seen = server, []
        self._body_s, self._stall_at = body_s, stall_at
        super().__init__()

    def serve(self, sock):
        while request := read_request(sock):
            self.seen.append(request)
            head = (
                b"HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: %s\r\n"
                b"Content-Length: %d\r\n\r\n"
            )
            sock.sendall(head % (attempt_id(request), PIECES * len(PIECE)))
            for number in range(PIECES):
                if number == self._stall_at:
                    gevent.sleep(60)
                sock.sendall(PIECE)
                gevent.sleep(self._body_s / PIECES)


class SlowBodyTests(unittest.TestCase):
    def setUp(self):
        self.front = self.enterContext(FrontWithServers())

    def replace_servers(self, *args, **kwargs):
        """Replace the servers of plain requests; return them."""
        for desk in self.front.desks:
            desk.stop()
        servers = [SlowServer(d.server, *args, **kwargs) for d in self.front.desks]
        self.front.desks[:] = servers
        for server in servers:
            self.addCleanup(server.stop)
        return servers

    def call(self):
        """Return the status and the size of the response, and how long it took."""
        began_at = time.monotonic()
        status, _, body = send_call(
            self.front.address, "POST", "/look/x", "r-1", **{"X-Deadline-Ms": "2900"}
        )
        return status, len(body), time.monotonic() - began_at

    def test_body_that_arrives_slowly_is_read_to_its_end(self):
        servers = self.replace_servers(2.0)
        status, size, took_s = self.call()
        self.assertEqual((status, size), (200, PIECES * len(PIECE)))
        self.assertLess(took_s, 2.4)
        self.assertEqual(sum(len(server.seen) for server in servers), 1)
        self.assertEqual(len(self.front.budget._retries), 0)

    def test_body_that_stalls_is_read_from_the_other_server(self):
        servers = self.replace_servers(0.4)
        call = gevent.spawn(self.call)
        wait_until(lambda: any(server.seen for server in servers))
        (first,) = (server for server in servers if server.seen)
        first._stall_at = 2
        status, size, _ = call.get(timeout=5.0)
        self.assertEqual((status, size), (200, PIECES * len(PIECE)))
        self.assertEqual([len(server.seen) for server in servers], [1, 1])


if __name__ == "__main__":
    unittest.main()
