"""Choose groups whose servers are reassigned to a model that has too few.

The loss of servers affects the model with the largest groups most. Each loss ends a
whole group and can leave fewer servers in its domain than a group needs, while other
models have more groups than their demand requires.
"""

from typing import NamedTuple

from .assembly import best_formation, by_domain, time_to_ready_s
from .model_order import LOW_COVERAGE, SURPLUS_COVERAGE, CoverageOrder, count_groups


class ShiftableGroup(NamedTuple):
    """A serving group and its servers as they would be if they were free."""

    group: str
    model: str
    servers: tuple


class Shift(NamedTuple):
    """End ``groups``, and reserve ``servers`` for ``model``.

    The reservation ends at ``until`` on the monotonic clock, which is set when the
    shift is recorded.
    """

    model: str = ""
    groups: tuple = ()
    servers: tuple = ()
    cause: str = ""
    until: float = 0.0


def find_shift(shiftable, free, models, group_counts, demand, order=None):
    """Return the best ``Shift``, one without groups if none is worthwhile.

    ``order`` is the ``ModelOrder``, by default that of the coverage.
    """
    if not models:
        return Shift()
    order = order or CoverageOrder(models, demand)
    for name in order.names_to_shift_to(group_counts):
        if shift := _shift_to(name, shiftable, free, order, group_counts):
            return shift
    lowest = min(models, key=lambda name: order.coverage(name, group_counts))
    if order.coverage(lowest, group_counts) < LOW_COVERAGE:
        return Shift()
    # While no model has too few groups, a group may be ended so that its servers are a
    # free reserve.
    surplus = _surplus(lowest, order, group_counts, lambda donor: SURPLUS_COVERAGE)
    return _end_group_for_reserve(shiftable, free, models, surplus)


def _shift_to(name, shiftable, free, order, group_counts):
    """Return the best ``Shift`` to a model, ``None`` if there is none."""
    model = order.models[name]
    surplus = _surplus(
        name,
        order,
        group_counts,
        lambda donor: order.donor_coverage(donor, name, group_counts),
    )
    options = [
        option
        for domain, servers in by_domain(
            free + [server for group in shiftable for server in group.servers]
        )
        if (option := _option(domain, servers, shiftable, free, model, surplus))
    ]
    if not options:
        return None
    _, _, groups, members = min(options)
    cause = f"{name} is covered {order.coverage(name, group_counts):.2f} times"
    return Shift(name, groups, members, cause)


def _end_group_for_reserve(shiftable, free, models, surplus):
    """Return a ``Shift`` that frees servers for the model with the most members.

    The servers are in a domain that has groups of that model and no free server.
    """
    largest = max(models, key=lambda name: models[name].members)
    domains = {
        group.servers[0].domain
        for group in shiftable
        if group.model == largest and group.servers
    }
    domains -= {server.domain for server in free}
    for donor in sorted(shiftable):
        if donor.servers and surplus.get(donor.model, 0) > 0:
            domain = donor.servers[0].domain
            if donor.model != largest and domain in domains:
                servers = tuple(server.server for server in donor.servers)
                cause = f"no server is free in {domain}"
                return Shift(largest, (donor.group,), servers, cause)
    return Shift()


def _surplus(lowest, order, group_counts, min_coverage):
    """Return how many groups each model but ``lowest`` can lose.

    ``min_coverage(name)`` is the coverage that a model keeps.
    """
    surplus = {}
    for name in order.models:
        if name != lowest:
            groups = count_groups(name, group_counts)
            # The number of groups divided by the coverage is the demand.
            covered = max(order.coverage(name, group_counts), 1e-9)
            needed = min_coverage(name) * groups / covered
            surplus[name] = max(0, int(groups - needed))
    return surplus


def _option(domain, servers, shiftable, free, model, surplus):
    """Return the best shift within a fabric domain, ``None`` if there is none.

    It is a tuple of the seconds until the new group is ready, the number of groups to
    end, their names, and the servers. A shift that needs loads is not allowed: it would
    remove capacity for longer than the time until the next loss of servers.
    """
    available = [
        server
        for server in free
        if server.domain == domain
        and server.reserved in ("", model.name)
        and time_to_ready_s(server, model) < model.load_s
    ]
    surplus_left, ended = dict(surplus), []
    # Donors whose servers have the model staged come first.
    donors = sorted(
        (
            group
            for group in shiftable
            if group.servers and group.servers[0].domain == domain
        ),
        key=lambda group: sum(
            model.name not in server.staged for server in group.servers
        ),
    )
    for donor in donors:
        if len(available) >= model.members:
            break
        if surplus_left.get(donor.model, 0) > 0:
            surplus_left[donor.model] -= 1
            ended.append(donor.group)
            available = available + list(donor.servers)
    formation = best_formation(available, model)
    if formation is None or not ended or formation.loads:
        return None
    members = tuple(member.server for member in formation.members)
    return formation.ready_s, len(ended), tuple(ended), members
