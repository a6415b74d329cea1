"""Heartbeats in a fleet with relays: who hears of whom, how soon and at what cost."""

import random
import unittest
from collections import Counter
from types import SimpleNamespace

from auburnwall.fleet.formation.records import NodeRecord
from auburnwall.fleet.server_notices import ServerNotices
from auburnwall.node.routed.fleet_load import limits_to_wire
from auburnwall.node.routed.handler import RoutedHandler
from auburnwall.node.routed.peers import REPORT_PERIOD_S, Peers
from auburnwall.node.routed.topology import NODES_PER_RELAY, parent_of, relays_of
from auburnwall.routing.crash_evidence import CrashEvidence
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import Pulse
from tests.state.test_table import FakeClock

DATA_CENTERS = ("norte", "sur", "este")
NODES = 60
# Time after which the directory must not name a lost node: the shortest one on the
# users' pages for a fleet of this size, in seconds.
DIRECTORY_LIMIT_S = 6.0


def record(number, cores=0.5):
    name = f"n{number:02}"
    data_center = DATA_CENTERS[number % len(DATA_CENTERS)]
    return NodeRecord(name, f"{name}-1", "", name, data_center, cores)


class Network:
    """Nodes that call each other directly; ``cut`` holds pairs that cannot."""

    def __init__(self, count=NODES, max_mesh_nodes=24):
        self.clock = FakeClock()
        self.state = SimpleNamespace(nodes={}, change_count=0)
        self.nodes, self.down, self.cut = {}, set(), set()
        self.registry = SimpleNamespace(servers={"s1": SimpleNamespace(born=1)})
        # Fraction of the calls that are lost.
        self.rng, self.loss = random.Random(7), 0.0
        self.calls = Counter()
        for number in range(count):
            # The first nodes of each data centre have more cores than the others.
            node = record(number, 2.0 if number < 9 else 0.5)
            self.state.nodes[node.node] = node
        for name in self.state.nodes:
            self.nodes[name] = NetworkNode(self, name, max_mesh_nodes)

    def call(self, caller, address, method, *args):
        self.calls[caller] += 1
        if self.rng.random() < self.loss:
            raise PeerUnavailableError("lost", step=method, peer=address)
        unreachable = {caller, address} & self.down or (caller, address) in self.cut
        if unreachable:
            raise PeerUnavailableError("no answer", step=method, peer=address)
        return getattr(self.nodes[address].handler, method)(*args)

    def cut_between(self, one, other):
        """Cut the nodes of two sets from each other."""
        self.cut |= {(a, b) for a in one for b in other}
        self.cut |= {(b, a) for a in one for b in other}

    def run(self, seconds):
        """Let all nodes exchange heartbeats in rounds of a reporting period."""
        for _ in range(round(seconds / REPORT_PERIOD_S)):
            for name, node in self.nodes.items():
                if name not in self.down:
                    node.step()
            self.clock.now += REPORT_PERIOD_S


class NetworkNode:
    """One node's heartbeats."""

    def __init__(self, network, name, max_mesh_nodes):
        self.network = network
        self.name = name
        self.running, self.suspected, self.heard_suspects = {}, [], []
        self.reads_tables = self.cut_off = False
        pool = SimpleNamespace(
            call=lambda address, method, *args: network.call(
                name, address, method, *args
            )
        )
        identity = SimpleNamespace(
            node=name,
            incarnation=f"{name}-1",
            data_center=network.state.nodes[name].data_center,
        )
        self.table_ends = {}
        self.peers = Peers(
            identity,
            network.state,
            pool,
            self.pulse,
            network.clock,
            0.12,
            max_mesh_nodes,
        )
        news = self.peers.news
        news.on_suspects = lambda names, node: self.heard_suspects.extend(names)
        self.heard_sound = []
        news.on_sound = lambda names, node: self.heard_sound.extend(names)
        self.evidence = CrashEvidence(network.clock, self.peers.settle_s)
        news.on_crashes = self.evidence.note_peers
        self.notices = ServerNotices(network.registry, network.clock)
        news.on_limits = self.notices.note_peer_limits
        self.handler = RoutedHandler(self.peers, {}, None, network.clock)

    def pulse(self):
        return Pulse(
            node=self.name,
            incarnation=f"{self.name}-1",
            ready=True,
            stopping=False,
            reads_tables=self.reads_tables,
            cut_off=self.cut_off,
            lost_services=["assist"] if self.cut_off else [],
            table_ends=dict(self.table_ends),
            running=dict(self.running),
            demand={"big": 0.5},
            suspects=list(self.suspected),
            has_traffic=True,
            leaving={},
            limits=limits_to_wire(self.notices.own_limits()),
            crashes=self.evidence.crashes_to_tell(),
            sound_parts=self.evidence.sound_parts_to_tell(),
        )

    def step(self):
        self.evidence.update()
        self.peers.call_new_peers(SimpleNamespace(spawn=lambda *args: None))
        for partner in sorted(self.peers._links.partners):
            self.peers._exchange(self.network.state.nodes[partner], True)
        self.peers.report()
        self.peers.call_lost_node()


