"""Slots granted by brokers: exact at any number of nodes, and safe when one is lost."""

import random
import unittest
from collections import Counter
from types import SimpleNamespace

import gevent

from auburnwall.base.clock import SystemClock
from auburnwall.fleet.candidate_index import Candidate
from auburnwall.node.routed.brokers import Brokers
from auburnwall.node.routed.views import SlotUsage
from auburnwall.routing.brokered_placer import BrokeredPlacer
from auburnwall.routing.call import Call, RoutedRequest
from auburnwall.routing.exceptions import OverloadedError
from auburnwall.routing.in_flight import InFlightRequests
from auburnwall.routing.placer import Placer
from auburnwall.routing.rate_limits import RateLimitGate
from auburnwall.routing.shortage_order import UNKNOWN_WORK
from auburnwall.routing.slot_broker import SlotBroker
from auburnwall.routing.step_model import Work
from auburnwall.routing.stop_time import StopTime
from auburnwall.routing.warmup import WarmupGate
from auburnwall.wire.exceptions import PeerUnavailableError
from benchmarks.stale_loads import FLEETS, overfilled_fraction

DATA_CENTERS = ("norte", "sur")
GROUPS_PER_DATA_CENTER, SLOTS = 2, 3


def candidates():
    return [
        Candidate(f"{place}-{n}", f"s-{place}-{n}", 1, "", place, SLOTS)
        for place in DATA_CENTERS
        for n in range(GROUPS_PER_DATA_CENTER)
    ]


class GroupsView:
    """A view of all groups, or with ``only`` of those in one data centre."""

    def __init__(self, data_center, in_flight, only=False):
        self.data_center = data_center
        self.avoided, self.paused, self.leaving = set(), {}, set()
        self.limits = {}
        self.ranked = False
        self._in_flight = in_flight
        self._only = only

    def candidates(self, request):
        own = self.data_center
        return [c for c in candidates() if not self._only or c.data_center == own]

    def load(self, candidate):
        return self._in_flight.count(candidate.name)

    def must_avoid(self, name):
        return name in self.avoided

    def pause_left_s(self, server):
        return self.paused.get(server, 0.0)

    def may_send(self, candidate):
        return candidate.server not in self.leaving

    def cold_rate(self, candidate):
        return None

    def limit_per_s(self, server):
        return self.limits.get(server)

    def expected_time_to_start_s(self, request):
        return 0.05

    def is_ranked(self, request):
        return self.ranked

    def bounded_work(self, request):
        return UNKNOWN_WORK

    def slot_usage(self, request):
        return SlotUsage(sum(self._in_flight.slots_in_use.values()), 0, 0.5)


class Node:
    """A node with its broker; calls to others go through ``network``."""

    def __init__(self, name, data_center, network):
        self.name, self.network = name, network
        clock, rng = network.clock, random.Random(name)
        self.in_flight = InFlightRequests(clock, lambda name: None)
        gates = (
            WarmupGate(name, lambda: [name], clock),
            RateLimitGate(name, lambda: [name], clock),
        )
        self.view = GroupsView(data_center, self.in_flight)
        broker_view = GroupsView(data_center, self.in_flight, only=True)
        self.broker = SlotBroker(
            Placer(broker_view, self.in_flight, *gates, clock, rng),
            lambda node: node not in network.down,
            clock,
        )
        identity = SimpleNamespace(node=name, incarnation=f"{name}-1")
        peers = SimpleNamespace(
            is_mesh=False,
            not_lost=lambda: network.live(name),
            address=lambda node: node,
        )
        pool = SimpleNamespace(call=self.call)
        state = SimpleNamespace(nodes=network.records, change_count=0)
        self.brokers = Brokers(
            identity,
            state,
            peers,
            lambda: name in network.cut_off,
            self.broker,
            pool,
            pool,
            clock,
            SimpleNamespace(spawn=gevent.spawn),
        )
        local = Placer(self.view, self.in_flight, *gates, clock, rng)
        self.placer = BrokeredPlacer(local, self.view, self.brokers, clock)

    def call(self, address, method, *args):
        network = self.network
        network.calls[method] += 1
        if address in network.down or self.name in network.down:
            raise PeerUnavailableError("no answer", step=method, peer=address)
        return getattr(network.nodes[address].brokers, method)(*args)

    def request(self, number=0, objective_s=0.3, deadline_s=2.0):
        now = self.network.clock.monotonic()
        return SimpleNamespace(
            request_id=f"r-{self.name}-{number}",
            service="assist",
            model="big",
            team="blue",
            rank=1,
            priority=-1,
            weight=1.0,
            work=Work(100, 10),
            deadline=now + deadline_s,
            objective_at=now + objective_s,
            route=SimpleNamespace(objective_s=objective_s),
        )

    def place(self, number=0, objective_s=0.3, deadline_s=2.0, excluded=frozenset()):
        request = self.request(number, objective_s, deadline_s)
        return self.placer.place(request, excluded)


