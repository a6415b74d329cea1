"""Entry addresses for callers, with weights by load."""

from typing import NamedTuple

from auburnwall.state.fold.groups import is_in_service


class EntryPoint(NamedTuple):
    """One node's address; callers spread their requests in proportion to ``weight``."""

    url: str
    data_center: str
    weight: float


def entry_points(state, identity, draining, serving, views, near):
    """Return an ``EntryPoint`` for each node that takes requests.

    Those in the data centre ``near`` come first. ``views`` are the live peers. Nodes
    that drain, that can't serve or whose data centre is out are left out. This node
    is included if it is ``serving`` and not ``draining``; it counts as idle. A node
    with 64 running requests has half the weight of an idle one.
    """
    running_by_node = {
        view.node: view.running
        for view in views
        if not view.draining and view.freshness in ("fresh", "outage")
    }
    if serving and not draining:
        running_by_node[identity.node] = 0
    points = [
        EntryPoint(
            f"http://{node.address}",
            node.data_center,
            round(1 / (1 + running_by_node[node.name] / 64), 3),
        )
        for node in state.nodes.values()
        if node.name in running_by_node and is_in_service(state, node.data_center)
    ]
    return sorted(points, key=lambda e: (e.data_center != near, e.data_center, e.url))
