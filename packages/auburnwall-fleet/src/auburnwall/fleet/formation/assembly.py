"""Choose groups to form from free servers.

Servers are lost in pairs every few seconds, and new ones have no weights. The group
that can serve soonest is therefore preferred: first one of servers that still hold the
model, then one of hosts that have it staged, then one that loads it from the weight
store. A ``ModelOrder`` decides which model comes first.
"""

from itertools import groupby
from typing import NamedTuple

from .model_order import CoverageOrder

# Time that a server takes to join if its last group was of the same model.
REJOIN_S = 0.2


class FreeServer(NamedTuple):
    """A server that a new group may use; ``model`` is the one that it last served.

    If ``reserved`` names a model, the server may only be used for that model, and only
    in a group whose members all have its weights.
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
    """A group to form, head first.

    ``ready_s`` is the time until all members are ready, in seconds. ``loads`` is the
    number of members that must load from the weight store.
    """

    model: str
    members: tuple
    ready_s: float
    loads: int


def time_to_ready_s(server, model):
    """Return the seconds until ``server`` is ready to be a member for ``model``."""
    if server.model == model.name:
        return REJOIN_S
    return model.warm_s if model.name in server.staged else model.load_s


def assemble(free, models, group_counts, demand, loads_left, settled=True, order=None):
    """Return the ``Formation`` objects to begin now.

    ``models`` maps names to the service's ``ModelSpec``. ``group_counts`` maps pairs of
    model and data centre to the number of groups that serve or form. ``demand`` is the
    work by model, in groups. At most ``loads_left`` loads may begin. ``order`` is the
    ``ModelOrder``, by default that of the coverage.

    While servers still register one by one, the fleet is not ``settled``. Until then
    only the first model gets groups: its next group may need many servers in one
    domain.
    """
    order = order or CoverageOrder(models, demand)
    free, group_counts = list(free), dict(group_counts)
    formations = []
    while True:
        new = _next_formation(free, order, group_counts, loads_left, settled)
        if new is None:
            return formations
        formations.append(new)
        loads_left -= new.loads
        chosen = {member.server for member in new.members}
        free = [server for server in free if server.server not in chosen]
        key = new.model, new.members[0].data_center
        group_counts[key] = group_counts.get(key, 0) + 1


def _next_formation(free, order, group_counts, loads_left, settled):
    for name in order.sorted_names(group_counts):
        if order.is_sufficient(name, group_counts):
            return None
        candidates = [
            formation
            for _, servers in by_domain(free)
            if (formation := best_formation(servers, order.models[name]))
            and formation.loads <= loads_left
            and not (formation.loads and _has_reserved(formation))
        ]
        if candidates:
            return min(candidates, key=lambda f: _cost(f, group_counts))
        if not settled:
            return None
    return None


def _has_reserved(formation):
    """Return whether a formation uses reserved servers.

    If it also loads weights, it is not formed: the other servers that are reserved for
    the model will be free soon, and then no load is needed.
    """
    return any(member.reserved for member in formation.members)


def by_domain(free):
    """Return pairs of a fabric domain and its servers."""
    ordered = sorted(free, key=lambda server: server.domain)
    return [
        (domain, list(servers))
        for domain, servers in groupby(ordered, key=lambda server: server.domain)
    ]


def best_formation(servers, model):
    """Return the formation that is ready first, ``None`` if there are too few servers.

    ``servers`` are of one fabric domain.
    """
    servers = [s for s in servers if s.reserved in ("", model.name)]
    if len(servers) < model.members:
        return None
    ordered = sorted(servers, key=lambda s: (time_to_ready_s(s, model), s.server))
    members = tuple(ordered[: model.members])
    times = [time_to_ready_s(server, model) for server in members]
    # Servers that are ready sooner need no load from the weight store.
    loads = sum(time >= model.load_s for time in times)
    return Formation(model.name, members, max(times), loads)


def _cost(formation, group_counts):
    """Return the sort key of a formation, lowest for the best.

    Formations that are ready earlier come first, then those with fewer loads, then
    those in the data centre with the fewest groups of the model.
    """
    key = formation.model, formation.members[0].data_center
    domain = formation.members[0].domain
    return formation.ready_s, formation.loads, group_counts.get(key, 0), domain
