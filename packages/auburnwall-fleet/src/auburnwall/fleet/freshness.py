"""Decide whether this node's configuration is fresh enough to take requests.

A node that cannot read the log does not know whether the log is down for all nodes or
the node itself is cut off. It uses what its peers report: if it reaches a majority of
the nodes and none of them is fresh, the log is down and the node keeps serving with
the configuration that it has. If it reaches no majority, or a peer is fresh, the node
is cut off and takes no new requests.
"""

from enum import Enum


class Freshness(Enum):
    """How current the node's configuration is.

    The values are shown to peers and operators.
    """

    STARTING = "starting"
    FRESH = "fresh"
    OUTAGE = "outage"
    CUT_OFF = "cut off"

    @property
    def serves(self):
        """Return whether new requests are taken."""
        return self in (Freshness.FRESH, Freshness.OUTAGE)


def assess_freshness(age_s, fresh_s, members, reachable_nodes, fresh_peers):
    """Return the node's ``Freshness``.

    ``age_s`` is how many seconds ago the node last knew that it had read up to the
    log's end, ``None`` if it never did. ``fresh_s`` is the age up to which it is fresh.
    ``members`` is the number of nodes in the membership, ``reachable_nodes`` how many
    of them were reached lately, this one included. ``fresh_peers`` is how many of the
    reached peers are fresh themselves.
    """
    if age_s is None:
        return Freshness.STARTING
    if age_s <= fresh_s:
        return Freshness.FRESH
    if 2 * reachable_nodes > members and fresh_peers == 0:
        return Freshness.OUTAGE
    return Freshness.CUT_OFF
