"""Test the formation controller with simulated servers and concurrent planners."""

import json
import unittest
from types import SimpleNamespace

from auburnwall.fleet.engines.group import (
    MemberClient,
    MemberReport,
    OrderOutcome,
    StageOrder,
)
from auburnwall.fleet.exceptions import EngineError, ServerRefusedError
from auburnwall.fleet.formation.adoption import ADOPTION_DELAY_S
from auburnwall.fleet.formation.controller import FormationController
from auburnwall.fleet.formation.member_monitor import MemberMonitor
from auburnwall.fleet.formation.records import (
    HASHES_PER_OFFSET,
    FleetState,
    FleetWriter,
    Member,
)
from auburnwall.fleet.registrations import GroupMembership, Registry
from auburnwall.routing.routes import EngineSpec, ModelSpec, ServiceSpec
from auburnwall.state.exceptions import LogUnavailableError, TableChangedError
from auburnwall.state.table.base import (
    AppendResult,
    TableBatch,
    TableClient,
    TableRecord,
)
from auburnwall.state.table.replica import TableReplica
from tests.fleet.test_registrations import registration
from tests.fleet.test_server_reach import FixedReach
from tests.state.test_table import FakeClock

# Fields: name, members, pace, share, load_s, warm_s.
MODELS = {
    "big": ModelSpec("big", 2, 1.0, 0.5, 16.0, 1.6),
    "small": ModelSpec("small", 1, 0.6, 0.5, 12.0, 1.1),
}
# At most 5 loads start per second and at most 7 run concurrently.
ENGINE = EngineSpec(9, MODELS, 0.0078, 2e-4, 2e-8, 2e-5, 4e-10, 5, 5.0, 7, 979, 154)


class MemoryTable(TableClient):
    """A table in memory that can lose write responses or ignore write conditions."""

    def __init__(self):
        self.records = []
        self.loses_responses = False
        self.checks_conditions = True

    def newest(self, table):
        return TableBatch(list(self.records), len(self.records))

    def read(self, table, offset, *, wait_s):
        return TableBatch(self.records[offset:], len(self.records))

    def append(self, table, entries, *, at=None):
        if self.checks_conditions and at is not None and at != len(self.records):
            raise TableChangedError(len(self.records))
        offset = len(self.records)
        for key, value in entries:
            self.records.append(TableRecord(len(self.records), key, value))
        if self.loses_responses:
            raise LogUnavailableError("no answer")
        return AppendResult(offset)


class FakeMemberClient(MemberClient):
    """Servers that accept every order; ``orders`` are pairs of server and order."""

    def __init__(self):
        self.orders = []
        self.unresponsive = set()
        self.refusing = set()
        self.group_memberships = {}

    def fetch_report(self, server, address):
        if server in self.refusing:
            raise ServerRefusedError("refused", step="report", peer=server)
        if server in self.unresponsive:
            raise EngineError("no answer", step="report", peer=server)
        return MemberReport(1, self.group_memberships.get(server))

    def send_order(self, server, address, order):
        if server in self.unresponsive:
            raise EngineError("no answer", step="order", peer=server)
        self.orders.append((server, order))
        return OrderOutcome.BEGUN


class Tasks:
    """Run tasks immediately."""

    def spawn(self, function, *args):
        function(*args)


class FakePlanningView:
    """A planning view with one service and settable demand and evacuations.

    ``ahead`` is whether its service is planned ahead.
    """

    def __init__(self):
        self.measured_demand, self.newest, self.ranks = {}, {}, {}
        self.ahead = False
        self.work = dict.fromkeys(MODELS, 0.01)
        self.evacuated = set()

    def config(self):
        service = ServiceSpec("assist", 0.0, ENGINE)
        return SimpleNamespace(services={"assist": service})

    def evacuated_data_centers(self):
        return self.evacuated

    def is_before_first_request(self):
        return False

    def demand(self):
        return self.measured_demand

    def newest_demand(self):
        return self.newest

    def plans_ahead(self, service):
        return self.ahead

    def model_ranks(self, service):
        return self.ranks

    def request_work(self, service):
        return self.work


