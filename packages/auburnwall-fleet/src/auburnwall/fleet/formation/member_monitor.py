"""Whether the servers of groups live: registrations first, direct questions next."""

from typing import NamedTuple

from auburnwall.base.logs import event

from ..exceptions import EngineError
from ..registrations import GroupMembership
from .lifecycle import Liveness, MemberView
from .records import Member

# Time between two questions to a server that is in doubt.
ASK_AGAIN_S = 0.15
# A server whose last registration is older than this is asked before a new group may
# have it, in seconds: a little more than the pause between two of them and the time
# until they are read.
FRESH_S = 2.2
# Unanswered questions after which a server whose registration has lapsed counts as
# gone.
SILENT_AFTER = 2
# Doubt of a group is dropped when its members have answered for this long.
SUSPECT_S = 2.0


class _Answers(NamedTuple):
    """What a server answered when it was last asked directly."""

    asked_at: float
    report: object
    failures: int


class MemberMonitor:
    """Follow the members of groups on behalf of the planner.

    ``reached_by_peer`` tells whether any other node reaches a server; it is asked
    before a server counts as gone.
    """

    def __init__(self, registry, engine, reached_by_peer, clock, tasks):
        self._registry = registry
        self._engine = engine
        self._reached_by_peer = reached_by_peer
        self._clock = clock
        self._tasks = tasks
        self._answers = {}
        self._asking = set()
        self._suspected = {}

    def suspect_group(self, group):
        """Ask the members of a group that stands still."""
        self._suspected[group] = self._clock.monotonic() + SUSPECT_S

    def view(self, group, member, out):
        """Return a ``MemberView``; ``out`` are the data centres to be left."""
        entry = self._registry.servers.get(member.server)
        if entry is not None and entry.born != member.born:
            return MemberView(
                member.server, Liveness.GONE, False, entry.group_membership, True
            )
        suspected = self._suspected.get(group.name, 0.0) > self._clock.monotonic()
        if entry is None or suspected:
            self._ask(member)
        answers = self._answers.get(member.server)
        liveness = self._liveness(member, entry, answers, suspected)
        group_membership = (
            entry.group_membership if entry else _group_membership_of(answers)
        )
        known = entry is not None or (
            answers is not None and answers.report is not None
        )
        leaving = (
            entry is None
            or self._registry.usable(member.server) is None
            or entry.data_center in out
        )
        return MemberView(member.server, liveness, leaving, group_membership, known)

    def suspect_server(self, member):
        """Ask a server that has not answered an order."""
        self._ask(member)

    def is_usable(self, entry):
        """Return whether a new group may have a server, as far as is known now."""
        now = self._clock.monotonic()
        answers = self._answers.get(entry.server)
        beat_at = self._registry.heard_at.get(entry.server, 0.0)
        asked_at = answers.asked_at if answers else 0.0
        if answers is not None and answers.failures and asked_at >= beat_at:
            self._ask(Member(entry.server, entry.born, entry.address))
            return False
        if max(beat_at, asked_at) >= now - FRESH_S:
            return True
        self._ask(Member(entry.server, entry.born, entry.address))
        return False

    def _may_be_gone(self, member, failures):
        lapsed = member.server not in self._registry.servers
        return lapsed and failures >= SILENT_AFTER

    def _liveness(self, member, entry, answers, suspected):
        if answers is not None and answers.report is not None:
            if answers.report.born != member.born:
                return Liveness.GONE
            if entry is None:
                return Liveness.ALIVE
        failures = answers.failures if answers else 0
        if entry is None:
            return self._liveness_unregistered(member, failures)
        # Its streams stand still and it does not answer: two signs of the same.
        return Liveness.UNRESPONSIVE if suspected and failures else Liveness.ALIVE

    def _liveness_unregistered(self, member, failures):
        """Judge a server without an entry that has not answered ``failures`` times.

        Where nothing is heard of its whole data centre, it may well be serving callers
        there.
        """
        if failures < SILENT_AFTER:
            return Liveness.ALIVE
        is_gone = self._registry.is_in_touch(member.server)
        return Liveness.GONE if is_gone else Liveness.UNRESPONSIVE

    def _ask(self, member):
        answers = self._answers.get(member.server)
        due_at = answers.asked_at + ASK_AGAIN_S if answers else 0.0
        if member.server in self._asking or self._clock.monotonic() < due_at:
            return
        self._asking.add(member.server)
        self._tasks.spawn(self._ask_now, member)

    def _ask_now(self, member):
        asked_at = self._clock.monotonic()
        known = self._answers.get(member.server)
        try:
            report = self._engine.report(member.server, member.address)
            failures = 0
        except EngineError as exc:
            report = None
            failures = (known.failures if known else 0) + 1
            event(
                "server silent",
                peer=member.server,
                failures=failures,
                registered=member.server in self._registry.servers,
                why=exc.detail,
            )
            if self._may_be_gone(member, failures) and self._reached_by_peer(member):
                failures = 0
        finally:
            self._asking.discard(member.server)
        self._answers[member.server] = _Answers(asked_at, report, failures)


def _group_membership_of(answers):
    """Return the standing that a server without registration last told."""
    group_membership = (
        answers.report.group_membership if answers and answers.report else None
    )
    return group_membership if isinstance(group_membership, GroupMembership) else None
