"""Kept connections of callers are closed by the limits in force, not by old ones.

Callers reuse a connection that was idle for up to four fifths of the limit in force. A
node that runs late sees its timers fire while requests lie unread.
"""

import gevent.monkey

gevent.monkey.patch_all()

import socket  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402

import gevent  # noqa: E402

from .support import FixedSource, FrontWithServers, config  # noqa: E402

HEAD = b"GET /nowhere/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r-1\r\n"
# More sockets than the event loop learns of at once: 64, then twice as many.
MANY = 200
OLD_LIMIT_S, NEW_LIMIT_S = 0.4, 3.0
# Limit that ``MANY`` connections, opened one after the other, do not reach on a busy
# machine, and a longer time, in seconds.
LONG_LIMIT_S, LONGER_S = 2.5, 2.7


def stand_still(seconds):
    """Let no other task run for ``seconds``, as on a machine without time for us."""
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        pass


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


class SlowSenderTests(ConnectionTestCase):
    def test_line_that_has_begun_is_read_beyond_the_idle_timeout(self):
        self.start(IdleTimeoutMs=400, HeaderTimeoutMs=1_000)
        sock = self.kept_connection()
        gevent.sleep(0.3)
        sock.sendall(HEAD[:6])
        gevent.sleep(0.3)
        self.assertEqual(self.status_of(sock, HEAD[6:] + b"\r\n"), 404)

    def test_line_that_has_no_end_is_not_waited_for(self):
        self.start(IdleTimeoutMs=2_500, HeaderTimeoutMs=300)
        sock = self.connect(HEAD[:6])
        began_at = time.monotonic()
        self.assertEqual(sock.recv(1), b"")
        self.assertLess(time.monotonic() - began_at, 1.0)


class LateNodeTests(ConnectionTestCase):
    def statuses(self, socks, data):
        """Send ``data`` on all sockets, all timers expire, and then the node runs."""
        for sock in socks:
            sock.sendall(data)
        stand_still(LONGER_S)
        tasks = [gevent.spawn(self.status_of, sock) for sock in socks]
        gevent.joinall(tasks)
        return [task.value for task in tasks]

    def test_requests_that_lie_unread_are_read_when_the_idle_timeout_fires(self):
        self.start(IdleTimeoutMs=round(LONG_LIMIT_S * 1000))
        socks = [self.kept_connection() for _ in range(MANY)]
        self.assertEqual(self.statuses(socks, HEAD + b"\r\n"), [404] * MANY)

    def test_heads_that_lie_unread_are_read_when_the_header_timeout_fires(self):
        self.start(HeaderTimeoutMs=round(LONG_LIMIT_S * 1000))
        socks = [self.connect(HEAD) for _ in range(MANY)]
        gevent.sleep(0.1)
        self.assertEqual(self.statuses(socks, b"\r\n"), [404] * MANY)

    def test_long_head_that_lies_unread_is_read_when_the_header_timeout_fires(self):
        """It takes several reads, between which the reader pauses."""
        self.start(HeaderTimeoutMs=round(LONG_LIMIT_S * 1000), MaxHeaderBytes=200_000)
        sock = self.connect(HEAD)
        gevent.sleep(0.1)
        lines = b"".join(b"X-Fill-%d: %b\r\n" % (n, b"x" * 900) for n in range(60))
        self.assertEqual(self.statuses([sock], lines + b"\r\n"), [404])

    def test_sender_without_end_is_not_waited_for(self):
        """Bytes arrive until the timeout and after it, but slowly."""
        self.start(HeaderTimeoutMs=300)
        sock = self.connect(HEAD + b"X-Fill: ")
        began_at = time.monotonic()
        with self.assertRaises(OSError):
            while time.monotonic() - began_at < 3.0:
                sock.sendall(b"x")
                gevent.sleep(0.002)
        self.assertLess(time.monotonic() - began_at, 1.6)


if __name__ == "__main__":
    unittest.main()
