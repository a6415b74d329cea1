"""Kept connections of callers are closed by the limits in force, not by old ones.

Callers reuse a connection that was idle for up to four fifths of the limit in force.
"""

import gevent.monkey

gevent.monkey.patch_all()

import socket  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402

import gevent  # noqa: E402

from .support import FixedSource, FrontWithServers, config  # noqa: E402

HEAD = b"GET /nowhere/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r-1\r\n"
OLD_LIMIT_S, NEW_LIMIT_S = 0.4, 3.0


class ConnectionTestCase(unittest.TestCase):
    def start(self, **limits):
        self.front = self.enterContext(FrontWithServers(config(**limits)))

    def change_limits(self, **limits):
        """Put another configuration in force."""
        self.front.gateway._source.table = FixedSource(config(**limits)).table

    def connect(self, data=b""):
        sock = socket.create_connection(self.front.address.split(":"))
        self.addCleanup(sock.close)
        sock.settimeout(3.0)
        sock.sendall(data)
        return sock

    def status_of(self, sock, data=b""):
        """Send the rest of a request; return the status, or 0 if it has no response."""
        try:
            sock.sendall(data)
            line = sock.recv(4096).split(b"\r\n")[0]
        except OSError:
            return 0
        return int(line.split()[1]) if line else 0

    def kept_connection(self):
        """Return a connection on which a request has been answered."""
        sock = self.connect()
        self.assertEqual(self.status_of(sock, HEAD + b"\r\n"), 404)
        return sock


class ChangedLimitTests(ConnectionTestCase):
    def test_waiting_connection_survives_the_old_limit_after_a_raise(self):
        self.start(IdleTimeoutMs=round(OLD_LIMIT_S * 1000))
        sock = self.kept_connection()
        gevent.sleep(OLD_LIMIT_S / 2)
        self.change_limits(IdleTimeoutMs=round(NEW_LIMIT_S * 1000))
        gevent.sleep(0.8 * NEW_LIMIT_S - OLD_LIMIT_S / 2)
        self.assertEqual(self.status_of(sock, HEAD + b"\r\n"), 404)

    def test_raised_limit_closes_as_well(self):
        self.start(IdleTimeoutMs=200)
        sock = self.kept_connection()
        self.change_limits(IdleTimeoutMs=600)
        began_at = time.monotonic()
        self.assertEqual(sock.recv(1), b"")
        self.assertAlmostEqual(time.monotonic() - began_at, 0.6, delta=0.15)

    def test_waiting_connection_is_not_closed_before_a_lowered_limit(self):
        self.start(IdleTimeoutMs=3000)
        sock = self.kept_connection()
        gevent.sleep(0.1)
        self.change_limits(IdleTimeoutMs=500)
        gevent.sleep(0.3)
        self.assertEqual(self.status_of(sock, HEAD + b"\r\n"), 404)


if __name__ == "__main__":
    unittest.main()
