"""Which nodes read the store, and which copy the tables from a peer that does."""

import random
import unittest
from types import SimpleNamespace

from auburnwall.base.rendezvous import ranked
from auburnwall.node.routed.handler import RoutedHandler
from auburnwall.node.routed.table_keeper import TableKeeper
from auburnwall.node.routed.tables import (
    FIRST_COPY_S,
    FLEET_WAIT_S,
    MAX_FOLLOWED_AGE_S,
    MAX_OPERATOR_AGE_S,
    RELAYED_LONG_POLL_S,
    StoreReaderChoice,
    TableReader,
)
from auburnwall.state.exceptions import LogUnavailableError
from auburnwall.state.table.replica import TableReplica
from auburnwall.wire.exceptions import PeerUnavailableError
from tests.state.test_table import FakeClock, FakeTable

NODES = {
    f"n{number}": SimpleNamespace(
        data_center="norte" if number < 4 else "sur", peer=f"n{number}"
    )
    for number in range(6)
}


# The time in which a leaving server must be noticed on the users' pages, in seconds.
DRAIN_NOTICE_S = 2.0


class CountingTable(FakeTable):
    """A table that counts reads and fails for the nodes in ``unreachable_for``."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.unreachable_for = set()

    def newest(self, table):
        self.calls += 1
        return super().newest(table)

    def read(self, table, offset, *, wait_s):
        self.calls += 1
        return super().read(table, offset, wait_s=wait_s)


class NodeTable:
    """One node's access to the table; fails while the node cannot reach it."""

    def __init__(self, name, table):
        self._name, self._table = name, table

    def __getattr__(self, method):
        if self._name in self._table.unreachable_for:
            raise LogUnavailableError("refused")
        return getattr(self._table, method)


class Node:
    """A node with its table copy, its reader and its heartbeat."""

    def __init__(self, name, nodes, table, clock):
        self.name, self.nodes, self.alive, self.planning = name, nodes, True, False
        self.stopping, self.relay = False, None
        self.replica = TableReplica("servers", NodeTable(name, table), clock)
        handler = RoutedHandler(None, {"servers": self.replica}, None, clock)
        self.rows = handler.rows
        identity = SimpleNamespace(node=name, data_center=NODES[name].data_center)
        state = SimpleNamespace(nodes=NODES)
        choice = StoreReaderChoice(identity, state, self, lambda: self.planning)
        self.reads = 0
        self.reader = TableReader(
            self.replica,
            self,
            clock,
            random.Random(1),
            wait_s=lambda: 0.0,
            pause_s=lambda: 0.0,
            on_read=self.count_read,
            peer_to_follow=choice.peer_to_follow,
        )
        self.keeper = TableKeeper(
            self.replica,
            self,
            clock,
            random.Random(2),
            lambda function, *args: function(*args),
            DRAIN_NOTICE_S,
            on_read=self.count_read,
        )
        self._clock = clock

    def count_read(self):
        self.reads += 1

    def pulse(self):
        return SimpleNamespace(
            reads_tables=self.reader.reads_store,
            stopping=self.stopping,
        )

    def parent(self):
        return self.relay

    is_mesh = False

    def is_relay(self, name):
        return True

    def live(self):
        others = [n for n in self.nodes.values() if n is not self and n.alive]
        return {node.name: node.pulse() for node in others}

    def address(self, name):
        return name

    def call(self, address, method, *args, total_s=None):
        if not self.nodes[address].alive:
            raise PeerUnavailableError("refused", step="connect", peer=address)
        return getattr(self.nodes[address], method)(*args)


class StoreReaderChoiceTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.table = FakeClock(), CountingTable()
        self.nodes = {}
        for name in NODES:
            self.nodes[name] = Node(name, self.nodes, self.table, self.clock)
        self.table.write("a", b"1")
        self.run_rounds(3)

    def run_rounds(self, count=1):
        """Let each live node read once per round; a round takes 0.3 s."""
        for _ in range(count):
            at = self.clock.now
            for node in self.nodes.values():
                if node.alive:
                    self.clock.now = at
                    node.reader.step()
                    node.keeper.check()
            self.clock.now = at + 0.3

    def store_readers(self):
        return sorted(
            n.name for n in self.nodes.values() if n.alive and n.reader.reads_store
        )

    def reader_of(self, data_center):
        near = [name for name, node in NODES.items() if node.data_center == data_center]
        return ranked("store reader", near)[0]

    def test_one_node_per_data_centre_reads_the_store(self):
        expected = sorted(map(self.reader_of, ("norte", "sur")))
        self.assertEqual(self.store_readers(), expected)
        before = self.table.calls
        self.table.write("b", b"2")
        self.run_rounds(2)
        self.assertEqual(self.table.calls - before, 2 * len(expected))
        for node in self.nodes.values():
            self.assertIn("b", node.replica.entries)

    def test_planner_reads_the_store_itself(self):
        planner = next(n for n in self.nodes.values() if not n.reader.reads_store)
        planner.planning = True
        self.run_rounds(2)
        self.assertIn(planner.name, self.store_readers())

    def test_lost_reader_is_replaced_within_one_round(self):
        best = self.nodes[self.reader_of("norte")]
        best.alive = False
        self.table.write("b", b"2")
        self.run_rounds(1)
        for node in self.nodes.values():
            self.assertEqual("b" in node.replica.entries, node.alive)

    def test_unresponsive_reader_is_not_called_on_every_round(self):
        """The reader still counts as live, but calls to it time out after 0.8 s."""
        best = self.nodes[self.reader_of("norte")]
        calls = []

        def time_out(*args):
            calls.append(self.clock.now)
            self.clock.now += 0.8
            raise PeerUnavailableError("timed out", step="call", peer=best.name)

        best.rows = time_out
        follower = next(
            node
            for node in self.nodes.values()
            if node is not best and node.reader._peer_to_follow() == best.name
        )
        for _ in range(4):
            follower.reader.step()
            self.clock.now += 0.6
        self.assertEqual(len(calls), 1)
        self.assertTrue(follower.reader.reads_store)

    def test_reader_that_cannot_reach_the_store_is_replaced(self):
        best = self.reader_of("norte")
        self.table.unreachable_for.add(best)
        self.run_rounds(4)
        self.table.write("b", b"2")
        self.run_rounds(int(DRAIN_NOTICE_S / 0.3))
        self.assertNotIn(best, self.store_readers())
        for node in self.nodes.values():
            self.assertIn("b", node.replica.entries)

    def follower_of(self, best):
        return next(
            node
            for node in self.nodes.values()
            if node is not best and node.reader._peer_to_follow() == best.name
        )

    def test_copy_that_ends_before_the_own_one_is_followed(self):
        """The follower has read the store since the reader did."""
        best = self.nodes[self.reader_of("norte")]
        follower = self.follower_of(best)
        self.table.write("b", b"2")
        follower.replica.refresh(0.0)
        self.assertGreater(follower.replica.end, best.replica.end)
        calls = self.table.calls
        follower.reader.step()
        self.assertEqual(self.table.calls, calls)
        self.assertFalse(follower.reader.reads_store)

    def test_copy_is_followed_while_its_reader_waits_for_records(self):
        """Its age is that of the last read that has ended, up to twice the wait."""
        best = self.nodes[self.reader_of("norte")]
        follower = self.follower_of(best)
        follower.reader.max_followed_age_s = MAX_OPERATOR_AGE_S
        self.clock.now += 2 * RELAYED_LONG_POLL_S
        calls = self.table.calls
        follower.reader.step()
        self.assertEqual(self.table.calls, calls)

    def test_node_with_a_relay_copies_from_it(self):
        follower = self.nodes["n5"]
        follower.relay = "n4"
        follower.reader.step()
        self.assertEqual(follower.reader._followed_peer, "n4")
        self.nodes["n4"].alive = False
        self.table.write("c", b"3")
        follower.reader.step()
        self.assertIn("c", follower.replica.entries)

    def test_outdated_copy_of_a_peer_is_not_applied(self):
        best = self.nodes[self.reader_of("norte")]
        follower = self.follower_of(best)
        self.clock.now += MAX_FOLLOWED_AGE_S + 0.1
        calls_before, reads_before = self.table.calls, follower.reads
        follower.reader.step()
        self.assertEqual(self.table.calls, calls_before + 1)
        self.assertEqual(follower.reads, reads_before + 1)


