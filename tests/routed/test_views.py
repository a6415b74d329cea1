"""The views of a node's state that the planner and the placer decide from."""

import unittest
from types import SimpleNamespace

from thrift.protocol.TBinaryProtocol import (
    TBinaryProtocol,
    TBinaryProtocolAccelerated,
)
from thrift.transport.TTransport import TMemoryBuffer

from auburnwall.node.routed.fleet_load import load_of_pulse, sum_loads
from auburnwall.node.routed.views import (
    MIN_REPORT_S,
    SUSPECT_S,
    PlanningView,
    RoutingView,
    SuspectCandidates,
)
from auburnwall.routing.routes import EngineSpec, ModelSpec, ServiceSpec, Target
from auburnwall.wire.peer.ttypes import Load, Pulse
from tests.fleet.test_server_reach import FixedReach
from tests.state.test_table import FakeClock


def pulse(has_traffic=False, **demand):
    """Return the heartbeat of a node with this demand."""
    return Pulse(has_traffic=has_traffic, demand=demand, running={}, suspects=[])


class PlanningViewTests(unittest.TestCase):
    def view(self, own, others=(), first_start=True):
        load = sum_loads(map(load_of_pulse, [own, *others]))
        peers = SimpleNamespace(fleet_load=lambda: load)
        return PlanningView(None, peers, first_start)

    def test_first_start_lasts_until_the_first_request_at_any_node(self):
        self.assertTrue(self.view(pulse(), [pulse()]).is_before_first_request())
        busy = self.view(pulse(), [pulse(has_traffic=True)])
        self.assertFalse(busy.is_before_first_request())
        restarted = self.view(pulse(), [pulse()], first_start=False)
        self.assertFalse(restarted.is_before_first_request())

    def test_nodes_count_with_the_mean_demand_if_most_have_just_started(self):
        starting = [pulse(True), pulse(True)]
        view = self.view(pulse(True, big=2.0), starting)
        self.assertAlmostEqual(view.demand()["big"], 6.0)

    def test_a_few_new_or_restarted_nodes_add_no_demand(self):
        """Two of ten nodes restart and two are new; the callers stay the same."""
        others = [pulse(True, big=1.0) for _ in range(5)]
        starting = [pulse(), pulse(True), pulse(), pulse(True)]
        view = self.view(pulse(True, big=1.0), [*others, *starting])
        self.assertAlmostEqual(view.demand()["big"], 6.0)

    def test_demand_is_empty_before_any_measurement(self):
        self.assertEqual(self.view(pulse(), [pulse()]).demand(), {})

    def test_newest_demand_is_scaled_like_the_mean(self):
        newest = pulse(True, big=2.0)
        newest.newest_demand = {"big": 5.0}
        view = self.view(newest, [pulse(True), pulse(True)])
        self.assertAlmostEqual(view.newest_demand()["big"], 15.0)

    def test_node_of_an_older_build_counts_with_its_mean(self):
        """Guards against a fall of the newest demand while builds are exchanged."""
        newest = pulse(True, big=2.0)
        newest.newest_demand = {"big": 5.0}
        view = self.view(newest, [pulse(True, big=1.0)])
        self.assertAlmostEqual(view.newest_demand()["big"], 6.0)

    def test_no_newest_demand_without_a_node_that_reports_it(self):
        view = self.view(pulse(True, big=2.0), [pulse(True, big=1.0)])
        self.assertEqual(view.newest_demand(), {})


class OptionalFieldTests(unittest.TestCase):
    """Guards against heartbeats that the previous build cannot read."""

    def encode(self, struct, protocol):
        buffer = TMemoryBuffer()
        struct.write(protocol(buffer))
        return buffer.getvalue()

    def test_older_build_reads_a_heartbeat_with_the_newest_demand(self):
        sent = pulse(True, big=2.0)
        sent.newest_demand = {"big": 5.0}
        sent.member_load = Load(demand={"big": 1.0}, newest_demand={"big": 3.0})
        for protocol in (TBinaryProtocol, TBinaryProtocolAccelerated):
            data = self.encode(sent, protocol)
            received = Pulse()
            received.read(protocol(TMemoryBuffer(data)))
            self.assertEqual(received, sent)
            old = older(Pulse, 19, older(Load, 10))()
            old.read(TBinaryProtocolAccelerated(TMemoryBuffer(data)))
            self.assertEqual(old.demand, {"big": 2.0})
            self.assertEqual(old.member_load.demand, {"big": 1.0})
            self.assertIsNone(old.newest_demand)
            self.assertIsNone(old.member_load.newest_demand)

    def test_heartbeat_without_the_newest_demand_has_the_bytes_of_before(self):
        sent = pulse(True, big=2.0)
        for protocol in (TBinaryProtocol, TBinaryProtocolAccelerated):
            data = self.encode(sent, protocol)
            self.assertNotIn(b"\x0d\x00\x13", data)  # a map with the id 19


