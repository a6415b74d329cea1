"""Serves the calls of peers."""

from math import ceil

from auburnwall.wire.peer.ttypes import TableRow, TableRows


class RoutedHandler:
    """Serve the calls of peers.

    ``replicas`` are this node's copies of the tables, by name; ``engine`` asks a
    backend server whether it responds. ``brokers`` answers for this node's slots.
    """

    def __init__(self, peers, replicas, engine, clock, brokers=None):
        self._peers = peers
        self._replicas = replicas
        self._engine = engine
        self._clock = clock
        self._brokers = brokers

    def pulse(self, peer_pulse):
        """Store a peer's heartbeat and return this node's."""
        self._peers.receive(peer_pulse)
        return self._peers.full_pulse()

    def report(self, peer_pulse, digest_of, version):
        """Store the heartbeat of a node that reports here; return a ``FleetDigest``."""
        self._peers.receive(peer_pulse, reports=True)
        return self._peers.digest_for(digest_of, version)

    def rows(self, table, from_offset, wait_ms, era):
        """Return the records of a table from an offset on, as ``TableRows``.

        Waits up to ``wait_ms`` for a record if there is none. The records are from this
        node's copy of the table. If it no longer has all of them, or has them in
        another ``era``, its newest record of each key is returned, marked as ``whole``.
        The age of the copy is -1 ms if it is not known, and while it is not known what
        the store has lost.
        """
        replica = self._replicas[table]
        asked_at = self._clock.monotonic()
        if wait_ms and era == replica.era:
            replica.wait_for_records(from_offset, wait_ms / 1000)
        waited_s = self._clock.monotonic() - asked_at
        records, whole = replica.records_for_peer(from_offset, era or 0)
        age_s = replica.age_s()
        if replica.unsettled and era != replica.era:
            age_s = None
        return TableRows(
            whole,
            replica.end,
            ceil(age_s * 1000) if age_s is not None else -1,
            [
                TableRow(r.offset, r.key, r.value or b"", r.value is None)
                for r in records
            ],
            replica.era,
            int(waited_s * 1000),
        )

    def reaches(self, server, address):
        """Return whether a server answers this node."""
        return self._engine.is_reachable(server, address)

    def take_slot(self, ask):
        """Grant a slot of this data centre's groups, or say why not."""
        return self._brokers.take_slot(ask)

    def release_slot(self, ask_id):
        """Free a slot that this node has granted, or end the wait for it."""
        self._brokers.release_slot(ask_id)
