"""The views of the node's state that the placer and the planner decide from."""

from typing import NamedTuple

from auburnwall.base.logs import event
from auburnwall.routing.routes import ranks_of_service
from auburnwall.routing.shortage_order import (
    UNKNOWN_WORK,
    bounded_work,
    mean_work,
    ranked_services,
)
from auburnwall.routing.step_model import (
    Work,
    group_seconds_per_request,
    service_time_s,
)
from auburnwall.routing.tracked_exchange import STALL_TIMEOUT_S

# Time for which a candidate gets no requests after a first suspicion, in seconds. The
# planner needs about this long to probe the members of a suspect group; it may dissolve
# the group before the time ends.
SUSPECT_S = 2.0
# Maximum of this time, which doubles with each repeated suspicion, in seconds. A node
# that was cut off from all groups thus serves again soon after the cut.
MAX_SUSPECT_S = 4.0
# Minimum time for which a peer's report of a suspicion counts, in seconds. The peer
# repeats it with each heartbeat, of which a few may be lost.
MIN_REPORT_S = 0.6
# Time after which an earlier suspicion no longer counts, in seconds.
SUSPICION_MEMORY_S = 30.0
# Fraction of the nodes with traffic that must have measured demand. If fewer have, the
# sum of the measured demand is extrapolated to all of these nodes.
MIN_MEASURED_FRACTION = 0.5
# Assumed time that a request takes at a service without a model engine, in seconds.
DEFAULT_SERVICE_TIME_S = 0.1


class SlotUsage(NamedTuple):
    """Use of a model's or service's slots, from which waiting times are estimated.

    ``slots_in_use`` is this node's share of the slots in use. A request holds a slot
    for about ``slot_time_s`` seconds. ``forming_groups`` is the number of groups that
    are not open yet. A request of the engine's mean work holds a slot for about
    ``mean_slot_time_s``.
    """

    slots_in_use: float
    forming_groups: int
    slot_time_s: float
    mean_slot_time_s: float = DEFAULT_SERVICE_TIME_S


