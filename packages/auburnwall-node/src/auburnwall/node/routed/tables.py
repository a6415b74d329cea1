"""Keep this node's copies of the platform's tables up to date, from store or peers."""

from auburnwall.base.logs import event
from auburnwall.base.rendezvous import ranked
from auburnwall.state.exceptions import LogUnavailableError
from auburnwall.state.table.base import TableRecord
from auburnwall.wire.exceptions import PeerUnavailableError

# Maximum time that one read waits for new records, in seconds, and the same as a
# fraction of the time in which the records must be noticed. The copy is as old as the
# wait is long, and a ``TableKeeper`` asks others before its time is over.
LONG_POLL_S, MAX_LONG_POLL_FRACTION = 2.0, 0.5
# The same for the operators' table in a fleet with relays, where few nodes read it and
# the others depend on them.
RELAYED_LONG_POLL_S = 1.0
# Pause between two copies from the peer that reads the store for this node, and maximum
# age of that peer's copy, in seconds. The age is more than the default ``registry_s``,
# the pause between two reads of the registrations. Interval plus age is below the 2 s
# in which a leaving server must be noticed.
FOLLOW_INTERVAL_S, MAX_FOLLOWED_AGE_S = 0.3, 1.0
# Maximum age of a relay's copy as a fraction of the time in which a leaving server must
# be noticed. A relay may itself copy from the relay that reads the store.
MAX_RELAYED_AGE_FRACTION = 0.5
# The same for the two tables whose readers wait for new records. A copy is as old as
# the last read that has ended, so its age is up to twice the wait, and more at a relay
# that copies from another.
MAX_OPERATOR_AGE_S = 2 * RELAYED_LONG_POLL_S + 1.3
MAX_FLEET_AGE_S = 2 * LONG_POLL_S + 2.0
# Time reserved for a read of the store, in seconds: a copy from a peer is given up this
# long before the end of the time in which the table's records must be noticed.
STORE_READ_S = 0.4
# Minimum time that a copy from a peer may take, in seconds. A node with less time left
# reads the store.
MIN_COPY_S = 0.1
# Maximum time that a relay waits for new records before it responds, in seconds. It is
# shorter than the timeout of calls to peers.
RELAY_WAIT_S = 0.5
# Time for which a node reads the store itself after it could not copy from its peer, in
# seconds. A peer that is gone no longer counts as live by then; see
# ``peers.MAX_HEARTBEAT_AGE_S``.
READ_STORE_S = 2.5
# Time for which a node that starts waits for the fleet table, which names its relay.
# Then, time in which it tries to copy a table from the relay before it reads the store.
# In seconds. Relays that start at the same moment read their own tables in it.
FLEET_WAIT_S, FIRST_COPY_S = 0.8, 0.1
# Longest call for such a copy, and pause between two of them, in seconds.
FIRST_COPY_CALL_S, FIRST_COPY_PAUSE_S = 0.4, 0.02
# Offset by which a peer is asked for the newest record of each key.
WHOLE_TABLE = -1
# Initial and maximum pause between reads while the store fails, in seconds.
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0


class StoreReaderChoice:
    """Choose the node that reads the store for this one.

    A node that reports to a relay copies from its relay. Otherwise rendezvous hashing
    chooses among this node and the live peers of its data centre that exchange
    heartbeats with it and read the store. ``is_planner()`` returns whether this node is
    the planner, which always reads the store itself.
    """

    def __init__(self, identity, state, peers, is_planner):
        self._identity = identity
        self._state = state
        self._peers = peers
        self._is_planner = is_planner

    def knows_peers(self):
        """Return whether the fleet table is known, which holds the peers."""
        return self._state.replica.end >= 0

    def relay_at_start(self):
        """Return the relay to copy the first tables from, or ``None``.

        The relay is chosen by the fleet table, as no peer has been heard of yet.
        """
        self._peers.update_links()
        return self._peers.parent()

    def peer_to_follow_in_large_fleet(self):
        """Return the peer to copy from, ``None`` in a fleet without relays.

        There every node reads the operators' table itself.
        """
        return None if self._peers.is_mesh else self.peer_to_follow()

    def peer_to_follow(self):
        """Return the peer to copy from, or ``None`` if this node reads the store."""
        if self._is_planner():
            return None
        parent = self._peers.parent()
        if parent in self._state.nodes:
            return parent
        own = self._identity.node
        near = [
            name
            for name, status in self._peers.live().items()
            if status.reads_tables
            and not status.stopping
            and self._is_near(name)
            and self._peers.is_relay(name)
        ]
        best = ranked("store reader", [own, *near])[0]
        return None if best == own else best

    def _is_near(self, name):
        return self._state.nodes[name].data_center == self._identity.data_center


