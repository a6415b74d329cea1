"""Whether this node's configuration is fresh enough to take requests.

A node that cannot read the log cannot tell by itself whether the log is out for all
or it is cut off. It asks its peers: in touch with a majority that has no word either,
it is an outage and what is in force stays in force. Without a majority it takes no
new requests.
"""

from enum import Enum


class Freshness(Enum):
    """How current the node is, and so what it may do."""

    STARTING = "starting"
    FRESH = "fresh"
    OUTAGE = "outage"
    CUT_OFF = "cut off"

    @property
    def serves(self):
        """Return whether new requests are taken."""
        return self in (Freshness.FRESH, Freshness.OUTAGE)


def assess_freshness(age_s, fresh_s, members, in_touch, peers_with_word):
    """Return the mode.

    ``age_s`` is the age of the last word of the log's end (``None``: never had one),
    ``members`` the number of nodes in the folded membership, ``in_touch`` how many of
    them, this one included, were reached lately, and ``peers_with_word`` how many of
    those said that they are fresh.
    """
    if age_s is None:
        return Freshness.STARTING
    if age_s <= fresh_s:
        return Freshness.FRESH
    if 2 * in_touch > members and peers_with_word == 0:
        return Freshness.OUTAGE
    return Freshness.CUT_OFF