class SuspectCandidates:
    """Candidates that this node or a peer suspects to have failed.

    A candidate is a group or a plain server. It becomes suspect if its exchanges have
    stalled, if a request could not be sent to it, or if it is a group and refused a
    request. Peers' reports are only about groups. A node reports only its own
    observations to its peers: if nodes repeated each other's reports, a suspicion would
    never end. It reports them once it has reached any server of the service since: the
    streams of a node whose own links are lost say nothing about the groups. A node
    whose own streams from a group are not stalled ignores reports about it.

    A suspect candidate gets no requests for a time, or until this node's exchanges with
    it make progress. If it is suspected again without any progress since, the next time
    is twice as long, up to a limit. After such a time it is on probation: each node
    sends it at most one request at a time, until it makes progress, a peer's requests
    there go on, or the suspicion no longer counts. ``last_progress_at(name)`` returns
    when the exchanges of this node with a candidate last made progress. ``reach`` is
    the node's ``ServerReach``, ``service_of(name)`` returns a candidate's service.
    ``settle_s()`` is how long a report takes to reach all nodes; for so long, or
    ``MIN_REPORT_S``, each report counts.
    """

    def __init__(
        self,
        clock,
        reach,
        service_of,
        last_progress_at=lambda name: 0.0,
        settle_s=float,
    ):
        self.listeners = []
        self.last_progress_at = last_progress_at
        self._clock = clock
        self._reach = reach
        self._service_of = service_of
        self._settle_s = settle_s
        self._own_since = {}
        self._own_until = {}
        self._reported_until = {}
        self._suspicions = {}
        self._sound_at = {}

    def suspect(self, name):
        """Suspect a candidate because of this node's own exchanges with it."""
        now = self._clock.monotonic()
        if self._own_until.get(name, 0.0) < now or self._is_refuted(name):
            self._own_since[name] = now
        self._suspect(self._own_until, name, "own streams", MAX_SUSPECT_S)
        if not self._may_report(name):
            self._reach.doubt(self._service_of(name))

    def forget_own(self):
        """Forget this node's own suspicions, for example because its links were cut."""
        for name in self._own_until:
            self._suspicions.pop(name, None)
        self._own_since.clear()
        self._own_until.clear()

    def suspect_for_peer(self, name, node):
        """Suspect a candidate because the peer ``node`` does."""
        if self._clock.monotonic() - self.last_progress_at(name) < STALL_TIMEOUT_S:
            return
        report_s = max(MIN_REPORT_S, self._settle_s())
        self._suspect(self._reported_until, name, node, report_s)

    def end_reports(self, names, node):
        """Believe a peer that its requests at these candidates go on.

        That ends reports and probation. A broker has no requests of its own at a group
        whose slots it grants, so nothing else ends a probation there.
        """
        for name in names:
            if name in self._suspicions:
                self._sound_at[name] = self._clock.monotonic()
                self._reported_until.pop(name, None)
                event("group no longer doubted", group=name, source=node)

    def __contains__(self, name):
        now = self._clock.monotonic()
        until = max(self._own_until.get(name, 0.0), self._reported_until.get(name, 0.0))
        return until >= now and not self._is_refuted(name)

    def on_probation(self, name):
        """Return whether a candidate was suspected and has made no progress since."""
        suspicion = self._suspicions.get(name)
        return (
            suspicion is not None
            and not self._is_refuted(name)
            and self._sound_at.get(name, 0.0) <= suspicion.at
        )

    def own_suspects(self):
        """Return the candidates that this node reports to its peers as suspect.

        These are its own, as far as it has reached any server since. Only this method
        drops expired reports and suspicions, so it must be called regularly. The node
        calls it for each heartbeat.
        """
        now = self._clock.monotonic()
        self._own_until = {
            name: until
            for name, until in self._own_until.items()
            if until >= now and not self._is_refuted(name)
        }
        self._reported_until = {
            name: until for name, until in self._reported_until.items() if until >= now
        }
        self._suspicions = {
            name: suspicion
            for name, suspicion in self._suspicions.items()
            if now - suspicion.at < SUSPICION_MEMORY_S
        }
        self._sound_at = {
            name: at for name, at in self._sound_at.items() if name in self._suspicions
        }
        self._own_since = {name: self._own_since[name] for name in self._own_until}
        return list(filter(self._may_report, self._own_until))

    def _is_refuted(self, name):
        """Return whether a candidate has made progress since it was suspected."""
        suspicion = self._suspicions.get(name)
        return suspicion is not None and self.last_progress_at(name) > suspicion.at

    def _may_report(self, name):
        """Return whether this node has reached the service since it suspected it."""
        service = self._service_of(name)
        return self._reach.proved_since(service, self._own_since[name])

    def _suspect(self, until_by_name, name, source, max_s):
        now = self._clock.monotonic()
        if name not in self or name not in self._suspicions:
            repeated = self.on_probation(name)
            for_s = 2 * self._suspicions[name].for_s if repeated else SUSPECT_S
            for_s = min(for_s, MAX_SUSPECT_S)
            self._suspicions[name] = _Suspicion(now, for_s)
            event("group doubted", group=name, source=source, for_s=for_s)
        until_by_name[name] = now + min(max_s, self._suspicions[name].for_s)
        for listener in self.listeners:
            listener(name)


class _Suspicion(NamedTuple):
    """When a candidate became suspect, and for how long in seconds."""

    at: float
    for_s: float