class TableReader:
    """Keep the copy of one table up to date.

    A read of the store waits up to ``wait_s()`` seconds for new records. ``pause_s()``
    returns the pause between two reads, in seconds, and ``follow_pause_s`` is that
    between two copies from a peer. ``peer_to_follow()`` returns the
    name of the peer that reads the table for this node, or ``None``, and
    ``max_followed_age_s`` is the maximum age of that peer's copy. Records of the table
    must be noticed within ``notice_s`` seconds; a copy from a peer that would take
    longer is given up for a read of the store. With ``start``, which has the methods
    ``knows_peers()`` and ``relay_at_start()``, the first copy comes from a relay if
    possible: after a restart of all nodes, the store would otherwise have to send whole
    tables to each of them at the same moment. ``on_read()`` is called after each
    successful read. ``reads_store`` is true while this node reads the store itself.
    ``call_began_at`` is the monotonic time at which the call to the current source
    began, ``None`` between two calls.
    """

    def __init__(
        self,
        replica,
        peers,
        clock,
        rng,
        *,
        wait_s,
        pause_s,
        on_read=None,
        peer_to_follow=lambda: None,
        max_followed_age_s=MAX_FOLLOWED_AGE_S,
        follow_pause_s=FOLLOW_INTERVAL_S,
        notice_s=None,
        start=None,
    ):
        self.replica = replica
        self.reads_store = False
        self.call_began_at = None
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._on_read = on_read or (lambda: None)
        self._peer_to_follow = peer_to_follow
        self.max_followed_age_s = max_followed_age_s
        self._follow_pause_s = follow_pause_s
        self.notice_s = notice_s
        self._start = start
        self._first_copy_ends_at = None
        self._knew_peers = False
        self._followed_peer = None
        self._read_store_until = 0.0
        self._backoff_s = FIRST_BACKOFF_S

    def run(self):
        """Read the table in an endless loop."""
        while True:
            self.step()

    def step(self):
        """Read once, from the peer that reads for this node or else from the store."""
        self.replica.settle_due()
        self.call_began_at = self._clock.monotonic()
        if self._may_copy_first():
            if not self._copy_first():
                self._pause(FIRST_COPY_PAUSE_S)
            return
        if self._copy_from_followed_peer():
            self._pause(self._follow_pause_s)
            return
        try:
            self.replica.refresh(self._wait_s())
        except LogUnavailableError as exc:
            self._record_store_failure(exc)
            self._pause(self._rng.uniform(0.5, 1.0) * self._backoff_s)
            self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
            return
        if not self.reads_store:
            event("table read", table=self.replica.table, end=self.replica.end)
        self.reads_store, self._backoff_s = True, FIRST_BACKOFF_S
        self._on_read()
        self._pause(self._pause_s())

    def _pause(self, seconds):
        self.call_began_at = None
        self._clock.sleep(seconds)

    def _may_copy_first(self):
        """Return whether the first copy of this table may still come from a relay."""
        if self._start is None or self.replica.end >= 0:
            return False
        now = self._clock.monotonic()
        if self._first_copy_ends_at is None:
            self._first_copy_ends_at = now + FLEET_WAIT_S
        if not self._start.knows_peers():
            return now < self._first_copy_ends_at
        if not self._knew_peers:
            self._knew_peers = True
            self._first_copy_ends_at = now + FIRST_COPY_S
        return now < self._first_copy_ends_at and bool(self._start.relay_at_start())

    def _copy_first(self):
        """Copy from the relay if it is known; return whether it succeeded."""
        name = self._start.relay_at_start() if self._start.knows_peers() else None
        if name is None:
            return False
        return self._copy_from_peer(
            name, self.max_followed_age_s, total_s=FIRST_COPY_CALL_S
        )

    def _copy_from_followed_peer(self):
        """Copy from the peer that reads for this node; return whether it succeeded."""
        now = self._clock.monotonic()
        may_follow = self.replica.end >= 0 and now >= self._read_store_until
        name = self._peer_to_follow() if may_follow else None
        followed = name is not None and self._copy_in_time(name)
        if name is not None and not followed:
            self._read_store_until = self._clock.monotonic() + READ_STORE_S
        if followed and self._followed_peer != name:
            event(
                "table followed",
                table=self.replica.table,
                peer=name,
                end=self.replica.end,
                instead_of=self._followed_peer,
            )
        self._followed_peer = name if followed else None
        if followed:
            self.reads_store = False
        return followed

    def _copy_in_time(self, name):
        """Copy from a peer while this copy is recent; return whether it succeeded.

        The peer waits for a new record in at most half of the time that is left.
        """
        if self.notice_s is None:
            return self._copy_from_peer(name, self.max_followed_age_s, RELAY_WAIT_S)
        age_s = self.replica.read_age_s()
        left_s = -1.0 if age_s is None else self.notice_s - STORE_READ_S - age_s
        if left_s < MIN_COPY_S:
            event(
                "table copy outdated",
                table=self.replica.table,
                peer=name,
                age_s=age_s and round(age_s, 3),
                notice_s=self.notice_s,
            )
            return False
        wait_s = min(RELAY_WAIT_S, left_s / 2)
        return self._copy_from_peer(name, self.max_followed_age_s, wait_s, left_s)

    def _record_store_failure(self, exc):
        if self.reads_store:
            event(
                "table lost",
                table=self.replica.table,
                step=exc.step,
                age_s=self.replica.age_s(),
                why=exc.detail,
            )
        self.reads_store = False

    def _copy_from_peer(self, name, max_age_s=None, wait_s=0.0, total_s=None):
        copied = copy_from_peer(
            self.replica,
            self._peers,
            self._clock,
            name,
            max_age_s=max_age_s,
            wait_s=wait_s,
            total_s=total_s,
        )
        if copied:
            self._on_read()
        return copied


