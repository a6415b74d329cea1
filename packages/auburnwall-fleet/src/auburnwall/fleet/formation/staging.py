"""Choose hosts that load weights ahead of need.

A load from the weight store takes a third of the time that a group usually has until
it loses a server. A load from the host's memory is ten times as fast. Before the first
request, loads from the weight store are also ten times as fast, so all hosts stage a
model that they do not serve. Later only servers in no group stage one, since these
usually wait until enough servers of their domain are free to form a group.

A host keeps one staged model. Where one model is the scarcest, only as many hosts stage
it as its next group needs, so that the others keep what they have.
"""

from typing import NamedTuple

from .assembly import by_domain


class HostView(NamedTuple):
    """A server's host and the models on it.

    ``model`` is the model that the server served last, and ``staged`` are the models
    that are staged on the host. ``group_model`` is the model of the server's group,
    empty if it is in none. ``available`` is whether the host may be ordered to stage a
    model now.
    """

    server: str
    domain: str
    model: str
    staged: tuple
    group_model: str
    available: bool


def choose_staging(hosts, models, max_loads, at_start, scarcest=""):
    """Return at most ``max_loads`` pairs of a server and the model to stage there.

    ``at_start`` is true until the first request. Models with the most members come
    first, because their groups are the hardest to form. After the first request, the
    hosts that the next group of the model ``scarcest`` needs stage that one before all
    others.
    """
    ordered = sorted(models, key=lambda name: -models[name].members)
    wanted, chosen = [], {}
    if scarcest and not at_start:
        chosen = _hosts_of_next_group(hosts, models[scarcest])
    for host in hosts:
        if not host.available or (host.group_model and not at_start):
            continue
        if host.server in chosen:
            if not chosen[host.server]:
                wanted.append((-1, host.server, scarcest))
            continue
        target = next((name for name in ordered if name != host.group_model), None)
        if target is None or target in host.staged or target == host.model:
            continue
        wanted.append((ordered.index(target), host.server, target))
    return [(server, model) for _, server, model in sorted(wanted)[: max(0, max_loads)]]


def _hosts_of_next_group(hosts, model):
    """Return the hosts that the next group of ``model`` would use.

    They are mapped to whether they need no load for it. All are in the domain where the
    fewest loads are missing; the result is empty if no domain has enough hosts in no
    group. A host that cannot be ordered to stage now is loading already and counts as
    ready.
    """
    options = []
    for domain, members in by_domain([h for h in hosts if not h.group_model]):
        if len(members) < model.members:
            continue
        is_ready = {
            host.server: not host.available
            or model.name == host.model
            or model.name in host.staged
            for host in members
        }
        ordered = sorted(is_ready, key=lambda server: (not is_ready[server], server))
        next_group = {server: is_ready[server] for server in ordered[: model.members]}
        missing = sum(not ready for ready in next_group.values())
        options.append((missing, domain, next_group))
    return min(options)[2] if options else {}
