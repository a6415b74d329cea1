"""Mechanisms for servers' notices and large fleets, each switched off.

Without the mechanism, what it guarantees must be seen to fail.
"""

import gevent.monkey

gevent.monkey.patch_all()

import http.client  # noqa: E402
import unittest  # noqa: E402
from unittest import mock  # noqa: E402

from auburnwall.fleet.server_notices import ServerNotices  # noqa: E402
from auburnwall.node.routed import peer_news, peers  # noqa: E402

from .support import KEY, FrontWithServers  # noqa: E402
from .test_peers import DIRECTORY_LIMIT_S, Network  # noqa: E402


class NoticeTests(unittest.TestCase):
    def requests_to_first_desk(self, fault):
        """Return how many of 20 requests reach a server with the fault."""
        front = self.enterContext(FrontWithServers())
        desk = front.desks[0]
        desk.faults.add(fault)
        for number in range(20):
            conn = http.client.HTTPConnection(front.address, timeout=6.0)
            headers = {"Host": "shop.example", "X-Attempt-Id": f"r-{number}"}
            headers["Authorization"] = f"Bearer {KEY}"
            conn.request("GET", "/look/x", headers=headers)
            conn.getresponse().read()
            conn.close()
        return len(desk.seen) + desk.refused

    def test_leaving_server_gets_requests_if_its_word_is_ignored(self):
        self.assertLessEqual(self.requests_to_first_desk("leaving"), 1)
        with mock.patch.object(ServerNotices, "_note_leaving"):
            self.assertGreater(self.requests_to_first_desk("leaving"), 2)

    def test_pausing_server_gets_requests_if_its_word_is_ignored(self):
        self.assertLessEqual(self.requests_to_first_desk("pause"), 1)
        with mock.patch.object(ServerNotices, "_note_pause"):
            self.assertGreater(self.requests_to_first_desk("pause"), 2)


class SuspicionTests(unittest.TestCase):
    def nodes_that_hear_of_one_stall(self):
        network = Network()
        network.run(2.0)
        network.nodes["n33"].suspected.append("g1")
        network.run(2.0)
        return sum(bool(node.heard_suspects) for node in network.nodes.values())

    def test_one_stalled_stream_takes_a_group_from_all_without_the_threshold(self):
        self.assertEqual(self.nodes_that_hear_of_one_stall(), 0)
        with mock.patch.object(peer_news, "is_suspected", lambda count, running: True):
            self.assertGreater(self.nodes_that_hear_of_one_stall(), 50)


class LostRelayTests(unittest.TestCase):
    def nodes_that_know_all(self):
        """Return how many nodes know all others after all relays were lost."""
        network = Network()
        network.run(2.0)
        network.down |= {n for n, v in network.nodes.items() if not v.peers.parent()}
        network.run(2 * DIRECTORY_LIMIT_S)
        alive = set(network.nodes) - network.down
        known = [set(network.nodes[name].peers.live()) | {name} for name in alive]
        return sum(names == alive for names in known), len(alive)

    def test_parts_of_the_fleet_do_not_meet_if_lost_nodes_are_not_called(self):
        count, expected = self.nodes_that_know_all()
        self.assertEqual(count, expected)
        with mock.patch.object(peers.Peers, "call_lost_node"):
            count, expected = self.nodes_that_know_all()
            self.assertLess(count, expected)


if __name__ == "__main__":
    unittest.main()
