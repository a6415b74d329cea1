"""Registrations of backend servers, and which servers may get new work.

A registration counts until its removal from the table has been read. It does not expire
in this copy and so outlasts an outage of the table. A server that was once seen
draining gets no new work for the rest of its incarnation.
"""

from typing import NamedTuple

from auburnwall.base.logs import event

# States in its group that a server reports.
JOINING, READY, OPEN, CLOSING, BROKEN = "joining", "ready", "open", "closing", "broken"

# A removal that is read within this time after an outage of the table takes effect at
# the end of this time. Until then most live servers whose entries expired have
# registered again; the others, which do so within 2 s, are removed for a moment. A
# longer time is not possible: a server that has left must get no new work after 2 s.
REMOVAL_GRACE_S = 1.6
# A longer interval between two reads of the table counts as an outage of the table.
OUTAGE_S = 2.5

# A data centre counts as cut off after this time without a registration of any of its
# servers: two intervals between the registrations of one server, and less than the time
# after which its entry expires.
DATA_CENTER_SILENCE_S = 2.5
# The live servers of a data centre register again within this time after a cut-off.
DATA_CENTER_RECOVERY_S = 2.0
# Maximum number of servers, removed ones included, whose data centre is remembered.
MAX_REMEMBERED_SERVERS = 10_000


class GroupMembership(NamedTuple):
    """The group that a server is in, as the server itself reports it."""

    group: str
    epoch: int
    rank: int
    state: str


class Registration(NamedTuple):
    """One server's entry.

    ``born`` identifies its incarnation and is greater after each start.
    ``model`` is the one in its accelerators, ``staged`` are those in its host's memory.
    ``warmup_left_s`` is how long after writing the entry the server remains cold, in
    seconds. A cold server has started recently and can take only few requests.
    """

    server: str
    service: str
    address: str
    data_center: str
    slots: int
    draining: bool
    warmup_left_s: float
    born: int
    domain: str
    model: str
    staged: tuple
    group_membership: GroupMembership | None


