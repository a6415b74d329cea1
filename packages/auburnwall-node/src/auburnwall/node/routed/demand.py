"""How much work callers ask for, in groups' worth, by model."""

from collections import defaultdict

from auburnwall.routing.step_model import Work, group_share

# Weight of the past in the mean that is kept, per second: what callers asked for some
# four seconds ago counts a third.
MEMORY_PER_S = 0.75
# Time with requests after which the means say enough to plan by, in seconds.
SETTLED_S = 3.0
# Answers that are counted before the callers' guesses of their length are corrected.
FEW_ANSWERS = 20


class DemandMeter:
    """Measure the work that requests bring to this node."""

    def __init__(self, clock):
        self.has_traffic = False
        self._traffic_from = None
        self._clock = clock
        self._sums = defaultdict(float)
        self._rates = defaultdict(float)
        self._from = clock.monotonic()
        self._guessed = defaultdict(float)
        self._written = defaultdict(float)
        self._answers = defaultdict(int)

    def note(self, request, engine):
        """Count a request for a model, once however often its caller comes back."""
        if not self.has_traffic:
            self.has_traffic = True
            self._traffic_from = self._from = self._clock.monotonic()
        if request.is_retried:
            return
        if engine is not None and (model := engine.models.get(request.model)):
            answer = round(request.work.answer * self._correction(request.model))
            work = Work(request.work.prompt, max(1, answer))
            self._sums[request.model] += group_share(engine, model, work)

    def note_answer(self, request, events, tokens_per_event):
        """Compare a complete answer with its caller's guess of its length."""
        if request.model:
            self._guessed[request.model] += request.work.answer
            self._written[request.model] += events * tokens_per_event
            self._answers[request.model] += 1

    def _correction(self, model):
        """Return how many times longer answers are than guessed, on the whole."""
        if self._answers[model] < FEW_ANSWERS:
            return 1.0
        return self._written[model] / max(1.0, self._guessed[model])

    def rates(self):
        """Return groups' worth of work by model; empty until that says enough.

        The means begin at nothing; what they lack on that account is made up for.
        """
        if not self.has_traffic:
            return {}
        measured_s = self._from - self._traffic_from
        if measured_s < SETTLED_S:
            return {}
        part = 1 - MEMORY_PER_S**measured_s
        return {model: rate / part for model, rate in self._rates.items()}

    def step(self):
        """Take the last second or so into the means."""
        now = self._clock.monotonic()
        span_s = max(now - self._from, 0.1)
        keep = MEMORY_PER_S**span_s
        for model in set(self._rates) | set(self._sums):
            present = self._sums.get(model, 0.0) / span_s
            self._rates[model] = keep * self._rates[model] + (1 - keep) * present
        self._sums.clear()
        self._from = now
