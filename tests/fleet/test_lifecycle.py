"""A group opens only when complete, and a server is in one group at a time.

A simulation executes some orders 2 to 12 steps late and ends groups at random. It
records a fault whenever a server joins a group while another group with this server is
open, or a group opens before all its members were ready. The simulated servers close
immediately, so they are never in the state "closing".
"""

import random
import unittest

from auburnwall.fleet.engines.group import (
    CloseOrder,
    JoinOrder,
    LeaveOrder,
    OpenOrder,
)
from auburnwall.fleet.formation.lifecycle import (
    GroupStatus,
    Liveness,
    MemberView,
    next_actions,
)
from auburnwall.fleet.formation.records import ENDING, GroupRecord, Member
from auburnwall.fleet.registrations import GroupMembership


def record(*servers, epoch=7, **changes):
    """Return a group's record."""
    members = tuple(Member(server, 1, "127.0.0.1:1") for server in servers)
    group = GroupRecord(f"g{epoch}", epoch, "assist", "big", members)
    return group._replace(**changes)


def status(group, *states, phase_s=0.0, head_retired=False, order_pending=True):
    """Return a group's status; ``states`` are its members', "" for one not in it."""
    members = tuple(
        MemberView(
            member.server,
            Liveness.ALIVE,
            False,
            GroupMembership(group.name, group.epoch, rank, state) if state else None,
        )
        for rank, (member, state) in enumerate(zip(group.members, states, strict=True))
    )
    return GroupStatus(group, members, phase_s, 16.0, head_retired, order_pending)


def changed(group_status, index, **changes):
    """Return the status with one member changed."""
    members = list(group_status.members)
    members[index] = members[index]._replace(**changes)
    return group_status._replace(members=tuple(members))


class ServingTests(unittest.TestCase):
    def test_missing_members_are_ordered_to_join(self):
        actions = next_actions(status(record("a", "b"), "joining", ""))
        self.assertEqual(list(actions.orders), ["b"])
        self.assertIsInstance(actions.orders["b"][0], JoinOrder)

    def test_head_is_ordered_to_open_only_when_all_are_ready(self):
        for states in (("ready", "joining"), ("joining", "ready"), ("ready", "")):
            actions = next_actions(status(record("a", "b"), *states))
            sent = [order for orders in actions.orders.values() for order in orders]
            self.assertNotIn(OpenOrder("g7", 7), sent)
        actions = next_actions(status(record("a", "b"), "ready", "ready"))
        self.assertEqual(actions.orders, {"a": (OpenOrder("g7", 7),)})

    def test_ready_state_of_another_epoch_does_not_count(self):
        group_status = status(record("a", "b"), "ready", "ready")
        old = GroupMembership("g7", 6, 1, "ready")
        actions = next_actions(changed(group_status, 1, group_membership=old))
        self.assertNotIn("a", actions.orders)

    def test_lost_member_ends_the_group_immediately(self):
        for liveness in (Liveness.UNRESPONSIVE, Liveness.GONE):
            actions = next_actions(
                changed(status(record("a", "b"), "open", "ready"), 1, liveness=liveness)
            )
            self.assertTrue(actions.end_cause and actions.at_once)

    def test_unusable_member_ends_the_group_after_running_requests(self):
        actions = next_actions(
            changed(status(record("a", "b"), "open", "ready"), 1, unusable=True)
        )
        self.assertTrue(actions.end_cause and not actions.at_once)

    def test_group_ends_when_a_member_joined_another_group(self):
        later = GroupMembership("g9", 9, 0, "ready")
        actions = next_actions(
            changed(
                status(record("a", "b"), "ready", "ready"), 1, group_membership=later
            )
        )
        self.assertTrue(actions.end_cause)

    def test_group_that_does_not_form_in_time_ends(self):
        """It has had a little more than the time of three loads, 16 s each."""
        actions = next_actions(
            status(record("a", "b"), "joining", "ready", phase_s=49.0)
        )
        self.assertTrue(actions.end_cause)


