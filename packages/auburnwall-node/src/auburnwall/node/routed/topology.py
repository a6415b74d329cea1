"""Which nodes exchange heartbeats with each other.

Load pattern: the cost of exchanging heartbeats with every other node grows with the
number of nodes, and what a node then knows of the others' requests is older than the
requests themselves. Above a number of nodes, some nodes of each data centre therefore
act as relays. Relays exchange heartbeats with each other; every other node reports to
one relay of its data centre and gets the state of all nodes from it.
"""

from itertools import groupby
from math import ceil
from operator import attrgetter

from auburnwall.base.rendezvous import owner, score

# Nodes of a data centre for which one relay is enough.
NODES_PER_RELAY = 16
# A data centre with more than one node has a second relay that takes over at once.
MIN_RELAYS = 2


def is_mesh(node_count, max_mesh_nodes):
    """Return whether all nodes exchange heartbeats with each other."""
    return node_count <= max_mesh_nodes


def relays_of(nodes):
    """Return the set of names of the relays among ``nodes``, which are ``NodeRecord``.

    In each data centre the nodes with the most cores are relays, so that relaying takes
    a small part of their processor; rendezvous hashing decides between equal ones.
    """
    by_data_center = groupby(
        sorted(nodes, key=attrgetter("data_center")), attrgetter("data_center")
    )
    return {
        node.node for _, group in by_data_center for node in _best_relays(list(group))
    }


def parent_of(own, nodes):
    """Return the relay that the node ``own`` reports to, ``None`` if it is a relay.

    ``nodes`` are the records of all nodes that can be relays, ``own`` included. The
    nodes of a data centre are spread over its relays.
    """
    near = [node for node in nodes if node.data_center == own.data_center]
    relays = relays_of(near)
    if own.node in relays:
        return None
    return owner(own.node, relays)


def _best_relays(nodes):
    count = max(MIN_RELAYS, ceil(len(nodes) / NODES_PER_RELAY))
    return sorted(nodes, key=relay_rank)[:count]


def relay_rank(node):
    """Return the key by which nodes are sorted, the best relay first."""
    return -node.cores, -score("relay", node.node), node.node
