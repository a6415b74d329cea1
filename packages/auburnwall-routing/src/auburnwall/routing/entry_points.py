"""Which entry addresses callers are told to use, and for how long."""

from typing import NamedTuple

from auburnwall.state.fold.groups import data_center_in


class EntryPoint(NamedTuple):
    """One node's address for callers; callers spread in proportion to ``weight``."""

    url: str
    data_center: str
    weight: float


def entry_points(state, identity, draining, serving, views, near):
    """Return the addresses, those in the data centre ``near`` first.

    ``views`` are the peers that answered lately. Nodes that drain, that cannot serve
    or whose data centre is out are not named.
    """
    serving_peers = {
        view.node: view.running
        for view in views
        if not view.draining and view.freshness in ("fresh", "outage")
    }
    if serving and not draining:
        serving_peers[identity.node] = 0
    named = [
        EntryPoint(
            f"http://{node.address}",
            node.data_center,
            round(1 / (1 + serving_peers[node.name] / 64), 3),
        )
        for node in state.nodes.values()
        if node.name in serving_peers and data_center_in(state, node.data_center)
    ]
    return sorted(named, key=lambda e: (e.data_center != near, e.data_center, e.url))
