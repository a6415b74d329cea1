"""This node's record in the fleet table, and the removal of unreachable nodes."""

from auburnwall.base.logs import event
from auburnwall.fleet.formation.records import NODE_PREFIX, NodeRecord
from auburnwall.state.exceptions import StateError

# A node that has been unreachable for this long is removed from the fleet table, in
# seconds.
REMOVE_AFTER_S = 30.0


class Announcement:
    """Keep the nodes' records in the fleet table current.

    ``cores()`` returns how much of a processor this node has, in cores.
    """

    def __init__(self, identity, state, writer, peers, clock, cores):
        self._identity = identity
        self._state = state
        self._writer = writer
        self._peers = peers
        self._clock = clock
        self._cores = cores
        self._unreachable_since = {}

    def announce(self):
        """Write this node's record, if the table does not have it."""
        identity, replica = self._identity, self._state.replica
        if replica.end < 0:
            return
        own = self._state.nodes.get(identity.node)
        is_lost = NODE_PREFIX + identity.node in replica.unsettled
        if own is not None and own.incarnation == identity.incarnation and not is_lost:
            return
        record = NodeRecord(
            identity.node,
            identity.incarnation,
            identity.address,
            identity.peer_address,
            identity.data_center,
            self._cores(),
        )
        try:
            self._writer.announce(record)
        except StateError as exc:
            event("node record not written", step=exc.step, why=exc.detail)

    def remove_unreachable_nodes(self):
        """Remove the records of nodes unreachable for ``REMOVE_AFTER_S``.

        That time is counted from the first call that finds the node not live; a call
        that finds it live resets the count. So this must be called regularly.
        """
        names = self._nodes_to_remove()
        if not names:
            return
        try:
            self._writer.drop_nodes(names)
        except StateError as exc:
            event("node removal failed", step=exc.step, why=exc.detail)
            return
        event("unreachable nodes removed", peers=names)

    def _nodes_to_remove(self):
        """Return the sorted names of the nodes to be removed."""
        now, live = self._clock.monotonic(), self._peers.live()
        self._unreachable_since = {
            name: self._unreachable_since.get(name, now)
            for name in self._state.nodes
            if name not in live and name != self._identity.node
        }
        return sorted(
            name
            for name, since in self._unreachable_since.items()
            if now - since >= REMOVE_AFTER_S
        )
