"""``auburnwall loadgen``: an open-loop load generator."""

import random
import time
from typing import NamedTuple

import gevent
from cleo.helpers import option

from auburnwall.base.metrics import new_histogram

from ..base import SHARED_OPTIONS, BaseCommand
from ..callers import Caller, CallerError
from ..exceptions import BadInputError


class Sample(NamedTuple):
    """The result of one request, with times in seconds since its planned start."""

    status: str
    first_token_s: float
    total_s: float


class LoadgenCommand(BaseCommand):
    """Start requests at random times without waiting for earlier ones to end."""

    name = "loadgen"
    description = "Send completions at a steady mean rate and report percentiles."
    options = [
        *SHARED_OPTIONS,
        option("entry", None, "Any entry address, host:port", flag=False),
        option("key", None, "API key", flag=False),
        option("model", None, "Model to ask for", flag=False),
        option("rate", None, "Requests a second", flag=False, default="10"),
        option("seconds", None, "Length of the run", flag=False, default="10"),
        option("tokens", None, "Tokens asked for", flag=False, default="16"),
        option("seed", None, "Seed of the arrivals", flag=False, default="1"),
    ]

    def run_command(self):
        """Generate the load and print a summary."""
        for name in ("entry", "key", "model"):
            if not self.option(name):
                raise BadInputError(f"--{name} is not set", step="loadgen")
        rate, seconds = float(self.option("rate")), float(self.option("seconds"))
        starts = arrival_times(random.Random(int(self.option("seed"))), rate, seconds)
        caller = Caller(self.option("entry"), self.option("key"))
        bar = None if self.cfg.format == "json" else self.progress_bar(len(starts))
        samples, started_at = [], time.monotonic()
        tasks = []
        for number, start in enumerate(starts):
            gevent.sleep(max(0.0, started_at + start - time.monotonic()))
            tasks.append(
                gevent.spawn(
                    self._send_request, caller, number, started_at + start, samples
                )
            )
            if bar:
                bar.advance()
        gevent.joinall(tasks)
        if bar:
            bar.finish()
            self.line("")
        self.show_json(summary(samples, seconds))

    def _send_request(self, caller, number, planned_at, samples):
        first_at = None
        body = {
            "model": self.option("model"),
            "stream": True,
            "max_tokens": int(self.option("tokens")),
            "messages": [{"role": "user", "content": f"load {number}"}],
        }
        try:
            for _ in caller.stream(body):
                first_at = first_at or time.monotonic()
            status = "ok"
        except CallerError as exc:
            status = str(exc.status)
        now = time.monotonic()
        samples.append(Sample(status, (first_at or now) - planned_at, now - planned_at))


def arrival_times(rng, rate, seconds):
    """Return the start times of a Poisson process, in seconds from its beginning."""
    starts, now = [], rng.expovariate(rate)
    while now < seconds:
        starts.append(now)
        now += rng.expovariate(rate)
    return starts


def summary(samples, seconds):
    """Return counts by status and the percentiles of the successful requests."""
    first_token, total = new_histogram(), new_histogram()
    for sample in samples:
        if sample.status == "ok":
            first_token.record_value(max(1, round(sample.first_token_s * 1000)))
            total.record_value(max(1, round(sample.total_s * 1000)))
    statuses = sorted({sample.status for sample in samples})
    return {
        "requests": len(samples),
        "seconds": seconds,
        "by_status": {
            status: sum(sample.status == status for sample in samples)
            for status in statuses
        },
        "first_token_ms": _percentiles(first_token),
        "total_ms": _percentiles(total),
    }


def _percentiles(histogram):
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile)
        for percentile in (50.0, 95.0, 99.0, 99.9)
    }
