"""Metrics of a routed node."""

from prometheus_client import Counter
from prometheus_client.core import GaugeMetricFamily

from auburnwall.base import memory
from auburnwall.base.metrics import DurationHistograms, MetricsRegistry
from auburnwall.routing.rank_counts import RankCounts

from .source import HELD, REFUSED


class RoutedMetrics(MetricsRegistry, RankCounts):
    """Counters, gauges and timings of a routed node."""

    def __init__(self):
        super().__init__()
        self._responses = Counter(
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
        self._place_refusals = Counter(
            "auburnwall_place_refusals",
            "Requests that this node or its broker gave no slot, by rank.",
            ["rank"],
            registry=self.registry,
        )
        self._place_evictions = Counter(
            "auburnwall_place_evictions",
            "Waiting requests that left a queue in favour of others, by rank.",
            ["rank"],
            registry=self.registry,
        )
        self._connections_closed = Counter(
            "auburnwall_caller_connections_closed",
            "Connections of callers that were closed, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._versions = Counter(
            "auburnwall_configurations",
            "Versions of the configuration that were read, by what became of them.",
            ["outcome"],
            registry=self.registry,
        )
        self._durations = DurationHistograms(
            "auburnwall_answer_seconds", "Time to the end of the answer.", ["route"]
        )
        self.registry.register(self._durations)

    def record_response(self, route, status, duration_s):
        """Record a server's response, which ended ``duration_s`` after the call."""
        self._responses.labels(route, str(status)).inc()
        self._durations.observe(duration_s, route)

    def record_problem(self, status, step):
        """Record an error response of this node."""
        self._refusals.labels(str(status), step).inc()

    def record_version(self, outcome):
        """Record what became of a version of the configuration."""
        self._versions.labels(outcome).inc()

    def record_refusal(self, rank):
        """Record that a request got no slot and was refused."""
        self._place_refusals.labels(str(rank)).inc()

    def record_eviction(self, rank):
        """Record that a waiting request left a queue in favour of others."""
        self._place_evictions.labels(str(rank)).inc()

    def record_connection_closed(self, reason):
        """Record that the connection to a caller was closed."""
        self._connections_closed.labels(reason).inc()


class TableAges:
    """A collector of each table's copy: its age, and the records it holds back.

    ``replicas`` are the copies, by name. A copy whose age is not known has none.
    """

    def __init__(self, replicas):
        self._replicas = replicas

    def collect(self):
        """Yield the two gauges, each with a sample for each table."""
        ages = GaugeMetricFamily(
            "auburnwall_table_age_seconds",
            "Time since the copy of a table was known to be complete.",
            labels=["table"],
        )
        held_back = GaugeMetricFamily(
            "auburnwall_table_held_back",
            "Keys of the copy whose records are not in force yet.",
            labels=["table"],
        )
        for name, replica in self._replicas.items():
            age_s = replica.age_s()
            if age_s is not None:
                ages.add_metric([name], age_s)
            held_back.add_metric([name], len(replica.unsettled))
        yield ages
        yield held_back


class CapacityGauges:
    """A collector of the demand and the coverage of each model.

    ``capacities()`` returns lists of ``ModelCapacity``, none unless this node plans.
    """

    def __init__(self, capacities):
        self._capacities = capacities

    def collect(self):
        """Yield the two gauges, each with a sample for each model."""
        demand = GaugeMetricFamily(
            "auburnwall_model_demand_groups",
            "Demand that the planner plans for, in groups.",
            labels=["service", "model"],
        )
        coverage = GaugeMetricFamily(
            "auburnwall_model_coverage",
            "Groups that serve or form, relative to this demand.",
            labels=["service", "model"],
        )
        for models in self._capacities():
            for capacity in models:
                labels = [capacity.service, capacity.model]
                demand.add_metric(labels, capacity.demand)
                coverage.add_metric(labels, capacity.coverage)
        yield demand
        yield coverage


def _is_pending(node, why):
    """Return whether the version that was read last is not in force, for a reason."""
    return node.source.pending is not None and node.source.pending.why == why


def add_gauges(metrics, node):
    """Add the gauges of a ``RoutedNode``."""
    report = node.formation_controller.capacity
    metrics.registry.register(
        CapacityGauges(
            lambda: list(report.models.values()) if node.writer.is_planner() else []
        )
    )
    metrics.registry.register(TableAges(node.replicas))
    channels, broker = node.channels, node.placing.broker
    for name, documentation, function in (
        ("running", "Requests under way.", lambda: node.gateway.running),
        (
            "configuration_version",
            "Version of the configuration in force, 0 if there is none.",
            lambda: node.source.version() or 0,
        ),
        (
            "configuration_refused",
            "1 while the newest version of the configuration could not be decoded.",
            lambda: int(_is_pending(node, REFUSED)),
        ),
        (
            "configuration_held_back",
            "1 while the copy holds a version back after the store has lost records.",
            lambda: int(_is_pending(node, HELD)),
        ),
        ("waiting", "Requests that wait for a place.", node.placer.waiting_count),
        ("granted", "Slots granted as a broker.", lambda: len(broker)),
        ("groups", "Groups in the fleet's table.", lambda: len(node.fleet.groups)),
        ("servers", "Registered servers.", lambda: len(node.registry.servers)),
        ("peers", "Peers heard of lately.", lambda: len(node.peers.live())),
        (
            "blocked_parts",
            "Prompt parts and requests that are blocked because they crash servers.",
            lambda: len(node.crash_evidence.blocked_causes()),
        ),
        (
            "limited_servers",
            "Servers that have named a limit on their requests.",
            lambda: len(node.notices.limited_servers()),
        ),
        (
            "slow_candidates",
            "Groups that are slower than the median of their model.",
            node.start_times.slow_count,
        ),
        (
            "lost_services",
            "Services of which this node reaches no server.",
            lambda: len(node.reach.lost_services),
        ),
        ("detours", "Requests that a peer serves.", node.placer.running_count),
        ("connections", "Connections opened.", lambda: channels.connections_opened),
        (
            "caller_connections",
            "Open connections of callers.",
            lambda: node.connections.open_count,
        ),
        (
            "held_bytes",
            "Bytes of answers and of callers' bodies that this node holds.",
            lambda: memory.budget.held_bytes,
        ),
        (
            "late_seconds",
            "Largest lateness of the event loop in the last seconds.",
            node.lateness.recent_s,
        ),
    ):
        metrics.gauge(f"auburnwall_{name}", documentation, function)
