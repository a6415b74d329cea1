"""The age of a table's copy is bounded while its reader hangs or fails."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

from auburnwall.node.routed.handler import RoutedHandler
from auburnwall.node.routed.table_keeper import (
    CHECK_INTERVAL_S,
    MAX_ROUND_S,
    PEERS_PER_ROUND,
    TableKeeper,
)
from auburnwall.node.routed.tables import WHOLE_TABLE
from auburnwall.state.exceptions import LogUnavailableError
from auburnwall.state.table.replica import TableReplica
from auburnwall.wire.exceptions import PeerUnavailableError
from tests.state.test_table import FakeClock, FakeTable

# The time in which a new configuration must be in force on the users' pages, in
# seconds, and the interval between versions in a series of them.
CONFIG_S, VERSION_INTERVAL_S = 2.0, 0.33
PEERS = [f"n{number}" for number in range(2, 8)]


class Access:
    """The table for one node; while ``fails``, calls raise an error."""

    def __init__(self, table):
        self.fails = False
        self._table = table
        self.calls = 0

    def __getattr__(self, method):
        self.calls += 1
        if self.fails:
            raise LogUnavailableError("silent")
        return getattr(self._table, method)


class FakePeers:
    """Peers with copies of their own; those in ``blind`` read nothing more."""

    def __init__(self, table, clock):
        self.blind, self.lost, self.asked = set(), set(), []
        self.tells_ends = True
        self.replicas = {name: TableReplica("operator", table, clock) for name in PEERS}
        self._handlers = {
            name: RoutedHandler(None, {"operator": replica}, None, clock)
            for name, replica in self.replicas.items()
        }

    def read(self):
        """Let each peer read the table, as its own long poll does at once."""
        for name, replica in self.replicas.items():
            if name not in self.blind:
                replica.refresh(0.0)

    def live(self):
        return dict.fromkeys(PEERS)

    def table_ends(self, table):
        return {n: r.end for n, r in self.replicas.items()} if self.tells_ends else {}

    def address(self, name):
        return name

    def call(self, address, method, *args, total_s=None):
        self.asked.append(address)
        if address in self.lost:
            raise PeerUnavailableError("silent", step=method, peer=address)
        return getattr(self._handlers[address], method)(*args)


class TableKeeperTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.table = FakeClock(), FakeTable()
        self.access = Access(self.table)
        self.replica = TableReplica("operator", self.access, self.clock)
        self.peers = FakePeers(self.table, self.clock)
        self.dropped = 0
        self.keeper = TableKeeper(
            self.replica,
            self.peers,
            self.clock,
            random.Random(3),
            lambda function, *args: function(*args),
            CONFIG_S,
            catches_up=True,
            drop_connections=self.drop,
            reader_call_began_at=lambda: self.call_began_at,
        )
        # The reader hangs in the call that began then.
        self.call_began_at = self.clock.now
        self.table.write("config", b"0")
        self.replica.refresh(0.0)
        self.peers.read()

    def drop(self):
        self.dropped += 1

    def run_for(self, seconds, reads=False):
        """Write versions and check; return the longest time that one was missing.

        ``reads`` is whether the node's own reader works.
        """
        ends_at, worst_s = self.clock.now + seconds, 0.0
        written_at, next_version_at = {}, self.clock.now
        while self.clock.now < ends_at:
            if self.clock.now >= next_version_at:
                written_at[len(self.table.records)] = self.clock.now
                self.table.write("config", b"%d" % len(self.table.records))
                next_version_at += VERSION_INTERVAL_S
            self.peers.read()
            if reads:
                self.replica.refresh(0.0)
            self.keeper.check()
            missing = [at for end, at in written_at.items() if end >= self.replica.end]
            worst_s = max([worst_s, *(self.clock.now - at for at in missing)])
            self.clock.now += CHECK_INTERVAL_S
        return worst_s

    def test_nothing_is_asked_while_the_reader_works(self):
        calls = self.access.calls
        self.run_for(5.0, reads=True)
        self.assertEqual(self.peers.asked, [])
        reads = self.access.calls - calls
        self.assertEqual((reads, self.dropped), (5.0 / CHECK_INTERVAL_S, 0))

    def test_versions_of_a_peer_are_in_time_while_the_store_is_silent(self):
        self.access.fails = True
        self.assertLessEqual(self.run_for(9.0), CONFIG_S)

    def test_one_of_six_peers_is_enough(self):
        self.access.fails = True
        self.peers.blind = set(PEERS[1:])
        self.peers.lost = set(PEERS[3:])
        self.assertLessEqual(self.run_for(9.0), CONFIG_S)

    def test_peers_that_do_not_tell_how_far_they_have_read_are_asked_in_turn(self):
        """Nodes that report to a relay hear no heartbeats of other nodes."""
        self.access.fails = True
        self.peers.tells_ends = False
        self.peers.blind = set(PEERS[2:])
        self.assertLessEqual(self.run_for(9.0), CONFIG_S)

    def test_store_is_asked_although_the_reader_hangs(self):
        """The reader's connection is dead, and new ones work."""
        self.peers.blind = set(PEERS)
        self.assertLessEqual(self.run_for(9.0), CONFIG_S)
        self.assertGreater(self.dropped, 0)

    def test_copy_that_brings_nothing_newer_is_no_help(self):
        self.access.fails = True
        self.peers.blind = set(PEERS)
        self.run_for(4.0)
        self.assertFalse(self.replica.is_in_time(CONFIG_S))
        self.assertIsNone(self.keeper._last_helper)

    def test_questions_become_rarer_while_nobody_has_read_further(self):
        self.access.fails = True
        self.peers.blind = set(PEERS)
        self.run_for(10.0)
        before = len(self.peers.asked)
        self.run_for(10.0)
        self.assertLessEqual(len(self.peers.asked) - before, 10 * PEERS_PER_ROUND + 2)

    def test_store_is_not_asked_beside_a_reader_whose_calls_fail(self):
        self.access.fails, self.call_began_at = True, None
        self.peers.blind = set(PEERS)
        calls = self.access.calls
        self.run_for(9.0)
        self.assertEqual(self.access.calls, calls)

    def test_time_left_counts_down_to_the_first_question(self):
        left_s = self.keeper.time_left_s()
        self.assertLess(left_s, CONFIG_S)
        self.clock.now += left_s - 0.01
        self.keeper.check()
        self.assertEqual(self.peers.asked, [])
        self.clock.now += 0.02
        self.assertEqual(self.keeper.time_left_s(), 0.0)
        self.keeper.check()
        self.assertNotEqual(self.peers.asked, [])

    def test_node_asks_at_once_after_a_pause(self):
        self.replica.read_at = None
        self.peers.read()
        self.keeper.check()
        self.assertTrue(self.replica.is_in_time(CONFIG_S))

    def test_peer_that_goes_by_a_newer_record_is_asked_for_its_whole_table(self):
        """The copies end alike; the heartbeats tell a newer version at two checks."""
        self.peers.read()
        newer = ["n4"]
        self.keeper._peers_with_newer = lambda: newer
        calls = self.access.calls
        with mock.patch.object(self.peers, "call", wraps=self.peers.call) as call:
            self.keeper.check()
            self.assertEqual(self.peers.asked, [])
            self.keeper.check()
            newer.clear()
            self.clock.now += MAX_ROUND_S
            self.keeper.check()
        self.assertEqual(self.peers.asked, ["n4"])
        self.assertEqual(call.call_args.args[3], WHOLE_TABLE)
        self.assertEqual(self.access.calls, calls)

    def test_questions_for_a_newer_record_become_rarer(self):
        """The peer's build reads what this one cannot."""
        self.keeper._peers_with_newer = lambda: ["n4"]
        self.run_for(10.0, reads=True)
        self.assertLessEqual(len(self.peers.asked), 10.0 / MAX_ROUND_S + 3)

    def test_start_leaves_the_first_read_its_time(self):
        replica = TableReplica("operator", self.access, self.clock)
        keeper = TableKeeper(
            replica,
            SimpleNamespace(live=dict, table_ends=lambda table: {}),
            self.clock,
            random.Random(3),
            lambda function, *args: function(*args),
            CONFIG_S,
            reader_call_began_at=lambda: self.call_began_at,
        )
        keeper.check()
        self.assertEqual(replica.end, -1)
        self.assertFalse(replica.is_in_time(CONFIG_S))
        self.clock.now += CONFIG_S
        keeper.check()
        self.assertTrue(replica.is_in_time(CONFIG_S))


if __name__ == "__main__":
    unittest.main()