class RoutingView:
    """The placer's view of the node's state."""

    def __init__(
        self,
        data_center,
        source,
        candidate_index,
        registry,
        peers,
        in_flight,
        suspects,
        time_to_start,
        notices,
    ):
        self.data_center = data_center
        self._source = source
        self._candidate_index = candidate_index
        self._registry = registry
        self._peers = peers
        self._in_flight = in_flight
        self._suspects = suspects
        self._time_to_start = time_to_start
        self._notices = notices
        self._ranked_config = None
        self._ranked_services = frozenset()

    def candidates(self, request):
        """Return the candidates for a request."""
        if self._engine_of(request) is not None:
            return self._candidate_index.by_model(request.service, request.model)
        return self._candidate_index.by_service(request.service)

    def load(self, candidate):
        """Return the known number of requests of all nodes at a candidate."""
        own = self._in_flight.count(candidate.name)
        return own + self._peers.load(candidate.name)

    def must_avoid(self, name):
        """Return whether a candidate must get no request now.

        It is suspect, or it is on probation and already has a request of this node. The
        placer uses such a plain server nevertheless if it has no other.
        """
        if name in self._suspects:
            return True
        return self._suspects.on_probation(name) and self._in_flight.count(name) > 0

    def pause_left_s(self, server):
        """Return for how many seconds a server wants no request, 0 if it takes any."""
        return self._notices.pause_left_s(server)

    def limit_per_s(self, server):
        """Return how many requests per second a server takes from all nodes.

        ``None`` if it names no limit.
        """
        return self._notices.limit_per_s(server)

    def may_send(self, candidate):
        """Return whether this node knows no reason against a granted candidate.

        Such a reason is that its server leaves or that its data centre is out.
        """
        left = self._registry.drained_incarnations.get(candidate.server)
        evacuated = self._source.evacuated_data_centers
        return left != candidate.born and candidate.data_center not in evacuated

    def cold_rate(self, candidate):
        """Return the maximum requests per second of a cold server.

        A server is cold for a time after its start, which its registration states. The
        configuration may limit its requests for that time. Returns ``None`` if the
        server is not cold or has no such limit.
        """
        if not self._registry.is_cold(candidate.server):
            return None
        entry = self._registry.servers.get(candidate.server)
        service = self._source.config.services.get(entry.service) if entry else None
        rate = service.cold_requests_per_s if service else 0.0
        return rate if rate > 0 else None

    def expected_time_to_start_s(self, request):
        """Return the mean time until a response to such a request starts, in seconds.

        The mean is over responses of the same service and model at this node. Returns
        0 if none has been measured.
        """
        return self._time_to_start.mean_s(request.service, request.model)

    def slot_usage(self, request):
        """Return the ``SlotUsage`` of the model or service that a request is for."""
        slots_in_use = self._own_share_of_slots(self.candidates(request))
        engine = self._engine_of(request)
        if engine is None:
            return SlotUsage(slots_in_use, 0, DEFAULT_SERVICE_TIME_S)
        model = engine.models.get(request.model)
        # Assume 1 s for a model that is not in the configuration.
        slot_time_s = mean_slot_time_s = 1.0
        if model is not None:
            slot_time_s, mean_slot_time_s = (
                service_time_s(engine, model, work, engine.slots)
                for work in (request.work, mean_work(engine))
            )
        forming_groups = self._candidate_index.forming_count(
            request.service, request.model
        )
        return SlotUsage(slots_in_use, forming_groups, slot_time_s, mean_slot_time_s)

    def is_ranked(self, request):
        """Return whether the routes to a request's service differ in priority.

        This is false for services without models.
        """
        config = self._source.config
        if config is not self._ranked_config:
            self._ranked_config = config
            self._ranked_services = ranked_services(config)
        return request.service in self._ranked_services

    def bounded_work(self, request):
        """Return the ``BoundedWork`` of a request."""
        engine = self._engine_of(request)
        model = engine.models.get(request.model) if engine else None
        return bounded_work(engine, model, request.work) if model else UNKNOWN_WORK

    def _own_share_of_slots(self, candidates):
        """Return this node's share of the slots in use.

        It is the number of this node's own requests, or the number of all nodes'
        requests divided by the number of live nodes if that is more. In a large fleet a
        node has few requests or none at a model, but it can also get a slot that
        another node releases.
        """
        own = sum(self._in_flight.count(c.name) for c in candidates)
        nodes = 1 + len(self._peers.live())
        return max(own, sum(map(self.load, candidates)) / nodes)

    def _engine_of(self, request):
        service = self._source.config.services.get(request.service)
        return service.engine if service else None


