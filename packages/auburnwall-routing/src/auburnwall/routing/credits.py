"""Credits keep the total of all nodes' requests at a group within its capacity.

A credit is the right to use one slot of a group. A grant is a number of credits for a
short term. The owner, one node for each group, makes the grants and keeps them in a
``Ledger``. Routers, the nodes that send requests, keep ``RouterCredits``. A router
counts the term of a grant from the time at which it asked for it, so that it stops
using the grant before the owner gives the slots to another router.

A grant is closed once its router begins no more requests under it. A report may arrive
long after it was made, so each report states up to which number grants were closed when
it was made. The owner counts all other grants in full. An outdated report therefore
cannot free slots that are in use.
"""

from itertools import count
from typing import NamedTuple
from uuid import uuid4

# One sequence for all RouterCredits of a process. If a RouterCredits that replaces a
# removed one started at 1 again, the owner would ignore its reports as outdated.
_report_numbers = count(1)


class Grant(NamedTuple):
    """The number of slots that a router may use until ``expires_at``.

    ``expires_at`` is on the monotonic clock of the node that holds the object, the
    owner or the router. ``number`` counts the grants of one ledger; ``ledger`` is the
    name of that ledger.
    """

    slots: int
    expires_at: float
    number: int = 0
    ledger: str = ""


class Report(NamedTuple):
    """The slots that a router uses and wants, as it reports them to the owner.

    ``number`` grows with each report of the router. Grants of ``ledger`` with numbers
    up to ``closed`` are closed.
    """

    node: str
    in_use: int
    want: int
    number: int
    closed: int
    ledger: str


class _RouterRecord:
    """The grants and the last report of one router, as the owner knows them."""

    def __init__(self):
        self.grants = []
        self.in_use = 0
        self.requested_at = 0.0
        self.unmet_slots = 0
        self._last_report_number = 0

    def apply(self, report, ledger):
        """Apply a report, unless a newer one has been applied."""
        if report.number <= self._last_report_number:
            return
        self._last_report_number = report.number
        self.in_use = report.in_use
        if report.ledger == ledger:
            self.grants = [g for g in self.grants if g.number > report.closed]

    def max_in_use(self):
        """Return the largest number of slots that the router may be using.

        An expired grant counts until the router reports it closed, since requests
        that began under it may still run.
        """
        return max([self.in_use, *(grant.slots for grant in self.grants)])

    def last_expiry_if_expired(self, now):
        """Return when the last grant expired if all have expired by ``now``.

        Returns ``None`` while one is valid, and 0 if there is no grant.
        """
        last = max((grant.expires_at for grant in self.grants), default=0.0)
        return last if last <= now else None

    def limit_to(self, running):
        """Lower the slots in use to ``running`` and remove all grants.

        For a router whose grants have expired: the server reports that no more than
        ``running`` requests run in all.
        """
        self.in_use = min(self.max_in_use(), running)
        self.grants = []


class Ledger:
    """The owner's record of all grants for one group.

    It is for one generation of the group, until one of its members restarts. Each grant
    is valid for ``term_s``. When a node becomes the owner, ``running`` requests may run
    that began under an earlier owner. Each router's first report states how many of
    them are its own. The others are counted until the server reports a smaller number
    of running requests, since their routers may be gone.
    """

    def __init__(self, term_s, running=0):
        self._term_s = term_s
        self._unattributed = running
        self._name = uuid4().hex
        self._grants_made = 0
        self._records = {}

    def grant_slots(self, report, limit, now):
        """Return a grant for the router that made ``report``.

        All routers together may use ``limit`` slots. While slots are left over, the
        grant is larger than what the router wants, so that its next requests need not
        wait for another grant.
        """
        node, want = report.node, report.want
        if node not in self._records:
            self._records[node] = _RouterRecord()
            self._unattributed = max(0, self._unattributed - report.in_use)
        record = self._records[node]
        record.apply(report, self._name)
        record.requested_at = now
        others_slots = sum(
            other.max_in_use() for name, other in self._records.items() if name != node
        )
        available = max(0, limit - others_slots - self._unattributed)
        slots = min(want, available, self._fair_limit(node, limit, available, now))
        record.unmet_slots = want - slots
        if not record.unmet_slots and want:
            slots += (available - slots) // (2 * len(self._records))
        self._grants_made += 1
        grant = Grant(slots, now + self._term_s, self._grants_made, self._name)
        record.grants.append(grant)
        return grant

    def release_expired(self, running, seen_at, now):
        """Free slots of routers whose grants have expired, as far as is safe.

        The server reported ``running`` requests at ``seen_at``. A router whose grants
        had all expired by then has begun no request since, so at most that many of
        its requests still run.
        """
        self._unattributed = min(self._unattributed, running)
        for record in self._records.values():
            expired_at = record.last_expiry_if_expired(now)
            if expired_at is not None and expired_at <= seen_at:
                record.limit_to(running)

    def _fair_limit(self, node, limit, available, now):
        """Return the largest number of slots for a router while others want more.

        This is the available slots less those that others still want, but at least
        an equal share of ``limit``. Only routers that asked within the last term
        count.
        """
        cutoff = now - self._term_s
        unmet_slots = [
            record.unmet_slots
            for name, record in self._records.items()
            if name != node and record.unmet_slots and record.requested_at > cutoff
        ]
        equal_share = max(1, limit // (len(unmet_slots) + 1))
        return max(equal_share, available - sum(unmet_slots))


class RouterCredits:
    """This node's grant for one group and the number of slots in use.

    ``more_wanted`` is the largest number of further slots that waiting requests could
    use.
    """

    def __init__(self):
        self.grant = Grant(0, 0.0)
        self.in_use = 0
        self.more_wanted = 0

    def report(self, node, now):
        """Return the report for the owner.

        The last grant is reported closed if it has expired, all earlier ones always.
        """
        closed = self.grant.number - (now < self.grant.expires_at)
        return Report(
            node,
            self.in_use,
            self.in_use + self.more_wanted,
            next(_report_numbers),
            closed,
            self.grant.ledger,
        )

    def set_grant(self, grant, asked_at, term_s):
        """Replace the grant by one that was requested at ``asked_at``.

        It expires ``term_s`` seconds after ``asked_at``; the earlier grant is closed.
        """
        self.grant = grant._replace(expires_at=asked_at + term_s)

    def take(self, capacity, now):
        """Use one slot; return whether the grant and the group's capacity allow it.

        ``capacity`` is the number of requests that the group can serve concurrently.
        """
        if now >= self.grant.expires_at or self.in_use >= min(
            self.grant.slots, capacity
        ):
            return False
        self.in_use += 1
        return True

    def release(self):
        """Release one slot."""
        self.in_use -= 1
