"""Credits, which keep what all nodes together send to a group within its capacity.

The owner of a group keeps a ``Ledger`` and grants slots to routers for a short term.
A router keeps ``RouterCredits``. It counts the term of a grant from before it sent
its request to the owner, so that it stops using the grant before the owner gives the
slots to another router.

A report may arrive long after it was made. So that the owner never takes an outdated
report for the present state, each report names the grants that were closed when it
was made: those under which the router begins no more requests. All other grants
count in full.
"""

from itertools import count
from typing import NamedTuple
from uuid import uuid4

# One sequence for all RouterCredits of a process. If a RouterCredits that replaces a
# removed one started at 1 again, the owner would ignore its reports as outdated.
_report_numbers = count(1)


class Grant(NamedTuple):
    """Slots that a router may use until ``expires_at``.

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


class _Account:
    """The grants and the last report of one router, as the owner knows them."""

    def __init__(self):
        self.grants = []
        self.in_use = 0
        self.requested_at = 0.0
        self.unmet_slots = 0
        self._last_report = 0

    def apply(self, report, ledger):
        """Apply a report, unless a newer one has been applied."""
        if report.number <= self._last_report:
            return
        self._last_report = report.number
        self.in_use = report.in_use
        if report.ledger == ledger:
            self.grants = [g for g in self.grants if g.number > report.closed]

    def max_in_use(self):
        """Return the largest number of slots that the router may be using.

        An expired grant counts until the router reports it closed, since requests
        that began under it may still run.
        """
        return max([self.in_use, *(grant.slots for grant in self.grants)])

    def grants_expired_at(self, now):
        """Return when the last grant expired, or ``None`` while one is valid.

        The result is 0 if there is no grant.
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
    """The grants on one group at one generation and one boot of its members.

    When a node becomes the owner, requests may run that began under an earlier owner.
    Each router reports its own with its first report. The rest stay reserved, as
    their router may have left, until the server reports that fewer requests run.
    """

    def __init__(self, term_s, running=0):
        self._term_s = term_s
        self._unattributed = running
        self._name = uuid4().hex
        self._grants_made = 0
        self._accounts = {}

    def grant_slots(self, report, limit, now):
        """Return a grant for the router that made ``report``.

        All routers together may use ``limit`` slots. While slots are left over, the
        grant is larger than what the router wants, so that its next requests need not
        wait for another grant.
        """
        node, want = report.node, report.want
        if node not in self._accounts:
            self._accounts[node] = _Account()
            self._unattributed = max(0, self._unattributed - report.in_use)
        account = self._accounts[node]
        account.apply(report, self._name)
        account.requested_at = now
        others = sum(a.max_in_use() for n, a in self._accounts.items() if n != node)
        available = max(0, limit - others - self._unattributed)
        slots = min(want, available, self._fair_limit(node, limit, available, now))
        account.unmet_slots = want - slots
        if not account.unmet_slots and want:
            slots += (available - slots) // (2 * len(self._accounts))
        self._grants_made += 1
        grant = Grant(slots, now + self._term_s, self._grants_made, self._name)
        account.grants.append(grant)
        return grant

    def release_expired(self, running, seen_at, now):
        """Free slots of unresponsive routers, as far as the server's report allows.

        The server reported ``running`` requests at ``seen_at``. A router whose grants
        had all expired by then has begun no request since, so at most that many of
        its requests still run.
        """
        self._unattributed = min(self._unattributed, running)
        for account in self._accounts.values():
            expired_at = account.grants_expired_at(now)
            if expired_at is not None and expired_at <= seen_at:
                account.limit_to(running)

    def _fair_limit(self, node, limit, available, now):
        """Return the largest number of slots for a router while others want more.

        This is the available slots less those that others still want, but at least
        an equal share of ``limit``. Only routers that asked within the last term
        count.
        """
        cutoff = now - self._term_s
        unmet_slots = [
            account.unmet_slots
            for name, account in self._accounts.items()
            if name != node and account.unmet_slots and account.requested_at > cutoff
        ]
        equal_share = max(1, limit // (len(unmet_slots) + 1))
        return max(equal_share, available - sum(unmet_slots))


class RouterCredits:
    """This node's grant on one group and the number of slots in use.

    ``waiting`` is the number of requests that could use further slots.
    """

    def __init__(self):
        self.grant = Grant(0, 0.0)
        self.in_use = 0
        self.waiting = 0

    def report(self, node, now):
        """Return the report for the owner.

        The last grant is reported closed if it has expired, all earlier ones always.
        """
        closed = self.grant.number - (now < self.grant.expires_at)
        return Report(
            node,
            self.in_use,
            self.in_use + self.waiting,
            next(_report_numbers),
            closed,
            self.grant.ledger,
        )

    def set_grant(self, grant, asked_at, term_s):
        """Replace the grant by one that was requested at ``asked_at``.

        It expires ``term_s`` seconds after ``asked_at``; the earlier grant is closed.
        """
        self.grant = grant._replace(expires_at=asked_at + term_s)

    def take(self, bears, now):
        """Use one slot; return whether the grant and the group's capacity allow it.

        ``bears`` is the number of requests that the group bears concurrently.
        """
        if now >= self.grant.expires_at or self.in_use >= min(self.grant.slots, bears):
            return False
        self.in_use += 1
        return True

    def release(self):
        """Release one slot."""
        self.in_use -= 1
