"""Build the components of a routed node and start their tasks."""

import random
from contextlib import closing
from functools import partial

from auburnwall.base import logs
from auburnwall.base.clock import PauseDetector, SystemClock
from auburnwall.base.lateness import LoopLateness
from auburnwall.base.tasks import run_periodically, run_restarting
from auburnwall.fleet.candidate_index import CandidateIndex
from auburnwall.fleet.formation.controller import FormationController
from auburnwall.fleet.formation.election import Election
from auburnwall.fleet.formation.knowledge import PlannerKnowledge
from auburnwall.fleet.formation.member_monitor import MemberMonitor
from auburnwall.fleet.formation.records import FleetState, FleetWriter
from auburnwall.fleet.registrations import Registry
from auburnwall.fleet.server_notices import ServerNotices
from auburnwall.fleet.server_reach import RECHECK_INTERVAL_S, ServerReach
from auburnwall.routing.answer_start import TimeToStart
from auburnwall.routing.channels import ChannelPool
from auburnwall.routing.crash_evidence import CrashEvidence
from auburnwall.routing.forwarder import Forwarder, ForwarderDeps
from auburnwall.routing.in_flight import InFlightRequests
from auburnwall.routing.shared_retry_budget import SharedRetryBudget
from auburnwall.routing.stop_time import StopTime
from auburnwall.state.proposer import new_incarnation
from auburnwall.wire.client import PeerPool
from auburnwall.wire.peer import Routed
from auburnwall.wire.peer.ttypes import Pulse

from ..identity import Identity
from .announcement import Announcement
from .blocked_parts import BlockedParts
from .connections import CallerConnections, StepTrackingPlacer
from .demand import DemandMeter
from .fleet_load import limits_to_wire
from .fleet_reach import FleetReach
from .gateway import Gateway
from .metrics import RoutedMetrics, add_gauges
from .peers import LOST_NODE_INTERVAL_S, REPORT_PERIOD_S, Peers
from .placing import Placing
from .servers import build_servers
from .settings_reload import SettingsReload
from .shutdown import GracefulShutdown
from .source import ConfigSource
from .start_gate import StartGate
from .start_stages import SOCKETS_OPEN, StartStages, checks_of
from .start_times import SLOW_CHECK_INTERVAL_S, StartTimes
from .table_keeper import CHECK_INTERVAL_S as AGE_CHECK_INTERVAL_S
from .table_readers import (
    FLEET_TABLE,
    OPERATOR_TABLE,
    SERVER_TABLE,
    apply_bounds,
    build_keepers,
    build_readers,
    build_replicas,
)
from .version_confirmation import VersionConfirmation
from .views import PlanningView, SuspectCandidates

# Timeout of a call to a peer, in seconds.
PEER_TIMEOUT_S = 0.8
# Planning interval, in seconds. A plan for several dozen groups takes a few ms.
PLANNING_INTERVAL_S = 0.15
# Interval at which this node checks whether it must become the planner, in seconds.
ELECTION_INTERVAL_S = 0.3
# Intervals at which call loops for new peers are started, the averages of demand are
# updated and idle connections are closed, in seconds.
PEERS_INTERVAL_S, DEMAND_INTERVAL_S, SWEEP_INTERVAL_S = 0.25, 1.0, 1.0
# Interval at which the planner removes unreachable nodes, and interval at which the
# settings are read again, in seconds. Settings may change without a SIGHUP.
NODE_REMOVAL_INTERVAL_S, SETTINGS_INTERVAL_S = 5.0, 2.0
# Interval at which slots are freed whose requests have ended, in seconds.
GRANT_CHECK_INTERVAL_S = 0.5
# Interval at which the evidence against prompt parts is evaluated, in seconds.
CRASH_EVIDENCE_INTERVAL_S = 0.1
# Interval between attempts to write this node's record, in seconds.
ANNOUNCE_INTERVAL_S = 0.3
# Interval between two checks whether the fleet table was read, in seconds.
FIRST_READ_CHECK_INTERVAL_S = 0.01
# Pause of this process after which its table copies count as outdated, in seconds.
MAX_PAUSE_S = 1.0
# Maximum age of the table copies from which this node may plan, in seconds.
MAX_PLANNING_AGE_S = 4.0


