"""The log of a node names what its stop cuts off, and when it ran late."""

import signal
import socket
import time
import unittest
from http.client import HTTPConnection

from standins.platformconfig import request_headers

from .support import PlatformClusterTestCase

PAUSE_S = 0.8


class UnfinishedRequestTests(PlatformClusterTestCase):
    NODES = 1

    def events(self, name):
        events = self.cluster.log_events(self.names[0])
        return [event for event in events if event["event"] == name]

    def stop(self, node):
        self.cluster.signal(node, signal.SIGTERM)
        self.cluster.wait(lambda: self.cluster.exit_code(node) == 0, "it ends", 15.0)

    def test_stop_names_the_request_that_it_cuts_off(self):
        """Its stream has begun and lasts longer than the grace time."""
        (node,) = self.names
        self.wait_until_served(["/ask/x"])
        self.cluster.set_streams(events=400, event_s=0.05)
        conn = HTTPConnection(self.cluster.nodes[node]["front"], timeout=10.0)
        self.addCleanup(conn.close)
        conn.request("POST", "/ask/x", b"{}", request_headers("c-long"))
        self.assertEqual(conn.getresponse().status, 200)
        time.sleep(0.5)
        self.stop(node)
        (line,) = self.events("request cut off")
        self.assertEqual(
            (line["request"], line["step"], line["by"], line["why"]),
            ("c-long", "await server", "node", "stop"),
        )
        self.assertGreater(line["age_s"], 2.0)

    def test_stop_answers_a_request_whose_body_never_comes(self):
        (node,) = self.names
        address = self.cluster.nodes[node]["front"].rsplit(":", 1)
        sock = self.enterContext(socket.create_connection(address))
        sock.sendall(
            b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: c-half\r\n"
            b"Content-Length: 9\r\n\r\nhalf"
        )
        time.sleep(0.5)
        self.stop(node)
        self.assertTrue(sock.recv(100).startswith(b"HTTP/1.1 503 "))
        self.assertEqual(self.events("request cut off"), [])
        (line,) = self.events("request failed")
        self.assertEqual((line["request"], line["ran"]), ("c-half", "not run"))

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
