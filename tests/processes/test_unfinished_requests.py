"""The log of a node names what its stop cuts off, and when it ran late."""

import signal
import socket
import time
import unittest

from .support import PlatformClusterTestCase

PAUSE_S = 0.8


class UnfinishedRequestTests(PlatformClusterTestCase):
    NODES = 1

    def events(self, name):
        events = self.cluster.log_events(self.names[0])
        return [event for event in events if event["event"] == name]

    def test_stop_names_the_request_that_it_cuts_off(self):
        """Its caller never sends the rest of the body."""
        (node,) = self.names
        address = self.cluster.nodes[node]["front"].rsplit(":", 1)
        sock = self.enterContext(socket.create_connection(address))
        sock.sendall(
            b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: c-half\r\n"
            b"Content-Length: 9\r\n\r\nhalf"
        )
        time.sleep(0.5)
        self.cluster.signal(node, signal.SIGTERM)
        self.cluster.wait(lambda: self.cluster.exit_code(node) == 0, "it ends", 15.0)
        (line,) = self.events("request cut off")
        self.assertEqual(
            (line["request"], line["step"], line["by"], line["why"]),
            ("c-half", "read body", "node", "stop"),
        )
        self.assertGreater(line["age_s"], 2.0)

    def test_paused_node_tells_how_late_it_ran(self):
        (node,) = self.names
        self.cluster.signal(node, signal.SIGSTOP)
        time.sleep(PAUSE_S)
        self.cluster.signal(node, signal.SIGCONT)
        self.cluster.wait(lambda: self.events("event loop in time"), "it is in time")
        late_s = self.events("event loop late")[-1]["late_s"]
        self.assertAlmostEqual(late_s, PAUSE_S, delta=0.2)
        self.assertIn("auburnwall_late_seconds", self.cluster.metrics(node))


if __name__ == "__main__":
    unittest.main()
