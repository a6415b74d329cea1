"""Which hosts load weights ahead of need.

Load pattern: a load from the weight store takes as long as a third of the time that
losses leave to a group, one from the host a tenth of that. Before there is traffic
loads are quick, so hosts then get a model that they do not serve; later only servers
that wait for a partner use the time for it.
"""

from typing import NamedTuple


class HostView(NamedTuple):
    """A server's host: the model served last, those staged, that of its group."""

    server: str
    domain: str
    model: str
    staged: tuple
    group_model: str
    settled: bool


def choose_staging(hosts, models, left, quiet):
    """Return pairs of server and model to stage, ``left`` at most.

    Models with the most members come first: they are the hardest to put together.
    """
    ordered = sorted(models, key=lambda name: -models[name].members)
    wanted = []
    for host in hosts:
        if not host.settled or (host.group_model and not quiet):
            continue
        target = next((name for name in ordered if name != host.group_model), None)
        if target is None or target in host.staged or target == host.model:
            continue
        wanted.append((ordered.index(target), host.server, target))
    return [(server, model) for _, server, model in sorted(wanted)[: max(0, left)]]
