"""How long servers take to begin an answer, as this node has seen it."""

# Part of the mean that the newest answer makes up: the last twenty count the most.
NEWEST_PART = 0.05
# An answer counts at most this many times the mean: those of a group that stood still
# say nothing of the others.
MAX_TIMES = 3.0


class AnswerStartTimes:
    """The mean time from sending a request to the beginning of its answer.

    For a stream that is its first event, for other answers their end: what objectives
    count. It is kept for each service and model.
    """

    def __init__(self):
        self._means = {}

    def record(self, service, model, seconds):
        """Count one answer."""
        key = service, model
        mean = self._means.get(key)
        if mean is None:
            self._means[key] = seconds
        else:
            counted = min(seconds, MAX_TIMES * mean)
            self._means[key] = mean + NEWEST_PART * (counted - mean)

    def mean_s(self, service, model):
        """Return the mean in seconds, 0 as long as nothing is known."""
        return self._means.get((service, model), 0.0)