class Network:
    """Two nodes in each data centre; the one with more cores is its broker."""

    def __init__(self):
        self.clock = SystemClock()
        self.down, self.cut_off, self.calls = set(), set(), Counter()
        self.records, self.nodes = {}, {}
        for place in DATA_CENTERS:
            for index in range(4):
                name = f"{place}{index}"
                self.records[name] = SimpleNamespace(
                    node=name, data_center=place, peer=name, cores=4.0 - index
                )
                self.nodes[name] = Node(name, place, self)

    def live(self, own):
        return {
            name: SimpleNamespace(
                stopping=False,
                cut_off=name in self.cut_off,
                incarnation=f"{name}-1",
            )
            for name in self.records
            if name != own and name not in self.down
        }

    def broker(self, place):
        return self.nodes["norte3"].brokers.broker_of("assist", "big", place)


class BrokerTests(unittest.TestCase):
    def setUp(self):
        self.network = Network()
        self.one, self.two = self.network.nodes["norte3"], self.network.nodes["norte2"]

    def load(self):
        """Return the number of granted slots by group."""
        counts = Counter()
        for node in self.network.nodes.values():
            counts.update(node.in_flight.slots_in_use)
        return counts

    def fill(self, count):
        nodes = [self.one, self.two, self.network.nodes["sur3"]]
        return [nodes[n % 3].place(n) for n in range(count)]

    def test_no_group_is_overfilled_and_none_is_left_idle(self):
        all_slots = 2 * GROUPS_PER_DATA_CENTER * SLOTS
        self.fill(all_slots)
        self.assertEqual(self.load(), {c.name: SLOTS for c in candidates()})

    def test_own_data_centre_is_used_first(self):
        for number in range(GROUPS_PER_DATA_CENTER * SLOTS):
            placement = self.one.place(number)
            self.assertEqual(placement.candidate.data_center, "norte")
        self.assertEqual(self.one.place(99).candidate.data_center, "sur")

    def test_released_slot_goes_to_a_request_that_waits_at_another_node(self):
        placements = self.fill(2 * GROUPS_PER_DATA_CENTER * SLOTS)
        waiting = gevent.spawn(self.two.place, 50, objective_s=2.0)
        gevent.sleep(0.05)
        self.assertFalse(waiting.ready())
        first = next(p for p in placements if p.candidate.data_center == "norte")
        owner = next(
            n for n in (self.one, self.two) if first.grant.id in n.placer._grants
        )
        owner.placer.release_slot(first)
        self.assertEqual(waiting.get(timeout=1.0).candidate.name, first.candidate.name)

    def test_refusal_tells_when_to_return(self):
        self.fill(2 * GROUPS_PER_DATA_CENTER * SLOTS)
        with self.assertRaises(OverloadedError) as caught:
            self.one.place(50, objective_s=0.1, deadline_s=0.2)
        self.assertGreater(caught.exception.retry_after_s, 0.0)

    def ranked_call(self, called_at, deadline_s=6.0):
        """Return a call of a caller whose service has routes of several ranks."""
        now = self.network.clock.monotonic()
        return RoutedRequest(
            Call("POST", "/", (), b"", now),
            "r",
            SimpleNamespace(objective_s=0.2),
            "assist",
            "blue",
            "big",
            Work(100, 10),
            called_at + deadline_s,
            1,
            fingerprint="f",
        )

    def test_caller_that_comes_back_early_does_not_wait_at_a_broker(self):
        """Guards against callers that repeat at once and so are always in a queue."""
        placements = self.fill(2 * GROUPS_PER_DATA_CENTER * SLOTS)
        for node in self.network.nodes.values():
            node.view.ranked = True
        called_at = self.network.clock.monotonic()
        with self.assertRaises(OverloadedError) as caught:
            self.one.placer.place(self.ranked_call(called_at))
        promised_at = self.network.clock.monotonic() + caught.exception.retry_after_s
        began_at = self.network.clock.monotonic()
        with self.assertRaises(OverloadedError) as caught:
            self.one.placer.place(self.ranked_call(called_at))
        self.assertLess(self.network.clock.monotonic() - began_at, 0.1)
        again_at = self.network.clock.monotonic() + caught.exception.retry_after_s
        self.assertGreater(again_at, promised_at - 0.05)
        self.release(placements)
        # A free slot is given to it.
        placement = self.one.placer.place(self.ranked_call(called_at))
        self.release([placement])
        self.assertEqual(self.load(), {})

    def release(self, placements):
        """Let the node that got each slot release it."""
        for placement in placements:
            for node in self.network.nodes.values():
                if placement.grant.id in node.placer._grants:
                    node.placer.release_slot(placement)
        gevent.sleep(0.05)

    def test_caller_that_leaves_while_it_waits_holds_no_slot(self):
        placements = self.fill(2 * GROUPS_PER_DATA_CENTER * SLOTS)
        waiting = gevent.spawn(self.one.place, 50, objective_s=2.0)
        gevent.sleep(0.05)
        waiting.kill()
        gevent.sleep(0.05)
        self.release(placements)
        self.assertEqual(self.load(), {})

    def test_wait_that_a_stop_of_the_node_ends_holds_no_slot(self):
        """Guards against a slot that goes to a node that can no longer use it."""
        placements = self.fill(2 * GROUPS_PER_DATA_CENTER * SLOTS)
        stop_time, whys, ended = StopTime(self.network.clock), [""], []

        def wait(node):
            with (
                self.assertRaises(OverloadedError) as caught,
                stop_time.limit_wait("r", lambda: whys[0]),
            ):
                node.place(50, objective_s=2.0)
            ended.append(caught.exception.detail)

        # One of the nodes is the broker itself.
        for node in (self.one, self.two):
            gevent.spawn(wait, node)
        gevent.sleep(0.05)
        stop_time.end_late_waits()
        gevent.sleep(0.05)
        self.assertEqual(ended, [])
        whys[0] = "stopping"
        stop_time.end_late_waits()
        gevent.sleep(0.05)
        self.assertEqual(ended, ["stopping"] * 2)
        self.release(placements)
        self.assertEqual(self.load(), {})

    def test_node_s_own_suspicions_are_kept(self):
        self.one.view.avoided.add("norte-0")
        for number in range(SLOTS):
            self.assertEqual(self.one.place(number).candidate.name, "norte-1")
        self.assertEqual(self.two.place(9).candidate.name, "norte-0")

    def test_server_that_told_this_node_that_it_leaves_gets_nothing(self):
        """The broker has not heard of it yet."""
        self.one.view.leaving |= {"s-norte-0", "s-sur-0"}
        used = Counter(self.one.place(n).candidate.name for n in range(2 * SLOTS))
        self.assertEqual(used, {"norte-1": SLOTS, "sur-1": SLOTS})
        gevent.sleep(0.05)
        self.assertEqual(self.load(), used)

    def test_servers_that_want_a_pause_from_this_node_are_avoided(self):
        self.one.view.paused["s-norte-0"] = 5.0
        for number in range(SLOTS):
            self.assertEqual(self.one.place(number).candidate.name, "norte-1")

    def test_lost_broker_is_replaced_and_its_requests_are_counted(self):
        broker = self.network.broker("norte")
        asker = self.one if broker != self.one.name else self.two
        placement = asker.place(1)
        self.assertEqual(placement.grant.broker, broker)
        self.network.down.add(broker)
        unaccounted = asker.placer.unaccounted_requests()
        self.assertEqual(unaccounted, {placement.candidate.name: 1})
        self.assertIsNotNone(asker.place(2))
        gevent.sleep(0.3)
        self.assertNotEqual(asker.place(3).grant.broker, broker)

    def test_broker_that_reaches_no_server_is_replaced(self):
        """It suspects all groups, and would refuse the requests of all nodes."""
        broker = self.network.broker("norte")
        self.network.cut_off.add(broker)
        gevent.sleep(0.3)
        for name, node in self.network.nodes.items():
            if name != broker:
                self.assertNotEqual(node.place(1).grant.broker, broker)
        own = self.network.nodes[broker].brokers
        self.assertNotEqual(own.broker_of("assist", "big", "norte"), broker)

    def test_unreachable_broker_costs_no_request(self):
        """It is not known to be lost yet; the node places requests itself meanwhile."""
        broker = self.network.broker("norte")
        asker = self.one if broker != self.one.name else self.two
        live = self.network.live(asker.name)
        self.network.live = lambda own: live
        self.network.down.add(broker)
        placement = asker.place(1)
        self.assertIsNone(placement.grant)
        asker.placer.release_slot(placement)
        calls = self.network.calls["take_slot"]
        asker.place(2)
        self.assertEqual(self.network.calls["take_slot"], calls)

    def test_slots_of_a_lost_node_are_freed(self):
        asker = next(
            node
            for node in (self.one, self.two)
            if node.name != self.network.broker("norte")
        )
        placement = asker.place(1)
        broker = self.network.nodes[placement.grant.broker]
        self.network.down.add(asker.name)
        broker.broker.expire_grants()
        self.assertEqual(broker.in_flight.slots_in_use, {})

    def test_slot_is_freed_after_the_deadline_if_its_release_is_lost(self):
        placement = self.one.place(1, deadline_s=0.0)
        broker = self.network.nodes[placement.grant.broker].broker
        broker.expire_grants()
        self.assertEqual(len(broker), 1)
        gevent.sleep(0.6)
        broker.expire_grants()
        self.assertEqual(len(broker), 0)


class StaleLoadTests(unittest.TestCase):
    """What brokers are for: 195 nodes place 500 requests a second at 65 groups."""

    FLEET = FLEETS[2]

    def test_exact_loads_overfill_no_group(self):
        self.assertEqual(overfilled_fraction(self.FLEET, 4, exact=True), 0.0)

    def test_loads_of_a_moment_ago_overfill_groups(self):
        self.assertGreater(overfilled_fraction(self.FLEET, 4), 0.2)


if __name__ == "__main__":
    unittest.main()