class RoutedNode:
    """All components of a routed node; ``tasks`` owns its greenlets."""

    def __init__(
        self,
        cfg,
        platform,
        tasks,
        stack,
        load_settings,
        clock=None,
        rng=None,
        stages=None,
    ):
        self.settings = SettingsReload(cfg, load_settings)
        self.tasks = tasks
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self.stages = stages or StartStages(self.clock)
        self.lateness = LoopLateness(self.clock)
        self.platform = platform
        self._stack = stack
        self.identity = Identity(
            cfg.node,
            new_incarnation(),
            cfg.front_address,
            cfg.peer_address,
            cfg.data_center,
        )
        self.replicas = build_replicas(platform, self.clock)
        self._build_fleet()
        self._build_routing()
        self._pause_detector = PauseDetector(self.clock, MAX_PAUSE_S)

    @property
    def cfg(self):
        """Return the settings in force, as ``RoutedSettings``."""
        return self.settings.cfg

    def pulse(self):
        """Return this node's heartbeat, a ``Pulse`` without the nodes behind it."""
        config = self.source.status()
        return Pulse(
            node=self.identity.node,
            incarnation=self.identity.incarnation,
            ready=self.is_ready(),
            stopping=self.gateway.stop_begun,
            reads_tables=self._reads_tables(),
            table_ends={name: r.end for name, r in self.replicas.items()},
            running=self.placing.slots_in_use(),
            demand=self.demand.groups_needed(),
            newest_demand=(
                self.demand.newest_groups()
                if self.planning_view.reports_newest_demand()
                else None
            ),
            suspects=self.suspects.own_suspects(),
            has_traffic=self.demand.has_traffic,
            leaving=self.notices.leaving(),
            limits=limits_to_wire(self.notices.own_limits()),
            crashes=self.crash_evidence.crashes_to_tell(),
            sound_parts=self.crash_evidence.sound_parts_to_tell(),
            cut_off=self.fleet_reach.is_cut_off(),
            lost_services=self.reach.lost_services,
            slow_paces=self.start_times.paces_to_tell(),
            config_version=config.version,
            config_is_current=config.is_current,
        )

    def is_ready(self):
        """Return whether callers may be sent to this node."""
        return (
            self.source.table is not None
            and self.replicas[SERVER_TABLE].end >= 0
            and self.replicas[FLEET_TABLE].end >= 0
            and not self.gateway.stop_begun
        )

    def start(self):
        """Start the servers and all tasks that run until the node stops."""
        cfg, spawn = self.cfg, self.tasks.spawn
        for server in build_servers(self):
            server.start()
            self._stack.callback(server.stop)
        self.stages.note(SOCKETS_OPEN)
        self.start_gate.open()
        spawn(self.start_gate.watch)
        for reader in self.readers.values():
            spawn(
                run_restarting, self.clock, reader.run, f"table {reader.replica.table}"
            )
        spawn(run_restarting, self.clock, self.in_flight.watch, "progress watch")
        for delay_s, function, name in (
            (MAX_PAUSE_S / 4, self._check_for_pause, "pause watch"),
            (LOST_NODE_INTERVAL_S, self.peers.call_lost_node, "lost nodes"),
            (ELECTION_INTERVAL_S, self._step_election, "election"),
            (PLANNING_INTERVAL_S, self._plan, "plan"),
            (DEMAND_INTERVAL_S, self.demand.step, "demand"),
            (SWEEP_INTERVAL_S, self.channels.close_expired, "idle connections"),
            (NODE_REMOVAL_INTERVAL_S, self._remove_unreachable_nodes, "nodes gone"),
            (GRANT_CHECK_INTERVAL_S, self.placing.broker.expire_grants, "grants"),
            (RECHECK_INTERVAL_S, self.reach.recheck, "links"),
            (SLOW_CHECK_INTERVAL_S, self.start_times.log_changes, "paces"),
            (CRASH_EVIDENCE_INTERVAL_S, self.blocked_parts.step, "crash evidence"),
            (SETTINGS_INTERVAL_S, self.settings.check, "settings"),
            (AGE_CHECK_INTERVAL_S, self._check_table_ages, "table ages"),
        ):
            spawn(run_periodically, self.clock, delay_s, function, name)
        spawn(self._join_fleet)
        logs.event(
            "started",
            front=cfg.front_address,
            peer=cfg.peer_address,
            incarnation=self.identity.incarnation,
        )
        self.stages.begin_logging()
        spawn(self.stages.watch, checks_of(self))

    def _join_fleet(self):
        """Announce this node and meet its peers as soon as the fleet table is read.

        Their tasks do nothing before. If they started with the others, their first
        useful round would be up to a whole interval after the read.
        """
        while self.replicas[FLEET_TABLE].end < 0:
            self.clock.sleep(FIRST_READ_CHECK_INTERVAL_S)
        for delay_s, function, name in (
            (ANNOUNCE_INTERVAL_S, self._announce_node, "announcement"),
            (PEERS_INTERVAL_S, partial(self.peers.call_new_peers, self.tasks), "peers"),
            (REPORT_PERIOD_S, self.peers.report, "report"),
        ):
            self.tasks.spawn(run_periodically, self.clock, delay_s, function, name)

    def _build_fleet(self):
        cfg, platform, clock = self.cfg, self.platform, self.clock
        self.metrics = RoutedMetrics()
        self.source = ConfigSource(
            self.replicas[OPERATOR_TABLE],
            platform.codec,
            cfg.config_notice_s,
            self.metrics.record_version,
        )
        self.registry = Registry(
            self.replicas[SERVER_TABLE], platform.decode_registration, clock
        )
        self.notices = platform.engine.notices = ServerNotices(self.registry, clock)
        self.channels = self._stack.enter_context(closing(ChannelPool(clock)))
        self.reach = ServerReach(
            self.registry, self.channels.can_connect, clock, self.rng, self.tasks
        )
        self.reach.listeners.append(self._apply_reach)
        self.fleet = FleetState(self.replicas[FLEET_TABLE])
        self.writer = FleetWriter(self.fleet, platform.store, clock, self.identity)
        pool = PeerPool(timeout_s=PEER_TIMEOUT_S, service=Routed)
        self._stack.enter_context(closing(pool))
        self.peers = Peers(
            self.identity,
            self.fleet,
            pool,
            self.pulse,
            clock,
            cfg.pulse_s,
            cfg.max_mesh_nodes,
            self.lateness,
        )
        self.peers.config_status = self.source.status
        self.source.is_confirmed = VersionConfirmation(
            self.replicas[OPERATOR_TABLE],
            self.source.newest_version,
            self.peers.config_statuses,
            clock,
        ).is_over
        self.fleet_reach = FleetReach(
            self.reach, self.peers, self.fleet, self.source, self.rng
        )
        self.announcement = Announcement(
            self.identity,
            self.fleet,
            self.writer,
            self.peers,
            clock,
            lambda: self.cfg.cores,
        )
        self.election = Election(self.fleet, self.writer, self.peers, self.identity)
        self.knowledge = PlannerKnowledge(self.fleet, cfg.first_start, clock)
        self.member_monitor = MemberMonitor(
            self.registry,
            platform.engine,
            self.reach,
            self.fleet_reach.is_reached_by_peer,
            clock,
            self.tasks,
        )
        self.demand = DemandMeter(clock)
        self.planning_view = PlanningView(
            self.source,
            self.peers,
            cfg.first_start,
            self.demand.ranks.lowest,
            lambda: self.cfg.plan_ahead,
        )
        self.formation_controller = FormationController(
            self.fleet,
            self.writer,
            self.registry,
            self.member_monitor,
            platform.engine,
            self.planning_view,
            clock,
            self.tasks,
        )
        self.readers = build_readers(self)
        self.keepers = build_keepers(self)

    def _build_routing(self):
        cfg, clock = self.cfg, self.clock
        self.suspects = SuspectCandidates(
            clock, self.reach, self._service_of, settle_s=self.peers.settle_s
        )
        self.suspects.listeners.append(self.member_monitor.suspect_group)
        self.peers.news.on_suspects = self._suspect_for_peer
        self.peers.news.on_sound = self.suspects.end_reports
        self.peers.news.on_leaving = self.notices.note_peer_leaving
        self.peers.news.on_limits = self.notices.note_peer_limits
        self.crash_evidence = CrashEvidence(clock, self.peers.settle_s)
        self.peers.news.on_crashes = self.crash_evidence.note_peers
        self.blocked_parts = BlockedParts(
            self.crash_evidence, self.fleet, self.writer, clock
        )
        self.stop_time = StopTime(clock)
        self.in_flight = InFlightRequests(
            clock, self.suspects.suspect, self.stop_time, self.lateness
        )
        self.suspects.last_progress_at = self.in_flight.last_progress_at
        self.time_to_start = TimeToStart()
        self.candidate_index = CandidateIndex(
            self.registry, self.fleet, lambda: self.source.evacuated_data_centers
        )
        self.start_times = StartTimes(
            self.source, self._requests_at, clock, self.lateness
        )
        self.in_flight.new_timing = self.start_times.new_timing
        self.peers.news.on_paces = self.start_times.note_peer_paces
        view_parts = (
            self.source,
            self.candidate_index,
            self.registry,
            self.peers,
            self.in_flight,
            self.suspects,
            self.time_to_start,
            self.notices,
        )
        self.placing = Placing(self, view_parts, self.in_flight, self._stack)
        self.stop_time.expected_s = self.placing.expected_time_s
        self.connections = CallerConnections(clock, self.metrics)
        self.placer = StepTrackingPlacer(
            self.placing.placer, self.connections, self.stages
        )
        header_names = self.platform.header_names
        deps = ForwarderDeps(
            self.placer,
            self.channels,
            self.in_flight,
            header_names,
            clock,
            self.time_to_start,
            self.notices,
            self.crash_evidence,
            self.reach,
            cfg.node,
            self.placing.is_ranked,
        )
        self._retry_budgets = {}
        self.start_gate = StartGate(self.replicas, clock, self.rng)
        self.gateway = Gateway(
            self.source,
            Forwarder(deps, self._retry_budget, self._record_stream),
            header_names,
            clock,
            self.rng,
            self.metrics,
            self.demand,
            self.stop_time,
            self.stages,
            self.start_gate,
        )
        self.shutdown = GracefulShutdown(
            self.gateway, self.writer, clock, cfg, self.tasks
        )
        self.shutdown.log_cut_off = self.connections.log_cut_off
        self.settings.listeners.append(self._apply_settings)
        add_gauges(self.metrics, self)

    def _reads_tables(self):
        """Return whether this node has the tables and knows enough to plan.

        It reads all of them from the store itself, and its copies are recent.
        """
        ages = [replica.read_age_s() for replica in self.replicas.values()]
        return (
            all(reader.reads_store for reader in self.readers.values())
            and all(a is not None and a < MAX_PLANNING_AGE_S for a in ages)
            and self.knowledge.is_sufficient()
        )

    def _retry_budget(self, service):
        if service not in self._retry_budgets:
            cfg = self.cfg
            self._retry_budgets[service] = SharedRetryBudget(
                cfg.repeat_share,
                cfg.repeat_reserve,
                cfg.repeat_window_s,
                lambda: len(self.fleet.nodes),
                self.clock,
            )
        return self._retry_budgets[service]

    def _record_stream(self, request, events):
        service = self.source.config.services.get(request.service)
        if service is not None and service.engine is not None:
            self.demand.record_answer(request, events, service.engine.tokens_per_event)

    def _suspect_for_peer(self, names, node):
        for name in names:
            if name in self.fleet.groups:
                self.suspects.suspect_for_peer(name, node)

    def _service_of(self, candidate_name):
        """Return the service of a group or of a plain server, empty if unknown."""
        known = self.fleet.groups.get(candidate_name) or self.registry.servers.get(
            candidate_name
        )
        return known.service if known else ""

    def _requests_at(self, candidate):
        """Return the known number of requests of all nodes at a candidate."""
        name = candidate.name
        return self.in_flight.count(name) + self.peers.load(name)

    def _apply_reach(self, service, lost):
        """Drop what this node believes of servers because its own links were cut."""
        if lost:
            self.channels.close_idle()
        else:
            self.in_flight.restart_stall_timers()
            self.suspects.forget_own()

    def _check_for_pause(self):
        if self._pause_detector.check_pause():
            logs.warn("paused", step="pause watch")
            for replica in self.replicas.values():
                replica.read_at = None

    def _check_table_ages(self):
        for keeper in self.keepers.values():
            keeper.check()

    def _announce_node(self):
        if not self.gateway.stop_begun:
            self.announcement.announce()

    def _remove_unreachable_nodes(self):
        if self.writer.is_planner() and self._reads_tables():
            self.announcement.remove_unreachable_nodes()

    def _apply_settings(self, cfg):
        self.shutdown.cfg = cfg
        self._retry_budgets.clear()  # New ones get the changed settings.
        apply_bounds(self)

    def reload(self):
        """Read the settings again now; this is the SIGHUP handler."""
        logs.event("reload", step="reload")
        self.settings.check()

    def _step_election(self):
        if self._reads_tables() and not self.gateway.stop_begun:
            self.election.step()

    def _plan(self):
        if self.gateway.stop_begun:
            return
        if self.fleet_reach.is_cut_off() and self.peers.reaching():
            # A peer that reaches servers plans instead.
            self.formation_controller.pause()
            return
        if self._reads_tables():
            self.formation_controller.step()
        elif self._no_node_reads_store():
            self.formation_controller.stage_without_tables()

    def _no_node_reads_store(self):
        """Return whether no node reads the store; false if there are no live peers."""
        statuses = self.peers.live().values()
        own = any(reader.reads_store for reader in self.readers.values())
        return bool(statuses) and not own and not any(s.reads_tables for s in statuses)
