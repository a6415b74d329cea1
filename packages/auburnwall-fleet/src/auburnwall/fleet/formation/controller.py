"""Plan groups of servers and send their orders while this node is the planner."""

from auburnwall.base.logs import event, warn
from auburnwall.state.exceptions import StateError, TableChangedError

from ..engines.group import StageOrder
from ..registrations import JOINING
from .adoption import UnrecordedGroups
from .assembly import assemble
from .capacity_report import CapacityReport
from .demand_forecast import DemandForecast, expected_demand
from .lifecycle import GroupStatus, next_actions
from .loads import LoadAllowance
from .model_order import CoverageOrder, UrgencyOrder, coverage
from .orders import OrderSender
from .plan import Plan, as_free_server, engines_of, is_compatible
from .records import SERVING, Member, NotPlannerError
from .shifting import Shift, ShiftableGroup, find_shift
from .staging import HostView, choose_staging

# Before the first request, the fleet counts as settled after this time without a new
# server: servers that start together register at shorter intervals.
SETTLING_S = 1.0
# Loads that staging leaves to groups; none before the first request or in an outage.
RESERVED_LOADS = 6
# An order without a response is certainly not executed after this time: servers
# execute orders up to 12 s late.
ORDER_EXPIRY_S = 15.0
# The servers of a shift stay reserved for its model for this time: the longest drain
# and the steps after it.
RESERVATION_S = 15.0
START_RATIO = 0.1  # duration of a load before the first request, relative to usual


