"""The paces of groups: what a node measures, hears of peers and derives from both."""

from auburnwall.base.lateness import LATE_S
from auburnwall.base.logs import event
from auburnwall.routing.expected_start import CandidatePaces, StartEstimate
from auburnwall.routing.pace_reports import SLOW_PACE
from auburnwall.routing.response_timing import StepTimes

from .fleet_load import paces_from_wire, paces_to_wire

# Interval at which the slow candidates are logged, in seconds.
SLOW_CHECK_INTERVAL_S = 0.25
# Pace below which a slow candidate is logged as normal again. The distance to that from
# which it is slow keeps a candidate near the limit from being logged all the time.
NORMAL_PACE = 1.25


class StartTimes:
    """Measures the responses of groups and estimates when a new one starts.

    Only streams of models are measured, as the time until another response depends on
    its length. ``source`` has the configuration, ``load(candidate)`` returns the number
    of requests of all nodes at a candidate. ``lateness`` is the node's
    ``LoopLateness``.
    """

    def __init__(self, source, load, clock, lateness):
        self._source = source
        self.paces = CandidatePaces(
            clock, load, lambda since: lateness.recent_s(since) > LATE_S
        )
        self._times = {}
        self._times_of = None
        self._slow = set()

    def new_timing(self, request, candidate):
        """Return the ``ResponseTiming`` of a request, ``None`` if it is not measured.

        A peer that serves a detour has no slots and is no candidate.
        """
        if not request.route.streams or not candidate.slots:
            return None
        times = self._step_times(request)
        if times is None:
            return None
        return self.paces.begin(
            (request.service, request.model),
            candidate,
            times,
            request.work.prompt_tokens,
        )

    def start_estimate(self, request, candidates):
        """Return a ``StartEstimate`` if the paces of the candidates differ."""
        uneven = self.paces.uneven()
        if not uneven or not any(c.name in uneven for c in candidates):
            return None
        times = self._step_times(request)
        if times is None:
            return None
        return StartEstimate(self.paces, times, request.work.prompt_tokens)

    def paces_to_tell(self):
        """Return the ``SlowPace`` of groups that this node finds slow, by name."""
        return paces_to_wire(self.paces.own_reports())

    def note_peer_paces(self, paces, node, includes_own):
        """Replace the ``SlowPace`` by group that a peer has told, or all nodes have."""
        self.paces.note_reports(
            "all" if includes_own else node,
            paces_from_wire(paces),
            includes_own=includes_own,
        )

    def slow_count(self):
        """Return the number of slow candidates."""
        return len(self._slow)

    def log_changes(self):
        """Log which candidates have become slow or normal again."""
        paces = self.paces.paces()
        for name, pace in paces.items():
            if pace >= SLOW_PACE and name not in self._slow:
                self._slow.add(name)
                self._log("candidate slow", name, pace)
        for name in sorted(self._slow):
            pace = paces.get(name, 1.0)
            if pace < NORMAL_PACE:
                self._slow.discard(name)
                self._log("candidate normal again", name, pace)

    def _log(self, text, name, pace):
        own, reported = self.paces.responses(name)
        event(text, group=name, pace=round(pace, 2), responses=own, reported=reported)

    def _step_times(self, request):
        """Return the ``StepTimes`` of a request's model, ``None`` if it has none."""
        config = self._source.config
        if config is not self._times_of:
            self._times, self._times_of = {}, config
        key = request.service, request.model
        if key not in self._times:
            service = config.services.get(request.service) if config else None
            engine = service.engine if service else None
            model = engine.models.get(request.model) if engine else None
            self._times[key] = StepTimes(engine, model) if model else None
        return self._times[key]