def older(struct, field_id, load=None):
    """Return a thrift structure as it was before the field ``field_id`` was added.

    ``load`` is the older ``Load`` of a heartbeat, the structure of its field 12.
    """
    fields = list(struct.thrift_spec[:field_id])
    if load is not None:
        fields[12] = (*fields[12][:3], [load, load.thrift_spec], fields[12][4])
    return type(struct.__name__, (struct,), {"thrift_spec": tuple(fields)})


MODELS = {
    "big": ModelSpec("big", 8, 1.0, 0.5, 16.0, 1.6),
    "small": ModelSpec("small", 2, 0.6, 0.5, 12.0, 1.1),
}
ENGINE = EngineSpec(9, MODELS, 0.0078, 2e-4, 2e-8, 2e-5, 4e-10, 5, 5.0, 7, 979, 154)


class PlanningAheadTests(unittest.TestCase):
    """Where capacity between models is planned ahead, and with which ranks."""

    def view(self, priorities, *, setting=False, engine=ENGINE, ranks=None):
        routes = [
            SimpleNamespace(targets=(Target(service, 1.0),), priority=priority)
            for service, priority in priorities
        ]
        services = {
            "assist": ServiceSpec("assist", 0.0, engine),
            "plain": ServiceSpec("plain", 0.0, None),
        }
        config = SimpleNamespace(routes=routes, services=services)
        return PlanningView(
            SimpleNamespace(config=config),
            None,
            False,
            lambda: ranks or {},
            lambda: setting,
        )

    def test_needs_routes_of_different_priorities_to_a_service_with_models(self):
        for priorities, expected in (
            ([("assist", 0), ("assist", 2)], True),
            ([("assist", 0), ("assist", None)], True),
            ([("assist", 1), ("assist", 1), ("plain", 2)], False),
            ([("assist", 5), ("assist", None)], False),
        ):
            view = self.view(priorities)
            self.assertIs(view.plans_ahead("assist"), expected)
            self.assertIs(view.reports_newest_demand(), expected)
            self.assertFalse(view.plans_ahead("plain"))

    def test_setting_enables_it_for_equal_priorities(self):
        view = self.view([("assist", 1), ("plain", 2)], setting=True)
        self.assertTrue(view.plans_ahead("assist"))
        self.assertFalse(view.plans_ahead("plain"))

    def test_no_service_without_models_has_it(self):
        view = self.view([("assist", 0), ("assist", 2)], setting=True, engine=None)
        self.assertFalse(view.reports_newest_demand())

    def test_model_without_a_request_yet_counts_as_urgent(self):
        view = self.view([("assist", 1), ("assist", 2)], ranks={"big": 2})
        self.assertEqual(view.model_ranks("assist"), {"big": 2, "small": 1})


class SlotUsageTests(unittest.TestCase):
    def test_idle_node_counts_an_equal_share_of_the_slots_in_use(self):
        """Each of 74 nodes has requests at few of a model's groups, this one at none.

        If it counted only its own requests, it would see no slots in use.
        """
        groups = [SimpleNamespace(name=f"g{n}") for n in range(6)]
        peers = SimpleNamespace(
            live=lambda: dict.fromkeys(range(73)), load=lambda name: 8
        )
        candidate_index = SimpleNamespace(
            by_model=lambda *_: groups, forming_count=lambda *_: 0
        )
        engine = SimpleNamespace(models={})
        config = SimpleNamespace(services={"assist": SimpleNamespace(engine=engine)})
        in_flight = SimpleNamespace(count=lambda name: 0)
        source = SimpleNamespace(config=config)
        view = RoutingView(
            "", source, candidate_index, None, peers, in_flight, None, None, None
        )
        request = SimpleNamespace(service="assist", model="big")
        self.assertAlmostEqual(view.slot_usage(request).slots_in_use, 6 * 8 / 74)


