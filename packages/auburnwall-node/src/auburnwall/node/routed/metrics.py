"""Metrics of a routed node."""

from prometheus_client import Counter

from auburnwall.base.metrics import MetricsRegistry, Timings


class RoutedMetrics(MetricsRegistry):
    """Counters, gauges and timings of a routed node."""

    def __init__(self):
        super().__init__()
        self._answers = Counter(
            "auburnwall_answers",
            "Answers to callers by route and status.",
            ["route", "status"],
            registry=self.registry,
        )
        self._refusals = Counter(
            "auburnwall_refusals",
            "Requests that this node answered itself, by status and step.",
            ["status", "step"],
            registry=self.registry,
        )
        self._took = Timings(
            "auburnwall_answer_seconds", "Time to the end of the answer.", ["route"]
        )
        self.registry.register(self._took)

    def note(self, route, status, took_s):
        """Count an answer that a server gave."""
        self._answers.labels(route, str(status)).inc()
        self._took.observe(took_s, route)

    def note_problem(self, status, step):
        """Count an answer of this node's own."""
        self._refusals.labels(str(status), step).inc()
