"""Plan groups of servers and send their orders while this node is the planner."""

from collections import Counter
from typing import NamedTuple

from auburnwall.base.logs import event, warn
from auburnwall.state.exceptions import StateError, TableChangedError

from ..engines.group import CloseOrder, OrderOutcome, StageOrder
from ..exceptions import EngineError
from ..registrations import JOINING
from .assembly import FreeServer, assemble, coverage
from .lifecycle import GroupView, next_actions
from .loads import LoadAllowance
from .records import ENDING, SERVING, Member, NotPlannerError
from .shifting import Shift, ShiftableGroup, find_shift
from .staging import HostView, choose_staging

# An order without a visible effect is sent again after this time: the registrations
# that would show the effect are up to 0.5 s old.
ORDER_RETRY_S = 0.8
# After this time without a new server, all servers that ran at the start have
# registered: it is longer than the interval between two registrations.
SETTLING_S = 1.0
# Number of loads that staging leaves to groups that need them, once there is traffic.
RESERVED_LOADS = 6
# An order without a response is certainly not executed after this time: servers
# execute orders up to 12 s late.
ORDER_EXPIRY_S = 15.0
# Factor per second by which the demand for a model falls at most. While nodes restart,
# the requests of their callers are missing from the measured demand.
DEMAND_DECAY_PER_S = 0.96
# Interval between two log lines on the coverage of the models.
LOG_PERIOD_S = 2.0
# Servers stay reserved for the model that they were freed for during this time: the
# longest drain and the steps after it.
RESERVATION_S = 15.0
# Duration of a load before the first request, as a fraction of its usual duration.
IDLE_LOAD_RATIO = 0.1


class Plan(NamedTuple):
    """The groups to form and servers to reassign for a service, with the inputs."""

    service: str
    engine: object
    formations: list
    shift: Shift
    group_counts: dict
    demand: dict
    idle: bool