class SuspectCandidatesTests(unittest.TestCase):
    def test_group_without_progress_is_suspect_for_longer_each_time(self):
        """While the store is unreachable, no node learns that the group has failed.

        So it stays a candidate at all nodes.
        """
        clock, progress_at = FakeClock(), {}
        suspects, times_s = (
            SuspectCandidates(
                clock, FixedReach(), str, lambda g: progress_at.get(g, 0.0)
            ),
            [],
        )
        for _ in range(4):
            suspects.suspect("g1")
            began_at = clock.now
            while "g1" in suspects:
                clock.now += 0.1
            times_s.append(round(clock.now - began_at))
            self.assertTrue(suspects.on_probation("g1"))
        self.assertEqual(times_s, [2, 4, 4, 4])
        progress_at["g1"] = clock.now
        self.assertFalse(suspects.on_probation("g1"))
        clock.now += 1.0
        suspects.suspect("g1")
        clock.now += SUSPECT_S + 0.1
        self.assertNotIn("g1", suspects)

    def test_suspicion_ends_with_the_progress_that_refutes_it(self):
        """Otherwise a node refuses requests for seconds after a pause of servers."""
        clock, progress_at = FakeClock(), {}
        suspects = SuspectCandidates(
            clock, FixedReach(), str, lambda g: progress_at.get(g, 0.0)
        )
        for _ in range(20):
            suspects.suspect("g1")
            clock.now += 0.05
        self.assertEqual(suspects.own_suspects(), ["g1"])
        progress_at["g1"] = clock.now
        self.assertNotIn("g1", suspects)
        self.assertEqual(suspects.own_suspects(), [])
        clock.now += 0.5
        suspects.suspect("g1")
        self.assertEqual(suspects.own_suspects(), ["g1"])
        self.assertIn("g1", suspects)

    def test_group_on_probation_gets_one_request_of_a_node_at_a_time(self):
        clock, count = FakeClock(), {"g1": 0}
        suspects = SuspectCandidates(clock, FixedReach(), str)
        in_flight = SimpleNamespace(count=count.get)
        view = RoutingView("", None, None, None, None, in_flight, suspects, None, None)
        suspects.suspect("g1")
        clock.now += SUSPECT_S + 0.1
        self.assertFalse(view.must_avoid("g1"))
        count["g1"] = 1
        self.assertTrue(view.must_avoid("g1"))

    def test_node_that_reaches_no_server_reports_no_suspicion(self):
        clock, reach = FakeClock(), FixedReach(cut_off=True)
        suspects = SuspectCandidates(clock, reach, str)
        suspects.suspect("g1")
        self.assertIn("g1", suspects)
        self.assertEqual(suspects.own_suspects(), [])
        self.assertEqual(reach.doubts, 1)
        reach.cut_off = False
        self.assertEqual(suspects.own_suspects(), ["g1"])
        suspects.forget_own()
        self.assertNotIn("g1", suspects)
        self.assertFalse(suspects.on_probation("g1"))

    def test_own_progress_outweighs_the_suspicion_of_a_peer(self):
        clock = FakeClock()
        progress_at = {"g1": clock.now - 0.1, "g2": clock.now - 5.0}
        suspects = SuspectCandidates(clock, FixedReach(), str, progress_at.get)
        for name in progress_at:
            suspects.suspect_for_peer(name, "n2")
        self.assertNotIn("g1", suspects)
        self.assertIn("g2", suspects)

    def test_report_of_a_peer_ends_soon_after_the_peer_no_longer_repeats_it(self):
        """Otherwise nodes refuse requests twice as long as the one that saw a stall."""
        for settle_s, counts_s in ((0.36, MIN_REPORT_S), (1.6, 1.6)):
            clock = FakeClock()
            suspects = SuspectCandidates(
                clock, FixedReach(), str, settle_s=lambda s=settle_s: s
            )
            for _ in range(20):
                suspects.suspect_for_peer("g1", "n2")
                clock.now += 0.1
            clock.now += counts_s - 0.2
            self.assertIn("g1", suspects)
            clock.now += 0.2
            self.assertNotIn("g1", suspects)

    def test_probation_ends_when_a_peer_s_requests_go_on(self):
        """A broker grants slots to others and has no requests of its own there."""
        clock = FakeClock()
        suspects = SuspectCandidates(clock, FixedReach(), str)
        suspects.suspect_for_peer("g1", "n2")
        clock.now += 0.3
        suspects.end_reports(["g1", "unknown"], "n2")
        self.assertNotIn("g1", suspects)
        self.assertFalse(suspects.on_probation("g1"))
        clock.now += 0.1
        suspects.suspect_for_peer("g1", "n3")
        self.assertIn("g1", suspects)
        self.assertTrue(suspects.on_probation("g1"))

    def test_word_of_a_peer_does_not_end_an_own_suspicion(self):
        clock = FakeClock()
        suspects = SuspectCandidates(clock, FixedReach(), str)
        suspects.suspect("g1")
        clock.now += 0.3
        suspects.end_reports(["g1"], "n2")
        self.assertIn("g1", suspects)

    def test_suspicions_end_although_nodes_report_them_to_each_other(self):
        clock = FakeClock()
        one, two = (
            SuspectCandidates(clock, FixedReach(), str),
            SuspectCandidates(clock, FixedReach(), str),
        )
        one.suspect("g1")
        for _ in range(40):
            for name in one.own_suspects():
                two.suspect_for_peer(name, "one")
            for name in two.own_suspects():
                one.suspect_for_peer(name, "two")
            clock.now += 0.1
        clock.now += SUSPECT_S
        self.assertNotIn("g1", one)
        self.assertNotIn("g1", two)
