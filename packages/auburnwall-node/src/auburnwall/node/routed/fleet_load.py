"""Sums of the load of several nodes."""

from collections import Counter, defaultdict

from auburnwall.routing.pace_reports import PaceReport, sum_reports
from auburnwall.wire.peer.ttypes import Load, ServerLimit, SlowPace


def load_of_pulse(pulse):
    """Return the ``Load`` of the node that sent a heartbeat."""
    return Load(
        running=pulse.running,
        demand=pulse.demand,
        nodes_with_traffic=int(pulse.has_traffic),
        nodes_measured=int(pulse.has_traffic and bool(pulse.demand)),
        suspects=dict.fromkeys(pulse.suspects, 1),
        leaving=pulse.leaving,
        crashes=pulse.crashes,
        sound_parts=pulse.sound_parts,
        limits=pulse.limits,
        newest_demand=pulse.newest_demand,
        slow_paces=pulse.slow_paces,
    )


def loads_in(heartbeats):
    """Return the loads of the senders and of the nodes that report to these."""
    loads = [load_of_pulse(heartbeat.pulse) for heartbeat in heartbeats]
    return loads + [h.pulse.member_load for h in heartbeats if h.pulse.member_load]


def sum_loads(loads):
    """Return the sum of ``Load`` objects.

    Demand of nodes without traffic is not counted; they have not measured any. A node
    that does not report the newest second, for example of an older build, counts there
    with its mean. If no node reports it, the sum has none either.
    """
    running, demand, suspects, leaving = Counter(), Counter(), Counter(), {}
    prompts_by_crash, sound_parts, limits = defaultdict(set), set(), {}
    newest_demand, has_newest = Counter(), False
    slow_paces, nodes_with_traffic, nodes_measured = [], 0, 0
    for load in loads:
        running.update(load.running)
        nodes_with_traffic += load.nodes_with_traffic
        nodes_measured += load.nodes_measured
        if load.nodes_measured:
            demand.update(load.demand)
            reported = load.newest_demand
            has_newest = has_newest or reported is not None
            newest_demand.update(load.demand if reported is None else reported)
        suspects.update(load.suspects)
        leaving.update(load.leaving or {})
        for crash, prompts in (load.crashes or {}).items():
            prompts_by_crash[crash].update(prompts)
        sound_parts.update(load.sound_parts or ())
        slow_paces.append(paces_from_wire(load.slow_paces))
        for server, limit in (load.limits or {}).items():
            known = limits.get(server)
            if known is None or limit.age_ms < known.age_ms:
                limits[server] = limit
    return Load(
        dict(running),
        dict(demand),
        nodes_with_traffic,
        nodes_measured,
        dict(suspects),
        leaving,
        {crash: sorted(prompts) for crash, prompts in prompts_by_crash.items()},
        sorted(sound_parts),
        limits,
        dict(newest_demand) if has_newest else None,
        paces_to_wire(sum_reports(slow_paces)),
    )


def sum_running(loads):
    """Return the sum of the requests in flight, by group or server."""
    running = Counter()
    for load in loads:
        running.update(load.running)
    return running


def limits_to_wire(limits):
    """Return the ``own_limits`` of ``ServerNotices`` as ``ServerLimit`` by server."""
    return {
        server: ServerLimit(born, per_s, int(1000 * age_s))
        for server, born, per_s, age_s in limits
    }


def paces_to_wire(reports):
    """Return ``PaceReport`` by candidate as ``SlowPace``, ``None`` without any."""
    return {
        name: SlowPace(report.pace, report.responses, int(1000 * report.age_s))
        for name, report in reports.items()
    } or None


def paces_from_wire(paces):
    """Return ``SlowPace`` by candidate as ``PaceReport``; incomplete ones are ignored.

    ``paces`` is ``None`` if the sender's build does not know them.
    """
    return {
        name: PaceReport(p.pace, p.responses, p.age_ms / 1000)
        for name, p in (paces or {}).items()
        if None not in (p.pace, p.responses, p.age_ms)
    }


def subtract_running(running, part):
    """Return the requests in ``running`` without those of ``part``."""
    rest = Counter(running)
    rest.subtract(part)
    return {name: count for name, count in rest.items() if count > 0}
