"""Requests that a peer serves while their node reaches no backend server."""

import gevent.monkey

gevent.monkey.patch_all()

import random  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402
from types import SimpleNamespace  # noqa: E402

import gevent  # noqa: E402

from auburnwall.base.clock import SystemClock  # noqa: E402
from auburnwall.fleet.formation.records import NodeRecord  # noqa: E402
from auburnwall.node.routed.entry import EntryPoints  # noqa: E402
from auburnwall.node.routed.settings import RoutedSettings  # noqa: E402
from auburnwall.routing.detour import DetourPlacer  # noqa: E402
from auburnwall.routing.exceptions import OverloadedError  # noqa: E402
from auburnwall.routing.stop_time import stopping_error  # noqa: E402

from .support import KEY, FrontWithServers, config, send_call, wait_until  # noqa: E402

PIECES = 10


class DetourTests(unittest.TestCase):
    """One node is cut off from its servers; two peers reach theirs."""

    def setUp(self):
        self.peers = [self.enterContext(FrontWithServers()) for _ in range(2)]
        self.front = self.enterContext(FrontWithServers(peers=self.peers))
        self.front.reach.cut_off = True

    def call(self, path, method="POST", number=1, **headers):
        return send_call(self.front.address, method, path, f"r-{number}", **headers)

    def seen(self, service):
        return [
            request
            for peer in self.peers
            for server in getattr(peer, service)
            for request in server.seen
        ]

    def test_stream_arrives_whole_with_the_server_s_seal(self):
        status, headers, body = self.call("/ask/x")
        self.assertEqual((status, body.count(b"data: piece-")), (200, PIECES))
        self.assertTrue(headers["X-Server-Seal"].startswith("seal-of-assist"))
        self.assertEqual(headers.get_all("X-Attempt-Id"), ["r-1"])
        self.assertEqual(self.front.detours.running_count(), 0)

    def test_server_gets_the_request_as_without_a_detour(self):
        self.call("/look/x?a=%20b", method="GET", **{"X-Deadline-Ms": "900"})
        (request,) = self.seen("desks")
        headers = request["headers"]
        self.assertEqual(headers["X-Tenant"], "blue")
        self.assertEqual(headers["X-Attempt-Id"], "r-1")
        self.assertLessEqual(int(headers["X-Deadline-Ms"]), 900)
        own = [n for n in headers if n.lower().startswith(("auburn", "authoriz"))]
        self.assertEqual(own, [])

    def test_requests_are_spread_over_the_peers(self):
        calls = [gevent.spawn(self.call, "/ask/x", number=n) for n in range(8)]
        self.assertEqual([call.get()[0] for call in calls], [200] * 8)
        for peer in self.peers:
            self.assertEqual(sum(len(engine.seen) for engine in peer.engines), 4)

    def test_refusal_of_the_peer_reaches_the_caller_with_its_time(self):
        for peer in self.peers:
            for engine in peer.engines:
                engine.faults, engine.pause_s = {"pause"}, 7.0
        self.call("/ask/x")
        status, headers, _ = self.call("/ask/x", number=2)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0.0)

    def test_peer_that_refuses_connections_costs_no_request(self):
        self.peers[0].server.stop()
        for number in range(4):
            status = self.call("/book/x", number=number)[0]
            self.assertEqual(status, 200)

    def test_stream_of_a_peer_that_is_lost_goes_on_at_another(self):
        """The peer is frozen: its connections stay open, and nothing arrives."""
        for peer in self.peers:
            for engine in peer.engines:
                engine.event_s = 0.1
        call = gevent.spawn(self.call, "/ask/x")
        wait_until(lambda: self.seen("engines"))
        gevent.sleep(0.25)
        frozen = next(n for n, p in enumerate(self.peers) if p.in_flight.slots_in_use)
        for engine in self.peers[frozen].engines:
            engine.event_s = 60.0
        self.front.lost_peers.add(f"peer-{frozen}")
        status, _, body = call.get(timeout=5.0)
        self.assertEqual((status, body.count(b"data: piece-")), (200, PIECES))

    def test_booking_runs_once_though_its_answer_is_lost_on_the_way(self):
        for peer in self.peers:
            for desk in peer.desks:
                desk.faults = {"unsealed"}
        status, _, body = self.call("/book/x")
        self.assertEqual(status, 502)
        self.assertIn(b"unknown", body)
        self.assertEqual(len(self.seen("desks")), 1)

    def test_failure_of_a_peer_does_not_show_that_a_request_is_sound(self):
        """Otherwise the crashes under it would count for nothing."""
        for peer in self.peers:
            for desk in peer.desks:
                desk.faults = {"unsealed"}
        self.assertEqual(self.call("/book/x")[0], 502)
        self.assertEqual(len(self.front.crash_evidence._sound_at), 0)

    def test_request_takes_one_detour_at_most(self):
        for peer in self.peers:
            peer.reach.cut_off = True
            peer._peers = [self.front]
        self.assertEqual(self.call("/ask/x")[0], 200)
        self.assertEqual(len(self.seen("engines")), 1)

    def test_request_runs_on_no_more_servers_than_its_route_allows(self):
        """The first attempt was sent before the links were lost."""
        self.front.reach.cut_off = False
        for server in self.front.desks:
            server.faults = {"fail"}
        for peer in self.peers:
            for desk in peer.desks:
                desk.faults = {"fail"}
        first = gevent.spawn(self.call, "/look/x", "GET")
        wait_until(lambda: any(desk.seen for desk in self.front.desks))
        self.front.reach.cut_off = True
        first.get()
        own = [request for desk in self.front.desks for request in desk.seen]
        self.assertLessEqual(len(own) + len(self.seen("desks")), 2)

    def test_demand_and_retry_budget_count_the_request_once(self):
        self.call("/ask/x")
        fronts = [self.front, *self.peers]
        self.assertEqual(sum(len(f.budget._requests) for f in fronts), 1)
        self.assertEqual([f.gateway._demand.has_traffic for f in fronts].count(True), 1)

    def test_caller_that_leaves_ends_the_request_at_the_server(self):
        for peer in self.peers:
            for engine in peer.engines:
                engine.event_s = 0.3
        engines = [engine for peer in self.peers for engine in peer.engines]
        with socket.create_connection(self.front.address.split(":")) as sock:
            sock.sendall(
                b"POST /ask/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r-1\r\n"
                b"Authorization: Bearer " + KEY.encode() + b"\r\n\r\n"
            )
            wait_until(lambda: any(engine.running for engine in engines))
        wait_until(lambda: not any(engine.running for engine in engines), 1.0)
        self.assertEqual(self.front.detours.running_count(), 0)

    def test_without_a_peer_the_node_tries_its_own_links(self):
        front = self.enterContext(FrontWithServers(config()))
        front.reach.cut_off = True
        status = send_call(front.address, "POST", "/book/x", "r-9")[0]
        self.assertEqual(status, 200)


