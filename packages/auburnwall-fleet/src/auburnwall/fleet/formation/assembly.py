"""Which groups to form from free servers.

Load pattern: servers are lost in twos every few seconds and new ones come empty, so
the shortest way back to service decides: survivors that still hold a model come
first, then hosts that have it staged, then loads from the weight store. The model
with the least capacity for its demand goes first.
"""

from itertools import groupby
from typing import NamedTuple

# Seconds that a server takes to join when it was last in a group of the same model.
REJOIN_S = 0.2
# Coverage from which on a model takes no more servers: those that stay free replace
# lost members without a wait.
ENOUGH = 2.5
# Demand below this many groups' worth is taken for this much, so that a model that
# nobody asked for lately keeps something to serve the next request with.
MIN_DEMAND = 0.3


class FreeServer(NamedTuple):
    """A server that is in no group; ``model`` is the one that it last served.

    ``reserved`` names the only model that it may be taken for, if there is one, in a
    group that loads no weights.
    """

    server: str
    born: int
    address: str
    domain: str
    data_center: str
    model: str
    staged: tuple
    reserved: str = ""


class Formation(NamedTuple):
    """A group to form, the head first; ``loads`` of its servers fetch weights."""

    model: str
    members: tuple
    ready_s: float
    loads: int


def ready_time(server, model):
    """Return seconds until ``server`` can be a member for ``model``."""
    if server.model == model.name:
        return REJOIN_S
    return model.warm_s if model.name in server.staged else model.load_s


def assemble(free, models, group_counts, demand, loads_left, settled=True):
    """Return the formations to begin now.

    Until the fleet is ``settled``, while servers still register one by one, a model
    waits for one with more members that has less, which needs many in one domain.

    ``models`` are the service's ``ModelSpec`` by name, ``group_counts`` the number of
    groups that serve or form by model and data centre (a mapping of pairs), ``demand``
    the groups' worth of work by model, ``loads_left`` how many loads may begin.
    """
    free, group_counts = list(free), dict(group_counts)
    formations = []
    while True:
        found = _next_formation(free, models, group_counts, demand, loads_left, settled)
        if found is None:
            return formations
        formations.append(found)
        loads_left -= found.loads
        chosen = {member.server for member in found.members}
        free = [server for server in free if server.server not in chosen]
        place = found.model, found.members[0].data_center
        group_counts[place] = group_counts.get(place, 0) + 1


def coverage(model, group_counts, demand):
    """Return groups that serve or form for ``model`` over those it has work for."""
    groups = sum(count for (name, _), count in group_counts.items() if name == model)
    return groups / max(demand.get(model, 0.0), MIN_DEMAND)


def _next_formation(free, models, group_counts, demand, loads_left, settled):
    def need(name):
        return coverage(name, group_counts, demand), -models[name].members

    for name in sorted(models, key=need):
        if coverage(name, group_counts, demand) >= ENOUGH:
            return None
        candidates = [
            found
            for _, servers in by_domain(free)
            if (found := best_members(servers, models[name]))
            and found.loads <= loads_left
            and not (found.loads and _takes_reserved(found))
        ]
        if candidates:
            return min(candidates, key=lambda f: _cost(f, group_counts))
        if not settled:
            return None
    return None


def _takes_reserved(formation):
    """Return whether a formation has servers that were freed for one without loads.

    The others that were freed with them are about to be free as well.
    """
    return any(member.reserved for member in formation.members)


def by_domain(free):
    """Return pairs of a domain and its servers."""
    ordered = sorted(free, key=lambda server: server.domain)
    return [
        (domain, list(servers))
        for domain, servers in groupby(ordered, key=lambda server: server.domain)
    ]


def best_members(servers, model):
    """Return the formation from one domain that is ready first, or ``None``."""
    servers = [s for s in servers if s.reserved in ("", model.name)]
    if len(servers) < model.members:
        return None
    ordered = sorted(servers, key=lambda s: (ready_time(s, model), s.server))
    members = tuple(ordered[: model.members])
    times = [ready_time(server, model) for server in members]
    loads = sum(time >= model.load_s for time in times)
    return Formation(model.name, members, max(times), loads)


def _cost(formation, group_counts):
    """Order formations by time, loads, and how few groups the data centre has."""
    place = formation.model, formation.members[0].data_center
    domain = formation.members[0].domain
    return formation.ready_s, formation.loads, group_counts.get(place, 0), domain
