"""Control one data centre's groups while holding its lease.

The controller plans, appends proposals to the log and sends orders to VMs. Two nodes
that both act as controller do no harm: proposals with an outdated fencing token are
rejected when they are applied to the state, and the effect of an order counts only
when probe results show it.
"""

from auburnwall.base.logs import event
from auburnwall.state.configuration.selection import labels_of, matches
from auburnwall.state.exceptions import StateError
from auburnwall.state.fold.groups import controller_lease_name

from .engines.base import EMPTY, READY, IdleOrder, LoadOrder, PreloadOrder
from .exceptions import EngineError
from .planner.base import (
    DrainGroup,
    DropGroup,
    FleetView,
    FormGroup,
    RepairGroup,
    VmView,
    by_priority,
)

PROPOSAL_TIMEOUT_S = 3.0
# Interval between the starts of two planning runs, as a multiple of the time that the
# earlier one took. Limits planning to 1% of a core, however large the fleet is.
PLAN_INTERVAL_PER_COST = 100


def build_fleet_view(state, roster, evidence, ready_groups, now, cfg):
    """Return a ``FleetView`` for the planner.

    ``ready_groups`` holds the names of the groups whose members are all ready, ``now``
    is Unix time in seconds.
    """
    return FleetView(
        now,
        state,
        {
            entry.name: _build_vm_view(entry, state, evidence, cfg)
            for entry in roster.entries.values()
        },
        ready_groups,
    )


def preload_target(config, entry):
    """Return the model and version whose weights a free VM should fetch ahead of need.

    This is the model of the matching selector with the highest priority. Returns
    ``None`` for a VM that no selector matches or that belongs to a service without
    serving groups.
    """
    labels = _labels(config, entry)
    services = config.get("services", {}).values()
    if any(matches(service["where"], labels) for service in services):
        return None
    for _, selector in by_priority(config):
        if matches(selector.get("where", {}), labels):
            model = selector["model"]
            return model, config["models"][model]["version"]
    return None


def _labels(config, entry):
    location = {"data_center": entry.data_center, "fabric_domain": entry.fabric_domain}
    return {**labels_of(config, entry.name), **location}


def _build_vm_view(entry, state, evidence, cfg):
    report = evidence.report(entry.name)
    return VmView(
        entry.name,
        entry.address,
        entry.data_center,
        entry.fabric_domain,
        _labels(state.config, entry),
        alive=report is not None,
        dead=evidence.dead_for(entry.name, cfg.witnesses) >= cfg.dead_s,
        leaving=entry.leaving,
        group=state.group_of_vm.get(entry.name, ""),
        version=report.version if report else "",
        running=report.running if report else 0,
    )


