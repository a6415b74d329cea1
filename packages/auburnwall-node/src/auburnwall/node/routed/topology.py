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
from typing import NamedTuple

from auburnwall.base.rendezvous import owner, score

# Nodes of a data centre for which one relay is enough.
NODES_PER_RELAY = 16
# Time for which a relay that did not answer is not chosen again, in seconds.
FAILED_RELAY_S = 2.0
# A data centre with more than one node has a second relay that takes over at once.
MIN_RELAYS = 2


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


class Links(NamedTuple):
    """Whom a node exchanges heartbeats with.

    ``partners`` are the names of the nodes that it calls, and ``parent`` is the relay
    that it reports to, ``None`` if it has none. In a mesh all nodes are partners.
    """

    is_mesh: bool
    partners: frozenset
    parent: str | None


class Topology:
    """The ``links`` of the node ``own``, chosen anew when the live nodes change."""

    def __init__(self, own, max_mesh_nodes):
        self.links = Links(True, frozenset(), None)
        self._own = own
        self._max_mesh_nodes = max_mesh_nodes
        self._first_seen_at = {}
        self._failed_until = {}
        self._key = None

    def note_failed_report(self, relay, now):
        """Record that a relay did not answer a report."""
        self._failed_until[relay] = now + FAILED_RELAY_S

    def update(self, nodes, live, now, max_age_s):
        """Choose the links; return whether they have changed.

        ``nodes`` are the records of the fleet's table by name, ``live`` the names of
        the live peers. A node that is new in the table may be live for ``max_age_s``.
        Relays are chosen among the nodes that may be live. Relays also call the nodes
        that would be relays if all nodes were live: after a partition heals, neither
        side would otherwise call the other.
        """
        self._first_seen_at = {
            name: self._first_seen_at.get(name, now) for name in nodes
        }
        names = frozenset(nodes)
        if len(nodes) <= self._max_mesh_nodes:
            return self._set((names, True), Links(True, names - {self._own}, None))
        if self._own not in nodes:
            return self._set((names, False), Links(False, frozenset(), None))
        eligible = self._eligible(nodes, live, now, max_age_s)
        if (names, eligible) == self._key:
            return False
        records = [nodes[name] for name in eligible | {self._own}]
        parent = parent_of(nodes[self._own], records)
        partners = frozenset()
        if parent is None:
            relays = relays_of(records) | relays_of(nodes.values())
            partners = frozenset(relays) - {self._own}
        return self._set((names, eligible), Links(False, partners, parent))

    def _set(self, key, links):
        if key == self._key:
            return False
        self._key, self.links = key, links
        return True

    def _eligible(self, nodes, live, now, max_age_s):
        """Return the names of the other nodes that may be live.

        A node is not eligible for a time after it did not answer a report. Without any
        live peer, all other nodes are eligible.
        """
        others = frozenset(nodes) - {self._own}
        eligible = frozenset(
            name
            for name in others
            if (
                name in live or not live or self._first_seen_at[name] >= now - max_age_s
            )
            and self._failed_until.get(name, 0.0) <= now
        )
        return eligible or others
