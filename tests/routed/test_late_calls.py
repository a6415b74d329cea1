"""A response of a peer that has arrived counts, however late the caller runs.

A caller that was stopped has timers that are due when it goes on, and has not looked at
its sockets yet.
"""

import contextlib
import signal
import socket
import struct
import subprocess
import sys
import time
import unittest
from types import SimpleNamespace

from thrift.transport.TTransport import TMemoryBuffer

from auburnwall.wire.peer import Routed
from auburnwall.wire.server import PROTOCOL_FACTORY

TIMEOUT_S, TOTAL_S, STOP_S, SETTLE_S = 0.12, 0.6, 0.4, 0.03
HEADER = struct.Struct("!i")
CALLER = """
from gevent import monkey
monkey.patch_all()
import sys, time
from auburnwall.wire.client import PeerPool
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer import Routed
pool = PeerPool(timeout_s=float(sys.argv[2]), service=Routed)
began_at = time.monotonic()
try:
    total_s = float(sys.argv[3]) if sys.argv[3:] else None
    result = pool.call(sys.argv[1], "reaches", "s1", "", total_s=total_s)
except PeerUnavailableError as exc:
    result = exc.detail
print(f"{result}; {time.monotonic() - began_at:.3f}")
"""


def response_to(message):
    """Return the framed response of a peer that reaches each server."""
    handler = SimpleNamespace(reaches=lambda server, address: True)
    response = TMemoryBuffer()
    Routed.Processor(handler).process(
        PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(message)),
        PROTOCOL_FACTORY.getProtocol(response),
    )
    body = response.getvalue()
    return HEADER.pack(len(body)) + body


class LateCallTests(unittest.TestCase):
    """Guards against timeouts that fire while the response lies in the socket."""

    def setUp(self):
        self.listener = self.enterContext(socket.socket())
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.settimeout(10.0)

    def call(self, stop_s, ends):
        """Return what a caller got, and in what time.

        It is stopped for ``stop_s`` seconds once its call has come. Meanwhile it gets
        the response, in parts that end at the offsets ``ends``.
        """
        address = "127.0.0.1:{1}".format(*self.listener.getsockname())
        command = [sys.executable, "-c", CALLER, address, str(TIMEOUT_S)]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as caller:
            conn, _ = self.listener.accept()
            with conn:
                (size,) = HEADER.unpack(conn.recv(HEADER.size))
                frame = response_to(conn.recv(size))
                time.sleep(SETTLE_S)
                if stop_s:
                    caller.send_signal(signal.SIGSTOP)
                for begin, end in zip((0, *ends), ends, strict=False):
                    conn.sendall(frame[begin:end])
                time.sleep(stop_s)
                caller.send_signal(signal.SIGCONT)
                result, _, seconds = caller.stdout.read().partition("; ")
        return result, float(seconds)

    def test_peer_that_sends_a_byte_now_and_then_is_given_up(self):
        """A peer on a saturated link passes the timeout of each single read."""
        address = "127.0.0.1:{1}".format(*self.listener.getsockname())
        command = [sys.executable, "-c", CALLER, address, str(TIMEOUT_S), str(TOTAL_S)]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as caller:
            conn, _ = self.listener.accept()
            with conn, contextlib.suppress(ConnectionError):
                (size,) = HEADER.unpack(conn.recv(HEADER.size))
                for byte in response_to(conn.recv(size)):
                    conn.sendall(bytes([byte]))
                    time.sleep(TIMEOUT_S / 2)
            result, _, seconds = caller.stdout.read().partition("; ")
        self.assertIn("no complete response", result)
        self.assertLess(float(seconds), 2 * TOTAL_S)

    def test_response_that_came_while_the_caller_was_stopped_counts(self):
        result, seconds = self.call(STOP_S, (1000,))
        self.assertEqual(result, "True")
        self.assertGreater(seconds, STOP_S)

    def test_silent_peer_is_found_within_the_timeout(self):
        result, seconds = self.call(0.0, ())
        self.assertIn("timeout", result)
        self.assertLess(seconds, 2 * TIMEOUT_S)

    def test_peer_that_is_silent_after_a_part_is_found(self):
        for stop_s in (0.0, STOP_S):
            result, seconds = self.call(stop_s, (2,))
            self.assertIn("timeout", result)
            self.assertLess(seconds, stop_s + 2 * TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