class TableEndsTests(unittest.TestCase):
    """Heartbeats tell how far peers have read a table; lost peers tell nothing."""

    def test_ends_of_live_peers(self):
        network = Network()
        network.run(4.0)
        relays = [n.peers for n in network.nodes.values() if n.peers.parent() is None]
        peers = relays[0]
        self.assertEqual(peers.table_ends("operator"), {})
        for node in network.nodes.values():
            node.table_ends = {"operator": 7}
        network.run(4.0)
        ends = peers.table_ends("operator")
        self.assertEqual(set(ends.values()), {7})
        lost = min(ends)
        network.down.add(lost)
        network.run(4.0)
        self.assertNotIn(lost, peers.table_ends("operator"))
        self.assertEqual(peers.table_ends("servers"), {})


class PlannerCandidatesTests(unittest.TestCase):
    """Nodes that reach no backend server plan only if no other node reaches any."""

    def check_candidates(self, max_mesh_nodes):
        network = Network(8, max_mesh_nodes)
        nodes = network.nodes
        for name in ("n01", "n02", "n07"):
            nodes[name].reads_tables = True
        nodes["n01"].cut_off = nodes["n05"].cut_off = True
        network.run(4.0)
        for node in nodes.values():
            self.assertEqual(set(node.peers.planner_candidates()), {"n02", "n07"})
            self.assertNotIn("n05", node.peers.reaching())
        for node in nodes.values():
            node.cut_off = True
        network.run(4.0)
        for node in nodes.values():
            candidates = set(node.peers.planner_candidates())
            self.assertEqual(candidates, {"n01", "n02", "n07"})
            self.assertEqual(node.peers.reaching(), [])

    def test_in_a_mesh(self):
        self.check_candidates(24)

    def test_with_relays(self):
        self.check_candidates(2)


