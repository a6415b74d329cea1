"""Grant credits on the groups that this node owns.

A credit is the right to use one slot of a group, for one request. A node that sends
requests to a group is called a router. It asks the group's owner for slots. For each
group the owner keeps a ledger of the slots that it granted and that are in use.

The owner is chosen by rendezvous hashing of the group's name over the membership as
read from the log. After a change of the membership, a new owner grants nothing until
the former owner has read the change or stopped granting, and until the grants of the
former owner have expired.
"""

from typing import NamedTuple

from auburnwall.base.rendezvous import owner
from auburnwall.routing.credits import Grant, Ledger, Report

# Time after which an unused ledger is removed, in seconds.
UNUSED_LEDGER_TTL_S = 600.0


class CreditDecision(NamedTuple):
    """A grant, or the reason for refusing one, which is sent to the router."""

    grant: Grant | None
    reason: str = ""


class _PastMembership(NamedTuple):
    """The names of the members until ``ended_at``, on the monotonic clock.

    There are none for the time before this process read the first members from the log.
    """

    nodes: frozenset
    ended_at: float


class Ownership:
    """Decides on requests for credits; holds the ledgers of the groups it owns.

    It need not detect a pause of the process. After a pause the node grants nothing
    until its ``Freshness`` allows it to serve, since its last known log end and its
    contacts with peers are outdated. By then it has read its removal from the
    membership, if the other nodes removed it during the pause. ``find_view(name)``
    returns the ``GroupView`` of a group or service VM that may take requests, or
    ``None``.
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
        """Return the node that owns ``group``, or ``None`` if there are no members."""
        nodes = self._follower.state.nodes
        return nodes.get(owner(f"credits/{group}", nodes))

    def decide(self, ask):
        """Return the ``CreditDecision`` on a router's ``CreditAsk``."""
        now = self._clock.monotonic()
        group_owner = self.owner_of(ask.group)
        if group_owner is None or group_owner.name != self._node:
            return CreditDecision(None, "another node owns the group")
        if not self._membership.freshness().serves:
            return CreditDecision(None, "the owner is not fresh")
        view = self._find_view(ask.group)
        if view is None:
            return CreditDecision(None, "the group may take no requests")
        if (view.generation, view.boot_id) != (ask.generation, ask.boot_id):
            return CreditDecision(None, "the group has changed")
        if not self._is_sole_grantor(view, now):
            return CreditDecision(None, "ownership has just changed")
        ledger = self._ledger(view, now)
        # The number of running requests is from a probe up to ``fresh_s`` ago.
        ledger.release_expired(view.running, now - self._cfg.fresh_s, now)
        report = Report(
            ask.node, ask.in_use, ask.want, ask.number, ask.closed, ask.ledger
        )
        return CreditDecision(ledger.grant_slots(report, view.max_concurrent, now))

    def record_membership(self, record, verdict):
        """Record a change of the membership when its log record has been applied.

        Removes the ledgers of groups that this node no longer owns. The follower calls
        this method as a listener; both parameters are unused.
        """
        nodes = frozenset(self._follower.state.nodes)
        if nodes == self._nodes:
            return
        now = self._clock.monotonic()
        cutoff = now - self._settling_time_s()
        self._past = [past for past in self._past if past.ended_at >= cutoff]
        self._past.append(_PastMembership(self._nodes, now))
        self._nodes = nodes
        for key in [key for key in self._ledgers if not self._owns(key[0], nodes)]:
            del self._ledgers[key], self._used_at[key]

    def _ledger(self, view, now):
        key = (view.name, view.generation, view.boot_id)
        if key not in self._ledgers:
            cutoff = now - UNUSED_LEDGER_TTL_S
            for unused in [k for k, at in self._used_at.items() if at < cutoff]:
                del self._used_at[unused], self._ledgers[unused]
            self._ledgers[key] = Ledger(self._cfg.credit_term_s, view.running)
        self._used_at[key] = now
        return self._ledgers[key]

    def _owns(self, group, nodes):
        return owner(f"credits/{group}", nodes) == self._node

    def _settling_time_s(self):
        """Return for how long a former owner's grants may be valid, in seconds.

        A fresh owner may grant for ``fresh_s`` before it reads the change; a grant then
        lasts for ``credit_term_s``.
        """
        return self._cfg.fresh_s + self._cfg.credit_term_s

    def _is_sole_grantor(self, view, now):
        """Return whether no other node can have valid grants on the group.

        That is certain if the group was formed or repaired after the last change of the
        membership: its generation, the log offset of the record that formed or last
        repaired it, is then the greater one. It is also certain if this node has owned
        the group for the settling time: by then a former owner has read the change or
        stopped granting, and its grants have expired.
        """
        if view.generation > self._follower.state.membership_offset:
            return True
        cutoff = now - self._settling_time_s()
        return all(
            self._owns(view.name, past.nodes)
            for past in self._past
            if past.ended_at >= cutoff
        )