class PlannerNode:
    """One node's formation controller on a shared table."""

    def __init__(self, name, table, clock, engine, view):
        replica = TableReplica("fleet", table, clock)
        self.state = FleetState(replica)
        self.servers = TableReplica("servers", table, clock)
        self.registry = Registry(self.servers, lambda key, value: value, clock)
        identity = SimpleNamespace(node=name, incarnation=f"{name}-1")
        self.writer = FleetWriter(self.state, table, clock, identity)
        self.reach, self.reaching_peers = FixedReach(), []
        self.member_monitor = MemberMonitor(
            self.registry, engine, self.reach, self.reached_by_peer, clock, Tasks()
        )
        self.formation_controller = FormationController(
            self.state,
            self.writer,
            self.registry,
            self.member_monitor,
            engine,
            view,
            clock,
            Tasks(),
        )
        replica.refresh(0.0)

    def reached_by_peer(self, member):
        return bool(self.reaching_peers)

    def register(self, server, offset, **changes):
        entry = registration(server, **changes)
        self.servers.apply_records(
            [TableRecord(offset, server, entry)], offset + 1, 0.0
        )


class PlannerTestCase(unittest.TestCase):
    """Four servers and the node ``n1``, which is the planner."""

    def setUp(self):
        self.clock, self.table = FakeClock(), MemoryTable()
        self.engine, self.view = FakeMemberClient(), FakePlanningView()
        self.node = self.new_node("n1")
        self.node.writer.become_planner()

    def new_node(self, name):
        node = PlannerNode(name, self.table, self.clock, self.engine, self.view)
        for number in range(4):
            node.register(f"s{number}", number)
        return node

    def groups(self):
        state = FleetState(TableReplica("fleet", self.table, self.clock))
        state.replica.refresh(0.0)
        return state.groups