class DataCenterController:
    """Reconcile one data centre's groups with the selectors while the lease is held.

    ``lease_keeper`` holds the data centre's lease, ``planner`` is a ``Planner``, and
    ``group_directory`` states which groups are ready. ``deps`` provides ``follower``,
    ``proposer``, ``roster``, ``evidence``, ``engine``, ``clock`` and ``cfg``. The plan
    covers the whole fleet; only its actions for this data centre are carried out.
    """

    def __init__(self, data_center, lease_keeper, planner, group_directory, deps):
        self.data_center = data_center
        self._lease_keeper = lease_keeper
        self._planner = planner
        self._group_directory = group_directory
        self._follower = deps.follower
        self._proposer = deps.proposer
        self._roster = deps.roster
        self._evidence = deps.evidence
        self._engine = deps.engine
        self._clock = deps.clock
        self._cfg = deps.cfg
        self._ordered_at = {}
        self._draining_since = {}
        self._form_proposal_count = 0
        self._next_plan_at = 0.0

    @staticmethod
    def lease_name(data_center):
        """Return the name of the data centre's lease."""
        return controller_lease_name(data_center)

    def step(self, lease_delay_s):
        """Renew or take the lease; if it is held, plan, propose and send orders.

        ``lease_delay_s`` is how long this node waits, in seconds, before it takes a
        lease that is free or has expired.
        """
        self._lease_keeper.step(lease_delay_s)
        fence = self._lease_keeper.fence()
        if fence is None:
            return
        self._track_draining()
        began = self._clock.monotonic()
        if began >= self._next_plan_at:
            actions = self._plan()
            took_s = self._clock.monotonic() - began
            self._next_plan_at = began + took_s * PLAN_INTERVAL_PER_COST
            self._propose_all(actions, fence)
        self._send_orders(fence)

    def _propose_all(self, actions, fence):
        for action in actions:
            if self._lease_keeper.fence() != fence:
                return
            self._propose(action, fence)

    def release(self):
        """Release the lease."""
        self._lease_keeper.release()

    def _plan(self):
        state = self._follower.state
        ready_groups = frozenset(
            name for name in state.groups if self._group_directory.is_ready(name)
        )
        view = build_fleet_view(
            state,
            self._roster,
            self._evidence,
            ready_groups,
            self._clock.time(),
            self._cfg,
        )
        return [
            action
            for action in self._planner.plan(view)
            if action.data_center == self.data_center and self._is_due(action)
        ]

    def _track_draining(self):
        now = self._clock.monotonic()
        self._draining_since = {
            name: self._draining_since.get(name, now)
            for name, group in self._follower.state.groups.items()
            if group.draining
        }

    def _is_due(self, action):
        """Return whether an action may be proposed now.

        A drained group is dropped only ``settle_s`` after this node first saw it
        draining: by then every router knows and sends it no new requests.
        """
        if not isinstance(action, DropGroup) or action.cause != "drained":
            return True
        since = self._draining_since.get(action.group, self._clock.monotonic())
        return self._clock.monotonic() - since >= self._cfg.settle_s

    def _propose(self, action, fence):
        kind, body = self._proposal(action, fence)
        try:
            verdict = self._proposer.propose(kind, body, PROPOSAL_TIMEOUT_S)
        except StateError as exc:
            event("proposal failed", step=kind, why=exc.detail, cause=action.cause)
            return
        event(
            kind.replace("_", " "),
            step=kind,
            cause=action.cause,
            group=body["group"],
            accepted=verdict.accepted,
            why=verdict.reason,
            offset=verdict.offset,
            winner=verdict.winner,
        )

    def _proposal(self, action, fence):
        body = {"fence": fence, "cause": action.cause}
        if isinstance(action, FormGroup):
            self._form_proposal_count += 1
            body["group"] = f"{action.selector}-{fence}-{self._form_proposal_count}"
            body["selector"] = action.selector
            body["data_center"] = action.data_center
            body["members"] = self._members(action.vms)
            return "group_form", body
        group = self._follower.state.groups.get(action.group)
        body["group"] = action.group
        # A proposal for a group that is gone is rejected, whatever its generation.
        body["generation"] = group.generation if group else -1
        if isinstance(action, RepairGroup):
            body["members"] = self._members(action.vms)
            return "group_repair", body
        return ("group_drain" if isinstance(action, DrainGroup) else "group_drop"), body

    def _members(self, vms):
        entries = self._roster.entries
        return [{"vm": vm, "address": entries[vm].address} for vm in vms]

    def _send_orders(self, fence):
        state = self._follower.state
        for group in state.groups.values():
            if group.data_center == self.data_center:
                for rank, vm in enumerate(group.vms):
                    self._order_load(group, rank, vm, fence)
        for entry in self._roster.entries.values():
            is_local = entry.data_center == self.data_center
            if is_local and entry.name not in state.group_of_vm:
                self._order_idle(entry, fence)
        if self._cfg.preload_spares:
            self._preload_one_spare(fence)

    def _order_load(self, group, rank, vm, fence):
        report = self._evidence.report(vm)
        if report is None or report.generation == group.generation:
            return
        model = self._follower.state.config.get("models", {}).get(group.model, {})
        order = LoadOrder(
            fence,
            group.generation,
            group.name,
            group.model,
            group.version,
            tuple(model.get("adapters", ())),
            rank,
            tuple(member["address"] for member in group.members),
        )
        self._send_order(vm, group.members[rank]["address"], order, fence)

    def _order_idle(self, entry, fence):
        report = self._evidence.report(entry.name)
        if report is not None and report.generation > 0:
            order = IdleOrder(fence, report.generation)
            self._send_order(entry.name, entry.address, order, fence)

    def _preload_one_spare(self, fence):
        """Order one free VM to fetch the weights that it will most likely need.

        Only one free VM fetches at a time, because preloading shares the weight store's
        bandwidth with groups that are being formed or repaired.
        """
        state = self._follower.state
        spares = [
            (entry, report, target)
            for entry in self._roster.entries.values()
            if entry.data_center == self.data_center
            and entry.name not in state.group_of_vm
            and not entry.leaving
            and (report := self._evidence.report(entry.name))
            and (target := preload_target(state.config, entry))
        ]
        # A VM in any other state may be fetching already.
        if any(report.state not in (EMPTY, READY) for _, report, _ in spares):
            return
        for entry, report, (model, version) in spares:
            if report.state == EMPTY and report.version != version:
                order = PreloadOrder(fence, 0, model, version)
                self._send_order(entry.name, entry.address, order, fence)
                return

    def _send_order(self, vm, address, order, fence):
        """Send an order unless it was sent less than ``order_again_s`` ago.

        Sends nothing if the lease is no longer held under ``fence``. A failed order is
        logged and counts as sent.
        """
        now = self._clock.monotonic()
        cutoff = now - self._cfg.order_again_s
        self._ordered_at = {k: at for k, at in self._ordered_at.items() if at > cutoff}
        key = (vm, order.generation, type(order))
        if key in self._ordered_at or self._lease_keeper.fence() != fence:
            return
        self._ordered_at[key] = now
        try:
            self._engine.send_order(address, order)
        except EngineError as exc:
            event("order failed", step="order", peer=vm, why=exc.detail)
            return
        event(
            "order given",
            step="order",
            peer=vm,
            order=type(order).__name__,
            generation=order.generation,
            fence=fence,
        )
