"""What the decisions on placing and planning see of the rest of the node."""

from collections import Counter
from typing import NamedTuple

from auburnwall.base.logs import event
from auburnwall.routing.step_model import service_time

# A group that stood still gets nothing for this long, unless the planner ends it
# before, in seconds: the time that the planner takes to ask its members.
SUSPECT_S = 2.0
# The same at most for one that is doubted again and again, in seconds: a node that was
# cut off from all groups serves again soon after the cut.
MAX_SUSPECT_S = 4.0
# Time after which an earlier doubt says nothing any more, in seconds.
FORGOTTEN_S = 30.0
# Part of the nodes with callers that must have measured for their sum to be the whole.
FEW_MEASURED_PART = 0.5
# Time that a request takes at a plain service until one was measured, in seconds.
PLAIN_SERVICE_S = 0.1


class Capacity(NamedTuple):
    """What is known of a model's or service's capacity.

    See ``load_shedding.WaitContext``.
    """

    serving: float
    forming: int
    service_s: float


class SuspectGroups:
    """Groups that stand still, by this node's own streams or a peer's word.

    Only what this node saw itself is passed on: peers that repeated each other's word
    would never end a doubt. A group that is doubted again without having moved is left
    for longer each time, and in between it is tried with one request at a time.
    ``last_progress_at(name)`` is when its streams at this node last moved.
    """

    def __init__(self, clock, last_progress_at=lambda name: 0.0):
        self.listeners = []
        self.last_progress_at = last_progress_at
        self._clock = clock
        self._own = {}
        self._heard = {}
        self._suspected = {}

    def suspect(self, name):
        """Doubt a group whose streams at this node stand still."""
        self._suspect(self._own, name, "own streams")

    def suspect_for_peer(self, name, node):
        """Doubt a group because a peer does."""
        self._suspect(self._heard, name, node)

    def __contains__(self, name):
        now = self._clock.monotonic()
        return max(self._own.get(name, 0.0), self._heard.get(name, 0.0)) >= now

    def on_probation(self, name):
        """Return whether a group was doubted and has not moved since."""
        suspected = self._suspected.get(name)
        return suspected is not None and self.last_progress_at(name) <= suspected.at

    def own_names(self):
        """Return the groups that this node's own streams make it doubt."""
        now = self._clock.monotonic()
        self._own = {name: until for name, until in self._own.items() if until >= now}
        self._heard = {name: u for name, u in self._heard.items() if u >= now}
        self._suspected = {
            name: suspected
            for name, suspected in self._suspected.items()
            if now - suspected.at < FORGOTTEN_S
        }
        return list(self._own)

    def _suspect(self, suspects, name, source):
        now = self._clock.monotonic()
        if name not in self:
            again = self.on_probation(name)
            for_s = 2 * self._suspected[name].for_s if again else SUSPECT_S
            self._suspected[name] = _Suspected(now, min(for_s, MAX_SUSPECT_S))
            event("group doubted", group=name, source=source, for_s=for_s)
        suspects[name] = now + self._suspected[name].for_s
        for listener in self.listeners:
            listener(name)


class _Suspected(NamedTuple):
    """When a group came to be doubted, and for how long."""

    at: float
    for_s: float


class RoutingView:
    """The placer's view."""

    def __init__(
        self,
        data_center,
        source,
        candidate_index,
        registry,
        peers,
        in_flight,
        suspects,
        start_times,
    ):
        self.data_center = data_center
        self._source = source
        self._candidate_index = candidate_index
        self._registry = registry
        self._peers = peers
        self._in_flight = in_flight
        self._suspects = suspects
        self._start_times = start_times

    def candidates(self, request):
        """Return where a request may go."""
        if self._engine(request) is not None:
            return self._candidate_index.by_model(request.service, request.model)
        return self._candidate_index.by_service(request.service)

    def load(self, candidate):
        """Return the requests that all nodes have at a candidate, as far as known."""
        own = self._in_flight.count(candidate.name)
        return own + self._peers.load(candidate.name)

    def is_suspect(self, name):
        """Return whether a group stands still, or is being tried with a request."""
        if name in self._suspects:
            return True
        return self._suspects.on_probation(name) and self._in_flight.count(name) > 0

    def cold_rate(self, candidate):
        """Return the requests a second that a cold server bears, or ``None``."""
        if not self._registry.is_cold(candidate.server):
            return None
        entry = self._registry.servers.get(candidate.server)
        service = self._source.config.services.get(entry.service) if entry else None
        rate = service.cold_per_s if service else 0.0
        return rate if rate > 0 else None

    def expected_start_s(self, request):
        """Return how long servers take to begin such an answer, as far as known."""
        return self._start_times.mean_s(request.service, request.model)

    def capacity(self, request):
        """Return what is ``Capacity`` of the capacity that a request needs."""
        serving = self._serving(self.candidates(request))
        engine = self._engine(request)
        if engine is None:
            return Capacity(serving, 0, PLAIN_SERVICE_S)
        model = engine.models.get(request.model)
        service_s = (
            service_time(engine, model, request.work, engine.slots) if model else 1.0
        )
        forming = self._candidate_index.forming_count(request.service, request.model)
        return Capacity(serving, forming, service_s)

    def _serving(self, candidates):
        """Return this node's part of the places in use, at least an equal one.

        In a large fleet a node has few requests or none at a model, but a place that
        any other one gives back is as good to it.
        """
        own = sum(self._in_flight.count(c.name) for c in candidates)
        nodes = 1 + len(self._peers.live())
        return max(own, sum(map(self.load, candidates)) / nodes)

    def _engine(self, request):
        service = self._source.config.services.get(request.service)
        return service.engine if service else None


class PlanningView:
    """The planner's view."""

    def __init__(self, source, peers, own_pulse, first_start):
        self._source = source
        self._peers = peers
        self._own_pulse = own_pulse
        self._first_start = first_start

    def config(self):
        """Return the configuration in force, or ``None``."""
        return self._source.config

    def data_centers_out(self):
        """Return the data centres that get nothing."""
        return self._source.data_centers_out

    def demand(self):
        """Return groups' worth of work by model, empty until it was measured.

        While most nodes have not measured long enough, after a restart of all, they
        count like the mean of the others. Otherwise they do not: what their callers
        ask for was asked of the others until now, and is still in what these measured.
        """
        pulses = [*self._peers.live().values(), self._own_pulse()]
        asked = [pulse for pulse in pulses if pulse.has_traffic]
        measured = [pulse.demand for pulse in asked if pulse.demand]
        total = Counter()
        for demand in measured:
            total.update(demand)
        few = len(measured) < FEW_MEASURED_PART * len(asked)
        share = len(asked) / max(1, len(measured)) if few else 1.0
        return {model: work * share for model, work in total.items()}

    def loads_are_free(self):
        """Return whether the system starts for the first time and had no request yet.

        After a restart of everything nobody remembers the requests before it.
        """
        pulses = [*self._peers.live().values(), self._own_pulse()]
        return self._first_start and not any(pulse.has_traffic for pulse in pulses)