class FormationControllerTests(PlannerTestCase):
    def test_orders_are_sent_only_after_their_group_records_are_written(self):
        self.node.formation_controller.step()
        written = {
            json.loads(record.value)[1]
            for record in self.table.records
            if record.key.startswith("group/")
        }
        self.node.formation_controller.step()
        ordered = {order.epoch for _, order in self.engine.orders}
        self.assertTrue(ordered)
        self.assertLessEqual(ordered, written)

    def test_plan_that_is_not_written_changes_no_state(self):
        self.table.append("fleet", [("node/x", b"[]")])
        self.node.formation_controller.step()
        self.assertEqual(self.groups(), {})
        left = self.node.formation_controller._loads_left(ENGINE)
        self.assertEqual((left, self.node.formation_controller._shifts), (7, []))

    def test_loads_are_limited_after_a_restart_of_all_nodes_and_servers(self):
        """No node has measured a demand, and 60 servers have no weights."""
        for number in range(60):
            self.node.register(f"t{number}", 20 + number, domain=f"d{number // 10}")
        for _ in range(20):
            self.node.formation_controller.step()
            self.clock.now += 0.1
        members = [m for g in self.groups().values() for m in g.members]
        self.assertLessEqual(len(members), ENGINE.max_concurrent_loads)

    def test_new_planner_counts_the_loads_of_the_earlier_one(self):
        """The new planner knows of them only from the servers' registrations."""
        self.node.formation_controller.step()
        other, offset = self.new_node("n2"), 30
        for group in self.groups().values():
            for rank, member in enumerate(group.members):
                group_membership = GroupMembership(
                    group.name, group.epoch, rank, "joining"
                )
                other.register(member.server, offset, group_membership=group_membership)
                offset += 1
        running = sum(len(group.members) for group in self.groups().values())
        self.assertEqual(other.formation_controller._loads_left(ENGINE), 7 - running)

    def test_orders_of_an_earlier_planner_expire_after_the_head_opened(self):
        self.node.formation_controller.step()
        group = next(g for g in self.groups().values() if g.model == "big")
        other = self.new_node("n2")
        other.writer.become_planner()
        group_membership = GroupMembership(group.name, group.epoch, 0, "open")
        other.register(group.head.server, 30, group_membership=group_membership)
        self.clock.now += 16.0
        other.formation_controller.step()
        self.assertFalse(
            other.formation_controller._is_order_pending(group, self.clock.now)
        )
        unseen = group._replace(epoch=group.epoch - 1)
        self.assertTrue(
            other.formation_controller._is_order_pending(unseen, self.clock.now)
        )

    def test_epochs_hold_the_offsets_of_their_records(self):
        self.node.formation_controller.step()
        groups = [r for r in self.table.records if r.key.startswith("group/")]
        self.assertTrue(groups)
        for record in groups:
            epoch = json.loads(record.value)[1]
            self.assertEqual(epoch // HASHES_PER_OFFSET, record.offset)

    def report_group(self, epoch=70, ranks=(0, 1), state="open"):
        """Let servers report a group that the fleet's table does not have."""
        for rank in ranks:
            membership = GroupMembership(
                "g70", epoch, rank, state if not rank else "ready"
            )
            self.node.register(
                f"s{rank}",
                50 + int(self.clock.now * 10) + rank,
                model="big",
                group_membership=membership,
            )

    def step_until_adopted(self):
        self.report_group()
        self.node.formation_controller.step()
        self.assertNotIn("g70", self.groups())
        self.clock.now += ADOPTION_DELAY_S
        self.report_group()
        self.node.formation_controller.step()

    def test_whole_group_without_a_record_is_adopted(self):
        """The store has lost the record, and no node that knew it is left."""
        self.step_until_adopted()
        group = self.groups()["g70"]
        self.assertEqual(
            (group.epoch, group.model, group.phase), (70, "big", "serving")
        )
        self.assertEqual([m.server for m in group.members], ["s0", "s1"])
        self.assertFalse({server for server, _ in self.engine.orders} & {"s0", "s1"})

    def test_servers_of_a_group_without_a_record_are_left_alone(self):
        """It is not whole, so its head may still take requests until it is broken."""
        self.report_group(ranks=(0,))
        for _ in range(6):
            self.clock.now += ADOPTION_DELAY_S
            self.report_group(ranks=(0,))
            self.node.formation_controller.step()
        self.assertNotIn("g70", self.groups())
        members = {m.server for group in self.groups().values() for m in group.members}
        self.assertNotIn("s0", members)
        self.assertTrue(members)

    def test_servers_of_a_closed_group_without_a_record_are_used(self):
        self.report_group(state="ready")
        for _ in range(3):
            self.clock.now += 1.0
            self.report_group(state="ready")
            self.node.formation_controller.step()
        members = {m.server for group in self.groups().values() for m in group.members}
        self.assertIn("s0", members)

    def test_dissolved_group_that_is_still_reported_is_not_adopted(self):
        self.node.state.known_groups.add("g70")
        self.step_until_adopted()
        self.assertNotIn("g70", self.groups())

    def plan_on_two_nodes(self):
        """Run two nodes that each consider themselves the planner.

        The first one was suspended while the second one became the planner. Returns
        the groups that the second one planned and the servers of all groups afterwards.
        """
        other = self.new_node("n2")
        other.writer.become_planner()
        other.formation_controller.step()
        planned = self.groups()
        for _ in range(2):
            self.node.formation_controller.step()
        return planned, [m.server for g in self.groups().values() for m in g.members]

    def test_of_two_concurrent_planners_only_one_writes_its_plan(self):
        planned, servers = self.plan_on_two_nodes()
        self.assertEqual(self.groups(), planned)
        self.assertEqual(len(servers), len(set(servers)))

    def test_without_write_conditions_two_planners_assign_the_same_servers(self):
        self.table.checks_conditions = False
        _, servers = self.plan_on_two_nodes()
        self.assertGreater(len(servers), len(set(servers)))

    def test_write_whose_response_is_lost_is_not_repeated(self):
        self.table.loses_responses = True
        self.node.formation_controller.step()
        self.table.loses_responses = False
        self.assertEqual(self.engine.orders, [])
        for _ in range(3):
            self.node.formation_controller.step()
        servers = [m.server for g in self.groups().values() for m in g.members]
        self.assertEqual(len(servers), len(set(servers)))

    def test_demand_falls_slowly_while_nodes_restart(self):
        self.view.measured_demand = {"big": 1.0, "small": 4.0}
        self.assertEqual(self.node.formation_controller._smooth_demand()["small"], 4.0)
        self.view.measured_demand = {"big": 1.0, "small": 1.5}
        self.clock.now += 2.0
        self.assertGreater(
            self.node.formation_controller._smooth_demand()["small"], 3.5
        )
        self.view.measured_demand = {"big": 1.0, "small": 5.0}
        self.assertEqual(self.node.formation_controller._smooth_demand()["small"], 5.0)

    def test_shift_of_servers_with_staged_weights_is_preferred_to_a_load(self):
        """The large model lacks a group; servers of the small one have it staged."""
        self.view.measured_demand = {"big": 2.0, "small": 0.5}
        for number in range(4):
            self.node.register(
                f"s{number}", 10 + number, staged=("big",), model="small"
            )
        # These servers get no stage orders in this test.
        self.node.formation_controller._staging_until = {f"s{n}": 1e9 for n in range(4)}
        groups = [("assist", "small", (self.member(number),)) for number in range(4)]
        self.node.writer.write_groups([], [], groups)
        for group in self.groups().values():
            group_membership = GroupMembership(group.name, group.epoch, 0, "open")
            name = group.head.server
            fields = {
                "staged": ("big",),
                "model": "small",
                "group_membership": group_membership,
            }
            self.node.register(name, 20 + int(name[1:]), **fields)
        self.node.register("cold0", 30)
        self.node.register("cold1", 31)
        self.node.formation_controller.step()
        planned = [g for g in self.groups().values() if g.model == "big"]
        self.assertEqual(planned, [])
        (shift,) = self.node.formation_controller._shifts
        self.assertEqual(shift.model, "big")

    def member(self, number):
        return Member(f"s{number}", 1, "127.0.0.1:1")

    def test_shift_that_lost_a_server_is_removed(self):
        """The test above plans the shift."""
        self.test_shift_of_servers_with_staged_weights_is_preferred_to_a_load()
        (shift,) = self.node.formation_controller._shifts
        self.node.servers.apply_records(
            [TableRecord(40, shift.servers[0], None)], 41, 0.0
        )
        self.node.registry.apply_due_removals()
        self.node.formation_controller._drop_obsolete_shifts()
        self.assertEqual(self.node.formation_controller._shifts, [])

    def staging_servers(self):
        return [s for s, order in self.engine.orders if isinstance(order, StageOrder)]

    def test_hosts_stage_weights_while_the_tables_cannot_be_read(self):
        """No group can be planned, but free servers can load from the weight store."""
        self.view.measured_demand = {"big": 2.0, "small": 0.5}
        written = len(self.table.records)
        self.node.formation_controller.stage_without_tables()
        self.assertEqual(sorted(self.staging_servers()), ["s0", "s1", "s2", "s3"])
        self.node.formation_controller.stage_without_tables()
        self.assertEqual(len(self.staging_servers()), 4)
        self.assertEqual(len(self.table.records), written)

    def test_loads_while_the_tables_cannot_be_read_are_limited(self):
        for number in range(60):
            self.node.register(f"t{number}", 20 + number, domain=f"d{number // 10}")
        for _ in range(50):
            self.node.formation_controller.stage_without_tables()
            self.clock.now += 0.1
        self.assertLessEqual(len(self.staging_servers()), ENGINE.max_concurrent_loads)

    def test_node_that_is_not_the_planner_stages_nothing(self):
        self.new_node("n2").formation_controller.stage_without_tables()
        self.assertEqual(self.engine.orders, [])

    def test_groups_in_an_evacuated_data_centre_end(self):
        self.node.formation_controller.step()
        self.view.evacuated = {"norte"}
        self.node.formation_controller.step()
        self.assertEqual({g.phase for g in self.groups().values()}, {"ending"})

    def test_group_in_a_data_centre_that_is_cut_off_keeps_its_servers(self):
        """The data centre is cut off for 6 s; the group's head may still be serving."""
        node, clock = self.node, self.clock
        cut_off = {f"c{number}": "sur" for number in range(2)}
        for number, name in enumerate(cut_off):
            node.register(name, 20 + number, data_center="sur", domain="sur-d0")
        node.writer.write_groups([], [], [("assist", "big", self.members(*cut_off))])
        (group,) = (g for g in self.groups().values() if g.head.server == "c0")
        group_membership = GroupMembership(group.name, group.epoch, 0, "open")
        node.register(
            "c0",
            30,
            data_center="sur",
            domain="sur-d0",
            group_membership=group_membership,
        )
        self.engine.group_memberships["c0"] = group_membership
        self.engine.unresponsive |= set(cut_off)
        offset = 40
        for step in range(60):
            clock.now += 0.1
            offset += 1
            node.register("s0", offset)
            if step == 36:  # the registrations expire after 3.6 s
                for name in cut_off:
                    offset += 1
                    node.servers.apply_records(
                        [TableRecord(offset, name, None)], offset + 1, 0.0
                    )
            node.registry.apply_due_removals()
            node.formation_controller.step()
        self.engine.unresponsive.clear()
        node.register("c1", offset + 10, data_center="sur", domain="sur-d0")
        for _ in range(3):
            clock.now += 0.1
            node.formation_controller.step()
        self.assertIn(group.name, self.groups())

    def members(self, *names):
        return tuple(Member(name, 1, "127.0.0.1:1") for name in names)

    def test_servers_of_an_ending_group_are_not_free_while_its_head_is_open(self):
        self.node.formation_controller.step()
        group = next(g for g in self.groups().values() if g.model == "big")
        head = group.head.server
        group_membership = GroupMembership(group.name, group.epoch, 0, "open")
        self.node.register(head, 10, group_membership=group_membership)
        self.node.register(group.members[1].server, 11, born=2)
        self.node.formation_controller.step()
        self.assertEqual(self.groups()[group.name].phase, "ending")
        group_of_server = {
            m.server: g.name for g in self.groups().values() for m in g.members
        }
        self.assertEqual(group_of_server[head], group.name)
