"""Searches for a slot for requests that are kept where they are, in virtual time.

Guards against searches that cost new callers their slots or fill the log with refusals.
"""

import random
import unittest
from types import SimpleNamespace

import gevent

from auburnwall.fleet.formation.records import NodeRecord
from auburnwall.platform.headers import HEADER_NAMES
from auburnwall.routing.detour import DetourPlacer
from auburnwall.routing.event_stream import StreamPosition
from auburnwall.routing.exceptions import OverloadedError, RequestError
from auburnwall.routing.request_attempts import RequestAttempts
from tests.faults.virtual_time import VirtualClock, VirtualTime
from tests.routing.test_brokers import (
    DATA_CENTERS,
    GROUPS_PER_DATA_CENTER,
    Network,
    candidates,
)
from tests.routing.test_brokers import SLOTS as BROKERED_SLOTS
from tests.routing.test_placer import SLOTS, SimulatedNode

SEARCHES = 12
# Arrival of requests that are late, in seconds ago.
LONG_AGO_S = 2.0


def search(node, request, server="s0", has_begun=False):
    """Look for another slot for a request that is kept at a server.

    Returns the placement or the error.
    """
    deps = SimpleNamespace(
        placer=node.placer,
        in_flight=node.in_flight,
        clock=SimpleNamespace(monotonic=lambda: request.deadline - 1.0),
        header_names=HEADER_NAMES,
        crash_evidence=SimpleNamespace(blocked_cause=lambda causes: None),
    )
    budget = SimpleNamespace(may_take=lambda: True, take=lambda: True)
    attempts = RequestAttempts(deps, request, budget)
    if has_begun:
        attempts._stream.note_passed_on(StreamPosition(b"id-1", True))
    attempt = SimpleNamespace(candidate=SimpleNamespace(server=server))
    try:
        return attempts.place_elsewhere(attempt)
    except RequestError as exc:
        return exc