class EndingTests(unittest.TestCase):
    def group(self, at_once=False):
        return record("a", "b", phase=ENDING, at_once=at_once, ending_epoch=20)

    def test_open_head_is_ordered_to_close_and_servers_are_not_free(self):
        actions = next_actions(status(self.group(), "open", "ready"))
        self.assertEqual(actions.orders, {"a": (CloseOrder("g7", 7, False),)})
        self.assertFalse(actions.servers_free)

    def test_closing_head_gets_no_further_orders(self):
        actions = next_actions(status(self.group(), "closing", "ready"))
        self.assertEqual((actions.orders, actions.servers_free), ({}, False))

    def test_drain_that_takes_too_long_is_cut_off(self):
        actions = next_actions(status(self.group(), "closing", "ready", phase_s=9.5))
        self.assertEqual(actions.orders["a"][0], CloseOrder("g7", 7, True))

    def test_closed_head_retires_before_its_servers_are_free(self):
        actions = next_actions(status(self.group(), "ready", "ready"))
        leave, join = actions.orders["a"]
        self.assertEqual(leave, LeaveOrder("g7", 7))
        self.assertEqual((join.epoch, join.members), (20, ("a",)))
        self.assertFalse(actions.servers_free)
        self.assertTrue(
            next_actions(
                status(self.group(), "ready", "", head_retired=True)
            ).servers_free
        )

    def test_without_a_pending_order_the_head_only_leaves(self):
        """An additional join would evict another staged model from the host."""
        actions = next_actions(
            status(self.group(), "ready", "ready", order_pending=False)
        )
        self.assertEqual(actions.orders, {"a": (LeaveOrder("g7", 7),)})
        self.assertTrue(
            next_actions(status(self.group(), "", "", order_pending=False)).servers_free
        )
        self.assertFalse(
            next_actions(status(self.group(), "", "", order_pending=True)).servers_free
        )

    def test_servers_of_an_unresponsive_head_are_not_free(self):
        actions = next_actions(
            changed(
                status(self.group(True), "open", "ready"),
                0,
                liveness=Liveness.UNRESPONSIVE,
            )
        )
        self.assertFalse(actions.servers_free)
        actions = next_actions(
            changed(
                status(self.group(True), "open", "ready"), 0, liveness=Liveness.GONE
            )
        )
        self.assertTrue(actions.servers_free)


class SimulatedServer:
    """A server that executes orders and keeps its group membership."""

    def __init__(self, name):
        self.name = name
        self.restart()

    def restart(self):
        self.max_epoch = -1
        self.group_membership = None
        self.joined_at = 0

    def execute(self, order, simulation):
        if isinstance(order, JoinOrder):
            return self._join(order, simulation)
        group_membership = self.group_membership
        if group_membership is None or (
            group_membership.group,
            group_membership.epoch,
        ) != (
            order.group,
            order.epoch,
        ):
            return False
        if isinstance(order, OpenOrder):
            if group_membership.state not in ("ready", "open"):
                return False
            simulation.note_open(self, group_membership)
            self.group_membership = group_membership._replace(state="open")
        elif isinstance(order, CloseOrder):
            self.group_membership = group_membership._replace(state="ready")
        elif isinstance(order, LeaveOrder):
            self.group_membership = None
        return True

    def _join(self, order, simulation):
        if order.epoch < self.max_epoch:
            return False
        group_membership = self.group_membership
        if group_membership and (group_membership.group, group_membership.epoch) == (
            order.group,
            order.epoch,
        ):
            return True
        simulation.note_join(self, order)
        self.max_epoch = order.epoch
        rank = order.members.index(self.name)
        self.group_membership = GroupMembership(
            order.group, order.epoch, rank, "joining"
        )
        self.joined_at = simulation.now
        return True


