"""Hold and take leases without synchronized clocks.

The holder counts its term from just before it sends a renewal. All other nodes count
from when they read it, which is later. A node that takes an expired lease names the
last renewal that it has read, and the fold rejects the take if there is a later one.
"""

from auburnwall.base.logs import event

from .exceptions import StateError


class LeaseKeeper:
    """Renew or take one lease on behalf of a node."""

    def __init__(self, name, node, proposer, follower, clock, *, term_s):
        self.name = name
        self._node = node
        self._proposer = proposer
        self._follower = follower
        self._clock = clock
        self._term_s = term_s
        self._last_renewal_offset = None
        self._last_renewal_read_at = 0.0
        self._valid_until = 0.0
        self._last_sent_at = 0.0

    def fence(self):
        """Return the fencing token if this node is certain to hold the lease.

        Returns ``None`` if it doesn't hold the lease or may have lost it.
        """
        lease = self._follower.state.leases.get(self.name)
        if (
            not self._is_recorded_holder(lease)
            or self._clock.monotonic() >= self._valid_until
        ):
            return None
        return lease.fence

    def step(self, lease_delay_s):
        """Renew the lease if this node holds it, or else take it once it is free.

        A lease that was never taken or was released is free ``lease_delay_s`` seconds
        after this node noticed that. Any other lease is free after a term and
        ``lease_delay_s`` seconds in which this node read no renewal. Nodes get
        different delays, so that they don't all take the lease at the same time.
        """
        lease = self._follower.state.leases.get(self.name)
        now = self._clock.monotonic()
        renewal_offset = lease.renewed if lease else -1
        if renewal_offset != self._last_renewal_offset:
            self._last_renewal_offset, self._last_renewal_read_at = renewal_offset, now
        if self._is_recorded_holder(lease):
            if now - self._last_sent_at >= self._term_s / 3:
                self._propose("lease_renew", {"name": self.name, "fence": lease.fence})
            return
        has_no_holder = lease is None or lease.released
        min_wait_s = lease_delay_s if has_no_holder else self._term_s + lease_delay_s
        if now - self._last_renewal_read_at >= min_wait_s:
            self._take(renewal_offset)

    def release(self):
        """Release the lease if this node holds it."""
        fence = self.fence()
        self._valid_until = 0.0
        if fence is not None:
            self._propose("lease_release", {"name": self.name, "fence": fence})
            # ``_propose`` extends the term after any accepted proposal, even a release.
            self._valid_until = 0.0

    def _is_recorded_holder(self, lease):
        """Return whether the last record of the lease names this incarnation.

        This is also true after the lease's term has passed without a renewal.
        """
        return (
            lease is not None
            and not lease.released
            and lease.incarnation == self._proposer.incarnation
        )

    def _take(self, renewal_offset):
        body = {
            "name": self.name,
            "holder": self._node,
            "incarnation": self._proposer.incarnation,
            "after": renewal_offset,
        }
        if self._propose("lease_take", body):
            event(
                "lease taken", name=self.name, after=renewal_offset, step="take lease"
            )

    def _propose(self, kind, body):
        sent_at = self._clock.monotonic()
        self._last_sent_at = sent_at
        try:
            verdict = self._proposer.propose(kind, body, self._term_s)
        except StateError as exc:
            event(
                "lease proposal failed", name=self.name, step=exc.step, why=exc.detail
            )
            return False
        if verdict.accepted:
            self._valid_until = sent_at + self._term_s
        return verdict.accepted