class SearchTests(unittest.TestCase):
    """Two groups of nine slots each, all of them in use."""

    def setUp(self):
        self.node = SimulatedNode(group_count=2)
        self.placements = [self.place() for _ in range(2 * SLOTS)]

    def place(self, age_s=0.0):
        now = self.node.clock.monotonic()
        return self.node.placer.place(self.node.request(now - age_s, "blue"))

    def search(self, age_s=0.0, rank=5, **options):
        """Return what a search finds for a request that arrived ``age_s`` ago."""
        now = self.node.clock.monotonic()
        request = self.node.request(now - age_s, "blue")
        return search(self.node, request._replace(rank=rank), **options)

    def start_searches(self, **options):
        return [gevent.spawn(self.search, **options) for _ in range(SEARCHES)]

    def run_for(self, seconds):
        self.node.time.run_until(self.node.time.now + seconds)

    def short_s(self):
        (backlog,) = self.node.placer._backlogs.values()
        return backlog.shortage.duration_s(self.node.clock.monotonic())

    def misses(self):
        (backlog,) = self.node.placer._backlogs.values()
        return sum(backlog.shortage._misses)

    def caller(self, **options):
        """Start a caller; its task's value is a placement or an ``OverloadedError``."""

        def call():
            try:
                return self.place(**options)
            except OverloadedError as exc:
                return exc

        return gevent.spawn(call)

    def test_failed_searches_are_no_misses(self):
        searches = self.start_searches()
        self.run_for(2.0)
        self.assertTrue(all(isinstance(s.value, RequestError) for s in searches))
        self.assertEqual((self.misses(), self.short_s()), (0, 0.0))

    def test_failed_searches_are_not_logged_as_refusals(self):
        for options in ({}, {"age_s": LONG_AGO_S}, {"has_begun": True}):
            with self.subTest(options), self.assertNoLogs("absl", "INFO"):
                searches = self.start_searches(**options)
                self.run_for(2.0)
                self.assertTrue(all(search.ready() for search in searches))

    def test_searches_evict_no_waiting_caller(self):
        caller = self.caller(age_s=LONG_AGO_S)
        self.run_for(0.05)
        self.start_searches()
        self.run_for(0.3)
        self.assertFalse(caller.ready())
        self.node.placer.release_slot(self.placements.pop())
        self.run_for(0.1)
        self.assertNotIsInstance(caller.value, OverloadedError)

    def test_searches_of_streams_evict_no_waiting_caller_of_a_full_queue(self):
        callers = [
            gevent.spawn(self.search, has_begun=True, server="") for _ in range(256)
        ]
        self.run_for(0.05)
        searches = self.start_searches(has_begun=True, rank=0)
        self.run_for(0.05)
        self.assertEqual(sum(caller.ready() for caller in callers), 0)
        self.assertTrue(all(search.ready() for search in searches))
        self.run_for(3.0)

    def test_new_late_caller_is_not_refused_for_failed_searches(self):
        self.start_searches()
        self.run_for(0.3)
        caller = self.caller(age_s=LONG_AGO_S)
        self.run_for(0.1)
        self.node.placer.release_slot(self.placements.pop())
        self.run_for(0.1)
        self.assertNotIsInstance(caller.value, OverloadedError)

    def test_new_caller_gets_a_slot_before_requests_that_have_one(self):
        """Requests that are late wait in order of arrival."""
        searches = self.start_searches(age_s=LONG_AGO_S)
        self.run_for(0.1)
        caller = self.caller(age_s=LONG_AGO_S)
        self.run_for(0.05)
        self.node.placer.release_slot(self.placements.pop())
        self.run_for(0.05)
        self.assertTrue(caller.ready())
        self.assertNotIsInstance(caller.value, OverloadedError)
        found = [s for s in searches if not isinstance(s.value, RequestError)]
        self.assertEqual(found, [])

    def test_search_takes_a_free_slot_elsewhere_and_counts_nothing(self):
        for placement in self.placements:
            self.node.placer.release_slot(placement)
        for age_s in (0.0, LONG_AGO_S):
            placement = self.search(age_s=age_s)
            self.assertEqual(placement.candidate.name, "g1")
        (backlog,) = self.node.placer._backlogs.values()
        # One for each of the callers of ``setUp``, as many as are kept.
        self.assertEqual(len(backlog.shortage._misses), 12)

    def test_failed_search_looks_at_the_servers_once(self):
        """Hundreds of nodes may search in one silence, among thousands of servers."""
        view = self.node.placer._view
        looks, candidates = [], view.candidates
        view.candidates = lambda request: looks.append(request) or candidates(request)
        self.start_searches(age_s=LONG_AGO_S)
        self.run_for(2.0)
        self.assertEqual(len(looks), SEARCHES)

    def test_search_of_a_stream_that_has_begun_goes_before_new_callers(self):
        caller = self.caller(age_s=LONG_AGO_S)
        search = gevent.spawn(self.search, has_begun=True)
        self.run_for(0.05)
        for placement in self.placements:
            if placement.candidate.name == "g1":
                self.node.placer.release_slot(placement)
                break
        self.run_for(0.02)
        self.assertEqual(search.value.candidate.name, "g1")
        self.assertFalse(caller.ready())
        self.run_for(3.0)


