"""Election of the node that plans.

Correctness does not require a single planner: a decision is written only if the table
is unchanged since the planner read it, and servers refuse orders of an older epoch. The
election only prevents two nodes from doing the same work.
"""

from auburnwall.base.logs import event
from auburnwall.base.rendezvous import owner
from auburnwall.state.exceptions import StateError


class Election:
    """Makes this node the planner if the present one cannot plan and this one is next.

    ``peers`` has ``planner_candidates()``, which returns the incarnations by name of
    the live nodes that are not stopping and can read the tables. This node can be one
    of them. Rendezvous hashing decides which candidate is next.
    """

    def __init__(self, state, writer, peers, identity):
        self._state = state
        self._writer = writer
        self._peers = peers
        self._identity = identity

    def step(self):
        """Become the planner if the present one cannot plan and this node is next.

        A write that fails is logged.
        """
        candidates = self._peers.planner_candidates()
        planner = self._state.planner
        if planner is not None and candidates.get(planner.node) == planner.incarnation:
            return
        if owner("planner", sorted(candidates)) != self._identity.node:
            return
        try:
            self._writer.become_planner()
        except StateError as exc:
            event("planning not taken over", step=exc.step, why=exc.detail)
            return
        event(
            "planning taken over",
            term=self._state.planner.term if self._state.planner else 0,
            instead_of=planner.node if planner else "",
            able=sorted(candidates),
        )
