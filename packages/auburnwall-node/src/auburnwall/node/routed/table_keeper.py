"""Bounds the age of a node's copy of a table, whatever the source of the copy does.

Load pattern: versions of the configuration come in quick succession, and the store
leaves some nodes without answers: it is silent, sends a few bytes now and then, turns
their calls away, or their connections to it are dead. A ``TableReader`` has one source
at a time, and each source has time limits of its own, whose sum does not bound the age
of the copy. A ``TableKeeper`` owns that age. When little is left of its bound, or a
peer has read further, it asks the store on a new connection and several peers, all at
the same time, until the copy is in time again. Otherwise it asks nothing.
"""

from auburnwall.base.logs import event
from auburnwall.state.exceptions import LogUnavailableError

from .tables import copy_from_peer

# Interval between two checks of a copy, in seconds. A peer must be ahead at two checks
# in a row, as its heartbeat may arrive just before the node's own read.
CHECK_INTERVAL_S = 0.2
# Time before the end of the bound at which the keeper begins to ask, in seconds, and
# the same as a fraction of a short bound.
RESERVE_S, MAX_RESERVE_FRACTION = 0.8, 0.4
# Initial and maximum time between two rounds of questions, in seconds.
FIRST_ROUND_S, MAX_ROUND_S = 0.2, 1.0
# Age of the reader's call from which on the store is asked beside it, in seconds. A
# reader whose calls fail sooner asks the store again itself.
MIN_CALL_AGE_S = 0.3
# Peers asked in one round, and the longest call to one of them, in seconds.
PEERS_PER_ROUND, PEER_CALL_S = 2, 0.4
# Time by which an answer must make the copy younger to count as help, in seconds. Ages
# are told in whole milliseconds.
MIN_GAIN_S = 0.1


