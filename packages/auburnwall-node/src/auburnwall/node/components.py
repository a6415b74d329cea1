"""Build the components of a node and start their tasks."""

import random
from contextlib import closing
from functools import partial
from typing import NamedTuple

import gevent

from auburnwall.base.backoff import Backoff
from auburnwall.base.clock import Clock, PauseDetector, SystemClock
from auburnwall.base.logs import warn
from auburnwall.base.metrics import Metrics
from auburnwall.base.rendezvous import ranked
from auburnwall.base.tasks import run_periodically, run_restarting
from auburnwall.fleet.controller import DataCenterController
from auburnwall.fleet.directory import Directory, GroupView
from auburnwall.fleet.engines.backends.http import HttpEngine
from auburnwall.fleet.engines.base import Engine
from auburnwall.fleet.evidence import Evidence
from auburnwall.fleet.membership import Membership
from auburnwall.fleet.planner.backends import PLANNERS
from auburnwall.fleet.prober import Prober, Roster
from auburnwall.fleet.vmlist.backends.http import HttpVmList
from auburnwall.fleet.vmlist.base import VmList
from auburnwall.routing.at_most_once import AtMostOnce
from auburnwall.routing.choice import TwoChoices
from auburnwall.routing.completions import Completions
from auburnwall.routing.exchange import Exchanges
from auburnwall.routing.retries import RetryBudget
from auburnwall.routing.services import ServiceCalls, ServiceDirectory
from auburnwall.state.claims.service import ClaimService
from auburnwall.state.follower import Follower
from auburnwall.state.leases import LeaseKeeper
from auburnwall.state.log.backends.http import HttpLog
from auburnwall.state.log.base import LogClient
from auburnwall.state.proposer import Proposer, new_incarnation
from auburnwall.state.snapshots import SNAPSHOT_LEASE_NAME, SnapshotStore, Snapshotter
from auburnwall.wire.client import PeerPool

from .burn import BurnRecord
from .drain import NodeDrain
from .gateway import Gateway
from .identity import Identity
from .ownership import Ownership

# Timeout of a call to a peer, in seconds.
PEER_TIMEOUT_S = 1.0
# A call to the owner of a shard of claims times out this much later than the owner's
# own wait for the log, so that the owner's error arrives before the call times out.
CLAIM_TIMEOUT_MARGIN_S = 1.0
# Initial and maximum pause between retries at the log, in seconds.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# Interval between two steps of a data centre controller, and between two checks whether
# each data centre has a controller, in seconds.
CONTROLLER_INTERVAL_S = 0.3
# Interval between two checks whether a snapshot of the state is due, in seconds.
SNAPSHOT_CHECK_INTERVAL_S = 0.5
# Minimum time between two rounds of extra probes for one model, in seconds.
MIN_REPROBE_INTERVAL_S = 0.5
# Interval at which finished and unsent attempts at requests with an idempotency key are
# removed if they are older than the claim window, in seconds.
KEY_EXPIRY_INTERVAL_S = 10.0


class ExternalDeps(NamedTuple):
    """Clock, random source and clients of the systems outside the node.

    Tests replace them with fakes.

    ``claim_peers`` has a longer timeout than ``peers``, as a claim waits for the log.
    """

    clock: Clock
    rng: random.Random
    log: LogClient
    vm_list: VmList
    engine: Engine
    exchanges: Exchanges
    peers: PeerPool
    claim_peers: PeerPool


def new_external_deps(cfg, stack):
    """Return the real backends; closing ``stack`` closes their connections."""
    clock = SystemClock()
    claim_timeout_s = cfg.claim_timeout_s + CLAIM_TIMEOUT_MARGIN_S
    return ExternalDeps(
        clock,
        random.Random(),
        stack.enter_context(closing(HttpLog(cfg.log_url))),
        HttpVmList(cfg.vm_list_url),
        HttpEngine(),
        stack.enter_context(closing(Exchanges(clock))),
        stack.enter_context(closing(PeerPool(timeout_s=PEER_TIMEOUT_S))),
        stack.enter_context(closing(PeerPool(timeout_s=claim_timeout_s))),
    )