class RelayTests(unittest.TestCase):
    def setUp(self):
        self.network = Network()
        self.network.run(4.0)
        self.nodes = self.network.nodes

    def relays(self):
        return {name for name, node in self.nodes.items() if not node.peers.parent()}

    def followers_of(self, relay):
        return {n for n, node in self.nodes.items() if node.peers.parent() == relay}

    def test_every_node_hears_of_all_others(self):
        for name, node in self.nodes.items():
            self.assertEqual(set(node.peers.live()), set(self.nodes) - {name})

    def test_only_relays_exchange_heartbeats_with_many_nodes(self):
        self.network.calls.clear()
        self.network.run(4.0)
        relays = self.relays()
        self.assertLessEqual(len(relays), 3 * (1 + NODES / 3 / NODES_PER_RELAY))
        for name in set(self.nodes) - relays:
            self.assertEqual(self.network.calls[name], round(4.0 / REPORT_PERIOD_S))

    def test_relays_are_the_nodes_with_the_most_cores(self):
        for relay in self.relays():
            self.assertEqual(self.network.state.nodes[relay].cores, 2.0)

    def test_load_at_a_group_is_known_to_all_within_a_second(self):
        for name in ("n20", "n31", "n42"):
            self.nodes[name].running["g1"] = 2
        self.network.run(1.2)
        for name, node in self.nodes.items():
            own = node.running.get("g1", 0)
            self.assertEqual(own + node.peers.load("g1"), 6, name)
        self.nodes["n20"].running.clear()
        self.network.run(1.2)
        self.assertEqual(self.nodes["n42"].peers.load("g1"), 2)

    def test_demand_is_the_sum_over_all_nodes(self):
        for node in self.nodes.values():
            load = node.peers.fleet_load()
            self.assertAlmostEqual(load.demand["big"], NODES * 0.5)
            self.assertEqual((load.nodes_with_traffic, load.nodes_measured), (60, 60))

    def test_lost_node_is_named_no_more(self):
        self.network.down.add("n30")
        self.network.run(DIRECTORY_LIMIT_S)
        for name, node in self.nodes.items():
            if name != "n30":
                self.assertNotIn("n30", node.peers.live())

    def test_nodes_of_a_lost_relay_report_to_another(self):
        relay = self.nodes["n30"].peers.parent()
        self.network.down.add(relay)
        self.network.run(DIRECTORY_LIMIT_S)
        alive = set(self.nodes) - {relay}
        for name in alive:
            live = set(self.nodes[name].peers.live())
            self.assertEqual(live, alive - {name})

    def test_all_relays_are_lost_at_once(self):
        self.network.down |= self.relays()
        self.network.run(2 * DIRECTORY_LIMIT_S)
        alive = set(self.nodes) - self.network.down
        for name in alive:
            self.assertEqual(set(self.nodes[name].peers.live()), alive - {name})

    def test_data_centre_that_was_cut_off_is_heard_of_again(self):
        inside = {
            n for n, r in self.network.state.nodes.items() if r.data_center == "sur"
        }
        outside = set(self.nodes) - inside
        self.network.cut_between(inside, outside)
        self.network.run(8.0)
        self.assertEqual(set(self.nodes["n01"].peers.live()), inside - {"n01"})
        self.assertEqual(set(self.nodes["n02"].peers.live()), outside - {"n02"})
        self.network.cut.clear()
        self.network.run(6.0)
        for name, node in self.nodes.items():
            self.assertEqual(set(node.peers.live()), set(self.nodes) - {name})

    def test_node_that_was_cut_off_is_heard_of_again(self):
        for name in ("n40", next(iter(self.relays()))):
            with self.subTest(name):
                self.network.cut_between({name}, set(self.nodes) - {name})
                self.network.run(8.0)
                self.assertEqual(self.nodes[name].peers.live(), {})
                self.network.cut.clear()
                self.network.run(6.0)
                self.assertEqual(len(self.nodes[name].peers.live()), NODES - 1)

    def test_one_node_s_suspicion_is_not_passed_on(self):
        """It has one request at the group, whose server may read a long prompt."""
        self.nodes["n33"].suspected.append("g1")
        self.nodes["n33"].running["g1"] = 1
        self.network.run(2.0)
        heard = [name for node in self.nodes.values() for name in node.heard_suspects]
        self.assertEqual(heard, [])

    def test_group_that_several_nodes_suspect_is_suspect_at_all(self):
        for name in ("n33", "n44", "n55"):
            self.nodes[name].suspected.append("g1")
            self.nodes[name].running["g1"] = 2
        self.network.run(2.0)
        for node in self.nodes.values():
            self.assertIn("g1", node.heard_suspects)

    def suspect_for(self, seconds, running):
        """Let three nodes of a relay suspect a group; return who hears that it goes on.

        It has ``running`` requests of each of them at the end.
        """
        relay = self.nodes["n30"].peers.parent()
        reporting = [
            node for node in self.nodes.values() if node.peers.parent() == relay
        ][:3]
        for node in reporting:
            node.suspected.append("g1")
            node.running["g1"] = 2
        self.network.run(seconds)
        for node in reporting:
            node.suspected.clear()
            node.running["g1"] = running
        self.network.run(3.0)
        heard = {name for name, node in self.nodes.items() if "g1" in node.heard_sound}
        return relay, heard

    def test_group_whose_streams_go_on_is_sound_at_all_nodes(self):
        """Otherwise a broker without requests there grants one slot at a time."""
        _, heard = self.suspect_for(4.0, running=2)
        self.assertEqual(heard, set(self.nodes))

    def test_suspicion_that_ends_early_has_been_refuted(self):
        """The streams of a short silence may have ended when that is heard of."""
        relay, heard = self.suspect_for(0.9, running=0)
        self.assertIn(relay, heard)

    def test_suspicion_that_ends_in_its_time_proves_nothing(self):
        _, heard = self.suspect_for(4.0, running=0)
        self.assertEqual(heard, set())

    def test_loss_of_a_node_that_suspects_a_group_proves_nothing(self):
        relay = self.nodes["n30"].peers.parent()
        reporting = [
            name for name, node in self.nodes.items() if node.peers.parent() == relay
        ][:3]
        for name in reporting:
            self.nodes[name].suspected.append("g1")
            self.nodes[name].running["g1"] = 2
        self.network.run(0.6)
        self.network.down.update(reporting[1:])
        for name in reporting[1:]:
            del self.network.state.nodes[name]
        self.network.state.change_count += 1
        self.network.run(3.0)
        heard = [name for name, node in self.nodes.items() if node.heard_sound]
        self.assertEqual(heard, [])

    def test_group_at_which_most_requests_make_progress_is_not_suspect(self):
        for name in ("n33", "n44"):
            self.nodes[name].suspected.append("g1")
        for number in range(20, 32):
            self.nodes[f"n{number}"].running["g1"] = 1
        self.network.run(2.0)
        heard = [name for node in self.nodes.values() for name in node.heard_suspects]
        self.assertEqual(heard, [])

    def test_removed_node_is_forgotten(self):
        del self.network.state.nodes["n30"]
        self.network.state.change_count += 1
        self.assertNotIn("n30", self.nodes["n01"].peers.live())
        with self.assertRaises(PeerUnavailableError):
            self.nodes["n01"].peers.address("n30")
        self.network.down.add("n30")
        self.network.run(2.0)
        for node in self.nodes.values():
            self.assertNotIn("n30", node.peers.live())

    def test_restarted_relay_gets_the_whole_state_again(self):
        relay = self.nodes["n30"].peers.parent()
        self.network.nodes[relay] = NetworkNode(self.network, relay, 24)
        self.network.run(4.0)
        for name, node in self.nodes.items():
            self.assertEqual(set(node.peers.live()), set(self.nodes) - {name})


