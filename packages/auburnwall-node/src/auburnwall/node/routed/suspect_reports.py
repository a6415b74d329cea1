"""Tells from nodes' reports of suspect groups which are suspect, and which go on.

A node suspects a group for as long as its requests there stand still, and for
``SUSPECT_S`` at least unless they go on. So they go on if a suspicion has ended early,
or if none is left while there are requests.
"""

import math
from typing import NamedTuple

from .views import SUSPECT_S

# In a fleet with relays, a group is suspect if it is for this number of nodes at least,
# and for this fraction of its requests in flight.
MIN_SUSPECTING_NODES, MIN_SUSPECTING_FRACTION = 2, 0.25


def is_suspected(node_count, running):
    """Return whether a group is suspect at all nodes because it is at some of them."""
    return node_count >= max(MIN_SUSPECTING_NODES, MIN_SUSPECTING_FRACTION * running)


class _GroupReport(NamedTuple):
    """A group that ``count`` nodes suspect, the first of them since ``since``.

    That may be up to the maximum age of a report too late. ``ended_early`` is whether
    one has ended its suspicion before its time.
    """

    since: float
    count: int
    ended_early: bool


class _LoadReport(NamedTuple):
    """The ``_GroupReport`` by group of a load, which is of ``node_count`` nodes."""

    heard_at: float
    node_count: int
    groups: dict


class SuspectReports:
    """The last report of each node.

    What is heard of a suspicion may be up to ``max_report_age_s`` old, of two loads at
    ``period_s`` from each other. If the last load before it is older, as after a pause
    or a loss, the suspicion may have begun since then.
    """

    def __init__(self, clock, max_report_age_s, period_s):
        self._clock = clock
        self._period_s = period_s
        self._reports = {}
        self._early_end_s = SUSPECT_S - max_report_age_s

    def update(self, node, load):
        """Keep a node's newest ``Load``; return the groups that turn out to go on.

        A group is returned when fewer nodes suspect it than in the last load, as a set
        of names. A load that is of fewer nodes than the last, and one without a last,
        prove nothing.
        """
        now, known = self._clock.monotonic(), self._reports.get(node)
        began_at = min(now, known.heard_at + self._period_s) if known else -math.inf
        earlier = known.groups if known else {}
        is_smaller = known is not None and load.nodes_with_traffic < known.node_count
        groups, refuted = {}, set()
        for name in earlier.keys() | load.suspects.keys():
            before = earlier.get(name, _GroupReport(began_at, 0, False))
            count = load.suspects.get(name, 0)
            has_fewer = count < before.count and not is_smaller
            ended_early = before.ended_early or (
                has_fewer and now - before.since < self._early_end_s
            )
            if count:
                groups[name] = _GroupReport(before.since, count, ended_early)
            if has_fewer and (ended_early or (not count and load.running.get(name))):
                refuted.add(name)
        self._reports[node] = _LoadReport(now, load.nodes_with_traffic, groups)
        return refuted

    def keep_only(self, nodes):
        """Forget the reports of nodes that are not among ``nodes``."""
        self._reports = {n: r for n, r in self._reports.items() if n in nodes}
