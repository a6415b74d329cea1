"""Write the tables of ``docs/CAPACITY.md``, computed from slopes measured in this run.

``make capacity`` runs it.
"""

import resource
import sys
import time
from datetime import date
from pathlib import Path
from typing import NamedTuple

from auburnwall.node.settings import NodeSettings

from . import slopes

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN, END = "<!-- measured -->", "<!-- end of measured -->"
# Limits of one node: share of a core, memory, and bytes per second of control traffic.
MAX_CPU_SHARE, MAX_MEMORY_BYTES, MAX_BYTES_PER_S = 0.015, 64e6, 9_000
# Limit of the whole system's log appends.
MAX_APPENDS_PER_S = 300
DAY_S = 86_400
# Bytes that a watcher sends and receives for one probe.
PROBE_BYTES = 520
LEASE_RENEWALS_PER_TERM = 3
CONTROLLER_STEPS_PER_S = 3.3
EVALUATIONS_PER_S = 50
STREAM_S = 7.0


class Size(NamedTuple):
    """One size of the system; the rates are totals over all nodes.

    ``changes_per_day`` counts the log records about configuration, membership and
    groups.
    """

    name: str
    nodes: int
    servers: int
    group_vms: int
    centers: int
    requests_per_s: float
    changes_per_day: int

    @property
    def groups(self):
        """Return the number of groups, each of ``group_vms`` VMs."""
        return self.servers // self.group_vms


TODAY = Size("today", 7, 60, 2, 3, 10, 50)
LARGE = Size("two years out", 1_000, 4_300, 8, 15, 72_000, 4_200 + 484 * 3)


class RoleCost(NamedTuple):
    """Cost to one node of one of its roles.

    ``cpu`` is a share of one core, ``memory`` is in bytes. ``remedy`` is a change to
    the design that would lower the cost; the page shows it if a limit is exceeded.
    """

    role: str
    mechanism: str
    cpu: float
    bytes_per_s: float
    memory: float
    remedy: str


class Measurements(NamedTuple):
    """Results of one run.

    ``slopes`` maps names to slopes and ``costs`` maps names to processor seconds of one
    operation. ``base_memory`` is the memory of the interpreter in bytes.
    """

    slopes: dict
    costs: dict
    base_memory: float


def measure():
    """Run all measurements and return their results."""
    base_memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    fitted = [*slopes.state_slopes(), slopes.watching_slope(), slopes.digest_slope()]
    costs = {
        "fold of a record": slopes.fold_cost(),
        "exchange, both sides": slopes.exchange_cost(),
        "probe": slopes.probe_cost(),
        "decision on credits": slopes.credit_cost(),
    }
    return Measurements({slope.name: slope for slope in fitted}, costs, base_memory)


def role_costs(size, measured):
    """Return the costs of all roles on one node of a system of ``size``."""
    settings, cost, slope_of = NodeSettings(), measured.costs, measured.slopes
    probes_per_s = size.servers * settings.watchers / size.nodes / settings.probe_s
    pulls_per_s = (size.nodes - 1) / settings.heartbeat_s
    digest = slope_of["digest"]
    subset_groups = min(size.groups, settings.most_groups)
    credit_requests_per_s = subset_groups / (settings.credit_term_s / 4)
    evaluation_s = slope_of["eligible groups of one model"].at(
        subset_groups * size.group_vms
    )
    evaluation_share = min(evaluation_s * EVALUATIONS_PER_S, 0.01)
    plan_s = max(0.0, slope_of["one plan of the fleet"].at(size.servers))
    records_per_s = appends(size)["leases"] + size.changes_per_day / DAY_S
    state_bytes = slope_of["folded state in memory"].at(size.servers)
    return [
        RoleCost(
            "watcher",
            "2 watchers for each server by rendezvous hashing",
            probes_per_s * cost["probe"],
            probes_per_s * PROBE_BYTES,
            0,
            "probe once a second with freshness of 3 s; a lighter HTTP exchange",
        ),
        RoleCost(
            "peer",
            "pulled digests: deltas since the asker's cursor",
            pulls_per_s * cost["exchange, both sides"],
            pulls_per_s * digest.at(0),
            pulls_per_s * 2e3,
            "pull only from the watchers of the node's own subset of groups, chosen "
            "by fabric domain, and from a few of its own data centre",
        ),
        RoleCost(
            "reader of the log",
            "long poll; peers relay the tail",
            records_per_s * cost["fold of a record"],
            records_per_s * 400,
            state_bytes,
            "one reader for each data centre, the others by relay (the tail call "
            "exists; who reads is not yet chosen)",
        ),
        RoleCost(
            "router: choice",
            f"subset of {settings.most_groups} groups, judged anew at "
            "most 50 times a second or 1% of a core",
            evaluation_share,
            0,
            subset_groups * size.group_vms * 1e3,
            "",
        ),
        RoleCost(
            "router and owner: credits",
            "one owner a group, asked four times a term",
            credit_requests_per_s
            * (cost["exchange, both sides"] + cost["decision on credits"]),
            credit_requests_per_s * 220,
            subset_groups * 2e3,
            "ask for all groups of one owner at once",
        ),
        RoleCost(
            "steward",
            "one for each data centre, by lease; plans for at most 1% of a core",
            min(plan_s * CONTROLLER_STEPS_PER_S, 0.01),
            0,
            size.servers * 1e3,
            "",
        ),
        RoleCost(
            "snapshots",
            "one writer, every 300 s",
            slope_of["writing a snapshot"].at(size.servers) / settings.snapshot_s,
            slope_of["snapshot"].at(size.servers) / settings.snapshot_s,
            0,
            "",
        ),
    ]


