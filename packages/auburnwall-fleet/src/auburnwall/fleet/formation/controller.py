"""Plan and order groups while this node is the planner."""

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

# Time until an order that shows no effect is given again: the registrations that
# would show it are up to 0.5 s old.
ORDER_AGAIN_S = 0.8
# Time without a new server after which all have registered that were there at the
# start, in seconds: longer than servers take to follow each other.
SETTLED_S = 1.0
# Loads that staging leaves to groups which need them, once there is traffic.
KEPT_LOADS = 6
# Time after which an order that was not answered is surely not carried out any more,
# in seconds: servers do so up to 12 s later.
ORDERS_LATE_S = 15.0
# What is kept of a model's demand for each second in which it seems to be less: nodes
# that stop and start take their callers' requests from what is measured for a while.
DEMAND_KEPT_PER_S = 0.96
# Time between two log lines on how well the models are covered, in seconds.
TELL_S = 2.0
# Time for which servers stay reserved for the model that they were freed for: the
# longest drain and the steps after it.
RESERVED_S = 15.0
# A load before there is traffic takes this part of its time.
QUIET_LOAD_SHARE = 0.1


class Plan(NamedTuple):
    """What is to be formed and shifted for a service, and what it rests on."""

    service: str
    engine: object
    formations: list
    shift: Shift
    group_counts: dict
    demand: dict
    quiet: bool


