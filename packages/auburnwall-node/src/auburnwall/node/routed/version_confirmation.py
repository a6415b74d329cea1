"""Whether a node that has started may refuse for good by the version that it read.

Load pattern: nodes start while versions of the configuration come in quick succession,
an older one is written after a newer one, and the store has dropped its history. The
newest record that is left is then an older version than the peers go by. They tell
theirs in their first heartbeats, some tenths of a second after the start. Until one
that is itself sure of its version has, or for ``CONFIRM_S``, a request that the version
does not allow is refused as not run, so that its caller comes back. Nodes that start
together, or resume after a pause, do not confirm each other's version.
"""

# Time after the first read of the operators' table in which peers are heard, in
# seconds. A node that hears none goes by what it has read; it may be alone.
CONFIRM_S = 1.0


class VersionConfirmation:
    """Tells when the version that was read at the start is known to be the newest.

    ``replica`` is the copy of the operators' table. ``newest_version()`` returns the
    highest version that was read, ``peer_statuses()`` the ``ConfigStatus`` of the peers
    that tell a version, by name.
    """

    def __init__(self, replica, newest_version, peer_statuses, clock):
        self._replica = replica
        self._newest_version = newest_version
        self._peer_statuses = peer_statuses
        self._clock = clock
        self._is_over = False

    def is_over(self):
        """Return whether a peer has confirmed the version, or the time is over."""
        if not self._is_over:
            self._is_over = self._may_end()
        return self._is_over

    def _may_end(self):
        loaded_at = self._replica.loaded_at
        if loaded_at is None:
            return False
        if self._clock.monotonic() - loaded_at >= CONFIRM_S:
            return True
        statuses, newest = self._peer_statuses().values(), self._newest_version()
        return any(status.is_current for status in statuses) and all(
            status.version <= newest for status in statuses
        )
