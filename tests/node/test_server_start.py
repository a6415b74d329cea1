"""Servers of a node begin to accept together, with no other task in between.

Guards against a connection that is served while the node still starts: its line in the
log came before that of the start.
"""

import unittest

import gevent

from auburnwall.node.webserver import new_listener, new_server
from auburnwall.wire.server import PeerServer


class ServerStartTests(unittest.TestCase):
    def test_no_other_task_runs_while_bound_servers_start(self):
        listeners = [new_listener("127.0.0.1:0") for _ in range(2)]
        port = listeners[0].getsockname()[1]
        servers = [
            PeerServer("127.0.0.1", port, None, listener=listeners[0]),
            new_server("127.0.0.1:0", None, listener=listeners[1]),
        ]
        ran = []
        task = gevent.spawn(ran.append, "other task")
        for server in servers:
            server.start()
            self.addCleanup(server.stop)
        self.assertEqual(ran, [])
        task.join()
        self.assertEqual(ran, ["other task"])


if __name__ == "__main__":
    unittest.main()