class FormationController:
    """Keep the groups of all services with engines.

    ``view`` offers ``config()`` (a ``RoutingConfig`` or ``None``),
    ``data_centers_out()`` (names), ``loads_are_free()`` (before the first request ever)
    and ``demand()`` (groups' worth of work by model, empty until it was measured).
    """

    def __init__(
        self, state, writer, registry, member_monitor, engine, view, clock, tasks
    ):
        self._state = state
        self._writer = writer
        self._registry = registry
        self._member_monitor = member_monitor
        self._engine = engine
        self._view = view
        self._clock = clock
        self._tasks = tasks
        self._since = {}
        self._given = {}
        self._refused = {}
        self._retired = set()
        self._unanswered = {}
        self._plans_from = None
        self._own_epochs_from = 0
        self._loads = LoadAllowance()
        self._shifts = []
        self._staging = {}
        self._told_at = {}
        self._demand = {}
        self._demand_at = clock.monotonic()

    def step(self):
        """Decide, write the decisions, and give the orders that follow from them.

        Raises ``LogUnavailableError`` if the table cannot be read when it must be.
        """
        config = self._view.config()
        if config is None or not self._writer.plans():
            self._plans_from = None
            return
        if self._plans_from is None:
            self._plans_from = self._clock.monotonic()
            self._own_epochs_from = self._state.replica.end
        engines = _engines(config)
        views = self._views(engines)
        steps = {name: next_actions(view) for name, view in views.items()}
        ends = self._ends(views, steps)
        finished = [views[name].group for name, step in steps.items() if step.free]
        plans = [
            self._plan_service(service, engine, finished, ends)
            for service, engine in engines.items()
        ]
        for plan in plans:
            ends.update(dict.fromkeys(plan.shift.groups, (False, plan.shift.cause)))
        if self._write(ends, finished, plans):
            self._give_orders(views, steps)
            for service, engine in engines.items():
                self._stage(service, engine, KEPT_LOADS)

    def prepare(self):
        """Stage weights while the tables cannot be read, so that nothing is planned.

        Load pattern: servers are lost while the store is away, and no group can be
        formed before it is back. What hosts have loaded by then need not be waited for.
        """
        config = self._view.config()
        if config is None or not self._writer.plans():
            return
        for service, engine in _engines(config).items():
            self._stage(service, engine, 0)

    def _ends(self, views, steps):
        """Return why groups end and whether at once, by name."""
        self._refused = {
            name: why
            for name, why in self._refused.items()
            if name in views and views[name].group.phase == SERVING
        }
        ends = {name: (True, why) for name, why in self._refused.items()}
        ends.update(
            {name: (step.at_once, step.end) for name, step in steps.items() if step.end}
        )
        return ends

    def _views(self, engines):
        now = self._clock.monotonic()
        out = self._view.data_centers_out()
        views, since = {}, {}
        for group in self._state.groups.values():
            key = group.name, group.phase
            since[key] = self._since.get(key, now)
            engine = engines.get(group.service)
            model = engine.models.get(group.model) if engine else None
            views[group.name] = GroupView(
                group,
                tuple(self._member_monitor.view(group, m, out) for m in group.members),
                now - since[key],
                model.load_s if model else 0.0,
                group.name in self._retired,
                self._is_pending(group, now),
            )
        self._since = since
        self._retired &= set(views)
        return views

    def _is_pending(self, group, now):
        """Return whether an order to a group's head may still be under way.

        Of the orders of an earlier planner nobody knows which were answered, but it
        gave the last ones that matter before the head was seen open.
        """
        head = group.head.server
        since = self._unanswered.get(head, -ORDERS_LATE_S)
        if group.epoch < self._own_epochs_from:
            open_since = self._registry.open_since(head, group.epoch)
            since = max(since, open_since or self._plans_from)
        return now - since < ORDERS_LATE_S

    def _plan_service(self, service, engine, finished, ends):
        """Return the ``Plan`` for a service."""
        demand = self._steady_demand()
        self._drop_shifts()
        free = self._free_servers(service, {group.name for group in finished})
        group_counts = self._group_counts(service, ends)
        quiet, measured = self._view.loads_are_free(), bool(demand)
        if not measured:
            demand = self._expected_demand(engine)
        allowance = len(free) if quiet else self._loads_left(engine)
        self._tell(service, free, group_counts, demand, allowance)
        grown_s = self._clock.monotonic() - self._registry.last_new_server_at
        settled = not quiet or grown_s >= SETTLED_S
        found = assemble(free, engine.models, group_counts, demand, allowance, settled)
        shift = Shift()
        if measured and all(formation.loads for formation in found):
            soon = self._group_counts(service, ends, only_soon=True)
            shift = self._shift(service, engine, free, soon, demand, ends)
            found = [f for f in found if _goes_beside(f, shift)]
        return Plan(service, engine, found, shift, group_counts, demand, quiet)

    def _drop_shifts(self):
        """Forget the shifts that are over or have lost a server."""
        now = self._clock.monotonic()
        self._shifts = [
            shift
            for shift in self._shifts
            if shift.until > now and all(map(self._registry.usable, shift.servers))
        ]

    def _loads_left(self, engine):
        """Return how many loads may begin now."""
        members = (m for group in self._state.groups.values() for m in group.members)
        return self._loads.left(
            engine.loads_per_s,
            engine.loads_at_once,
            max((model.members for model in engine.models.values()), default=0),
            self._clock.monotonic(),
            seen=sum(self._is_loading(member.server) for member in members),
        )

    def _tell(self, service, free, group_counts, demand, allowance):
        """Log how well each model is covered, now and then."""
        now = self._clock.monotonic()
        if now - self._told_at.get(service, -TELL_S) < TELL_S:
            return
        self._told_at[service] = now
        groups = Counter()
        for (model, _), count in group_counts.items():
            groups[model] += count
        event(
            "capacity",
            service=service,
            groups=dict(groups),
            demand={model: round(work, 2) for model, work in demand.items()},
            free=len(free),
            loads_left=allowance,
            shifts=len(self._shifts),
        )

    def _steady_demand(self):
        """Return the measured demand, which falls more slowly than it rises."""
        now, measured = self._clock.monotonic(), self._view.demand()
        keep = DEMAND_KEPT_PER_S ** (now - self._demand_at)
        self._demand_at = now
        self._demand = {
            model: max(measured.get(model, 0.0), keep * self._demand.get(model, 0.0))
            for model in set(measured) | set(self._demand)
        }
        return dict(self._demand)

    def _expected_demand(self, engine):
        """Return groups' worth of work by model as long as nothing was measured."""
        servers = len(self._registry.servers)
        return {
            model.name: model.share / model.members * servers
            for model in engine.models.values()
        }

    def _note_plan(self, plan):
        """Remember and log what was written of a plan."""
        for formation in plan.formations:
            self._note_formation(plan, formation)
        if plan.shift.groups:
            until = self._clock.monotonic() + RESERVED_S
            self._shifts.append(plan.shift._replace(until=until))
            event(
                "servers shifted",
                model=plan.shift.model,
                groups=plan.shift.groups,
                peers=plan.shift.servers,
                why=plan.shift.cause,
            )

    def _note_formation(self, plan, formation):
        model = formation.model
        load_s = plan.engine.models[model].load_s
        share = QUIET_LOAD_SHARE if plan.quiet else 1.0
        now = self._clock.monotonic()
        self._loads.note(formation.loads, load_s * share, now, free=plan.quiet)
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

    def _shift(self, service, engine, free, group_counts, demand, ends):
        """Return which groups give their servers to a model that lacks them."""
        for shift in self._shifts:
            place = shift.model, ""
            group_counts[place] = group_counts.get(place, 0) + 1
        shiftable = [
            ShiftableGroup(group.name, group.model, self._as_free(group))
            for group in self._state.groups.values()
            if group.phase == SERVING
            and group.service == service
            and group.name not in ends
        ]
        return find_shift(shiftable, free, engine.models, group_counts, demand)

    def _as_free(self, group):
        """Return a group's servers as they would be if they were free."""
        entries = (self._registry.servers.get(m.server) for m in group.members)
        return tuple(_free_server(e, group.model, "") for e in entries if e is not None)

    def _stage(self, service, engine, kept):
        """Let hosts load the weights that they may need next.

        ``kept`` of the loads that may begin are left to groups.
        """
        now, quiet = self._clock.monotonic(), self._view.loads_are_free()
        self._staging = {k: at for k, at in self._staging.items() if at > now}
        in_group = {
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
                in_group[entry.server].model if entry.server in in_group else "",
                settled=entry.server not in self._staging
                and (
                    entry.server not in in_group or entry.group_membership is not None
                ),
            )
            for entry in self._registry.of_service(service)
        ]
        left = self._loads_left(engine) - (0 if quiet else kept)
        for server, model in choose_staging(hosts, engine.models, left, quiet):
            load_s = engine.models[model].load_s * (QUIET_LOAD_SHARE if quiet else 1.0)
            self._loads.note(1, load_s, now, free=quiet)
            self._staging[server] = now + 2 * load_s
            entry = self._registry.servers[server]
            member = Member(server, entry.born, entry.address)
            self._tasks.spawn(self._give, "", member, StageOrder(model))

    def _free_servers(self, service, finished):
        """Return the servers that a new group may take."""
        out = self._view.data_centers_out()
        taken = {
            server
            for server, name in self._state.group_of_server().items()
            if name not in finished
        }
        reserved = {
            server: shift.model for shift in self._shifts for server in shift.servers
        }
        return [
            _free_server(entry, entry.model, reserved.get(entry.server, ""))
            for entry in self._registry.of_service(service)
            if entry.server not in taken
            and entry.data_center not in out
            and self._member_monitor.is_usable(entry)
        ]

    def _group_counts(self, service, ends, only_soon=False):
        """Return the number of groups that go on serving, by model and data centre.

        With ``only_soon`` those are left out that still load weights.
        """
        counts = {}
        for group in self._state.groups.values():
            entry = self._registry.servers.get(group.head.server)
            goes_on = group.phase == SERVING and group.name not in ends
            if only_soon and goes_on and self._loads_weights(group):
                continue
            if goes_on and group.service == service and entry:
                place = group.model, entry.data_center
                counts[place] = counts.get(place, 0) + 1
        return counts

    def _loads_weights(self, group):
        """Return whether a member of a group that forms has its model to load."""
        return any(self._is_loading(member.server) for member in group.members)

    def _is_loading(self, server):
        """Return whether a server joins a group and has its model to load."""
        entry = self._registry.servers.get(server)
        if (
            entry is None
            or entry.group_membership is None
            or entry.group_membership.state != JOINING
        ):
            return False
        group = self._state.groups.get(entry.group_membership.group)
        return group is not None and group.model not in (*entry.staged, entry.model)

    def _write(self, ends, finished, plans):
        """Write the decisions; return whether orders may follow."""
        formations = [
            _to_write(plan.service, formation)
            for plan in plans
            for formation in plan.formations
        ]
        if not (ends or finished or formations):
            return True
        ended = [(self._state.groups[name], ends[name][0]) for name in ends]
        try:
            self._writer.write_groups(ended, finished, formations)
        except (TableChangedError, NotPlannerError) as exc:
            event("plan overtaken", step=exc.step, why=exc.detail)
            self._state.replica.refresh(0.0)
            return False
        except StateError as exc:
            warn("plan not written", step=exc.step, why=exc.detail)
            return False
        for name, (at_once, why) in ends.items():
            event("group ended", group=name, why=why, at_once=at_once)
        for group in finished:
            event("group dissolved", group=group.name, model=group.model)
        for plan in plans:
            self._note_plan(plan)
        return True

    def _give_orders(self, views, steps):
        """Give the orders of groups whose records stand as they were judged."""
        now = self._clock.monotonic()
        self._given = {
            key: at for key, at in self._given.items() if at > now - ORDER_AGAIN_S
        }
        for name, step in steps.items():
            if self._state.groups.get(name) != views[name].group:
                continue
            for server, orders in step.orders.items():
                self._give_once(views[name].group, server, orders, now)

    def _give_once(self, group, server, orders, now):
        key = server, orders
        if key in self._given:
            return
        self._given[key] = now
        member = next(m for m in group.members if m.server == server)
        self._tasks.spawn(self._give_all, group, member, orders)

    def _give_all(self, group, member, orders):
        """Give orders one after the other, as long as the server takes them."""
        outcome = None
        for order in orders:
            outcome = self._give(group.name, member, order)
            if outcome is None:
                return
        done = outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS)
        if group.phase == ENDING and done and not isinstance(orders[-1], CloseOrder):
            self._retired.add(group.name)
        stale = outcome in (OrderOutcome.STALE, OrderOutcome.WRONG_SERVER)
        if group.phase == SERVING and stale:
            self._refused[group.name] = f"{member.server} refused: {outcome.value}"

    def _give(self, group, member, order):
        """Give one order; return its outcome, ``None`` if there was no answer."""
        about = {
            "peer": member.server,
            "group": group,
            "order": type(order).__name__,
            "epoch": getattr(order, "epoch", None),
        }
        try:
            outcome = self._engine.give(member.server, member.address, order)
        except EngineError as exc:
            event("order unanswered", **about, why=exc.detail)
            self._unanswered[member.server] = self._clock.monotonic()
            self._member_monitor.suspect_server(member)
            return None
        event("order given", **about, outcome=outcome.value)
        return outcome


def _engines(config):
    """Return the specifications of engines by service."""
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


def _goes_beside(formation, shift):
    """Return whether a formation with loads is still wanted beside a shift.

    For the model that servers are shifted to it would come much later.
    """
    taken = {member.server for member in formation.members} & set(shift.servers)
    return formation.model != shift.model and not taken


def _to_write(service, formation):
    members = tuple(Member(m.server, m.born, m.address) for m in formation.members)
    return service, formation.model, members
