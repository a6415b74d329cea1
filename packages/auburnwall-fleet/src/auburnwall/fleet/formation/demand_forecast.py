"""Forecast the demand that the planner compares groups with.

Load pattern: the demand for one kind of request rises to 1.6 to 2.5 times its level
within a second, for 3 to 14 s. A group of hosts that have the weights staged serves
after 1 to 2 s, but the mean of the last seconds shows half of such a jump only after
3 s. Therefore the newest second counts if it is higher than the mean.
"""

from math import sqrt
from typing import NamedTuple

# Within a second, the demand for a model falls at most to this fraction. While nodes
# restart, the requests of their callers are missing from the measured demand.
DEMAND_DECAY_PER_S = 0.96
# Maximum of the newest second's demand, relative to the mean. It is the largest rise
# that callers are known to cause; a burst above it is mostly repeated requests.
MAX_JUMP = 2.5
# The newest second counts from this many standard deviations above the mean on, for
# requests that arrive independently and are of equal size. Without this limit, the
# forecast for 20 such requests per second is 1.18 times the demand on average, with it
# 1.03 times: it follows each random second upwards and falls back only slowly.
NOISE_DEVIATIONS = 2.0
# A forecast of at least this ratio to the mean is reported, as is its end.
REPORTED_RATIO = 1.5
# Minimum time between two reports on the same model, in seconds.
REPORT_PERIOD_S = 2.0


class ForecastChange(NamedTuple):
    """The forecast for a model begins or ceases to exceed the mean by far.

    ``mean``, ``newest`` and ``forecast`` are in groups.
    """

    model: str
    mean: float
    newest: float
    forecast: float
    cause: str


def expected_demand(engine, servers):
    """Return the demand to assume until one is measured, in groups by model.

    ``servers`` is the number of registered servers.
    """
    return {
        model.name: model.share / model.members * servers
        for model in engine.models.values()
    }


def higher_demand(mean, newest, request_work):
    """Return the higher of the mean and the newest second's demand, in groups.

    The newest second is limited to ``MAX_JUMP`` times the mean, and does not count
    while it may be a random deviation. ``request_work`` is the work of a mean request,
    in group-seconds.

    >>> higher_demand(4.0, 8.0, 0.01)
    8.0
    >>> higher_demand(4.0, 30.0, 0.01)
    10.0
    >>> higher_demand(4.0, 8.0, 1.0)
    4.0
    """
    # With n independent requests of equal size w in a second, the standard deviation of
    # the work n * w is sqrt(n) * w.
    deviation = sqrt(mean * request_work)
    if newest <= mean + NOISE_DEVIATIONS * deviation:
        return mean
    return max(mean, min(newest, MAX_JUMP * mean))


class DemandForecast:
    """The demand by model that a planner plans for; each fall is slowed down.

    A planner that takes over starts without a past, from what the nodes report.
    """

    def __init__(self, now):
        self._demand = {}
        self._updated_at = now
        self._exceeds = {}  # as last reported, by model
        self._reported_at = {}

    def update(self, now, mean, newest=None, request_work=None):
        """Return the forecast by model, in groups.

        ``mean`` and ``newest`` are the measured demand. ``request_work`` is the work of
        a mean request of each model for which the newest second counts; models without
        it are forecast from the mean alone.
        """
        newest, request_work = newest or {}, request_work or {}
        keep = DEMAND_DECAY_PER_S ** (now - self._updated_at)
        self._updated_at = now
        current = {
            model: higher_demand(value, newest.get(model, 0.0), request_work[model])
            if model in request_work
            else value
            for model, value in mean.items()
        }
        self._demand = {
            model: max(current.get(model, 0.0), keep * self._demand.get(model, 0.0))
            for model in set(current) | set(self._demand)
        }
        return dict(self._demand)

    def changes(self, now, mean, newest, models):
        """Return a ``ForecastChange`` for each of ``models`` that has begun or ended.

        Each model has at most one in ``REPORT_PERIOD_S``.
        """
        found = []
        for model in models:
            value, latest = mean.get(model, 0.0), newest.get(model, 0.0)
            forecast = self._demand.get(model, 0.0)
            exceeds = value > 0 and forecast >= REPORTED_RATIO * value
            reported_at = self._reported_at.get(model, now - REPORT_PERIOD_S)
            if exceeds == self._exceeds.get(model, False):
                continue
            if now - reported_at < REPORT_PERIOD_S:
                continue
            self._exceeds[model], self._reported_at[model] = exceeds, now
            cause = "mean is close again"
            if exceeds:
                cause = "newest second" if latest > value else "earlier demand"
            found.append(ForecastChange(model, value, latest, forecast, cause))
        return found
