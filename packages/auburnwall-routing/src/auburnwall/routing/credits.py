"""Credits: what all nodes together send to one group stays under what it bears.

The owner of a group keeps a ``Ledger`` and grants slots for a short term. A router
keeps a ``RouterCredits`` and counts a grant's term from before it asked, so that it
stops using a grant before the owner gives the slots to another.

A report may arrive long after it was made. So that the owner never takes an old
report for the present, a router says which grants were closed when it made the
report: those under which it begins nothing any more. All others count in full.
"""

from itertools import count
from typing import NamedTuple
from uuid import uuid4

# One count for all purses of a process: a purse that was dropped and made anew must
# not number its reports from the start, or the owner would take them for old ones.
_report_numbers = count(1)


class Grant(NamedTuple):
    """Slots until ``expires_at`` on the grantor's or the holder's own clock.

    ``number`` counts the grants of one ledger, whose name is ``ledger``.
    """

    slots: int
    expires_at: float
    number: int = 0
    ledger: str = ""


class Report(NamedTuple):
    """What a router uses and wants; ``number`` grows with each report."""

    node: str
    in_use: int
    want: int
    number: int
    closed: int
    ledger: str


class _Account:
    """What one router was granted and says that it uses."""

    def __init__(self):
        self.grants = []
        self.in_use = 0
        self.wanted_at = 0.0
        self.unmet = 0
        self._reported = 0

    def take(self, report, ledger):
        """Take a report, unless a newer one has been taken."""
        if report.number <= self._reported:
            return
        self._reported = report.number
        self.in_use = report.in_use
        if report.ledger == ledger:
            self.grants = [g for g in self.grants if g.number > report.closed]

    def counted(self):
        """Return the slots that the router may be using.

        A grant counts even after it ran out: what was begun under it may still run,
        until the router reports that it is closed.
        """
        return max([self.in_use, *(grant.slots for grant in self.grants)])

    def lapsed_since(self, now):
        """Return when the last grant ran out, or ``None`` while one is live."""
        last = max((grant.expires_at for grant in self.grants), default=0.0)
        return last if last <= now else None

    def settle(self, most):
        """Take the server's word that the router uses ``most`` slots at the most."""
        self.in_use = min(self.counted(), most)
        self.grants = []


class Ledger:
    """Grants of one group, at its generation and its members' boot.

    A new owner finds requests running that began under an earlier one. What no
    router claims with its first report, perhaps since it has left, stays counted
    until the server's own report says that less than that runs.
    """

    def __init__(self, term_s, running=0):
        self._term_s = term_s
        self._unclaimed = running
        self._name = uuid4().hex
        self._granted = 0
        self._accounts = {}

    def request(self, report, limit, now):
        """Return the grant for a router that reports what it uses and wants.

        While there is room to spare, the grant is larger than what is wanted, so
        that the router's next requests need not wait for an answer.
        """
        node, want = report.node, report.want
        if node not in self._accounts:
            self._accounts[node] = _Account()
            self._unclaimed = max(0, self._unclaimed - report.in_use)
        account = self._accounts[node]
        account.take(report, self._name)
        account.wanted_at = now
        others = sum(a.counted() for n, a in self._accounts.items() if n != node)
        room = max(0, limit - others - self._unclaimed)
        slots = min(want, room, self._share(node, limit, room, now))
        account.unmet = want - slots
        if not account.unmet and want:
            slots += (room - slots) // (2 * len(self._accounts))
        self._granted += 1
        grant = Grant(slots, now + self._term_s, self._granted, self._name)
        account.grants.append(grant)
        return grant

    def settle_lapsed(self, running, seen_at, now):
        """Free slots of silent routers that the server's own report disproves.

        ``running`` is the server's count at ``seen_at``. A router whose grants had
        all run out by then begins nothing after, so it has at most that many.
        """
        self._unclaimed = min(self._unclaimed, running)
        for account in self._accounts.values():
            lapsed_at = account.lapsed_since(now)
            if lapsed_at is not None and lapsed_at <= seen_at:
                account.settle(running)

    def _share(self, node, limit, room, now):
        """Return the most that a router gets while others wait for slots.

        That is what the others' wants leave of the room, an equal share at the least.
        """
        floor = now - self._term_s
        unmet = [
            account.unmet
            for name, account in self._accounts.items()
            if name != node and account.unmet and account.wanted_at > floor
        ]
        fair = max(1, limit // (len(unmet) + 1))
        return max(fair, room - sum(unmet))


class RouterCredits:
    """This node's grant on one group, and how much of it is in use."""

    def __init__(self):
        self.grant = Grant(0, 0.0)
        self.in_use = 0
        self.waiting = 0

    def report(self, node, now):
        """Return what the owner is to know; the last grant is closed if it ran out."""
        closed = self.grant.number - (now < self.grant.expires_at)
        return Report(
            node,
            self.in_use,
            self.in_use + self.waiting,
            next(_report_numbers),
            closed,
            self.grant.ledger,
        )

    def put(self, grant, asked_at, term_s):
        """Take a grant that was asked for at ``asked_at``; it closes the one before."""
        self.grant = grant._replace(expires_at=asked_at + term_s)

    def take(self, bears, now):
        """Use one slot if the grant and what the group bears now allow it."""
        if now >= self.grant.expires_at or self.in_use >= min(self.grant.slots, bears):
            return False
        self.in_use += 1
        return True

    def give_back(self):
        """Return one slot."""
        self.in_use -= 1