def copy_from_peer(
    replica,
    peers,
    clock,
    name,
    *,
    max_age_s=None,
    wait_s=0.0,
    total_s=None,
    whole=False,
):
    """Copy a table from a peer unless its copy is too old; return whether it succeeded.

    The peer waits up to ``wait_s`` for a new record, and the whole call takes at most
    ``total_s``. Its copy may be ``max_age_s`` old. All are in seconds. With ``whole``
    it sends the newest record of each key, whatever this copy holds.
    """
    asked_at = clock.monotonic()
    try:
        address = peers.address(name)
        rows = peers.call(
            address,
            "rows",
            replica.table,
            WHOLE_TABLE if whole else replica.end,
            int(1000 * wait_s),
            replica.era,
            total_s=total_s,
        )
    except PeerUnavailableError as exc:
        event("table copy failed", table=replica.table, peer=name, why=exc.detail)
        return False
    answered_at = clock.monotonic()
    if max_age_s is not None and not 0 <= rows.age_ms <= 1000 * max_age_s:
        return False
    return learn_from_peer(replica, rows, asked_at, answered_at, name)


def learn_from_peer(replica, rows, asked_at, answered_at, peer=""):
    """Apply the ``TableRows`` of ``peer`` to this node's copy and return ``True``.

    Nothing changes if the peer's copy ends before this one, which was read from the
    store in between. Returns ``False`` if the peer's copy is of an earlier era or its
    age is not known. ``asked_at`` and ``answered_at`` are the monotonic times just
    before and after the call.
    """
    era = rows.era or 0
    if rows.age_ms < 0 or era < replica.era:
        return False
    records = [
        TableRecord(row.offset, row.key, None if row.removed else row.value)
        for row in rows.rows
    ]
    # The peer may have waited for records; its copy has the stated age at the end.
    waited_s = (rows.waited_ms or 0) / 1000
    complete_at = min(asked_at + waited_s, answered_at) - rows.age_ms / 1000
    if rows.whole:
        replica.replace(records, rows.end, complete_at, era, peer)
    elif era == replica.era:
        replica.apply_records(records, rows.end, complete_at, peer)
    return True