class LateOrderSimulation:
    """Servers, group records and a planner whose orders may be executed late.

    Without ``retires``, servers of a closed group are free before its head has retired.
    Without ``waits``, heads are ordered to open before all members are ready. Without
    ``raises_epoch``, no order counts as pending, so that retirement raises no epoch.
    """

    def __init__(self, seed, retires=True, waits=True, raises_epoch=True):
        self.rng = random.Random(seed)
        self.now = 0
        self.offset = 0
        self.retires = retires
        self.waits = waits
        self.raises_epoch = raises_epoch
        self.servers = {f"s{n}": SimulatedServer(f"s{n}") for n in range(7)}
        self.groups = {}
        self.late_orders = []
        self.unanswered_at = {}
        self.members_of = {}
        self.was_ready = set()
        self.groups_with_retired_head = set()
        self.faults = []

    def note_join(self, server, order):
        for name, members in self.members_of.items():
            head = self.servers[members[0]]
            group_membership = head.group_membership
            is_open = (
                group_membership is not None
                and group_membership.group == name
                and group_membership.state in ("open", "closing")
            )
            if server.name in members and name != order.group and is_open:
                self.faults.append(
                    f"{server.name} joins {order.group} from open {name}"
                )

    def note_open(self, server, group_membership):
        for member in self.members_of.get(group_membership.group, ()):
            if (member, group_membership.group) not in self.was_ready:
                self.faults.append(f"{group_membership.group} opens without {member}")

    def step(self):
        self.now += 1
        for server in self.servers.values():
            joining = (
                server.group_membership and server.group_membership.state == "joining"
            )
            if joining and self.now - server.joined_at >= 2:
                server.group_membership = server.group_membership._replace(
                    state="ready"
                )
                self.was_ready.add((server.name, server.group_membership.group))
        due = [entry for entry in self.late_orders if entry[0] <= self.now]
        self.late_orders = [entry for entry in self.late_orders if entry[0] > self.now]
        for _, server, order in due:
            self.servers[server].execute(order, self)
        if self.rng.random() < 0.05:
            self.end_random_group()
        self.plan()

    def end_random_group(self):
        serving = [g for g in self.groups.values() if g.phase != ENDING]
        if serving:
            group = self.rng.choice(sorted(serving))
            self.offset += 1
            self.groups[group.name] = group._replace(
                phase=ENDING,
                at_once=self.rng.random() < 0.5,
                ending_epoch=self.offset,
            )

    def plan(self):
        for group in list(self.groups.values()):
            actions = next_actions(self.status(group))
            if actions.end_cause:
                self.offset += 1
                self.groups[group.name] = group._replace(
                    phase=ENDING, at_once=actions.at_once, ending_epoch=self.offset
                )
                continue
            if actions.servers_free or (not self.retires and self.is_closed(group)):
                del self.groups[group.name]
                continue
            for server, orders in actions.orders.items():
                self.send_all(group, server, orders)
            if not self.waits and group.phase != ENDING:
                head = group.head.server
                self.send_all(group, head, (OpenOrder(group.name, group.epoch),))
        taken = {m.server for g in self.groups.values() for m in g.members}
        free = sorted(set(self.servers) - taken)
        if len(free) >= 3:
            self.rng.shuffle(free)
            self.offset += 1
            group = record(*free[:3], epoch=self.offset)
            self.groups[group.name] = group
            self.members_of[group.name] = free[:3]

    def is_closed(self, group):
        """Return whether the head reports itself closed, which is not sufficient."""
        group_membership = self.servers[group.head.server].group_membership
        closed = group_membership is not None and group_membership.state == "ready"
        return group.phase == ENDING and closed

    def send_all(self, group, server, orders):
        for order in orders:
            draw = self.rng.random()
            if draw < 0.15:
                self.late_orders.append(
                    (self.now + self.rng.randint(2, 12), server, order)
                )
                self.unanswered_at[server] = self.now
                return
            if not self.servers[server].execute(order, self):
                return
        if group.phase == ENDING and not isinstance(orders[-1], CloseOrder):
            self.groups_with_retired_head.add(group.name)

    def status(self, group):
        members = tuple(
            MemberView(
                m.server, Liveness.ALIVE, False, self.servers[m.server].group_membership
            )
            for m in group.members
        )
        order_pending = self.now - self.unanswered_at.get(group.head.server, -99) <= 12
        head_retired = group.name in self.groups_with_retired_head
        return GroupStatus(
            group, members, 0.0, 1e9, head_retired, order_pending and self.raises_epoch
        )


class LateOrderTests(unittest.TestCase):
    def faults(self, **switches):
        found = []
        for seed in range(120):
            simulation = LateOrderSimulation(seed, **switches)
            for _ in range(150):
                simulation.step()
            found += simulation.faults
            self.assertGreater(len(simulation.members_of), 2)
        return found

    def test_late_orders_cause_no_fault(self):
        self.assertEqual(self.faults(), [])

    def test_without_retirement_servers_join_while_their_old_group_is_open(self):
        self.assertNotEqual(self.faults(retires=False), [])

    def test_head_that_opens_before_all_are_ready_opens_incomplete_groups(self):
        self.assertNotEqual(self.faults(waits=False), [])