class StartingNodesTests(unittest.TestCase):
    """After a restart of all nodes, only relays read whole tables from the store.

    61 nodes read 12 MB at the same moment from a store that sends 10 MB/s: the
    configuration was in force 1.0 to 1.7 s after the nodes had started.
    """

    def setUp(self):
        self.clock, self.table = FakeClock(), CountingTable()
        self.table.write("a", b"1")
        self.nodes, self.known = {}, True
        for name in NODES:
            node = Node(name, self.nodes, self.table, self.clock)
            node.relay = {"norte": "n0", "sur": "n4"}[NODES[name].data_center]
            if node.relay == name:
                node.relay = None
            node.reader._start = self
            node.reader._peer_to_follow = lambda node=node: node.relay
            self.nodes[name] = node
        self.node = None

    def knows_peers(self):
        return self.known

    def relay_at_start(self):
        return self.node.relay

    def step_all(self):
        at = self.clock.now
        for node in reversed(self.nodes.values()):
            self.node = node
            self.clock.now = at
            if self.node.alive:
                self.node.reader.step()
        self.clock.now = at + 0.06

    def complete(self):
        return [n.name for n in self.nodes.values() if "a" in n.replica.entries]

    def test_only_relays_read_the_store(self):
        for _ in range(3):
            self.step_all()
        self.assertEqual(len(self.complete()), len(NODES))
        readers = {n.name for n in self.nodes.values() if n.reader.reads_store}
        self.assertEqual(readers, {"n0", "n4"})

    def test_nodes_of_a_lost_relay_read_the_store(self):
        self.nodes["n0"].alive = False
        for _ in range(int(FIRST_COPY_S / 0.06) + 3):
            self.step_all()
        self.assertEqual(len(self.complete()), len(NODES) - 1)

    def test_fleet_table_that_cannot_be_read_holds_up_no_other(self):
        self.known = False
        for _ in range(int(FLEET_WAIT_S / 0.06) + 3):
            self.step_all()
        self.assertEqual(len(self.complete()), len(NODES))


# The time in which a new configuration must be in force on the users' pages for a fleet
# with relays, in seconds.
CONFIG_NOTICE_S = 3.0


class SlowRelay:
    """A relay whose copy is current and whose link has ``bytes_per_s`` for this node.

    The bytes arrive without a pause that a timeout of single reads would notice.
    """

    def __init__(self, table, clock, bytes_per_s):
        self.replica = TableReplica("operator", table, clock)
        self.bytes_per_s = bytes_per_s
        self._clock = clock
        self._handler = RoutedHandler(
            None, {"operator": self.replica}, None, SimpleNamespace(monotonic=float)
        )

    def address(self, name):
        return name

    def live(self):
        return {}

    def call(self, address, method, *args, total_s=None):
        self.replica.refresh(0.0)
        table, offset, _, era = args
        rows = self._handler.rows(table, offset, 0, era)
        transfer_s = sum(len(row.value) for row in rows.rows) / self.bytes_per_s
        if total_s is not None and transfer_s > total_s:
            self._clock.now += total_s
            raise PeerUnavailableError("too slow", step=method, peer=address)
        self._clock.now += max(transfer_s, 0.01)
        return rows


class SaturatedRelayTests(unittest.TestCase):
    """A series of configurations is in force in time at nodes of a saturated relay.

    A node with a link of 10 Mbit/s became the relay of nine others while each version
    of 62 kB came 0.21 s after the one before. Its followers got all versions one by one
    and fell 3 s behind, which no timeout noticed, as the bytes kept coming.
    """

    VERSION_BYTES, INTERVAL_S, VERSIONS = 62_000, 0.21, 24
    LINK_BYTES_PER_S = 10e6 / 8 / 9

    def check(self, bytes_per_s):
        clock, table = FakeClock(), FakeTable()
        relay = SlowRelay(table, clock, bytes_per_s)
        replica = TableReplica("operator", table, clock)
        reader = TableReader(
            replica,
            relay,
            clock,
            random.Random(1),
            wait_s=lambda: 0.0,
            pause_s=lambda: 0.1,
            peer_to_follow=lambda: "relay",
            max_followed_age_s=MAX_OPERATOR_AGE_S,
            follow_pause_s=0.0,
            notice_s=CONFIG_NOTICE_S,
        )
        table.write("config", bytes(self.VERSION_BYTES))
        reader.step()
        written_at, began_at, worst_s = {}, clock.now, 0.0
        while clock.now - began_at < self.VERSIONS * self.INTERVAL_S + CONFIG_NOTICE_S:
            due = int((clock.now - began_at) / self.INTERVAL_S)
            while len(written_at) < min(due, self.VERSIONS):
                at = began_at + (len(written_at) + 1) * self.INTERVAL_S
                written_at[len(table.records)] = at
                table.write("config", bytes(self.VERSION_BYTES))
            missing = [at for offset, at in written_at.items() if offset >= replica.end]
            reader.step()
            worst_s = max([worst_s, *(clock.now - at for at in missing)])
        self.assertEqual(replica.end, len(table.records))
        self.assertLessEqual(worst_s, CONFIG_NOTICE_S)

    def test_series_of_versions_over_a_saturated_link(self):
        self.check(self.LINK_BYTES_PER_S)

    def test_relay_too_slow_for_one_version(self):
        self.check(self.LINK_BYTES_PER_S / 10)


if __name__ == "__main__":
    unittest.main()
