"""Backend servers as they register themselves, and what that says of their life.

A registration is evidence with an age: it holds while the copy of the table is read
on. A server that is seen to leave stays left for the rest of its incarnation.
"""

from typing import NamedTuple

from auburnwall.base.logs import event

# Group states that a server reports of itself.
JOINING, READY, OPEN, CLOSING, BROKEN = "joining", "ready", "open", "closing", "broken"

# Registrations that lapse while the table cannot be read are back within 2 s of its
# return, if the server lives; a removal that is read within this time after an outage
# takes effect only when it has passed. Shorter than the 2 s in which a server that has
# left must get nothing more.
LAPSE_GRACE_S = 1.6
# A gap between two readings that counts as an outage of the table.
OUTAGE_S = 2.5

# Silence of all servers of a data centre after which it counts as cut off, in seconds:
# two heartbeats of a single server, and less than it takes an entry to lapse.
SILENT_S = 2.5
# Time after such a silence in which the servers that live have registered again.
SETTLED_S = 2.0
# Servers of which the data centre is remembered once they are gone.
MAX_REMEMBERED = 10_000


class GroupMembership(NamedTuple):
    """A server's own word of the group that it is in."""

    group: str
    epoch: int
    rank: int
    state: str


class Registration(NamedTuple):
    """One server's entry; ``born`` tells its incarnations apart.

    ``model`` is the one in its accelerators, ``staged`` those on its host.
    ``cold_s`` is how long it stays cold from the moment of writing.
    """

    server: str
    service: str
    address: str
    data_center: str
    slots: int
    draining: bool
    cold_s: float
    born: int
    domain: str
    model: str
    staged: tuple
    group_membership: GroupMembership | None


class Registry:
    """Registrations of all servers, fed by a replica of their table.

    ``decode`` makes a ``Registration`` of a record's key and value and raises
    ``ValueError`` for one that names no server to use.
    """

    def __init__(self, replica, decode, clock):
        self.replica = replica
        self.servers = {}
        self.left = {}
        self.cold_until = {}
        self.heard_at = {}
        self.grown_at = 0.0
        self.opened = {}
        self.changes = 0
        self._decode = decode
        self._clock = clock
        self._bad = {}
        self._removed_at = {}
        self._data_centers = {}
        self._in_touch = {}
        self._last_read = None
        self._grace_until = 0.0
        replica.listeners.append(self._take)

    def note_read(self):
        """Note that the table was just read; carry out removals that are due."""
        now = self._clock.monotonic()
        if self._last_read is not None and now - self._last_read > OUTAGE_S:
            self._grace_until = now + LAPSE_GRACE_S
            event("registrations read again", after_s=round(now - self._last_read, 2))
        self._last_read = now
        self.expire()

    def expire(self):
        """Remove the servers whose removal is due."""
        now = self._clock.monotonic()
        for server, due_at in list(self._removed_at.items()):
            if now >= due_at:
                del self._removed_at[server]
                self._remove(server, "registration removed")

    def usable(self, server):
        """Return the registration of a server that may get new work, or ``None``."""
        entry = self.servers.get(server)
        if entry is None or entry.draining or self.left.get(server) == entry.born:
            return None
        return entry

    def of_service(self, service):
        """Return the registrations of a service's servers that may get new work."""
        return [
            entry
            for entry in self.servers.values()
            if entry.service == service and self.usable(entry.server)
        ]

    def is_cold(self, server):
        """Return whether the server said that it is cold now."""
        return self._clock.monotonic() < self.cold_until.get(server, 0.0)

    def _take(self, record):
        if record.value is None:
            self._removed_at.setdefault(
                record.key, max(self._clock.monotonic(), self._grace_until)
            )
            self._bad.pop(record.key, None)
            return
        try:
            entry = self._decode(record.key, record.value)
        except ValueError as exc:
            self._drop_bad(record, exc)
            return
        self._bad.pop(record.key, None)
        self._put(entry)

    def _put(self, entry):
        known = self.servers.get(entry.server)
        if known is not None and entry.born < known.born:
            return
        self._removed_at.pop(entry.server, None)
        self.heard_at[entry.server] = self._clock.monotonic()
        self._note_touch(entry)
        self._note_opened(entry)
        if entry.draining and self.left.get(entry.server) != entry.born:
            self.left[entry.server] = entry.born
            event("server draining", peer=entry.server, born=entry.born)
        if known is None or known.born != entry.born:
            self.grown_at = self._clock.monotonic()
            event(
                "server registered",
                peer=entry.server,
                service=entry.service,
                address=entry.address,
                born=entry.born,
                domain=entry.domain,
            )
        if entry.cold_s > 0:
            self.cold_until[entry.server] = self._clock.monotonic() + entry.cold_s
        if known is None or known != entry:
            self.changes += 1
        self.servers[entry.server] = entry

    def open_since(self, server, epoch):
        """Return when a head was first seen open at ``epoch``, or ``None``."""
        seen_epoch, since = self.opened.get(server, (None, None))
        return since if seen_epoch == epoch else None

    def is_in_touch(self, server):
        """Return whether a server that lives would have registered by now.

        It would not while its data centre is cut off from the table: then no server of
        it is heard of. A server that was never heard of is taken to be in touch.
        """
        data_center = self._data_centers.get(server)
        if data_center is None:
            return True
        since, last = self._in_touch[data_center]
        now = self._clock.monotonic()
        return now - last <= SILENT_S and now - since >= SETTLED_S

    def _note_touch(self, entry):
        now = self._clock.monotonic()
        since, last = self._in_touch.get(entry.data_center, (now, now))
        if now - last > SILENT_S:
            event("data centre in touch again", data_center=entry.data_center)
            since = now
        self._in_touch[entry.data_center] = (since, now)
        self._data_centers.pop(entry.server, None)
        self._data_centers[entry.server] = entry.data_center
        if len(self._data_centers) > MAX_REMEMBERED:
            del self._data_centers[next(iter(self._data_centers))]

    def _note_opened(self, entry):
        group_membership = entry.group_membership
        if group_membership is None or group_membership.state != OPEN:
            return
        if self.opened.get(entry.server, (None,))[0] != group_membership.epoch:
            now = self._clock.monotonic()
            self.opened[entry.server] = (group_membership.epoch, now)

    def _drop_bad(self, record, exc):
        """Take an entry that cannot be read as naming no server; log it once."""
        if self._bad.get(record.key) != str(exc):
            self._bad[record.key] = str(exc)
            event("bad registration", key=record.key, why=str(exc))
        self._remove(record.key, "bad registration")

    def _remove(self, server, why):
        entry = self.servers.pop(server, None)
        self.cold_until.pop(server, None)
        self.heard_at.pop(server, None)
        self.opened.pop(server, None)
        if entry is not None:
            self.changes += 1
            event("server gone", peer=server, why=why, born=entry.born)
