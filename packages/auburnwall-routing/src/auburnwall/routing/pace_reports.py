"""What nodes tell each other of slow candidates.

Load pattern: in a large fleet each node has one or two requests at a candidate, and the
broker, which chooses, has few of its own. Only all of them together show its pace. A
node reports the candidates that it finds slow, and those that are slow by all reports:
otherwise nothing would be heard of their responses that are no longer slow.
"""

import math
from typing import NamedTuple

# Pace from which a candidate is slow.
SLOW_PACE = 1.5
# Upper bound of a pace; its inverse is the lower bound.
MAX_PACE = 8.0
# Time after the newest measurement in which a pace returns to 1, in seconds. A report
# takes up to 1.5 s through the relays, so the pace is 1 at all nodes after 5 s.
EXPIRY_S = 3.5
# Candidates that one node reports, and that the reports of all nodes together name.
MAX_REPORTED, MAX_REPORTED_TOGETHER = 16, 64
# Responses that one node's report counts for at most, and that of all nodes together.
MAX_RESPONSES, MAX_RESPONSES_TOGETHER = 5, 1000


class PaceReport(NamedTuple):
    """The pace of a candidate that ``responses`` show, the newest ``age_s`` old."""

    pace: float
    responses: int
    age_s: float


def clean_reports(reports, max_count, max_responses):
    """Return the plausible ones of some ``PaceReport``, at most ``max_count``.

    A pace that is not a positive number is ignored, as are reports without responses
    and expired ones. Values that are too large are limited. The slowest are kept.
    """
    plausible = {
        name: PaceReport(
            min(max(report.pace, 1 / MAX_PACE), MAX_PACE),
            min(report.responses, max_responses),
            max(0.0, report.age_s),
        )
        for name, report in reports.items()
        if math.isfinite(report.pace)
        and report.pace > 0
        and report.responses >= 1
        and report.age_s < EXPIRY_S
    }
    if len(plausible) <= max_count:
        return plausible
    slowest = sorted(plausible, key=lambda name: -plausible[name].pace)
    return {name: plausible[name] for name in slowest[:max_count]}


def join_reports(reports):
    """Return one ``PaceReport`` for several of a candidate.

    Their paces are weighted by their responses and by the time until they expire.
    """
    weights = [r.responses * (EXPIRY_S - r.age_s) for r in reports]
    weighted = sum(r.pace * weight for r, weight in zip(reports, weights, strict=True))
    return PaceReport(
        weighted / sum(weights),
        sum(r.responses for r in reports),
        min(r.age_s for r in reports),
    )


def sum_reports(several):
    """Return the ``PaceReport`` by candidate that several nodes' reports add up to."""
    by_name = {}
    for reports in several:
        plausible = clean_reports(
            reports, MAX_REPORTED_TOGETHER, MAX_RESPONSES_TOGETHER
        )
        for name, report in plausible.items():
            by_name.setdefault(name, []).append(report)
    joined = {name: join_reports(reports) for name, reports in by_name.items()}
    return clean_reports(joined, MAX_REPORTED_TOGETHER, MAX_RESPONSES_TOGETHER)
