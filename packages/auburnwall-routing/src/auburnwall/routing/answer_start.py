"""How long servers take to start a response, as measured at this node."""

# Weight of the newest response in the moving mean: the last twenty count the most.
NEWEST_WEIGHT = 0.05
# Largest multiple of the mean that one response counts as, because the times of a
# stalled group say nothing about the other groups.
MAX_MEAN_MULTIPLE = 3.0


class TimeToStart:
    """Moving mean of the time from sending a request to the start of its response.

    A stream starts with its first event; any other response counts as started when it
    is complete. Objectives are defined in the same way. There is one mean for each
    service and model.
    """

    def __init__(self):
        self._means = {}

    def record(self, service, model, seconds):
        """Add the time to the start of one response, in seconds."""
        key = service, model
        mean = self._means.get(key)
        if mean is None:
            self._means[key] = seconds
        else:
            capped = min(seconds, MAX_MEAN_MULTIPLE * mean)
            self._means[key] = mean + NEWEST_WEIGHT * (capped - mean)

    def mean_s(self, service, model):
        """Return the mean in seconds, 0 before the first response."""
        return self._means.get((service, model), 0.0)