class FormationController:
    """Form, open and end the groups of all services with engines.

    ``view`` has ``config()`` (a ``RoutingConfig`` or ``None``),
    ``evacuated_data_centers()`` (names), ``is_before_first_request()`` (true until the
    first request ever) and ``demand()`` (work by model, in numbers of groups; empty
    until the first measurement).
    """

    def __init__(
        self, state, writer, registry, member_monitor, engine, view, clock, tasks
    ):
        self._state = state
        self._writer = writer
        self._registry = registry
        self._monitor = member_monitor
        self._engine = engine
        self._view = view
        self._clock = clock
        self._tasks = tasks
        self._phase_since = {}
        self._sent_at = {}
        self._refusals = {}
        self._retired = set()
        self._unanswered_at = {}
        self._planner_since = None
        self._min_own_epoch = 0
        self._load_limit = LoadAllowance()
        self._shifts = []
        self._stage_ends = {}
        self._logged_at = {}
        self._demand = {}
        self._demand_at = clock.monotonic()

    def step(self):
        """Plan, write the plan to the fleet table, and send the orders it requires.

        Raises ``LogUnavailableError`` if the table cannot be read when necessary.
        """
        config = self._view.config()
        if config is None or not self._writer.is_planner():
            self._planner_since = None
            return
        if self._planner_since is None:
            self._planner_since = self._clock.monotonic()
            self._min_own_epoch = self._state.replica.end
        engines = _engines(config)
        views = self._views(engines)
        actions = {name: next_actions(view) for name, view in views.items()}
        endings = self._find_endings(views, actions)
        finished = [views[name].group for name, act in actions.items() if act.free]
        plans = [
            self._plan_service(service, engine, finished, endings)
            for service, engine in engines.items()
        ]
        for plan in plans:
            endings.update(dict.fromkeys(plan.shift.groups, (False, plan.shift.cause)))
        if self._write(endings, finished, plans):
            self._send_orders(views, actions)
            for service, engine in engines.items():
                self._stage(service, engine, RESERVED_LOADS)

    def prepare(self):
        """Stage weights while the tables cannot be read and nothing can be planned.

        Load pattern: servers are lost during an outage of the store, and no group can
        form until it is over. Weights that hosts load meanwhile save time afterwards.
        """
        config = self._view.config()
        if config is None or not self._writer.is_planner():
            return
        for service, engine in _engines(config).items():
            self._stage(service, engine, 0)

    def _find_endings(self, views, actions):
        """Return for each group to end, by name, whether immediately, and why."""
        self._refusals = {
            name: why
            for name, why in self._refusals.items()
            if name in views and views[name].group.phase == SERVING
        }
        endings = {name: (True, why) for name, why in self._refusals.items()}
        endings.update(
            {name: (act.at_once, act.end) for name, act in actions.items() if act.end}
        )
        return endings

    def _views(self, engines):
        now = self._clock.monotonic()
        excluded = self._view.evacuated_data_centers()
        views, phase_since = {}, {}
        for group in self._state.groups.values():
            key = group.name, group.phase
            phase_since[key] = self._phase_since.get(key, now)
            engine = engines.get(group.service)
            model = engine.models.get(group.model) if engine else None
            views[group.name] = GroupView(
                group,
                tuple(self._monitor.view(group, m, excluded) for m in group.members),
                now - phase_since[key],
                model.load_s if model else 0.0,
                group.name in self._retired,
                self._is_order_pending(group, now),
            )
        self._phase_since = phase_since
        self._retired &= set(views)
        return views

    def _is_order_pending(self, group, now):
        """Return whether a group's head may still execute an earlier order.

        Which orders of an earlier planner had a response is unknown, but it sent the
        last ones that matter before the head was first seen open.
        """
        head = group.head.server
        sent_at = self._unanswered_at.get(head, -ORDER_EXPIRY_S)
        if group.epoch < self._min_own_epoch:
            open_since = self._registry.open_since(head, group.epoch)
            sent_at = max(sent_at, open_since or self._planner_since)
        return now - sent_at < ORDER_EXPIRY_S

    def _plan_service(self, service, engine, finished, endings):
        """Return the ``Plan`` for a service."""
        demand = self._smooth_demand()
        self._drop_shifts()
        free = self._free_servers(service, {group.name for group in finished})
        group_counts = self._group_counts(service, endings)
        idle, measured = self._view.is_before_first_request(), bool(demand)
        if not measured:
            demand = self._expected_demand(engine)
        max_loads = len(free) if idle else self._loads_left(engine)
        self._log_capacity(service, free, group_counts, demand, max_loads)
        unchanged_s = self._clock.monotonic() - self._registry.last_new_server_at
        settled = not idle or unchanged_s >= SETTLING_S
        found = assemble(free, engine.models, group_counts, demand, max_loads, settled)
        shift = Shift()
        if measured and all(formation.loads for formation in found):
            loaded_counts = self._group_counts(service, endings, exclude_loading=True)
            shift = self._shift(service, engine, free, loaded_counts, demand, endings)
            found = [f for f in found if _is_compatible(f, shift)]
        return Plan(service, engine, found, shift, group_counts, demand, idle)

    def _drop_shifts(self):
        """Remove the shifts that have expired or lost a server."""
        now = self._clock.monotonic()
        self._shifts = [
            shift
            for shift in self._shifts
            if shift.until > now
            and all(map(self._registry.usable_registration, shift.servers))
        ]

    def _loads_left(self, engine):
        """Return how many loads from the weight store may begin now."""
        members = (m for group in self._state.groups.values() for m in group.members)
        return self._load_limit.available_loads(
            engine.loads_per_s,
            engine.max_concurrent_loads,
            max((model.members for model in engine.models.values()), default=0),
            self._clock.monotonic(),
            reported=sum(self._is_loading(member.server) for member in members),
        )

    def _log_capacity(self, service, free, group_counts, demand, max_loads):
        """Log the capacity and demand of each model, at most every 2 s."""
        now = self._clock.monotonic()
        if now - self._logged_at.get(service, -LOG_PERIOD_S) < LOG_PERIOD_S:
            return
        self._logged_at[service] = now
        groups = Counter()
        for (model, _), count in group_counts.items():
            groups[model] += count
        event(
            "capacity",
            service=service,
            groups=dict(groups),
            demand={model: round(work, 2) for model, work in demand.items()},
            free=len(free),
            loads_left=max_loads,
            shifts=len(self._shifts),
        )

    def _smooth_demand(self):
        """Return the measured demand, with each fall slowed down."""
        now, measured = self._clock.monotonic(), self._view.demand()
        keep = DEMAND_DECAY_PER_S ** (now - self._demand_at)
        self._demand_at = now
        self._demand = {
            model: max(measured.get(model, 0.0), keep * self._demand.get(model, 0.0))
            for model in set(measured) | set(self._demand)
        }
        return dict(self._demand)

    def _expected_demand(self, engine):
        """Return the demand to assume until one is measured, in groups by model."""
        servers = len(self._registry.servers)
        return {
            model.name: model.share / model.members * servers
            for model in engine.models.values()
        }

    def _record_plan(self, plan):
        """Record and log a plan that has been written to the fleet table."""
        for formation in plan.formations:
            self._record_formation(plan, formation)
        if plan.shift.groups:
            until = self._clock.monotonic() + RESERVATION_S
            self._shifts.append(plan.shift._replace(until=until))
            event(
                "servers shifted",
                model=plan.shift.model,
                groups=plan.shift.groups,
                peers=plan.shift.servers,
                why=plan.shift.cause,
            )

    def _record_formation(self, plan, formation):
        model = formation.model
        load_s = plan.engine.models[model].load_s
        ratio = IDLE_LOAD_RATIO if plan.idle else 1.0
        now = self._clock.monotonic()
        self._load_limit.record_loads(
            formation.loads, load_s * ratio, now, unrated=plan.idle
        )
        fulfilled = [shift for shift in self._shifts if shift.model == model][:1]
        self._shifts = [shift for shift in self._shifts if shift not in fulfilled]
        event(
            "group planned",
            model=model,
            peers=[member.server for member in formation.members],
            ready_s=round(formation.ready_s, 1),
            coverage=round(coverage(model, plan.group_counts, plan.demand), 2),
            demand=round(plan.demand.get(model, 0.0), 2),
        )

    def _shift(self, service, engine, free, group_counts, demand, endings):
        """Return the ``Shift`` of servers to a model that has too few."""
        for shift in self._shifts:
            key = shift.model, ""
            group_counts[key] = group_counts.get(key, 0) + 1
        shiftable = [
            ShiftableGroup(group.name, group.model, self._as_free_servers(group))
            for group in self._state.groups.values()
            if group.phase == SERVING
            and group.service == service
            and group.name not in endings
        ]
        return find_shift(shiftable, free, engine.models, group_counts, demand)

    def _as_free_servers(self, group):
        """Return a group's servers as they would be if they were free."""
        entries = (self._registry.servers.get(m.server) for m in group.members)
        return tuple(_free_server(e, group.model, "") for e in entries if e is not None)

    def _stage(self, service, engine, reserved_loads):
        """Order hosts to load the weights that they may need next.

        ``reserved_loads`` of the loads that may begin now are left to groups.
        """
        now, idle = self._clock.monotonic(), self._view.is_before_first_request()
        self._stage_ends = {s: end for s, end in self._stage_ends.items() if end > now}
        groups = {
            member.server: group
            for group in self._state.groups.values()
            for member in group.members
        }
        hosts = [
            HostView(
                entry.server,
                entry.domain,
                entry.model,
                entry.staged,
                groups[entry.server].model if entry.server in groups else "",
                available=entry.server not in self._stage_ends
                and (entry.server not in groups or entry.group_membership is not None),
            )
            for entry in self._registry.of_service(service)
        ]
        max_loads = self._loads_left(engine) - (0 if idle else reserved_loads)
        for server, model in choose_staging(hosts, engine.models, max_loads, idle):
            load_s = engine.models[model].load_s * (IDLE_LOAD_RATIO if idle else 1.0)
            self._load_limit.record_loads(1, load_s, now, unrated=idle)
            self._stage_ends[server] = now + 2 * load_s
            entry = self._registry.servers[server]
            member = Member(server, entry.born, entry.address)
            self._tasks.spawn(self._send, "", member, StageOrder(model))

    def _free_servers(self, service, finished):
        """Return the servers that a new group may use."""
        excluded = self._view.evacuated_data_centers()
        taken = {
            server
            for server, name in self._state.group_of_server().items()
            if name not in finished
        }
        reserved = {s: shift.model for shift in self._shifts for s in shift.servers}
        return [
            _free_server(entry, entry.model, reserved.get(entry.server, ""))
            for entry in self._registry.of_service(service)
            if entry.server not in taken
            and entry.data_center not in excluded
            and self._monitor.is_usable(entry)
        ]

    def _group_counts(self, service, endings, exclude_loading=False):
        """Return the number of groups that are not to end, by model and data centre.

        With ``exclude_loading``, groups that still load weights are left out.
        """
        counts = {}
        for group in self._state.groups.values():
            entry = self._registry.servers.get(group.head.server)
            goes_on = group.phase == SERVING and group.name not in endings
            if exclude_loading and goes_on and self._loads_weights(group):
                continue
            if goes_on and group.service == service and entry:
                key = group.model, entry.data_center
                counts[key] = counts.get(key, 0) + 1
        return counts

    def _loads_weights(self, group):
        """Return whether a member of a group must load the weights in order to join."""
        return any(self._is_loading(member.server) for member in group.members)

    def _is_loading(self, server):
        """Return whether a server is joining a group and must load its weights."""
        entry = self._registry.servers.get(server)
        if (
            entry is None
            or entry.group_membership is None
            or entry.group_membership.state != JOINING
        ):
            return False
        group = self._state.groups.get(entry.group_membership.group)
        return group is not None and group.model not in (*entry.staged, entry.model)

    def _write(self, endings, finished, plans):
        """Write the plans to the fleet table; return whether orders may be sent."""
        formations = [
            _group_fields(plan.service, formation)
            for plan in plans
            for formation in plan.formations
        ]
        if not (endings or finished or formations):
            return True
        ended = [(self._state.groups[name], endings[name][0]) for name in endings]
        try:
            self._writer.write_groups(ended, finished, formations)
        except (TableChangedError, NotPlannerError) as exc:
            event("plan overtaken", step=exc.step, why=exc.detail)
            self._state.replica.refresh(0.0)
            return False
        except StateError as exc:
            warn("plan not written", step=exc.step, why=exc.detail)
            return False
        for name, (at_once, why) in endings.items():
            event("group ended", group=name, why=why, at_once=at_once)
        for group in finished:
            event("group dissolved", group=group.name, model=group.model)
        for plan in plans:
            self._record_plan(plan)
        return True

    def _send_orders(self, views, actions):
        """Send the orders of the groups whose records are as they were in ``views``."""
        now = self._clock.monotonic()
        self._sent_at = {
            key: at for key, at in self._sent_at.items() if at > now - ORDER_RETRY_S
        }
        for name, act in actions.items():
            if self._state.groups.get(name) != views[name].group:
                continue
            for server, orders in act.orders.items():
                self._send_once(views[name].group, server, orders, now)

    def _send_once(self, group, server, orders, now):
        key = server, orders
        if key in self._sent_at:
            return
        self._sent_at[key] = now
        member = next(m for m in group.members if m.server == server)
        self._tasks.spawn(self._send_all, group, member, orders)

    def _send_all(self, group, member, orders):
        """Send orders one by one until one of them has no response."""
        outcome = None
        for order in orders:
            outcome = self._send(group.name, member, order)
            if outcome is None:
                return
        done = outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS)
        if group.phase == ENDING and done and not isinstance(orders[-1], CloseOrder):
            self._retired.add(group.name)
        stale = outcome in (OrderOutcome.STALE, OrderOutcome.WRONG_SERVER)
        if group.phase == SERVING and stale:
            self._refusals[group.name] = f"{member.server} refused: {outcome.value}"

    def _send(self, group, member, order):
        """Send one order; return its outcome, ``None`` without a response."""
        fields = {
            "peer": member.server,
            "group": group,
            "order": type(order).__name__,
            "epoch": getattr(order, "epoch", None),
        }
        try:
            outcome = self._engine.send_order(member.server, member.address, order)
        except EngineError as exc:
            event("order unanswered", **fields, why=exc.detail)
            self._unanswered_at[member.server] = self._clock.monotonic()
            self._monitor.suspect_server(member)
            return None
        event("order given", **fields, outcome=outcome.value)
        return outcome


def _engines(config):
    """Return the ``EngineSpec`` of each service that has one, by name."""
    services = config.services.values()
    return {service.name: service.engine for service in services if service.engine}


def _free_server(entry, model, reserved):
    return FreeServer(
        entry.server,
        entry.born,
        entry.address,
        entry.domain,
        entry.data_center,
        model,
        entry.staged,
        reserved,
    )


def _is_compatible(formation, shift):
    """Return whether a formation that loads weights is useful along with a shift.

    For the model of the shift it would be ready much later than the shifted servers.
    """
    taken = {member.server for member in formation.members} & set(shift.servers)
    return formation.model != shift.model and not taken


def _group_fields(service, formation):
    members = tuple(Member(m.server, m.born, m.address) for m in formation.members)
    return service, formation.model, members
