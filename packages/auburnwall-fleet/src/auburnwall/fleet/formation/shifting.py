"""Which groups give up their servers to a model that lacks them.

Load pattern: losses strike the model with many members hardest, since each one breaks
a whole group and leaves survivors without a partner in their domain, while the others
keep more groups than they have work for.
"""

from typing import NamedTuple

from .assembly import best_members, by_domain, coverage, ready_time

# Coverage below which a model gets servers of others.
SHORT = 1.25
# Coverage that a model keeps when it gives up groups to one that is short.
KEPT = 1.6
# Coverage from which on a model gives up a group just so that servers are free.
PLENTY = 3.2


class ShiftableGroup(NamedTuple):
    """A serving group and its servers as they would be if they were free."""

    group: str
    model: str
    servers: tuple


class Shift(NamedTuple):
    """End ``groups`` and keep ``servers`` for ``model`` for a while."""

    model: str = ""
    groups: tuple = ()
    servers: tuple = ()
    cause: str = ""
    until: float = 0.0


def find_shift(shiftable, free, models, group_counts, demand):
    """Return the best ``Shift``, one without groups if there is none worth while."""
    if not models:
        return Shift()
    short = min(models, key=lambda name: coverage(name, group_counts, demand))
    covered = coverage(short, group_counts, demand)
    if covered >= SHORT:
        spare = _spare_groups(short, models, group_counts, demand, PLENTY)
        return _spares(shiftable, free, models, spare)
    spare = _spare_groups(short, models, group_counts, demand, KEPT)
    options = [
        option
        for domain, servers in by_domain(
            free + [s for h in shiftable for s in h.servers]
        )
        if (option := _option(domain, servers, shiftable, free, models[short], spare))
    ]
    if not options:
        return Shift()
    _, _, groups, members = min(options)
    cause = f"{short} is covered {covered:.2f} times"
    return Shift(short, groups, members, cause)


def _spares(shiftable, free, models, spare):
    """Return a ``Shift`` that frees servers beside the groups with most members."""
    largest = max(models, key=lambda name: models[name].members)
    domains = {
        h.servers[0].domain for h in shiftable if h.model == largest and h.servers
    }
    domains -= {server.domain for server in free}
    for donor in sorted(shiftable):
        if donor.servers and spare.get(donor.model, 0) > 0:
            domain = donor.servers[0].domain
            if donor.model != largest and domain in domains:
                servers = tuple(server.server for server in donor.servers)
                cause = f"no server is free in {domain}"
                return Shift(largest, (donor.group,), servers, cause)
    return Shift()


def _spare_groups(short, models, group_counts, demand, least):
    """Return how many groups each other model can give up and be covered ``least``."""
    spare = {}
    for name in models:
        if name != short:
            groups = sum(count for (m, _), count in group_counts.items() if m == name)
            kept = least * groups / max(coverage(name, group_counts, demand), 1e-9)
            spare[name] = max(0, int(groups - kept))
    return spare


def _option(domain, servers, shiftable, free, model, spare):
    """Return seconds until ready, groups to end, their names and the servers.

    A shift that has weights to load takes capacity away for longer than it takes until
    the next loss, so it is no option.
    """
    here = [
        server
        for server in free
        if server.domain == domain
        and server.reserved in ("", model.name)
        and ready_time(server, model) < model.load_s
    ]
    left, ended = dict(spare), []
    donors = sorted(
        (h for h in shiftable if h.servers and h.servers[0].domain == domain),
        key=lambda h: sum(model.name not in server.staged for server in h.servers),
    )
    for donor in donors:
        if len(here) >= model.members:
            break
        if left.get(donor.model, 0) > 0:
            left[donor.model] -= 1
            ended.append(donor.group)
            here = here + list(donor.servers)
    found = best_members(here, model)
    if found is None or not ended or found.loads:
        return None
    members = tuple(member.server for member in found.members)
    return found.ready_s, len(ended), tuple(ended), members