class DataCenterView(RoutingView):
    """A ``RoutingView`` of the groups in the node's own data centre only."""

    def candidates(self, request):
        """Return the candidates for a request in the own data centre."""
        return [
            candidate
            for candidate in super().candidates(request)
            if candidate.data_center == self.data_center
        ]


class PlanningView:
    """The planner's view of the node's state.

    ``ranks()`` returns the lowest rank of each model that this node has had requests
    for, ``plan_ahead()`` the setting of that name.
    """

    def __init__(
        self, source, peers, first_start, ranks=dict, plan_ahead=lambda: False
    ):
        self._source = source
        self._peers = peers
        self._first_start = first_start
        self._ranks = ranks
        self._plan_ahead = plan_ahead
        self._ranked_config = None
        self._ranked_services = frozenset()

    def config(self):
        """Return the configuration in force, or ``None``."""
        return self._source.config

    def evacuated_data_centers(self):
        """Return the data centres that are taken out of service."""
        return self._source.evacuated_data_centers

    def demand(self):
        """Return the demand by model, in groups; empty until it has been measured.

        After a restart of all nodes, most have not measured long enough yet. They then
        count with the mean demand of the others. If at least half have measured, the
        rest add nothing: their callers used other nodes until now, so the demand of
        these callers is still part of what the others measured.
        """
        load = self._peers.fleet_load()
        return _extrapolate(load, load.demand)

    def newest_demand(self):
        """Return the demand of the newest second by model, in groups.

        It is extrapolated as ``demand()`` is, and empty if no node reports it.
        """
        load = self._peers.fleet_load()
        return _extrapolate(load, load.newest_demand or {})

    def plans_ahead(self, service):
        """Return whether capacity between the models of a service is planned ahead.

        It is for a service with models if the setting ``plan_ahead`` is on, or if the
        routes to the service have different priorities.
        """
        config = self._source.config
        spec = config.services.get(service) if config else None
        if spec is None or spec.engine is None:
            return False
        if config is not self._ranked_config:
            # Each heartbeat asks, and there are hundreds of routes.
            self._ranked_config = config
            self._ranked_services = ranked_services(config)
        return self._plan_ahead() or service in self._ranked_services

    def reports_newest_demand(self):
        """Return whether the heartbeats must report the newest second's demand."""
        config = self._source.config
        return config is not None and any(map(self.plans_ahead, config.services))

    def request_work(self, service):
        """Return the work of a service's mean request by model, in group-seconds."""
        engine = self._source.config.services[service].engine
        work = Work(engine.mean_prompt_tokens, engine.mean_response_tokens)
        return {
            name: group_seconds_per_request(engine, model, work)
            for name, model in engine.models.items()
        }

    def model_ranks(self, service):
        """Return the lowest rank of the routes that use each model of a service.

        A model that this node has had no request for counts with the lowest rank of the
        service's routes, so that a node that has just started puts no model last.
        """
        config, measured = self._source.config, self._ranks()
        lowest = min(ranks_of_service(config, service), default=0)
        models = config.services[service].engine.models
        return {model: measured.get(model, lowest) for model in models}

    def is_before_first_request(self):
        """Return whether this is the first start and no live node has had a request.

        The setting ``first_start`` is needed as well: after a restart of all nodes none
        of them knows of earlier requests.
        """
        return self._first_start and not self._peers.fleet_load().nodes_with_traffic


def _extrapolate(load, demand):
    """Return ``demand`` of a ``Load``, scaled up if few of its nodes have measured."""
    few_measured = load.nodes_measured < MIN_MEASURED_FRACTION * load.nodes_with_traffic
    scale = (
        load.nodes_with_traffic / max(1, load.nodes_measured) if few_measured else 1.0
    )
    return {model: groups * scale for model, groups in demand.items()}
