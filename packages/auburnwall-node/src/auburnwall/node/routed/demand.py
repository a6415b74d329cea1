"""Measure the demand of callers by model, as the number of groups it keeps busy.

A demand of two groups means that the requests of one second keep one group busy for two
seconds, or two groups for one second.
"""

from collections import defaultdict

from auburnwall.routing.step_model import Work, group_seconds_per_request

from .model_ranks import ModelRanks

# Factor by which older demand decays in the moving average, per second. The demand of
# about four seconds ago has a third of the weight of the newest.
DECAY_PER_S = 0.75
# Time with traffic after which the averages are good enough for planning, in seconds.
MIN_MEASURED_S = 3.0
# Maximum work of one request in the newest second's demand, relative to the engine's
# mean request. Otherwise one request that states too many tokens looks like a jump.
MAX_RELATIVE_WORK = 5.0
# Minimum number of measured answers for a correction of the callers' length estimates.
MIN_ANSWERS = 20


class DemandMeter:
    """Measure the demand that arrives at this node.

    ``has_traffic`` is whether any request has arrived yet. ``ranks`` are the
    ``ModelRanks`` of the requests.
    """

    def __init__(self, clock):
        self.has_traffic = False
        self.ranks = ModelRanks()
        self._traffic_since = None
        self._clock = clock
        self._new_group_seconds = defaultdict(float)
        self._mean_groups = defaultdict(float)
        self._newest_group_seconds = defaultdict(float)
        self._newest_groups = {}
        self._updated_at = clock.monotonic()
        self._estimated_tokens = defaultdict(float)
        self._measured_tokens = defaultdict(float)
        self._answer_counts = defaultdict(int)

    def record_request(self, request, engine):
        """Count a request for a model; a retried request is not counted again."""
        if not self.has_traffic:
            self.has_traffic = True
            self._traffic_since = self._updated_at = self._clock.monotonic()
        if request.is_retried:
            return
        if engine is not None and (model := engine.models.get(request.model)):
            tokens = round(
                request.work.response_tokens * self._correction(request.model)
            )
            work = Work(request.work.prompt_tokens, max(1, tokens))
            group_seconds = group_seconds_per_request(engine, model, work)
            self._new_group_seconds[request.model] += group_seconds
            mean = Work(engine.mean_prompt_tokens, engine.mean_response_tokens)
            mean_group_seconds = group_seconds_per_request(engine, model, mean)
            bounded = min(group_seconds, MAX_RELATIVE_WORK * mean_group_seconds)
            self._newest_group_seconds[request.model] += bounded
            self.ranks.record(request.model, request.route.priority, bounded)

    def record_answer(self, request, events, tokens_per_event):
        """Record the length of a complete answer and the caller's estimate of it.

        ``events`` is the number of events of the answer's stream.
        """
        if request.model:
            self._estimated_tokens[request.model] += request.work.response_tokens
            self._measured_tokens[request.model] += events * tokens_per_event
            self._answer_counts[request.model] += 1

    def _correction(self, model):
        """Return the ratio of the measured to the estimated length of answers."""
        if self._answer_counts[model] < MIN_ANSWERS:
            return 1.0
        return self._measured_tokens[model] / max(1.0, self._estimated_tokens[model])

    def groups_needed(self):
        """Return the demand by model, in groups; empty until measured long enough.

        The averages start at zero. The division by ``covered``, the weight of the time
        measured so far, corrects this bias.
        """
        measured_s = self._measured_s()
        if measured_s < MIN_MEASURED_S:
            return {}
        covered = 1 - DECAY_PER_S**measured_s
        return {model: mean / covered for model, mean in self._mean_groups.items()}

    def newest_groups(self):
        """Return the demand by model between the last two updates, in groups.

        That is about a second. The result is empty whenever ``groups_needed`` is.
        """
        if self._measured_s() < MIN_MEASURED_S:
            return {}
        return dict(self._newest_groups)

    def _measured_s(self):
        return self._updated_at - self._traffic_since if self.has_traffic else 0.0

    def step(self):
        """Update the averages with the requests since the last call."""
        now = self._clock.monotonic()
        # The first step may follow the first request immediately; the minimum avoids a
        # division by almost zero.
        span_s = max(now - self._updated_at, 0.1)
        decay = DECAY_PER_S**span_s
        for model in set(self._mean_groups) | set(self._new_group_seconds):
            groups = self._new_group_seconds.get(model, 0.0) / span_s
            self._newest_groups[model] = (
                self._newest_group_seconds.get(model, 0.0) / span_s
            )
            self._mean_groups[model] = (
                decay * self._mean_groups[model] + (1 - decay) * groups
            )
        self._new_group_seconds.clear()
        self._newest_group_seconds.clear()
        self.ranks.decay(span_s)
        self._updated_at = now