class FormationController:
    """Form, open and end the groups of all services with engines.

    ``inputs`` has ``config()`` (a ``RoutingConfig`` or ``None``),
    ``evacuated_data_centers()`` (names), ``is_before_first_request()`` (true on the
    system's first start, until the first request) and ``demand()`` (the number of
    groups that each model's work needs; empty until the first measurement). Where
    ``plans_ahead(service)`` is true, ``newest_demand()`` (the same for the newest
    second), ``request_work(service)`` (the group-seconds of a mean request, by model)
    and ``model_ranks(service)`` are used as well. ``capacity`` is the
    ``CapacityReport``.
    """

    def __init__(
        self, state, writer, registry, member_monitor, engine, inputs, clock, tasks
    ):
        self._state = state
        self._writer = writer
        self._registry = registry
        self._monitor = member_monitor
        self._inputs = inputs
        self._clock = clock
        self._tasks = tasks
        self._phase_since = {}  # by group name and phase
        self._orders = OrderSender(state, member_monitor, engine, clock, tasks)
        self._planner_since = None
        self._min_own_epoch = 0  # groups of earlier planners have smaller epochs
        self._load_limit = LoadAllowance()
        self._shifts = []
        self._scarcest = {}  # service -> model whose next group hosts stage first
        self._staging_until = {}  # server -> no other stage order until then
        self.capacity = CapacityReport(clock)
        self._forecast = DemandForecast(clock.monotonic())
        self._unrecorded = UnrecordedGroups(state, registry, clock)

    def step(self):
        """Write a plan to the table, send orders to existing groups, and stage weights.

        Raises ``LogUnavailableError`` if a read after a rejected write fails.
        """
        config = self._inputs.config()
        if config is None or not self._writer.is_planner():
            self.pause()
            return
        if self._planner_since is None:
            self._begin_planning()
        if not self._write_lost_entries():
            return
        engines = engines_of(config)
        if not self._adopt_groups(engines):
            return
        statuses = self._group_statuses(engines)
        actions = {name: next_actions(status) for name, status in statuses.items()}
        endings = self._find_endings(statuses, actions)
        finished = [statuses[n].group for n, act in actions.items() if act.servers_free]
        plans = [
            self._plan_service(service, engine, finished, endings)
            for service, engine in engines.items()
        ]
        for plan in plans:
            endings.update(dict.fromkeys(plan.shift.groups, (False, plan.shift.cause)))
        if self._write(endings, finished, plans):
            self._orders.send_orders(statuses, actions)
            for service, engine in engines.items():
                self._stage(service, engine, RESERVED_LOADS)

    def _begin_planning(self):
        """Forget what was concluded when this node planned before.

        Another planner may have acted since. Orders without a response and loads are
        remembered, as they may still take effect.
        """
        self._planner_since = self._clock.monotonic()
        self._min_own_epoch = self._state.next_epoch()
        self._orders.forget_conclusions()
        self._shifts.clear()
        self._scarcest.clear()

    def pause(self):
        """Forget that this node was the planner: another one plans for a time.

        The orders of that one are then treated as those of any earlier planner.
        """
        self._planner_since = None
        self.capacity.models.clear()

    def stage_without_tables(self):
        """Stage weights while the tables cannot be read and nothing can be planned.

        No group can replace lost servers during an outage of the table store. Weights
        that hosts load meanwhile from the weight store save time afterwards.
        """
        config = self._inputs.config()
        if config is None or not self._writer.is_planner():
            return
        for service, engine in engines_of(config).items():
            self._stage(service, engine, 0)

    def _write_lost_entries(self):
        """Write again what the store has lost; return whether planning may go on."""
        if not self._state.lost_entries():
            return True
        keys = self._write_or_overtaken(self._writer.write_lost_entries)
        if keys is None:
            return False
        event("lost records written again", keys=sorted(keys))
        return True

    def _adopt_groups(self, engines):
        """Adopt whole groups without a record; return whether planning may go on."""
        records = self._unrecorded.records_to_adopt(engines)
        if not records:
            return True
        names = self._write_or_overtaken(lambda: self._writer.adopt_groups(records))
        if names is None:
            return False
        event("groups adopted", groups=names)
        return True

    def _write_or_overtaken(self, write):
        """Return a write's result, ``None`` if it was not made or not confirmed."""
        try:
            return write()
        except (TableChangedError, NotPlannerError) as exc:
            event("plan overtaken", step=exc.step, why=exc.detail)
            self._state.replica.refresh(0.0)
        except StateError as exc:
            warn("write of the plan not confirmed", step=exc.step, why=exc.detail)
        return None

    def _find_endings(self, statuses, actions):
        """Return the groups to end: names mapped to pairs of ``at_once`` and cause."""
        self._orders.refusals = {
            name: why
            for name, why in self._orders.refusals.items()
            if name in statuses and statuses[name].group.phase == SERVING
        }
        endings = {name: (True, why) for name, why in self._orders.refusals.items()}
        endings.update(
            {n: (a.at_once, a.end_cause) for n, a in actions.items() if a.end_cause}
        )
        return endings

    def _group_statuses(self, engines):
        now = self._clock.monotonic()
        evacuated = self._inputs.evacuated_data_centers()
        statuses, phase_since = {}, {}
        for group in self._state.groups.values():
            key = group.name, group.phase
            phase_since[key] = self._phase_since.get(key, now)
            engine = engines.get(group.service)
            model = engine.models.get(group.model) if engine else None
            statuses[group.name] = GroupStatus(
                group,
                tuple(self._monitor.view(group, m, evacuated) for m in group.members),
                now - phase_since[key],
                model.load_s if model else 0.0,  # an unknown model gets no time to form
                group.name in self._orders.groups_with_retired_head,
                self._is_order_pending(group, now),
            )
        self._phase_since = phase_since
        self._monitor.keep_only(self._state.groups.values())
        self._orders.groups_with_retired_head &= set(statuses)
        return statuses

    def _is_order_pending(self, group, now):
        """Return whether a group's head may still execute an earlier order.

        It is unknown which orders of an earlier planner had a response. They count as
        sent when the head was first seen open, or else when this node began to plan.
        """
        head = group.head.server
        # Without an unanswered order the time counts as expired.
        sent_at = self._orders.unanswered_at.get(head, -ORDER_EXPIRY_S)
        if group.epoch < self._min_own_epoch:
            open_since = self._registry.open_since(head, group.epoch)
            sent_at = max(sent_at, open_since or self._planner_since)
        return now - sent_at < ORDER_EXPIRY_S

    def _plan_service(self, service, engine, finished, endings):
        ahead = self._inputs.plans_ahead(service)
        demand = self._smooth_demand(service if ahead else "")
        self._drop_obsolete_shifts()
        free = self._free_servers(service, {group.name for group in finished})
        group_counts = self._group_counts(service, endings)
        at_start, measured = self._inputs.is_before_first_request(), bool(demand)
        if not measured:
            demand = expected_demand(engine, len(self._registry.servers))
        max_loads = len(free) if at_start else self._loads_left(engine)
        self.capacity.update(
            service,
            engine.models,
            group_counts,
            demand,
            free=len(free),
            loads_left=max_loads,
            shifts=len(self._shifts),
        )
        unchanged_s = self._clock.monotonic() - self._registry.last_new_server_at
        settled = not at_start or unchanged_s >= SETTLING_S
        order = self._model_order(service, engine, demand, ahead and measured)
        found = assemble(
            free, engine.models, group_counts, demand, max_loads, settled, order
        )
        shift = Shift()
        # If a group can form without loads, a shift waits for a later step.
        if measured and all(formation.loads for formation in found):
            counts = self._group_counts(service, endings, exclude_loading=True)
            shift = self._find_shift(service, order, free, counts, endings)
            found = [f for f in found if is_compatible(f, shift)]
        self._scarcest[service] = order.scarcest(group_counts)
        return Plan(service, engine, found, shift, group_counts, demand, at_start)

    def _model_order(self, service, engine, demand, ahead):
        """Return the ``ModelOrder`` of a service."""
        if not ahead:
            return CoverageOrder(engine.models, demand)
        ranks = self._inputs.model_ranks(service)
        return UrgencyOrder(engine.models, demand, ranks)

    def _drop_obsolete_shifts(self):
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

    def _smooth_demand(self, service=""):
        """Return the demand to plan for; it follows each fall slowly.

        For the models of ``service``, it also follows the newest second.
        """
        now, mean = self._clock.monotonic(), self._inputs.demand()
        if not service:
            return self._forecast.update(now, mean)
        newest, work = self._inputs.newest_demand(), self._inputs.request_work(service)
        demand = self._forecast.update(now, mean, newest, work)
        for change in self._forecast.changes(now, mean, newest, work):
            self.capacity.log_forecast(service, change)
        return demand

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
        ratio = START_RATIO if plan.at_start else 1.0
        now = self._clock.monotonic()
        self._load_limit.record_loads(
            formation.loads, load_s * ratio, now, unrated=plan.at_start
        )
        # Each formation fulfils one shift to its model, whichever servers it uses.
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

    def _find_shift(self, service, order, free, group_counts, endings):
        """Return the best ``Shift``; count pending shifts in ``group_counts``."""
        for shift in self._shifts:
            key = shift.model, ""  # only the sum over the data centres is used
            group_counts[key] = group_counts.get(key, 0) + 1
        shiftable = [
            ShiftableGroup(group.name, group.model, self._as_free_servers(group))
            for group in self._state.groups.values()
            if group.phase == SERVING
            and group.service == service
            and group.name not in endings
        ]
        return find_shift(
            shiftable, free, order.models, group_counts, order.demand, order
        )

    def _as_free_servers(self, group):
        """Return a group's servers as they would be if they were free."""
        entries = (self._registry.servers.get(m.server) for m in group.members)
        return tuple(as_free_server(e, group.model) for e in entries if e is not None)

    def _stage(self, service, engine, reserved_loads):
        """Order hosts to load the weights that they may need next.

        ``reserved_loads`` of the loads that may begin now are left to groups.
        """
        now, at_start = self._clock.monotonic(), self._inputs.is_before_first_request()
        self._staging_until = {s: t for s, t in self._staging_until.items() if t > now}
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
                available=entry.server not in self._staging_until
                and (entry.server not in groups or entry.group_membership is not None),
            )
            for entry in self._registry.usable_of_service(service)
        ]
        max_loads = self._loads_left(engine) - (0 if at_start else reserved_loads)
        for server, model in choose_staging(
            hosts, engine.models, max_loads, at_start, self._scarcest.get(service, "")
        ):
            load_s = engine.models[model].load_s * (START_RATIO if at_start else 1.0)
            self._load_limit.record_loads(1, load_s, now, unrated=at_start)
            self._staging_until[server] = now + 2 * load_s
            entry = self._registry.servers[server]
            member = Member(server, entry.born, entry.address)
            self._tasks.spawn(self._orders.send, "", member, StageOrder(model))

    def _free_servers(self, service, finished_names):
        """Return the servers that a new group may use."""
        evacuated = self._inputs.evacuated_data_centers()
        taken = {
            server
            for server, name in self._state.group_of_server().items()
            if name not in finished_names
        }
        taken |= self._unrecorded.servers()
        reserved = {s: shift.model for shift in self._shifts for s in shift.servers}
        return [
            as_free_server(entry, entry.model, reserved.get(entry.server, ""))
            for entry in self._registry.usable_of_service(service)
            if entry.server not in taken
            and entry.data_center not in evacuated
            and self._monitor.is_usable(entry)
        ]

    def _group_counts(self, service, endings, exclude_loading=False):
        """Return the number of groups that are not to end, by model and data centre.

        Groups without a registered head do not count, nor loading ones if excluded.
        """
        counts = {}
        for group in self._state.groups.values():
            entry = self._registry.servers.get(group.head.server)
            keeps_serving = group.phase == SERVING and group.name not in endings
            if exclude_loading and keeps_serving and self._loads_weights(group):
                continue
            if keeps_serving and group.service == service and entry:
                key = group.model, entry.data_center
                counts[key] = counts.get(key, 0) + 1
        return counts

    def _loads_weights(self, group):
        """Return whether a member now loads from the weight store to join."""
        return any(self._is_loading(member.server) for member in group.members)

    def _is_loading(self, server):
        """Return whether a server now loads from the weight store to join its group."""
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
        formations = [fields for plan in plans for fields in plan.group_fields()]
        if not (endings or finished or formations):
            return True
        to_end = [(self._state.groups[name], endings[name][0]) for name in endings]
        if not self._write_or_overtaken(
            lambda: self._writer.write_groups(to_end, finished, formations) or True
        ):
            return False
        for name, (at_once, why) in endings.items():
            event("group ended", group=name, why=why, at_once=at_once)
        for group in finished:
            event("group dissolved", group=group.name, model=group.model)
        for plan in plans:
            self._record_plan(plan)
        return True