class MeshTests(unittest.TestCase):
    def test_small_fleet_has_no_relays(self):
        network = Network(count=7)
        network.run(1.2)
        for name, node in network.nodes.items():
            self.assertIsNone(node.peers.parent())
            self.assertEqual(set(node.peers.live()), set(network.nodes) - {name})

    def test_one_node_s_suspicion_counts_for_all(self):
        network = Network(count=7)
        network.nodes["n03"].suspected.append("g1")
        network.run(1.2)
        self.assertIn("g1", network.nodes["n05"].heard_suspects)


class TopologyTests(unittest.TestCase):
    def test_parents_are_relays_of_the_same_data_centre(self):
        nodes = [record(number) for number in range(200)]
        relays = relays_of(nodes)
        counts = Counter(parent_of(node, nodes) for node in nodes)
        self.assertEqual(set(counts) - {None}, relays)
        self.assertEqual(counts[None], len(relays))
        by_name = {node.node: node for node in nodes}
        for node in nodes:
            if parent := parent_of(node, nodes):
                self.assertEqual(by_name[parent].data_center, node.data_center)
        self.assertLess(max(counts.values()), 2 * NODES_PER_RELAY)

    def test_only_the_nodes_of_a_lost_relay_change_theirs(self):
        nodes = [record(number, 2.0 if number < 9 else 0.5) for number in range(60)]
        parents = {node.node: parent_of(node, nodes) for node in nodes}
        lost = next(parent for parent in parents.values() if parent)
        rest = [node for node in nodes if node.node != lost]
        promoted = relays_of(rest) - relays_of(nodes)
        for node in rest:
            if parents[node.node] not in (lost, None) and node.node not in promoted:
                parent = parent_of(node, rest)
                self.assertIn(parent, {parents[node.node], *promoted})


if __name__ == "__main__":
    unittest.main()