class BrokeredSearchTests(unittest.TestCase):
    """Kept requests of a node whose slots brokers grant, all of them in use."""

    def setUp(self):
        self.network = Network()
        self.node = self.network.nodes["norte2"]
        slots = len(DATA_CENTERS) * GROUPS_PER_DATA_CENTER * BROKERED_SLOTS
        self.placements = [self.node.place(number) for number in range(slots)]

    def search(self, number=50, objective_s=0.3, has_begun=False):
        request = self.node.request(number, objective_s)
        request.call = SimpleNamespace(header=lambda name: None, arrived_at=0.0)
        request.crash_causes = ()
        return search(self.node, request, "", has_begun)

    def counted(self):
        """Return for each request that brokers and nodes count whether it missed."""
        placers = [n.broker._placer for n in self.network.nodes.values()]
        placers += [n.placer._local for n in self.network.nodes.values()]
        return [
            missed
            for placer in placers
            for backlog in placer._backlogs.values()
            for missed in backlog.shortage._misses
        ]

    def test_failed_searches_wait_nowhere_and_are_counted_and_logged_nowhere(self):
        self.network.calls.clear()
        with self.assertNoLogs("absl", "INFO"):
            found = [self.search(number) for number in range(SEARCHES)]
        self.assertTrue(all(isinstance(one, RequestError) for one in found))
        self.assertEqual(sum(self.counted()), 0)
        self.assertLessEqual(
            self.network.calls["take_slot"], len(DATA_CENTERS) * SEARCHES
        )

    def test_search_asks_no_broker_while_all_groups_are_silent(self):
        """Else all nodes would ask in a silence of all, and get nothing."""
        self.node.view.avoided.update(c.name for c in candidates())
        self.network.calls.clear()
        for number in range(SEARCHES):
            self.assertIsInstance(self.search(number), RequestError)
        self.assertEqual(self.network.calls["take_slot"], 0)

    def test_successful_search_is_not_counted_by_the_broker(self):
        for placement in self.placements:
            self.node.placer.release_slot(placement)
        gevent.sleep(0.05)
        counted = self.counted()
        placement = self.search(objective_s=1.5)
        self.assertIsNotNone(placement.grant)
        self.assertEqual(self.counted(), counted)

    def test_search_overtakes_no_request_that_waits_at_the_broker(self):
        every = frozenset(c.server for c in candidates() if c.name != "norte-0")
        waiting = gevent.spawn(
            self.network.nodes["norte3"].place, 60, 2.0, excluded=every
        )
        gevent.sleep(0.05)
        search = gevent.spawn(self.search, 61, 1.5)
        gevent.sleep(0.05)
        released = next(p for p in self.placements if p.grant.group == "norte-0")
        self.node.placer.release_slot(released)
        self.assertEqual(waiting.get(timeout=0.5).candidate.name, "norte-0")
        self.assertIsInstance(search.get(timeout=3.0), RequestError)

    def test_search_takes_a_slot_that_is_free_at_any_broker(self):
        released = random.Random(3).choice(self.placements)
        self.node.placer.release_slot(released)
        gevent.sleep(0.05)
        placement = self.search()
        self.assertEqual(placement.candidate.name, released.candidate.name)
        self.assertIn(placement.grant.id, self.node.placer._grants)

    def test_search_of_a_stream_that_has_begun_waits_for_a_slot(self):
        search = gevent.spawn(self.search, has_begun=True)
        gevent.sleep(0.05)
        self.assertFalse(search.ready())
        released = next(p for p in self.placements if p.grant.group == "norte-0")
        self.node.placer.release_slot(released)
        self.assertEqual(search.get(timeout=0.5).candidate.name, "norte-0")

    def test_search_of_a_stream_ends_without_a_slot_after_its_window(self):
        with self.assertLogs("absl", "INFO") as logs:
            self.assertIsInstance(self.search(has_begun=True), RequestError)
        # The broker's own line: it cannot tell such a wait from others.
        own = [r for r in logs.records if r.fields.get("peer")]
        self.assertEqual(own, [])

    def test_search_without_brokers_uses_what_the_node_knows(self):
        self.network.down.update(self.network.nodes)
        self.network.down.discard(self.node.name)
        self.assertIsNone(self.search().grant)


class DetourSearchTests(unittest.TestCase):
    """Kept requests of a node with one peer that reaches the servers."""

    def search(self, *, is_lost, excluded=frozenset()):
        direct = SimpleNamespace(search=lambda *args: None)
        reach = SimpleNamespace(is_lost=lambda service: is_lost)
        peer = NodeRecord("n2", "n2-1", "", "", "norte")
        placer = DetourPlacer(
            direct,
            reach,
            lambda service: [peer],
            lambda name: True,
            "norte",
            VirtualClock(VirtualTime()),
            random.Random(2),
        )
        request = SimpleNamespace(service="assist", forwarded_by="")
        return placer.search(request, excluded)

    def test_search_of_a_node_that_is_cut_off_takes_a_peer(self):
        placement = self.search(is_lost=True)
        self.assertEqual((placement.candidate.name, placement.is_detour), ("n2", True))

    def test_search_takes_neither_a_lost_peer_nor_one_beside_its_own_links(self):
        self.assertIsNone(self.search(is_lost=False))
        self.assertIsNone(self.search(is_lost=True, excluded=frozenset({"n2"})))


if __name__ == "__main__":
    unittest.main()
