"""Plan and order groups while this node is the planner."""

from auburnwall.base.logs import event, warn
from auburnwall.state.exceptions import StateError, TableChangedError

from ..engines.group import JoinOrder, OrderOutcome
from ..exceptions import EngineError
from .assembly import FreeServer, assemble, coverage
from .lifecycle import GroupView, next_step
from .loads import LoadAllowance
from .records import SERVING, Member, NotPlannerError

# Time until an order that shows no effect is given again: the registrations that
# would show it are up to 0.5 s old.
ORDER_AGAIN_S = 0.8
# A load before there is traffic takes this part of its time.
QUIET_LOAD_SHARE = 0.1


class Conductor:
    """Keep the groups of all services with engines.

    ``world`` offers ``config()`` (a ``RoutingConfig`` or ``None``), ``data_centers_out()``
    (names), ``demand()`` (groups' worth of work by model, ``None`` before traffic).
    """

    def __init__(self, state, writer, registry, watch, engine, world, clock, tasks):
        self._state = state
        self._writer = writer
        self._registry = registry
        self._watch = watch
        self._engine = engine
        self._world = world
        self._clock = clock
        self._tasks = tasks
        self._since = {}
        self._given = {}
        self._refused = {}
        self._loads = LoadAllowance()

    def step(self):
        """Decide, write the decisions, and give the orders that follow from them."""
        config = self._world.config()
        if config is None or not self._writer.plans():
            return
        engines = {
            service.name: service.engine
            for service in config.services.values()
            if service.engine
        }
        views = self._views(engines)
        steps = {name: next_step(view) for name, view in views.items()}
        self._refused = {
            name: why
            for name, why in self._refused.items()
            if name in views and views[name].group.phase == SERVING
        }
        ended = [
            (views[name].group, step.at_once)
            for name, step in steps.items()
            if step.end or (name in self._refused and not step.free)
        ]
        finished = [views[name].group for name, step in steps.items() if step.free]
        formations = [
            formation
            for service, engine in engines.items()
            for formation in self._formations(service, engine, finished)
        ]
        if self._write(ended, finished, formations, steps):
            self._give_orders(views, steps)

    def _views(self, engines):
        now = self._clock.monotonic()
        out = self._world.data_centers_out()
        views, since = {}, {}
        for group in self._state.groups.values():
            key = group.name, group.phase
            since[key] = self._since.get(key, now)
            engine = engines.get(group.service)
            model = engine.models.get(group.model) if engine else None
            views[group.name] = GroupView(
                group,
                tuple(self._watch.view(group, m, out) for m in group.members),
                now - since[key],
                model.load_s if model else 0.0,
            )
        self._since = since
        return views

    def _formations(self, service, engine, finished):
        """Return tuples of service, model and members to write."""
        now, demand = self._clock.monotonic(), self._world.demand()
        free = self._free_servers(service, {group.name for group in finished})
        standing = self._standing(service)
        quiet = demand is None
        allowance = (
            len(free)
            if quiet
            else self._loads.left(engine.loads_per_s, engine.loads_at_once, now)
        )
        if quiet:
            demand = {
                model.name: model.share / model.members * len(self._registry.servers)
                for model in engine.models.values()
            }
        found = assemble(free, engine.models, standing, demand, allowance)
        for formation in found:
            load_s = engine.models[formation.model].load_s
            share = QUIET_LOAD_SHARE if quiet else 1.0
            self._loads.note(formation.loads, load_s * share, now)
            event(
                "group planned",
                model=formation.model,
                peers=[member.server for member in formation.members],
                ready_s=round(formation.ready_s, 1),
                coverage=round(coverage(formation.model, standing, demand), 2),
                demand=round(demand.get(formation.model, 0.0), 2),
                free=len(free),
            )
        return [
            (
                service,
                formation.model,
                tuple(Member(m.server, m.born, m.address) for m in formation.members),
            )
            for formation in found
        ]

    def _free_servers(self, service, finished):
        """Return the servers that a new group may take."""
        out = self._world.data_centers_out()
        taken = {
            server
            for server, name in self._state.group_of_server().items()
            if name not in finished
        }
        return [
            FreeServer(
                entry.server,
                entry.born,
                entry.address,
                entry.domain,
                entry.data_center,
                entry.model,
                entry.staged,
            )
            for entry in self._registry.of_service(service)
            if entry.server not in taken
            and entry.data_center not in out
            and not self._watch.silent(entry.server)
        ]

    def _standing(self, service):
        """Return the number of serving groups by model and data centre."""
        counts = {}
        for group in self._state.groups.values():
            entry = self._registry.servers.get(group.head.server)
            if group.phase == SERVING and group.service == service and entry:
                place = group.model, entry.data_center
                counts[place] = counts.get(place, 0) + 1
        return counts

    def _write(self, ended, finished, formations, steps):
        """Write the decisions; return whether orders may follow."""
        if not (ended or finished or formations):
            return True
        try:
            self._writer.write_groups(ended, finished, formations)
        except (TableChangedError, NotPlannerError) as exc:
            event("plan overtaken", step=exc.step, why=exc.detail)
            return False
        except StateError as exc:
            warn("plan not written", step=exc.step, why=exc.detail)
            return False
        for group, at_once in ended:
            why = steps[group.name].end or self._refused[group.name]
            event("group ended", group=group.name, why=why, at_once=at_once)
        for group in finished:
            event("group dissolved", group=group.name, model=group.model)
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
            for server, order in step.orders.items():
                self._give_once(views[name].group, server, order, now)

    def give_joins_of_new_groups(self):
        """Order the members of groups that were just written, without a round's wait."""
        now = self._clock.monotonic()
        for group in self._state.groups.values():
            if (group.name, group.phase) in self._since or group.phase != SERVING:
                continue
            servers = tuple(member.server for member in group.members)
            join = JoinOrder(group.name, group.epoch, group.model, servers)
            for server in servers:
                self._give_once(group, server, join, now)

    def _give_once(self, group, server, order, now):
        key = server, order
        if key in self._given:
            return
        self._given[key] = now
        member = next(m for m in group.members if m.server == server)
        self._tasks.spawn(self._give, group, member, order)

    def _give(self, group, member, order):
        try:
            outcome = self._engine.give(member.server, member.address, order)
        except EngineError as exc:
            event(
                "order unanswered",
                peer=member.server,
                group=group.name,
                order=type(order).__name__,
                why=exc.detail,
            )
            return
        event(
            "order given",
            peer=member.server,
            group=group.name,
            order=type(order).__name__,
            epoch=getattr(order, "epoch", None),
            outcome=outcome.value,
        )
        joins = isinstance(order, JoinOrder) and order.group == group.name
        if joins and outcome in (OrderOutcome.STALE, OrderOutcome.WRONG_SERVER):
            self._refused[group.name] = f"{member.server} refused: {outcome.value}"
