"""Grant credits on the groups that this node owns.

The owner of a group is the best node for its name by rendezvous hashing over the
folded membership. After a change of the membership a new owner grants nothing until
the old one has heard of the change, or stopped granting, and its grants have run out.
"""

from typing import NamedTuple

from auburnwall.base.rendezvous import owner
from auburnwall.routing.credits import Grant, Ledger, Report

LEDGER_MEMORY_S = 600.0


class CreditDecision(NamedTuple):
    """A grant, or the reason why there is none."""

    grant: Grant | None
    reason: str = ""


class _PastMembership(NamedTuple):
    """Names of the nodes that were in until ``ended_at``; none if not known."""

    nodes: frozenset
    ended_at: float


class Ownership:
    """Ledgers of the groups that this node owns.

    A pause of this process needs no step here: until the node is fresh again it
    grants nothing, and if it was removed meanwhile it folds that before it is fresh.
    """

    def __init__(self, node, follower, membership, find_view, evidence, clock, cfg):
        self._node = node
        self._follower = follower
        self._membership = membership
        self._find_view = find_view
        self._evidence = evidence
        self._clock = clock
        self._cfg = cfg
        self._ledgers = {}
        self._used_at = {}
        self._nodes = frozenset()
        self._past = [_PastMembership(frozenset(), clock.monotonic())]

    def owner_of(self, group):
        """Return the node that owns ``group``, or ``None`` without any member."""
        nodes = self._follower.state.nodes
        return nodes.get(owner(f"credits/{group}", nodes))

    def decide(self, ask):
        """Return the decision on a router's ``CreditAsk``."""
        now = self._clock.monotonic()
        chosen = self.owner_of(ask.group)
        if chosen is None or chosen.name != self._node:
            return CreditDecision(None, "another node owns the group")
        if not self._membership.freshness().serves:
            return CreditDecision(None, "the owner is not fresh")
        view = self._find_view(ask.group)
        if view is None:
            return CreditDecision(None, "the group may take no requests")
        if (view.generation, view.boot_id) != (ask.generation, ask.boot_id):
            return CreditDecision(None, "the group has changed")
        if not self._is_settled(view, now):
            return CreditDecision(None, "ownership has just changed")
        ledger = self._ledger(view, now)
        ledger.settle_lapsed(view.running, now - self._cfg.fresh_s, now)
        report = Report(
            ask.node, ask.in_use, ask.want, ask.number, ask.closed, ask.ledger
        )
        return CreditDecision(ledger.request(report, view.bears, now))

    def note_membership(self, record, verdict):
        """Note a change of the membership as it is folded."""
        nodes = frozenset(self._follower.state.nodes)
        if nodes == self._nodes:
            return
        now = self._clock.monotonic()
        floor = now - self._settle_s()
        self._past = [past for past in self._past if past.ended_at >= floor]
        self._past.append(_PastMembership(self._nodes, now))
        self._nodes = nodes
        for key in [key for key in self._ledgers if not self._owns(key[0], nodes)]:
            del self._ledgers[key], self._used_at[key]

    def _ledger(self, view, now):
        key = (view.name, view.generation, view.boot_id)
        if key not in self._ledgers:
            floor = now - LEDGER_MEMORY_S
            for old in [k for k, at in self._used_at.items() if at < floor]:
                del self._used_at[old], self._ledgers[old]
            self._ledgers[key] = Ledger(self._cfg.credit_term_s, view.running)
        self._used_at[key] = now
        return self._ledgers[key]

    def _owns(self, group, nodes):
        return owner(f"credits/{group}", nodes) == self._node

    def _settle_s(self):
        return self._cfg.fresh_s + self._cfg.credit_term_s

    def _is_settled(self, view, now):
        """Return whether no other node can have live grants on the group.

        None can on a group that was formed after the last change of the membership,
        nor if this node has owned it all through the time in which an earlier owner
        may not have heard of the change and its grants may live.
        """
        if view.generation > self._follower.state.membership_offset:
            return True
        floor = now - self._settle_s()
        return all(
            self._owns(view.name, past.nodes)
            for past in self._past
            if past.ended_at >= floor
        )
