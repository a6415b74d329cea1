"""Build the parts of a routed node and start their tasks."""

import random
import signal
from contextlib import ExitStack, closing
from functools import partial
from typing import NamedTuple

import gevent

from auburnwall.base import logs
from auburnwall.base.clock import PauseDetector, SystemClock
from auburnwall.base.exceptions import AuburnwallError
from auburnwall.base.tasks import TaskGroup, repeat, supervise
from auburnwall.fleet.candidate_index import CandidateIndex
from auburnwall.fleet.formation.controller import FormationController
from auburnwall.fleet.formation.election import Election
from auburnwall.fleet.formation.member_monitor import MemberMonitor
from auburnwall.fleet.formation.records import FleetState, FleetWriter, NodeRecord
from auburnwall.fleet.registrations import Registry
from auburnwall.routing.answer_start import AnswerStartTimes
from auburnwall.routing.channels import ChannelPool
from auburnwall.routing.forwarder import Forwarder, ForwarderDeps
from auburnwall.routing.in_flight import InFlightRequests
from auburnwall.routing.placer import Placer
from auburnwall.routing.shared_retry_budget import SharedRetryBudget
from auburnwall.routing.warmup import WarmupGate
from auburnwall.state.exceptions import StateError
from auburnwall.state.proposer import new_incarnation
from auburnwall.state.table.replica import TableReplica
from auburnwall.wire.client import PeerPool
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer import Routed
from auburnwall.wire.peer.ttypes import Pulse
from auburnwall.wire.server import PeerServer

from ..identity import Identity
from ..webserver import new_server
from .demand import DemandMeter
from .entry import EntryPoints, new_directory_app, new_ready_app
from .front import new_front_server
from .gateway import Gateway
from .metrics import RoutedMetrics
from .peers import Peers, RoutedHandler
from .shutdown import GracefulShutdown
from .source import ConfigSource
from .tables import LONG_POLL_S, StoreReaders, TableReader
from .views import PlanningView, RoutingView, SuspectGroups

OPERATOR_TABLE, SERVER_TABLE, FLEET_TABLE = "operator", "servers", "fleet"

# Time that a call to a peer may take, in seconds.
PEER_TIMEOUT_S = 0.8
# Time between two plans, in seconds; a plan over some dozens of groups takes a few ms.
PLAN_S = 0.15
# Time between two looks at who plans, in seconds.
ELECTION_S = 0.3
# Time between two looks at peers, demand and idle connections, in seconds.
PEERS_S, DEMAND_S, SWEEP_S = 0.25, 1.0, 1.0
# Time between two looks at which nodes are gone for good, and at the settings, in
# seconds; these may change without a signal.
FORGET_S, SETTINGS_S = 5.0, 2.0
# Time between two tries to write this node's record, in seconds.
ANNOUNCE_S = 0.3
# Gap in running after which everything that the node believes is read anew, in seconds.
PAUSE_S = 1.0
# Age of a copy of the tables up to which this node may plan, in seconds.
PLANNING_AGE_S = 4.0
# Time between two readings of the fleet's table by a node that does not plan, in
# seconds; the heads' own registrations, which it waits for, are read less often.
FLEET_PAUSE_S = 0.3
# Time for log lines to be written out at the end, in seconds.
LOG_DRAIN_S = 0.2


# Settings that a running node cannot change: they would need new sockets.
FIXED_SETTINGS = frozenset(
    {
        "node",
        "data_center",
        "front_address",
        "ready_address",
        "directory_address",
        "peer_address",
        "store_address",
        "log_format",
        "log_level",
        "pulse_s",
        "first_start",
    }
)


class Platform(NamedTuple):
    """What a routed node reaches the world through.

    ``codec`` decodes the operators' table, ``decode_registration`` a server's entry;
    ``directory`` is a ``DirectoryCodec``, ``ready_path`` where readiness is asked.
    """

    store: object
    engine: object
    header_names: object
    codec: object
    decode_registration: object
    directory: object
    ready_path: str