class EntryPointsTests(unittest.TestCase):
    """The directory names nodes that reach the servers, if there are any."""

    def addresses(self, *lost_nodes):
        names = [f"n{number}" for number in range(4)]
        nodes = {
            name: NodeRecord(name, "", name, "", "norte" if name < "n2" else "sur")
            for name in names
        }
        statuses = {
            name: SimpleNamespace(
                node=name,
                ready=True,
                stopping=False,
                lost_services=("assist",) if name in lost_nodes else (),
            )
            for name in names
        }
        own = statuses.pop("n0")
        entry_points = EntryPoints(
            SimpleNamespace(nodes=nodes),
            SimpleNamespace(live=lambda: statuses),
            lambda: own,
            RoutedSettings,
        )
        return entry_points.addresses("norte")

    def test_nodes_without_links_are_left_out(self):
        self.assertEqual(self.addresses(), ["n0", "n1"])
        self.assertEqual(self.addresses("n0"), ["n1", "n2", "n3"])
        self.assertEqual(self.addresses("n0", "n1", "n2"), ["n3"])

    def test_all_are_named_if_none_has_links(self):
        self.assertEqual(self.addresses("n0", "n1", "n2", "n3"), ["n0", "n1"])


class StopTests(unittest.TestCase):
    """The links are lost during a wait for a slot, which then ends with an error."""

    def place(self, error):
        """Return the placement at a peer; raises ``error`` without one."""
        reach = SimpleNamespace(is_lost=lambda service: is_lost)
        is_lost = False

        def place_directly(*args):
            nonlocal is_lost
            is_lost = True
            raise error

        peer = NodeRecord("peer-0", "peer-0-1", "127.0.0.1:1", "", "norte")
        detours = DetourPlacer(
            SimpleNamespace(place=place_directly),
            reach,
            lambda service: [peer],
            lambda name: True,
            "norte",
            SystemClock(),
            random.Random(1),
        )
        request = SimpleNamespace(forwarded_by="", service="desk")
        return detours.place(request)

    def test_request_that_has_no_slot_goes_to_a_peer(self):
        self.assertTrue(self.place(OverloadedError("full", 1.0)).is_detour)

    def test_request_that_a_stop_has_refused_goes_to_no_peer(self):
        """Guards against a detour for which the stop leaves no time."""
        with self.assertRaises(OverloadedError) as caught:
            self.place(stopping_error("this node is stopping"))
        self.assertEqual(caught.exception.step, "stop")


if __name__ == "__main__":
    unittest.main()
