"""Fold of nodes that join or leave the membership."""

from ..records import Verdict
from .model import Node


def fold_join(state, offset, body):
    """Add the node, or replace its previous incarnation.

    ``after`` must name the incarnation that is in the membership, or be empty if the
    node is not in it.
    """
    name = body["node"]
    current = state.nodes.get(name)
    incarnation = current.incarnation if current else ""
    if body["after"] != incarnation:
        winner = current.joined if current else -1
        return Verdict(False, offset, "another incarnation has joined", winner)
    state.nodes[name] = Node(
        name,
        str(body["incarnation"]),
        str(body["address"]),
        str(body["peer_address"]),
        str(body["data_center"]),
        offset,
    )
    state.membership_offset = offset
    return Verdict(True, offset)


def fold_leave(state, offset, body):
    """Remove the node if the record names its present incarnation."""
    current = state.nodes.get(body["node"])
    if current is None or current.incarnation != body["incarnation"]:
        winner = current.joined if current else -1
        return Verdict(False, offset, "that incarnation is not in", winner)
    del state.nodes[current.name]
    state.membership_offset = offset
    return Verdict(True, offset)