def appends(size):
    """Return the log appends per second of the whole system, by mechanism."""
    settings = NodeSettings()
    renewals_per_s = (
        (size.centers + 1) * LEASE_RENEWALS_PER_TERM / settings.lease_term_s
    )
    shards = settings.claim_shards if size is TODAY else size.centers
    return {
        "leases": renewals_per_s,
        "configuration, membership, groups": size.changes_per_day / DAY_S,
        "claims": shards / (settings.claim_batch_s + 0.04),
        # A record holds 65,536 characters of a snapshot, which has 53 for each server.
        "snapshots": (size.servers * 53 / 65_536 + 1) / settings.snapshot_s,
    }


def tables(measured):
    """Yield the lines between the page's markers ``BEGIN`` and ``END``."""
    command = "make capacity"
    yield f"Run of {date.today()}, `{command}`, Python {sys.version.split()[0]}."
    yield "\n### Slopes\n"
    yield "| what | base | slope | fit |\n| --- | --- | --- | --- |"
    for slope in measured.slopes.values():
        yield (
            f"| {slope.name}, {slope.unit} | {slope.base:.3g} | "
            f"{slope.slope:.3g} for each {slope.per} | {slope.fit:.4f} |"
        )
    yield "\n| what | CPU s |\n| --- | --- |"
    for name, cost in measured.costs.items():
        yield f"| {name} | {cost:.3g} |"
    for size in (TODAY, LARGE):
        yield from _size_tables(size, measured)


def _size_tables(size, measured):
    yield (
        f"\n### {size.name.capitalize()}: {size.nodes} nodes, {size.servers} servers, "
        f"{size.centers} data centres\n"
    )
    yield "| role | mechanism | CPU | bytes/s | memory | over the limit |"
    yield "| --- | --- | --- | --- | --- | --- |"
    rows = role_costs(size, measured)
    for row in rows:
        exceeded = _exceeded_limits(row)
        remark = f"**{exceeded}**: {row.remedy}" if exceeded else ""
        yield (
            f"| {row.role} | {row.mechanism} | {row.cpu:.2%} | "
            f"{row.bytes_per_s:,.0f} | {row.memory / 1e6:.1f} MB | {remark} |"
        )
    cpu, total_bytes = (
        sum(row.cpu for row in rows),
        sum(row.bytes_per_s for row in rows),
    )
    memory = measured.base_memory + sum(row.memory for row in rows)
    yield (
        f"| all, with {measured.base_memory / 1e6:.0f} MB for the interpreter | | "
        f"{cpu:.2%} | {total_bytes:,.0f} | {memory / 1e6:.1f} MB | "
        f"limits: {MAX_CPU_SHARE:.1%}, {MAX_BYTES_PER_S:,}, "
        f"{MAX_MEMORY_BYTES / 1e6:.0f} MB |"
    )
    yield "\n| log appends a second, whole system | |\n| --- | --- |"
    for name, rate in appends(size).items():
        yield f"| {name} | {rate:.3g} |"
    total_per_s = sum(appends(size).values())
    verdict = "over" if total_per_s > MAX_APPENDS_PER_S else "within"
    yield f"| all | {total_per_s:.3g}, {verdict} {MAX_APPENDS_PER_S} |"


def _exceeded_limits(row):
    exceeded = [
        name
        for name, value, limit in (
            ("CPU", row.cpu, MAX_CPU_SHARE),
            ("bytes", row.bytes_per_s, MAX_BYTES_PER_S),
            ("memory", row.memory, MAX_MEMORY_BYTES),
        )
        if value > limit
    ]
    return ", ".join(exceeded)


def main():
    """Run the measurements, print the tables and write them to the page."""
    started_at = time.monotonic()
    text = "\n".join(tables(measure()))
    print(text)
    head, _, after_begin = PAGE.read_text("utf-8").partition(BEGIN)
    tail = after_begin.partition(END)[2]
    PAGE.write_text(f"{head}{BEGIN}\n{text}\n{END}{tail}", "utf-8")
    print(f"\n{time.monotonic() - started_at:.0f} s; written to docs/CAPACITY.md")


if __name__ == "__main__":
    main()