class RoutedNode:
    """Everything a routed node is made of; ``tasks`` owns what runs."""

    def __init__(self, cfg, platform, tasks, stack, read_cfg, clock=None, rng=None):
        self.cfg = cfg
        self._read_cfg = read_cfg
        self._cfg_as_read = cfg
        self._bad_settings = ""
        self.tasks = tasks
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self._platform = platform
        self._stack = stack
        self.identity = Identity(
            cfg.node,
            new_incarnation(),
            cfg.front_address,
            cfg.peer_address,
            cfg.data_center,
        )
        self._build_tables()
        self._build_fleet()
        self._build_routing()
        self._pause = PauseDetector(self.clock, PAUSE_S)

    def pulse(self):
        """Return this node's pulse."""
        return Pulse(
            node=self.identity.node,
            incarnation=self.identity.incarnation,
            ready=self.is_ready(),
            stopping=self.gateway.stop_begun,
            reads_tables=self._reads_tables(),
            table_ends={name: r.end for name, r in self.replicas.items()},
            running=dict(self.in_flight.running),
            demand=self.demand.rates(),
            suspects=self.suspects.own_suspects(),
            has_traffic=self.demand.has_traffic,
        )

    def is_ready(self):
        """Return whether this node may be sent callers."""
        return (
            self.source.table is not None
            and self.replicas[SERVER_TABLE].end >= 0
            and self.replicas[FLEET_TABLE].end >= 0
            and not self.gateway.stop_begun
        )

    def start(self):
        """Start the servers and all tasks that run for the life of the node."""
        cfg, spawn = self.cfg, self.tasks.spawn
        for server in self._servers():
            server.start()
            self._stack.callback(server.stop)
        for reader in self.readers.values():
            spawn(supervise, self.clock, reader.run, f"table {reader.replica.table}")
        spawn(supervise, self.clock, self.in_flight.watch, "progress watch")
        for period_s, function, name in (
            (PAUSE_S / 4, self._watch_for_pause, "pause watch"),
            (PEERS_S, partial(self.peers.follow, self.tasks), "peers"),
            (ANNOUNCE_S, self._keep_announced, "announcement"),
            (ELECTION_S, self._step_election, "election"),
            (PLAN_S, self._plan, "plan"),
            (DEMAND_S, self.demand.step, "demand"),
            (SWEEP_S, self.channels.sweep, "idle connections"),
            (FORGET_S, self._forget_nodes, "nodes gone"),
            (SETTINGS_S, self._look_at_settings, "settings"),
        ):
            spawn(repeat, self.clock, period_s, function, name)
        logs.event(
            "started",
            front=cfg.front_address,
            peer=cfg.peer_address,
            incarnation=self.identity.incarnation,
        )

    def _build_tables(self):
        names = (OPERATOR_TABLE, SERVER_TABLE, FLEET_TABLE)
        self.replicas = {
            name: TableReplica(name, self._platform.store, self.clock) for name in names
        }

    def _build_fleet(self):
        cfg, platform, clock = self.cfg, self._platform, self.clock
        self.source = ConfigSource(self.replicas[OPERATOR_TABLE], platform.codec)
        self.registry = Registry(
            self.replicas[SERVER_TABLE], platform.decode_registration, clock
        )
        self.fleet = FleetState(self.replicas[FLEET_TABLE])
        self.writer = FleetWriter(self.fleet, platform.store, clock, self.identity)
        pool = PeerPool(timeout_s=PEER_TIMEOUT_S, service=Routed)
        self._stack.enter_context(closing(pool))
        self.peers = Peers(
            self.identity, self.fleet, pool, self.pulse, clock, cfg.pulse_s
        )
        self.election = Election(self.fleet, self.writer, self.peers, self.identity)
        self.member_monitor = MemberMonitor(
            self.registry, platform.engine, self._reached_by_peer, clock, self.tasks
        )
        self.formation_controller = FormationController(
            self.fleet,
            self.writer,
            self.registry,
            self.member_monitor,
            platform.engine,
            PlanningView(self.source, self.peers, self.pulse, cfg.first_start),
            clock,
            self.tasks,
        )
        self._build_readers()

    def _build_readers(self):
        readers = StoreReaders(self.identity, self.fleet, self.peers, self.writer.plans)

        def reader(table, wait_s, pause_s, after=None, to_follow=lambda: None):
            return TableReader(
                self.replicas[table],
                self.peers,
                self.clock,
                self.rng,
                wait_s=wait_s,
                pause_s=pause_s,
                after=after,
                to_follow=to_follow,
            )

        self.readers = {
            OPERATOR_TABLE: reader(OPERATOR_TABLE, LONG_POLL_S, lambda: 0.0),
            FLEET_TABLE: reader(
                FLEET_TABLE,
                LONG_POLL_S,
                self._fleet_pause,
                to_follow=readers.to_follow,
            ),
            SERVER_TABLE: reader(
                SERVER_TABLE,
                0.0,
                self._registry_pause,
                self.registry.note_read,
                readers.to_follow,
            ),
        }

    def _build_routing(self):
        cfg, clock = self.cfg, self.clock
        self.suspects = SuspectGroups(clock)
        self.suspects.listeners.append(self.member_monitor.suspect_group)
        self.peers.on_suspects = self._take_suspects
        self.in_flight = InFlightRequests(clock, self.suspects.suspect)
        self.suspects.last_progress_at = self.in_flight.last_progress_at
        self.channels = self._stack.enter_context(closing(ChannelPool(clock)))
        self.demand = DemandMeter(clock)
        self.start_times = AnswerStartTimes()
        self.candidate_index = CandidateIndex(
            self.registry, self.fleet, lambda: self.source.data_centers_out
        )
        view = RoutingView(
            cfg.data_center,
            self.source,
            self.candidate_index,
            self.registry,
            self.peers,
            self.in_flight,
            self.suspects,
            self.start_times,
        )
        gate = WarmupGate(cfg.node, lambda: self.fleet.nodes, clock)
        self.placer = Placer(view, self.in_flight, gate, clock, self.rng)
        header_names = self._platform.header_names
        deps = ForwarderDeps(
            self.placer,
            self.channels,
            self.in_flight,
            header_names,
            clock,
            self.start_times,
        )
        self._budgets = {}
        self.metrics = RoutedMetrics()
        self.gateway = Gateway(
            self.source,
            Forwarder(deps, self._budget_of, self._note_stream),
            header_names,
            clock,
            self.rng,
            self.metrics,
            self.demand,
        )
        self.shutdown = GracefulShutdown(
            self.gateway, self.writer, clock, cfg, self.tasks
        )
        self._build_gauges()

    def _build_gauges(self):
        for name, documentation, function in (
            ("running", "Requests under way.", lambda: self.gateway.running),
            ("waiting", "Requests that wait for a place.", self.placer.waiting),
            ("groups", "Groups in the fleet's table.", lambda: len(self.fleet.groups)),
            ("servers", "Registered servers.", lambda: len(self.registry.servers)),
            ("peers", "Peers heard of lately.", lambda: len(self.peers.live())),
            ("connections", "Connections opened.", lambda: self.channels.opened),
        ):
            self.metrics.gauge(f"auburnwall_{name}", documentation, function)

    def _servers(self):
        cfg, platform = self.cfg, self._platform
        host, _, port = cfg.peer_address.rpartition(":")
        handler = RoutedHandler(self.peers, self.pulse, self.replicas, platform.engine)
        entry_points = EntryPoints(self.fleet, self.peers, self.pulse, lambda: self.cfg)
        return (
            PeerServer(host, int(port), handler, Routed),
            new_server(
                cfg.ready_address,
                new_ready_app(platform.ready_path, self.is_ready, self.metrics),
            ),
            new_server(
                cfg.directory_address,
                new_directory_app(platform.directory, entry_points),
            ),
            new_front_server(cfg.front_address, self.gateway, self.clock),
        )

    def _registry_pause(self):
        cfg = self.cfg
        return cfg.planner_registry_s if self.writer.plans() else cfg.registry_s

    def _fleet_pause(self):
        """Let a burst of the planner's records be read at once by the other nodes."""
        return 0.0 if self.writer.plans() else FLEET_PAUSE_S

    def _reads_tables(self):
        ages = [replica.age() for replica in self.replicas.values()]
        return all(reader.reads for reader in self.readers.values()) and all(
            age_s is not None and age_s < PLANNING_AGE_S for age_s in ages
        )

    def _budget_of(self, service):
        if service not in self._budgets:
            cfg = self.cfg
            self._budgets[service] = SharedRetryBudget(
                cfg.repeat_share,
                cfg.repeat_reserve,
                cfg.repeat_window_s,
                lambda: len(self.fleet.nodes),
                self.clock,
            )
        return self._budgets[service]

    def _note_stream(self, request, events):
        service = self.source.config.services.get(request.service)
        if service is not None and service.engine is not None:
            self.demand.record_answer(request, events, service.engine.tokens_per_event)

    def _take_suspects(self, names, node):
        for name in names:
            if name in self.fleet.groups:
                self.suspects.suspect_for_peer(name, node)

    def _reached_by_peer(self, member):
        """Return whether any peer reaches a server that this node does not reach."""
        calls = [
            gevent.spawn(self._peer_reaches, name, member) for name in self.peers.live()
        ]
        gevent.joinall(calls)
        return any(call.value for call in calls)

    def _peer_reaches(self, name, member):
        address = self.peers.address(name)
        try:
            return self.peers.call(address, "reaches", member.server, member.address)
        except PeerUnavailableError as exc:
            logs.event("peer not asked", peer=name, step="reaches", why=exc.detail)
            return False

    def _watch_for_pause(self):
        if self._pause.beat():
            logs.warn("paused", step="pause watch")
            for replica in self.replicas.values():
                replica.complete_at = None

    def _keep_announced(self):
        mine = self.fleet.nodes.get(self.cfg.node)
        if self.gateway.stop_begun or self.replicas[FLEET_TABLE].end < 0:
            return
        if mine is not None and mine.incarnation == self.identity.incarnation:
            return
        record = NodeRecord(
            self.identity.node,
            self.identity.incarnation,
            self.identity.address,
            self.identity.peer_address,
            self.identity.data_center,
        )
        try:
            self.writer.announce(record)
        except StateError as exc:
            logs.event("node not announced", step=exc.step, why=exc.detail)

    def _forget_nodes(self):
        if not self.writer.plans() or not self._reads_tables():
            return
        if names := self.peers.unreachable():
            try:
                self.writer.drop_nodes(names)
            except StateError as exc:
                logs.event("nodes not dropped", step=exc.step, why=exc.detail)
                return
            logs.event("nodes dropped", peers=names)

    def _look_at_settings(self):
        """Take changed settings over; keep the old ones if the new ones are bad."""
        try:
            cfg = self._read_cfg()
        except AuburnwallError as exc:
            if str(exc) != self._bad_settings:
                logs.warn("settings kept", step="reload", why=str(exc))
            self._bad_settings = str(exc)
            return
        self._bad_settings = ""
        if cfg != self._cfg_as_read:
            self._take_settings(cfg)

    def _take_settings(self, cfg):
        changed = {
            name: new
            for name, old, new in zip(cfg._fields, self._cfg_as_read, cfg, strict=True)
            if old != new
        }
        self._cfg_as_read = cfg
        kept = sorted(FIXED_SETTINGS & changed.keys())
        self.cfg = cfg._replace(**{name: getattr(self.cfg, name) for name in kept})
        self.shutdown.cfg = self.cfg
        self._budgets.clear()
        logs.event("settings changed", step="reload", changed=changed, kept=kept)

    def reload(self):
        """Read the settings now, as at SIGHUP."""
        logs.event("reload", step="reload")
        self._look_at_settings()

    def _step_election(self):
        if self._reads_tables() and not self.gateway.stop_begun:
            self.election.step()

    def _plan(self):
        if self.gateway.stop_begun:
            return
        if self._reads_tables():
            self.formation_controller.step()
        elif self._is_store_away():
            self.formation_controller.prepare()

    def _is_store_away(self):
        """Return whether nobody reads the store; others may plan if anybody does."""
        pulses = self.peers.live().values()
        own = any(reader.reads for reader in self.readers.values())
        return bool(pulses) and not own and not any(p.reads_tables for p in pulses)


def run_routed_node(cfg, new_platform, read_cfg):
    """Run a node until it is told to stop.

    ``new_platform(stack)`` returns the ``Platform``; ``read_cfg`` reads the settings
    anew and raises ``AuburnwallError`` if they are bad.
    """
    writer = logs.set_up(cfg.log_format, cfg.log_level, cfg.node, recent=0)
    with ExitStack() as stack:
        tasks = stack.enter_context(TaskGroup())
        node = RoutedNode(cfg, new_platform(stack), tasks, stack, read_cfg)
        gevent.signal_handler(signal.SIGTERM, node.shutdown.begin)
        gevent.signal_handler(signal.SIGINT, node.shutdown.begin)
        gevent.signal_handler(signal.SIGHUP, node.reload)
        node.start()
        node.shutdown.finished.wait()
    logs.event("stopped")
    writer.drain(LOG_DRAIN_S)
