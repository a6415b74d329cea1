"""``auburnwall report burn``: how fast the error budgets are used up."""

import time
from collections import defaultdict

from cleo.helpers import option
from hdrh.histogram import HdrHistogram

from auburnwall.base.metrics import new_histogram

from ..base import SHARED_OPTIONS, BaseCommand
from ..reading import LogReader, NodeClient, merge_rows

WINDOWS_S = {"5 min": 300, "1 h": 3_600, "6 h": 21_600, "24 h": 86_400}
DAY_S = 86_400
DEFAULT_PERIOD_DAYS = 30


class BurnCommand(BaseCommand):
    """Show burn rates by objective, team and data centre in several time windows."""

    name = "report burn"
    description = "Report service-level burn, merged over all nodes."
    options = [
        *SHARED_OPTIONS,
        option("html", None, "Write a page with a picture to this file", flag=False),
    ]

    def run_command(self):
        """Merge the figures of all nodes and show the report."""
        state = LogReader(self.cfg.log_url).catch_up()
        buckets = merge_rows(NodeClient(state).request_all("/admin/burn"), "rows")
        report = burn_report(state.config.get("objectives", {}), buckets, time.time())
        self.show_rows(
            report,
            [
                "objective",
                "team",
                "data_center",
                "window",
                "asked",
                "good_share",
                "burn",
                "budget_left",
                "p95_ms",
            ],
        )
        if self.option("html"):
            from ..burn_page import render

            with open(self.option("html"), "w", encoding="utf-8") as page:
                page.write(render(report))


def burn_report(objectives, buckets, now):
    """Return rows of burn for each objective, team, data centre and window.

    ``buckets`` are the rows of all nodes; ``now`` is in seconds since the epoch. A burn
    of 1 uses up the error budget exactly at the end of the objective's period.
    ``budget_left`` is the fraction of the budget that remains after the requests of
    the window alone.
    """
    return [
        row
        for name, objective in sorted(objectives.items())
        for window, window_s in WINDOWS_S.items()
        for row in _window_rows(name, objective, window, window_s, buckets, now)
    ]


def _window_rows(name, objective, window, window_s, buckets, now):
    matching = [
        bucket
        for bucket in buckets
        if bucket["target"] == objective["model"]
        and objective.get("team", bucket["team"]) == bucket["team"]
        and bucket["began"] >= now - window_s
    ]
    by_key = defaultdict(list)
    for bucket in matching:
        by_key[bucket["team"], bucket["data_center"]].append(bucket)
        by_key["all", "all"].append(bucket)
    for (team, data_center), rows in sorted(by_key.items()):
        yield {
            "objective": name,
            "team": team,
            "data_center": data_center,
            "window": window,
            **_burn_columns(objective, rows, window_s),
        }


def _burn_columns(objective, rows, window_s):
    merged = new_histogram()
    for row in rows:
        merged.add(HdrHistogram.decode(row["first_token"].encode()))
    failed_count = sum(row["failed"] for row in rows)
    request_count = merged.get_total_count() + failed_count
    good_count = _count_up_to(merged, objective.get("first_token_ms"))
    bad_ratio = 1 - good_count / request_count if request_count else 0.0
    error_budget = 1 - objective["share"]
    burn = bad_ratio / error_budget
    period_days = objective.get("days", DEFAULT_PERIOD_DAYS)
    return {
        "asked": request_count,
        "good_share": round(1 - bad_ratio, 5),
        "burn": round(burn, 2),
        "budget_left": round(1 - burn * window_s / (period_days * DAY_S), 4),
        "p95_ms": merged.get_value_at_percentile(95.0)
        if request_count > failed_count
        else 0,
    }


def _count_up_to(histogram, target_ms):
    if target_ms is None:
        return histogram.get_total_count()
    return sum(
        bucket.count_added_in_this_iter_step
        for bucket in histogram.get_recorded_iterator()
        if bucket.value_iterated_to <= target_ms
    )