class Registry:
    """Registrations of all servers, updated from a replica of their table.

    ``decode`` returns the ``Registration`` for a record's key and value and raises an
    error, usually ``ValueError``, if the record cannot be decoded.
    """

    def __init__(self, replica, decode, clock):
        self.replica = replica
        self.servers = {}
        self.drained_incarnations = {}  # server -> ``born`` when seen draining
        self.cold_until = {}
        self.registered_at = {}
        self.last_new_server_at = 0.0
        self.first_seen_open = {}  # server -> (epoch, time)
        self.change_count = 0
        self._decode = decode
        self._clock = clock
        self._decode_errors = {}
        self._removal_due_at = {}
        self._data_centers = {}
        # Data centre -> (time of first registration since a cut-off, time of last one).
        self._registration_spans = {}
        self._last_read_at = None
        self._grace_until = 0.0
        replica.listeners.append(self._apply)
        replica.repeat_listeners.append(self._note_repeat)

    def record_read(self):
        """Record that the table was just read, and apply the removals that are due."""
        self._check_for_outage()
        self._last_read_at = self._clock.monotonic()
        self.apply_due_removals()

    def _check_for_outage(self):
        """Begin the time of grace if the table was not read for ``OUTAGE_S``."""
        now = self._clock.monotonic()
        if self._last_read_at is None or now - self._last_read_at <= OUTAGE_S:
            return
        self._grace_until = now + REMOVAL_GRACE_S
        event(
            "registrations readable again", after_s=round(now - self._last_read_at, 2)
        )
        self._last_read_at = now

    def apply_due_removals(self):
        """Remove the servers whose removal is due."""
        now = self._clock.monotonic()
        for server, due_at in list(self._removal_due_at.items()):
            if now >= due_at:
                del self._removal_due_at[server]
                self._remove(server, "registration removed")

    def usable_registration(self, server):
        """Return the registration of a server that may get new work, or ``None``."""
        entry = self.servers.get(server)
        if (
            entry is None
            or entry.draining
            or self.drained_incarnations.get(server) == entry.born
        ):
            return None
        return entry

    def usable_of_service(self, service):
        """Return the registrations of a service's servers that may get new work."""
        return [
            entry
            for entry in self.servers.values()
            if entry.service == service and self.usable_registration(entry.server)
        ]

    def is_cold(self, server):
        """Return whether the server is cold now, according to its registrations."""
        return self._clock.monotonic() < self.cold_until.get(server, 0.0)

    def _apply(self, record):
        if record.value is None:
            # The records of a read are applied before ``record_read`` is called.
            self._check_for_outage()
            self._removal_due_at.setdefault(
                record.key, max(self._clock.monotonic(), self._grace_until)
            )
            self._decode_errors.pop(record.key, None)
            return
        try:
            entry = self._decode(record.key, record.value)
        except Exception as exc:
            # Whatever is wrong with one entry, the others must still be read.
            self._remove_bad(record, exc)
            return
        self._decode_errors.pop(record.key, None)
        self._store(entry)

    def _store(self, entry):
        known = self.servers.get(entry.server)
        if known is not None and entry.born < known.born:
            return
        self._removal_due_at.pop(entry.server, None)
        self.registered_at[entry.server] = self._clock.monotonic()
        self._note_registration(entry)
        self._note_first_seen_open(entry)
        if entry.draining and self.drained_incarnations.get(entry.server) != entry.born:
            self.drained_incarnations[entry.server] = entry.born
            event("server draining", peer=entry.server, born=entry.born)
        if known is None or known.born != entry.born:
            self.last_new_server_at = self._clock.monotonic()
            event(
                "server registered",
                peer=entry.server,
                service=entry.service,
                address=entry.address,
                born=entry.born,
                domain=entry.domain,
            )
        if entry.warmup_left_s > 0:
            self.cold_until[entry.server] = (
                self._clock.monotonic() + entry.warmup_left_s
            )
        if known is None or known != entry:
            self.change_count += 1
        self.servers[entry.server] = entry

    def _note_repeat(self, server):
        """Record that a server has registered again with nothing new to say."""
        entry = self.servers.get(server)
        if entry is None:
            return
        self._removal_due_at.pop(server, None)
        self.registered_at[server] = self._clock.monotonic()
        self._note_registration(entry)

    def note_leaving(self, server, born, source):
        """Record that an incarnation of a server leaves; it gets no new work."""
        if self.drained_incarnations.get(server) == born:
            return
        self.drained_incarnations[server] = born
        self.change_count += 1
        event("server leaving", peer=server, born=born, source=source)

    def open_since(self, server, epoch):
        """Return the monotonic time at which a head was first seen open at ``epoch``.

        Returns ``None`` if it was not seen open.
        """
        seen_epoch, since = self.first_seen_open.get(server, (None, None))
        return since if seen_epoch == epoch else None

    def data_center_of(self, server):
        """Return the data centre in which a server last registered, or ``None``."""
        return self._data_centers.get(server)

    def is_registration_expected(self, server):
        """Return whether a server would have registered by now if it were alive.

        While its data centre is cut off from the table, none of the servers there can
        register. Afterwards they have ``DATA_CENTER_RECOVERY_S`` to do so. The result
        is true if the server's data centre is unknown: the server has never registered
        or is no longer remembered.
        """
        data_center = self._data_centers.get(server)
        if data_center is None:
            return True
        since, last = self._registration_spans[data_center]
        now = self._clock.monotonic()
        return (
            now - last <= DATA_CENTER_SILENCE_S
            and now - since >= DATA_CENTER_RECOVERY_S
        )

    def _note_registration(self, entry):
        now = self._clock.monotonic()
        since, last = self._registration_spans.get(entry.data_center, (now, now))
        if now - last > DATA_CENTER_SILENCE_S:
            event("data centre registers again", data_center=entry.data_center)
            since = now
        self._registration_spans[entry.data_center] = (since, now)
        self._data_centers.pop(entry.server, None)
        self._data_centers[entry.server] = entry.data_center
        if len(self._data_centers) > MAX_REMEMBERED_SERVERS:
            del self._data_centers[next(iter(self._data_centers))]

    def _note_first_seen_open(self, entry):
        group_membership = entry.group_membership
        if group_membership is None or group_membership.state != OPEN:
            return
        if self.first_seen_open.get(entry.server, (None,))[0] != group_membership.epoch:
            now = self._clock.monotonic()
            self.first_seen_open[entry.server] = (group_membership.epoch, now)

    def _remove_bad(self, record, exc):
        """Remove the server of an entry that cannot be decoded; log each error once."""
        why = str(exc) or repr(exc)
        if self._decode_errors.get(record.key) != why:
            self._decode_errors[record.key] = why
            event("bad registration", key=record.key, why=why)
        self._remove(record.key, "bad registration")

    def _remove(self, server, why):
        entry = self.servers.pop(server, None)
        self.cold_until.pop(server, None)
        self.registered_at.pop(server, None)
        self.first_seen_open.pop(server, None)
        if entry is not None:
            self.change_count += 1
            event("server gone", peer=server, why=why, born=entry.born)