class NodeComponents:
    """The components of a node; their tasks run in the task group ``tasks``."""

    def __init__(self, cfg, external_deps, tasks):
        self.cfg = cfg
        self.tasks = tasks
        self._external_deps = external_deps
        self.rng = external_deps.rng
        self.clock = external_deps.clock
        self.identity = Identity(
            cfg.node, new_incarnation(), cfg.address, cfg.peer_address, cfg.data_center
        )
        self.metrics = Metrics()
        self.burn = BurnRecord(self.clock, self.metrics)
        self.log = external_deps.log
        self.peers = external_deps.peers
        self._build_state()
        self._build_fleet()
        self._build_routing()
        self._pause_detector = PauseDetector(self.clock, cfg.pause_s)
        self._reprobed_at = {}

    def start(self):
        """Start the tasks that run until the node stops."""
        cfg, spawn = self.cfg, self.tasks.spawn
        spawn(run_restarting, self.clock, self.follower.run, "follower")
        for delay_s, function, name in (
            (cfg.pause_s / 4, self._watch_for_pause, "pause watch"),
            (cfg.vm_list_s, self.roster.refresh, "VM list"),
            (cfg.heartbeat_s, self._update_membership, "membership"),
            (cfg.heartbeat_s, self._update_fleet_tasks, "fleet"),
            (CONTROLLER_INTERVAL_S, self._start_controllers, "stewards"),
            (SNAPSHOT_CHECK_INTERVAL_S, self._step_snapshotter, "snapshots"),
            (cfg.credit_term_s / 4, self.gateway.renew_credits, "credits"),
            (KEY_EXPIRY_INTERVAL_S, self.at_most_once.remove_expired, "housekeeping"),
        ):
            spawn(run_periodically, self.clock, delay_s, function, name)

    def probe_stale_members(self, model):
        """Probe the members of a model's groups that have no fresh probe results.

        Returns when all probes have finished. Does nothing if the model's last such
        round began less than ``MIN_REPROBE_INTERVAL_S`` ago.
        """
        now = self.clock.monotonic()
        if (
            now - self._reprobed_at.get(model, -MIN_REPROBE_INTERVAL_S)
            < MIN_REPROBE_INTERVAL_S
        ):
            return
        self._reprobed_at[model] = now
        stale_vms = [
            vm
            for group in self.follower.state.groups.values()
            if group.model == model
            for vm in group.vms
            if not self.evidence.fresh(vm)
        ]
        gevent.joinall([gevent.spawn(self.prober.probe_once, vm) for vm in stale_vms])

    def _build_state(self):
        self.follower = Follower(self.log, self.clock, self._backoff())
        self.proposer = Proposer(
            self.log,
            self.follower,
            self.clock,
            self._backoff(),
            self.identity.incarnation,
        )
        self.claims = ClaimService(
            self.identity.node,
            self.log,
            self.follower,
            self._external_deps.claim_peers,
            self.clock,
            self.cfg,
            self.tasks,
        )

    def _build_fleet(self):
        cfg = self.cfg
        self.engine = self._external_deps.engine
        self.roster = Roster(self._external_deps.vm_list)
        self.evidence = Evidence(
            cfg.node, self.identity.incarnation, self.clock, cfg.fresh_s
        )
        self.membership = Membership(
            self.identity,
            self.follower,
            self.proposer,
            self.evidence,
            self.peers,
            self.clock,
            cfg,
        )
        self.prober = Prober(
            cfg.node,
            self.roster,
            self.follower,
            self.evidence,
            self.engine,
            self.clock,
            cfg,
        )
        self.directory = Directory(
            cfg.node,
            self.follower,
            self.evidence,
            self.roster,
            self.clock,
            cfg.most_groups,
        )
        self.snapshotter = Snapshotter(
            SnapshotStore(self.log),
            self._new_lease_keeper(SNAPSHOT_LEASE_NAME),
            self.follower,
            self.clock,
            every_records=cfg.snapshot_records,
            every_s=cfg.snapshot_s,
        )
        self.planner = PLANNERS[cfg.planner](pre_shift_s=cfg.pre_shift_s)
        self.controllers = {}

    def _build_routing(self):
        cfg = self.cfg
        self.chooser = TwoChoices(self.rng, cfg.data_center)
        self.drain = NodeDrain(self)
        self.gateway = Gateway(self)
        self.ownership = Ownership(
            cfg.node,
            self.follower,
            self.membership,
            self.gateway.find_view,
            self.evidence,
            self.clock,
            cfg,
        )
        self.follower.listeners.append(self.ownership.record_membership)
        budget = RetryBudget(cfg.retry_share, cfg.retry_reserve)
        self.completions = Completions(
            self._external_deps.exchanges, self.engine, budget, self.clock
        )
        self.at_most_once = AtMostOnce(
            self.identity,
            self.claims,
            self.follower,
            self.peers,
            self.clock,
            cfg,
            self.tasks,
        )
        self.service_calls = ServiceCalls(
            self._external_deps.exchanges, self.at_most_once, budget, self.clock
        )
        self.service_directory = ServiceDirectory(
            self.follower, self.evidence, self.roster, GroupView
        )

    def _backoff(self):
        return Backoff(self.rng, FIRST_BACKOFF_S, MAX_BACKOFF_S)

    def _watch_for_pause(self):
        if self._pause_detector.check_pause():
            warn("paused", step="pause watch")
            self.follower.mark_not_fresh()
            self.evidence.discard_all()

    def _update_membership(self):
        """Join the membership and remove dead peers.

        Joins as soon as the log has been read to its end, even if there is no
        configuration yet.
        """
        age_s = self.follower.log_end_age_s()
        if age_s is not None and age_s <= self.cfg.fresh_s:
            self.membership.ensure_joined()
        if self.membership.freshness().serves:
            self.membership.remove_dead()

    def _update_fleet_tasks(self):
        """Start tasks for new peers and VMs to probe, and stop probing the others."""
        self.membership.follow_peers(self.tasks)
        self.prober.follow_vm_list(self.tasks)

    def _start_controllers(self):
        """Start a controller task for each data centre of the configuration."""
        for name in self.follower.state.config.get("data_centers", {}):
            if name not in self.controllers:
                self.controllers[name] = self._new_controller(name)
                self.tasks.spawn(
                    run_periodically,
                    self.clock,
                    CONTROLLER_INTERVAL_S,
                    partial(self._step_controller, name),
                    f"steward {name}",
                )

    def _step_controller(self, data_center):
        if not self.membership.draining and self.membership.freshness().serves:
            self.controllers[data_center].step(self._lease_delay_s(data_center))

    def _new_controller(self, data_center):
        keeper = self._new_lease_keeper(DataCenterController.lease_name(data_center))
        return DataCenterController(
            data_center, keeper, self.planner, self.directory, self
        )

    def _new_lease_keeper(self, name):
        return LeaseKeeper(
            name,
            self.cfg.node,
            self.proposer,
            self.follower,
            self.clock,
            term_s=self.cfg.lease_term_s,
        )

    def _step_snapshotter(self):
        if not self.membership.draining and self.membership.freshness().serves:
            self.snapshotter.step(self._lease_delay_s(""))

    def _lease_delay_s(self, data_center):
        """Return how long this node waits before it takes a free lease, in seconds.

        Nodes are ranked by rendezvous hashing, those in ``data_center`` first. The
        first does not wait, and each further rank waits a sixth of a lease term
        longer, up to five sixths. A node that is not a member waits a full term. The
        snapshot lease belongs to no data centre; ``data_center`` is empty for it.
        """
        nodes = self.follower.state.nodes
        if self.cfg.node not in nodes:
            return self.cfg.lease_term_s
        ranking = sorted(
            ranked(f"steward/{data_center}", nodes),
            key=lambda name: nodes[name].data_center != data_center,
        )
        return min(ranking.index(self.cfg.node), 5) * self.cfg.lease_term_s / 6
