"""Choose hosts that load weights ahead of need.

A load from the weight store takes a third of the time that a group usually has until
it loses a server. A load from the host's memory is ten times as fast. Before the first
request, loads from the weight store are also ten times as fast, so all hosts stage a
model that they do not serve. Later only servers in no group stage one, since these
usually wait until enough servers of their domain are free to form a group.
"""

from typing import NamedTuple


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


def choose_staging(hosts, models, max_loads, at_start):
    """Return at most ``max_loads`` pairs of a server and the model to stage there.

    ``at_start`` is true until the first request. Models with the most members come
    first, because their groups are the hardest to form.
    """
    ordered = sorted(models, key=lambda name: -models[name].members)
    wanted = []
    for host in hosts:
        if not host.available or (host.group_model and not at_start):
            continue
        target = next((name for name in ordered if name != host.group_model), None)
        if target is None or target in host.staged or target == host.model:
            continue
        wanted.append((ordered.index(target), host.server, target))
    return [(server, model) for _, server, model in sorted(wanted)[: max(0, max_loads)]]
