"""Groups are whole when they open, and servers are in one group at a time.

A model of the servers plays what the planner may meet: orders that are lost or carried
out seconds later, planners that come and go with what they have not yet seen, servers
that crash. It checks after every step what must always hold.
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
    GroupView,
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


def view(group, *states, phase_s=0.0, retired=False, pending=True):
    """Return a view whose members are in the group in ``states``, "" for not."""
    members = tuple(
        MemberView(
            member.server,
            Liveness.ALIVE,
            False,
            GroupMembership(group.name, group.epoch, rank, state) if state else None,
        )
        for rank, (member, state) in enumerate(zip(group.members, states, strict=True))
    )
    return GroupView(group, members, phase_s, 16.0, retired, pending)


def changed(group_view, index, **changes):
    """Return the view with one member changed."""
    members = list(group_view.members)
    members[index] = members[index]._replace(**changes)
    return group_view._replace(members=tuple(members))


class ServingTests(unittest.TestCase):
    def test_members_that_are_not_in_it_are_told_to_join(self):
        step = next_actions(view(record("a", "b"), "joining", ""))
        self.assertEqual(list(step.orders), ["b"])
        self.assertIsInstance(step.orders["b"][0], JoinOrder)

    def test_head_is_told_to_open_only_when_all_are_ready(self):
        for states in (("ready", "joining"), ("joining", "ready"), ("ready", "")):
            step = next_actions(view(record("a", "b"), *states))
            given = [order for orders in step.orders.values() for order in orders]
            self.assertNotIn(OpenOrder("g7", 7), given)
        step = next_actions(view(record("a", "b"), "ready", "ready"))
        self.assertEqual(step.orders, {"a": (OpenOrder("g7", 7),)})

    def test_ready_under_another_epoch_does_not_count(self):
        group_view = view(record("a", "b"), "ready", "ready")
        old = GroupMembership("g7", 6, 1, "ready")
        step = next_actions(changed(group_view, 1, group_membership=old))
        self.assertNotIn("a", step.orders)

    def test_lost_member_ends_the_group_at_once(self):
        for liveness in (Liveness.UNRESPONSIVE, Liveness.GONE):
            step = next_actions(
                changed(view(record("a", "b"), "open", "ready"), 1, liveness=liveness)
            )
            self.assertTrue(step.end and step.at_once)

    def test_leaving_member_lets_what_runs_finish(self):
        step = next_actions(
            changed(view(record("a", "b"), "open", "ready"), 1, leaving=True)
        )
        self.assertTrue(step.end and not step.at_once)

    def test_member_that_joined_another_group_ends_it(self):
        later = GroupMembership("g9", 9, 0, "ready")
        step = next_actions(
            changed(view(record("a", "b"), "ready", "ready"), 1, group_membership=later)
        )
        self.assertTrue(step.end)

    def test_group_that_does_not_form_is_given_up(self):
        step = next_actions(view(record("a", "b"), "joining", "ready", phase_s=49.0))
        self.assertTrue(step.end)


class EndingTests(unittest.TestCase):
    def group(self, at_once=False):
        return record("a", "b", phase=ENDING, at_once=at_once, ending_epoch=20)

    def test_open_head_closes_and_its_servers_are_not_free(self):
        step = next_actions(view(self.group(), "open", "ready"))
        self.assertEqual(step.orders, {"a": (CloseOrder("g7", 7, False),)})
        self.assertFalse(step.free)

    def test_closing_head_is_waited_for(self):
        step = next_actions(view(self.group(), "closing", "ready"))
        self.assertEqual((step.orders, step.free), ({}, False))

    def test_drain_that_takes_too_long_is_cut_off(self):
        step = next_actions(view(self.group(), "closing", "ready", phase_s=9.5))
        self.assertEqual(step.orders["a"][0], CloseOrder("g7", 7, True))

    def test_closed_head_leaves_and_moves_on_before_its_servers_are_free(self):
        step = next_actions(view(self.group(), "ready", "ready"))
        leave, join = step.orders["a"]
        self.assertEqual(leave, LeaveOrder("g7", 7))
        self.assertEqual((join.epoch, join.members), (20, ("a",)))
        self.assertFalse(step.free)
        self.assertTrue(
            next_actions(view(self.group(), "ready", "", retired=True)).free
        )

    def test_without_orders_under_way_it_only_leaves(self):
        """Joining once more would cost the host another model that it has staged."""
        step = next_actions(view(self.group(), "ready", "ready", pending=False))
        self.assertEqual(step.orders, {"a": (LeaveOrder("g7", 7),)})
        self.assertTrue(next_actions(view(self.group(), "", "", pending=False)).free)
        self.assertFalse(next_actions(view(self.group(), "", "", pending=True)).free)

    def test_silent_head_may_still_serve(self):
        step = next_actions(
            changed(
                view(self.group(True), "open", "ready"),
                0,
                liveness=Liveness.UNRESPONSIVE,
            )
        )
        self.assertFalse(step.free)
        step = next_actions(
            changed(view(self.group(True), "open", "ready"), 0, liveness=Liveness.GONE)
        )
        self.assertTrue(step.free)


class ModelServer:
    """A server as the orders see it; ``head_of`` is open or closing, or ""."""

    def __init__(self, name):
        self.name = name
        self.restart()

    def restart(self):
        self.newest = -1
        self.group_membership = None
        self.since = 0

    def take(self, order, world):
        if isinstance(order, JoinOrder):
            return self._join(order, world)
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
            world.note_open(self, group_membership)
            self.group_membership = group_membership._replace(state="open")
        elif isinstance(order, CloseOrder):
            self.group_membership = group_membership._replace(state="ready")
        elif isinstance(order, LeaveOrder):
            self.group_membership = None
        return True

    def _join(self, order, world):
        if order.epoch < self.newest:
            return False
        group_membership = self.group_membership
        if group_membership and (group_membership.group, group_membership.epoch) == (
            order.group,
            order.epoch,
        ):
            return True
        world.note_join(self, order)
        self.newest = order.epoch
        rank = order.members.index(self.name)
        self.group_membership = GroupMembership(
            order.group, order.epoch, rank, "joining"
        )
        self.since = world.now
        return True


class LateWorld:
    """Servers, records and planners; orders may be lost or carried out late."""

    def __init__(self, seed, retires=True, waits=True, bumps=True):
        self.rng = random.Random(seed)
        self.now = 0
        self.offset = 0
        self.retires = retires
        self.waits = waits
        self.bumps = bumps
        self.servers = {f"s{n}": ModelServer(f"s{n}") for n in range(7)}
        self.groups = {}
        self.late = []
        self.unanswered = {}
        self.members_of = {}
        self.was_ready = set()
        self.retired = set()
        self.faults = []

    def note_join(self, server, order):
        for name, members in self.members_of.items():
            head = self.servers[members[0]]
            group_membership = head.group_membership
            serves = (
                group_membership is not None
                and group_membership.group == name
                and group_membership.state in ("open", "closing")
            )
            if server.name in members and name != order.group and serves:
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
            if joining and self.now - server.since >= 2:
                server.group_membership = server.group_membership._replace(
                    state="ready"
                )
                self.was_ready.add((server.name, server.group_membership.group))
        due = [entry for entry in self.late if entry[0] <= self.now]
        self.late = [entry for entry in self.late if entry[0] > self.now]
        for _, server, order in due:
            self.servers[server].take(order, self)
        if self.rng.random() < 0.05:
            self.end_one()
        self.plan()

    def end_one(self):
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
            step = next_actions(self.view(group))
            if step.end:
                self.offset += 1
                self.groups[group.name] = group._replace(
                    phase=ENDING, at_once=step.at_once, ending_epoch=self.offset
                )
                continue
            if step.free or (not self.retires and self.is_closed(group)):
                del self.groups[group.name]
                continue
            for server, orders in step.orders.items():
                self.give_all(group, server, orders)
            if not self.waits and group.phase != ENDING:
                head = group.head.server
                self.give_all(group, head, (OpenOrder(group.name, group.epoch),))
        taken = {m.server for g in self.groups.values() for m in g.members}
        free = sorted(set(self.servers) - taken)
        if len(free) >= 3:
            self.rng.shuffle(free)
            self.offset += 1
            group = record(*free[:3], epoch=self.offset)
            self.groups[group.name] = group
            self.members_of[group.name] = free[:3]

    def is_closed(self, group):
        """Return whether the head says that it is closed, which would not do."""
        group_membership = self.servers[group.head.server].group_membership
        closed = group_membership is not None and group_membership.state == "ready"
        return group.phase == ENDING and closed

    def give_all(self, group, server, orders):
        for order in orders:
            luck = self.rng.random()
            if luck < 0.15:
                self.late.append((self.now + self.rng.randint(2, 12), server, order))
                self.unanswered[server] = self.now
                return
            if not self.servers[server].take(order, self):
                return
        if group.phase == ENDING and not isinstance(orders[-1], CloseOrder):
            self.retired.add(group.name)

    def view(self, group):
        members = tuple(
            MemberView(
                m.server, Liveness.ALIVE, False, self.servers[m.server].group_membership
            )
            for m in group.members
        )
        pending = self.now - self.unanswered.get(group.head.server, -99) <= 12
        retired = group.name in self.retired
        return GroupView(group, members, 0.0, 1e9, retired, pending and self.bumps)


class LateOrderTests(unittest.TestCase):
    def faults(self, **mechanisms):
        found = []
        for seed in range(120):
            world = LateWorld(seed, **mechanisms)
            for _ in range(150):
                world.step()
            found += world.faults
            self.assertGreater(len(world.members_of), 2)
        return found

    def test_late_orders_open_nothing_that_is_not_whole(self):
        self.assertEqual(self.faults(), [])

    def test_without_retirement_late_orders_bring_an_ended_group_back(self):
        self.assertNotEqual(self.faults(retires=False), [])

    def test_head_that_opens_on_its_own_word_opens_groups_that_are_not_whole(self):
        self.assertNotEqual(self.faults(waits=False), [])
