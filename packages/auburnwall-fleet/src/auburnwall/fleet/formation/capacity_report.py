"""Tell operators the demand and the capacity of each model, at the planner."""

from collections import Counter
from typing import NamedTuple

from auburnwall.base.logs import event

from .model_order import coverage

LOG_PERIOD_S = 2.0  # between two log lines on the capacity of a service


class ModelCapacity(NamedTuple):
    """The demand for a model in groups, and the ratio of its groups to this demand."""

    service: str
    model: str
    demand: float
    coverage: float


class CapacityReport:
    """Log the capacity and keep it for the metrics.

    ``models`` holds the ``ModelCapacity`` of each model, by service, while this node is
    the planner.
    """

    def __init__(self, clock):
        self.models = {}
        self._clock = clock
        self._logged_at = {}  # by service

    def update(self, service, models, group_counts, demand, **fields):
        """Keep the capacity of a service's models; log it at most every 2 s.

        ``fields`` are added to the log line.
        """
        self.models[service] = [
            ModelCapacity(
                service,
                model,
                demand.get(model, 0.0),
                coverage(model, group_counts, demand),
            )
            for model in models
        ]
        now = self._clock.monotonic()
        if now - self._logged_at.get(service, -LOG_PERIOD_S) < LOG_PERIOD_S:
            return
        self._logged_at[service] = now
        groups = Counter()
        for (model, _), count in group_counts.items():
            groups[model] += count
        event(
            "capacity",
            service=service,
            groups=dict(groups),
            demand={model: round(work, 2) for model, work in demand.items()},
            **fields,
        )

    def log_forecast(self, service, change):
        """Log that the forecast for a model begins or ceases to exceed its mean."""
        event(
            "demand forecast",
            service=service,
            model=change.model,
            mean=round(change.mean, 2),
            newest=round(change.newest, 2),
            forecast=round(change.forecast, 2),
            why=change.cause,
        )