class TableKeeper:
    """Keeps one table's copy no older than ``bound_s`` seconds, if any source can.

    ``peers`` has the methods ``live()``, ``table_ends(table)``, ``address(name)`` and
    ``call(...)`` of ``Peers``. ``spawn(function, *args)`` runs a task beside others.
    With ``catches_up`` a peer that has read further is asked at once, which suits
    tables that all nodes read as soon as they change. ``peers_with_newer()`` returns
    the names of peers that go by a newer record than any in the copy; such a peer is
    asked for its whole table, each ``MAX_ROUND_S`` at the most. ``on_read()`` is called
    after each answer that makes the copy younger. ``reader_call_began_at()`` is as in
    ``TableReader``. Call ``check`` every ``CHECK_INTERVAL_S``.
    """

    def __init__(
        self,
        replica,
        peers,
        clock,
        rng,
        spawn,
        bound_s,
        *,
        catches_up=False,
        peers_with_newer=list,
        on_read=lambda: None,
        drop_connections=lambda: None,
        reader_call_began_at=lambda: None,
    ):
        self.bound_s = bound_s
        self._replica = replica
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._spawn = spawn
        self._catches_up = catches_up
        self._peers_with_newer = peers_with_newer
        self._on_read = on_read
        self._drop_connections = drop_connections
        self._reader_call_began_at = reader_call_began_at
        self._began_at = clock.monotonic()
        self._behind_end = -1
        self._newer_before = set()
        self._next_newer_at = 0.0
        self._rounds = 0
        self._next_round_at = 0.0
        self._is_reading = False
        self._asked = []
        self._last_helper = None

    def time_left_s(self):
        """Return the seconds until the keeper begins to ask, 0.0 if it does so now.

        A node that starts has the bound for its first read; after a pause of the node
        the age is not known.
        """
        reserve_s = min(RESERVE_S, MAX_RESERVE_FRACTION * self.bound_s)
        age_s = self._replica.read_age_s()
        if age_s is None and self._replica.end < 0:
            age_s = self._clock.monotonic() - self._began_at
        return 0.0 if age_s is None else max(self.bound_s - reserve_s - age_s, 0.0)

    def check(self):
        """Ask the store and peers if the copy is behind a peer, or nearly too old."""
        self._replica.settle_due()
        now = self._clock.monotonic()
        self._ask_for_newer_record(now)
        ahead = self._peers_ahead()
        if not ahead and self.time_left_s() > 0.0:
            self._end_rounds()
            return
        if now < self._next_round_at:
            return
        if self._rounds == 0:
            self._log("table stale", peers_ahead=ahead[:PEERS_PER_ROUND])
            # The connections that are idle now may be as dead as the one in use.
            self._drop_connections()
        round_s = min(FIRST_ROUND_S * 2**self._rounds, MAX_ROUND_S)
        self._next_round_at = now + (FIRST_ROUND_S if ahead else round_s)
        self._rounds += 1
        if not self._is_reading and self._is_reader_waiting(now):
            self._spawn(self._read_store)
        for name in self._peers_to_ask(ahead):
            self._spawn(self._ask_peer, name)

    def _is_reader_waiting(self, now):
        began_at = self._reader_call_began_at()
        return began_at is not None and now - began_at >= MIN_CALL_AGE_S

    def _peers_ahead(self):
        """Return the peers that have read further than this node since the last check.

        The one that has read furthest comes first.
        """
        if not self._catches_up:
            return []
        ends = self._peers.table_ends(self._replica.table)
        behind_end, self._behind_end = self._behind_end, max(ends.values(), default=-1)
        if self._replica.end >= behind_end:
            return []
        ahead = [name for name, end in ends.items() if end > self._replica.end]
        return sorted(ahead, key=lambda name: (-ends[name], name))

    def _ask_for_newer_record(self, now):
        """Ask a peer for its whole table if it goes by a newer record than any here.

        It must have done so at the last check as well. The copy may hold all records of
        the log and still miss that one.
        """
        newer = set(self._peers_with_newer())
        before, self._newer_before = self._newer_before, newer
        names = sorted(newer & before)
        if not names or now < self._next_newer_at:
            return
        self._next_newer_at = now + MAX_ROUND_S
        name = self._rng.choice(names)
        self._log("table behind peer", peer=name)
        self._spawn(self._ask_peer, name, True)

    def _peers_to_ask(self, ahead):
        """Return the peers to ask now: those ahead, the last helper, then in turn."""
        live = sorted(self._peers.live())
        self._asked = [name for name in self._asked if name in live]
        fresh = [name for name in live if name not in self._asked]
        if len(fresh) < PEERS_PER_ROUND:
            self._asked, fresh = [], live
        self._rng.shuffle(fresh)
        helper = [self._last_helper] if self._last_helper in live else []
        names = list(dict.fromkeys([*ahead, *helper, *fresh]))[:PEERS_PER_ROUND]
        self._asked += [name for name in names if name not in self._asked]
        return names

    def _read_store(self):
        self._is_reading = True
        before = self._replica.read_at
        try:
            self._replica.refresh(0.0)
        except LogUnavailableError as exc:
            if self._rounds <= 1:
                self._log("table refresh failed", peer="store", why=exc.detail)
            return
        finally:
            self._is_reading = False
        self._note_answer(before)

    def _ask_peer(self, name, whole=False):
        before = self._replica.read_at
        copied = copy_from_peer(
            self._replica,
            self._peers,
            self._clock,
            name,
            total_s=PEER_CALL_S,
            whole=whole,
        )
        if copied and self._note_answer(before):
            self._last_helper = name

    def _note_answer(self, before):
        """Return whether an answer has made the copy younger than it was before."""
        read_at = self._replica.read_at
        if read_at is None:
            return False
        if before is not None and read_at < before + MIN_GAIN_S:
            return False
        self._on_read()
        return True

    def _end_rounds(self):
        if self._rounds:
            self._log("table refreshed", rounds=self._rounds)
        self._rounds, self._next_round_at = 0, 0.0

    def _log(self, name, **fields):
        age_s = self._replica.read_age_s()
        event(
            name,
            table=self._replica.table,
            age_s=None if age_s is None else round(age_s, 3),
            bound_s=self.bound_s,
            end=self._replica.end,
            source=self._replica.source,
            **fields,
        )
