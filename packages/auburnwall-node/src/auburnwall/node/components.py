"""Build the parts of a node and start their tasks."""

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
from auburnwall.base.tasks import repeat, supervise
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
from auburnwall.routing.services import ServiceDirectory, Services
from auburnwall.state.claims.service import ClaimService
from auburnwall.state.follower import Follower
from auburnwall.state.leases import LeaseKeeper
from auburnwall.state.log.backends.http import HttpLog
from auburnwall.state.log.base import LogClient
from auburnwall.state.proposer import Proposer, new_incarnation
from auburnwall.state.snapshots import LEASE as SNAPSHOT_LEASE
from auburnwall.state.snapshots import SnapshotStore, Snapshotter
from auburnwall.wire.client import PeerPool

from .burn import BurnRecord
from .drain import NodeDrain
from .gateway import Gateway
from .identity import Identity
from .ownership import Ownership

PEER_TIMEOUT_S = 1.0
CLAIM_MARGIN_S = 1.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
CONTROLLER_S = 0.3
SNAPSHOT_STEP_S = 0.5
RECHECK_S = 0.5
HOUSEKEEPING_S = 10.0


class Backends(NamedTuple):
    """What a node reaches the world through; tests put fakes here."""

    clock: Clock
    rng: random.Random
    log: LogClient
    vm_list: VmList
    engine: Engine
    exchanges: Exchanges
    peers: PeerPool
    claim_peers: PeerPool


def new_backends(cfg, stack):
    """Return the real backends; ``stack`` owns what must be closed."""
    claim_timeout_s = cfg.claim_timeout_s + CLAIM_MARGIN_S
    return Backends(
        SystemClock(),
        random.Random(),
        stack.enter_context(closing(HttpLog(cfg.log_url))),
        HttpVmList(cfg.vm_list_url),
        HttpEngine(),
        stack.enter_context(closing(Exchanges())),
        stack.enter_context(closing(PeerPool(timeout_s=PEER_TIMEOUT_S))),
        stack.enter_context(closing(PeerPool(timeout_s=claim_timeout_s))),
    )


class NodeComponents:
    """Everything a node is made of; ``tasks`` owns what runs."""

    def __init__(self, cfg, backends, tasks):
        self.cfg = cfg
        self.tasks = tasks
        self._backends = backends
        self.rng = backends.rng
        self.clock = backends.clock
        self.identity = Identity(
            cfg.node, new_incarnation(), cfg.address, cfg.peer_address, cfg.data_center
        )
        self.metrics = Metrics()
        self.burn = BurnRecord(self.clock, self.metrics)
        self.log = backends.log
        self.peers = backends.peers
        self._build_state()
        self._build_fleet()
        self._build_routing()
        self._pause = PauseDetector(self.clock, cfg.pause_s)
        self._looked_at = {}

    def start(self):
        """Start all tasks that run for the life of the node."""
        cfg, spawn = self.cfg, self.tasks.spawn
        spawn(supervise, self.clock, self.follower.run, "follower")
        for period_s, function, name in (
            (cfg.pause_s / 4, self._watch_for_pause, "pause watch"),
            (cfg.vm_list_s, self.roster.refresh, "VM list"),
            (cfg.heartbeat_s, self._keep_membership, "membership"),
            (cfg.heartbeat_s, self._follow_fleet, "fleet"),
            (CONTROLLER_S, self._keep_controllers, "stewards"),
            (SNAPSHOT_STEP_S, self._keep_snapshots, "snapshots"),
            (cfg.credit_term_s / 4, self.gateway.renew_credits, "credits"),
            (HOUSEKEEPING_S, self.once.forget_old, "housekeeping"),
        ):
            spawn(repeat, self.clock, period_s, function, name)

    def recheck(self, model):
        """Probe the members of a model's groups that have no fresh evidence."""
        now = self.clock.monotonic()
        if now - self._looked_at.get(model, -RECHECK_S) < RECHECK_S:
            return
        self._looked_at[model] = now
        unseen = [
            vm
            for group in self.follower.state.groups.values()
            if group.model == model
            for vm in group.vms
            if not self.evidence.fresh(vm)
        ]
        gevent.joinall([gevent.spawn(self.prober.look, vm) for vm in unseen])

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
            self._backends.claim_peers,
            self.clock,
            self.cfg,
            self.tasks,
        )

    def _build_fleet(self):
        cfg = self.cfg
        self.engine = self._backends.engine
        self.roster = Roster(self._backends.vm_list)
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
            self._new_keeper(SNAPSHOT_LEASE),
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
        self.follower.listeners.append(self.ownership.note_membership)
        budget = RetryBudget(cfg.retry_share, cfg.retry_reserve)
        self.completions = Completions(
            self._backends.exchanges, self.engine, budget, self.clock
        )
        self.once = AtMostOnce(
            self.identity,
            self.claims,
            self.follower,
            self.peers,
            self.clock,
            cfg,
            self.tasks,
        )
        self.service_path = Services(
            self._backends.exchanges, self.once, budget, self.clock
        )
        self.services = ServiceDirectory(
            self.follower, self.evidence, self.roster, GroupView
        )

    def _backoff(self):
        return Backoff(self.rng, FIRST_BACKOFF_S, MAX_BACKOFF_S)

    def _watch_for_pause(self):
        if self._pause.beat():
            warn("paused", step="pause watch")
            self.follower.forget_log_end()
            self.evidence.forget_all()

    def _keep_membership(self):
        """Join as soon as the log is read, even before there is a configuration."""
        age_s = self.follower.age()
        if age_s is not None and age_s <= self.cfg.fresh_s:
            self.membership.keep_joined()
        if self.membership.freshness().serves:
            self.membership.remove_dead()

    def _follow_fleet(self):
        self.membership.follow_peers(self.tasks)
        self.prober.follow_list(self.tasks)

    def _keep_controllers(self):
        """Keep one steward task for each data centre of the configuration."""
        for name in self.follower.state.config.get("data_centers", {}):
            if name not in self.controllers:
                self.controllers[name] = self._new_controller(name)
                self.tasks.spawn(
                    repeat,
                    self.clock,
                    CONTROLLER_S,
                    partial(self._step_controller, name),
                    f"steward {name}",
                )

    def _step_controller(self, data_center):
        if not self.membership.draining and self.membership.freshness().serves:
            self.controllers[data_center].step(self._eagerness(data_center))

    def _new_controller(self, data_center):
        keeper = self._new_keeper(DataCenterController.lease_name(data_center))
        return DataCenterController(
            data_center, keeper, self.planner, self.directory, self
        )

    def _new_keeper(self, name):
        return LeaseKeeper(
            name,
            self.cfg.node,
            self.proposer,
            self.follower,
            self.clock,
            term_s=self.cfg.lease_term_s,
        )

    def _keep_snapshots(self):
        if not self.membership.draining and self.membership.freshness().serves:
            self.snapshotter.step(self._eagerness(""))

    def _eagerness(self, data_center):
        """Return how long this node lets better placed ones go first, in seconds."""
        nodes = self.follower.state.nodes
        if self.cfg.node not in nodes:
            return self.cfg.lease_term_s
        order = sorted(
            ranked(f"steward/{data_center}", nodes),
            key=lambda name: nodes[name].data_center != data_center,
        )
        return min(order.index(self.cfg.node), 5) * self.cfg.lease_term_s / 6
