"""Which hosts load weights ahead of need.

Load pattern: a load from the weight store takes as long as a third of the time that
losses leave to a group, one from the host a tenth of that. So hosts get a model that
they do not serve: all of them before there is traffic, when loads are quick, and later
with the loads that groups leave over. Servers go on serving meanwhile.
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

    Models with the most members come first: they are the hardest to put together. Under
    traffic only they are staged, on free servers first.
    """
    ordered = sorted(models, key=lambda name: -models[name].members)
    wanted = []
    for host in hosts:
        target = next((name for name in ordered if name != host.group_model), None)
        if not host.settled or target is None:
            continue
        if target in host.staged or target == host.model:
            continue
        if not quiet and target != ordered[0]:
            continue
        serves = bool(host.group_model)
        wanted.append((ordered.index(target), serves, host.server, target))
    return [(server, model) for _, _, server, model in sorted(wanted)[: max(0, left)]]
