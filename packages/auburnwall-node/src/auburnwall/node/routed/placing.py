"""Builds what gives requests their slots: the placers, and this node's slot broker."""

from collections import Counter
from contextlib import closing

from auburnwall.routing.brokered_placer import BrokeredPlacer
from auburnwall.routing.detour import DetourPlacer
from auburnwall.routing.placer import Placer
from auburnwall.routing.rate_limits import RateLimitGate
from auburnwall.routing.slot_broker import SlotBroker
from auburnwall.routing.warmup import WarmupGate
from auburnwall.wire.client import PeerPool
from auburnwall.wire.peer import Routed

from .brokers import ASK_TIMEOUT_S, WAITING_ASK_TIMEOUT_S, Brokers
from .views import DataCenterView, RoutingView


class Placing:
    """The placers of a node.

    ``is_ranked(request)`` returns whether ranks are told apart for its service.
    ``placer`` is for the requests of its callers. ``brokers`` grants slots to other
    nodes and asks them for slots. ``view_parts`` are the arguments of a
    ``RoutingView`` without the data centre.
    """

    def __init__(self, node, view_parts, in_flight, stack):
        cfg, clock, rng = node.cfg, node.clock, node.rng
        view = RoutingView(cfg.data_center, *view_parts)
        local = Placer(
            view,
            in_flight,
            WarmupGate(cfg.node, lambda: node.fleet.nodes, clock),
            RateLimitGate(cfg.node, lambda: node.fleet.nodes, clock),
            clock,
            rng,
            node.metrics,
            node.start_times.start_estimate,
        )
        # Of the requests to a cold server, the broker sends the share of one sender; of
        # those to a server with a limit, it sends all.
        broker_gates = (
            WarmupGate(cfg.node, lambda: (cfg.node,), clock),
            RateLimitGate(cfg.node, lambda: (cfg.node,), clock),
        )
        broker_view = DataCenterView(cfg.data_center, *view_parts)
        self.broker = SlotBroker(
            Placer(
                broker_view,
                in_flight,
                *broker_gates,
                clock,
                rng,
                node.metrics,
                node.start_times.start_estimate,
            ),
            lambda name: name == cfg.node or name in node.peers.not_lost(),
            clock,
        )
        quick_pool, waiting_pool = (
            stack.enter_context(closing(PeerPool(timeout_s=timeout_s, service=Routed)))
            for timeout_s in (ASK_TIMEOUT_S, WAITING_ASK_TIMEOUT_S)
        )
        self.brokers = Brokers(
            node.identity,
            node.fleet,
            node.peers,
            node.fleet_reach.is_cut_off,
            self.broker,
            quick_pool,
            waiting_pool,
            clock,
            node.tasks,
            node.lateness,
        )
        self._brokered = BrokeredPlacer(local, view, self.brokers, clock)
        self.placer = DetourPlacer(
            self._brokered,
            node.reach,
            node.fleet_reach.peers_reaching,
            lambda name: name in node.peers.live(),
            cfg.data_center,
            clock,
            rng,
        )
        self._in_flight, self._view = in_flight, view
        self.is_ranked = view.is_ranked

    def expected_time_s(self, request):
        """Return how long a server takes for such a request, 0 if it is not known.

        A stream takes the time to its start, as measured, and the time for its events.
        """
        to_start_s = self._view.expected_time_to_start_s(request)
        if not request.route.streams:
            return to_start_s
        return to_start_s + self._view.slot_usage(request).slot_time_s

    def slots_in_use(self):
        """Return the number of requests by group that this node accounts for.

        These are the requests that it has placed itself, those to which its broker has
        granted slots, and its own ones whose broker is lost.
        """
        counts = Counter(self._in_flight.slots_in_use)
        counts.update(self._brokered.unaccounted_requests())
        return dict(counts)
