"""Counters and HDR histograms in the Prometheus text format."""

from collections import defaultdict

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)


def new_histogram():
    """Return a histogram of 1 ms to one hour with two significant digits."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)


class DurationHistograms:
    """A collector with one histogram of durations for each set of label values."""

    def __init__(self, name, documentation, labels):
        self._name = name
        self._documentation = documentation
        self._labels = labels
        self._histograms = defaultdict(new_histogram)
        self._sums = defaultdict(float)

    def observe(self, seconds, *labels):
        """Record one duration, limited to the range of the histogram."""
        milliseconds = min(max(LOWEST_MS, round(seconds * 1000)), HIGHEST_MS)
        self._histograms[labels].record_value(milliseconds)
        self._sums[labels] += seconds

    def collect(self):
        """Yield a summary of each histogram: count, sum and quantiles in seconds."""
        family = SummaryMetricFamily(
            self._name, self._documentation, labels=self._labels
        )
        for labels, histogram in self._histograms.items():
            family.add_metric(labels, histogram.get_total_count(), self._sums[labels])
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1000
                family.add_sample(
                    self._name,
                    {
                        **dict(zip(self._labels, labels, strict=True)),
                        "quantile": str(percentile / 100),
                    },
                    value,
                )
        yield family


class MetricsRegistry:
    """Metrics of one process in a separate registry."""

    def __init__(self):
        self.registry = CollectorRegistry()

    def gauge(self, name, documentation, function):
        """Add a gauge whose value is the result of ``function`` at each scrape."""
        Gauge(name, documentation, registry=self.registry).set_function(function)

    def exposition(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        return generate_latest(self.registry)


class Metrics(MetricsRegistry):
    """Metrics of one process: its requests and their durations."""

    def __init__(self):
        super().__init__()
        self.requests = Counter(
            "auburnwall_requests",
            "Requests by target, team and status.",
            ["target", "team", "status"],
            registry=self.registry,
        )
        self.first_token = DurationHistograms(
            "auburnwall_first_token_seconds",
            "Time to the first token.",
            ["target", "team"],
        )
        self.duration = DurationHistograms(
            "auburnwall_request_seconds",
            "Time to the end of the answer.",
            ["target", "team"],
        )
        self.registry.register(self.first_token)
        self.registry.register(self.duration)
