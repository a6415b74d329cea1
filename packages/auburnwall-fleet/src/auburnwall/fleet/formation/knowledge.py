"""What the planner must know, and how fresh, before it ends a group or takes a server.

A node may plan once it knows all that earlier planners have written, or else what the
servers themselves say now. Three things end such knowledge: a start of the node, a
pause of it, and a store that comes back without its newest records (a new era). What is
known of a server belongs to one incarnation of it and to one moment.
"""

from typing import NamedTuple

from auburnwall.base.logs import event

from ..registrations import CLOSING, OPEN

# Time in which servers have written their entries again after the store has come back
# (2 s), and in which these have been read, in seconds.
ENTRIES_RENEWED_S = 2.5
# What a server has said longer ago does not count, in seconds: a little longer than the
# interval between two of its registrations plus the delay until they are read.
MAX_EVIDENCE_AGE_S = 2.2


class PlannerKnowledge:
    """Whether this node knows enough to plan.

    ``state`` is the ``FleetState``. ``first_start`` is whether the whole system starts
    for the first time: there is nothing to know then, until the copy of the table has
    to be begun anew.
    """

    def __init__(self, state, first_start, clock):
        self._state = state
        self._first_start = first_start
        self._first_loaded_at = None
        self._was_sufficient = False
        self._clock = clock

    def is_sufficient(self):
        """Return whether this node knows of all groups that may be serving.

        A node that has followed the tables since before their present era knows them.
        Any other node has to wait until the servers have written what groups they are
        in: the tables that it has loaded may be from the copy of a moment ago.
        """
        replica = self._state.replica
        is_sufficient = replica.loaded_at is not None and self._knows_era(replica)
        if is_sufficient != self._was_sufficient:
            self._was_sufficient = is_sufficient
            event(
                "groups known" if is_sufficient else "groups not known",
                era=replica.era,
                end=replica.end,
                groups=len(self._state.groups),
            )
        return is_sufficient

    def _knows_era(self, replica):
        if self._first_loaded_at is None:
            self._first_loaded_at = replica.loaded_at
        is_first = self._first_start and replica.loaded_at == self._first_loaded_at
        if not replica.era or is_first:
            return True
        return self._clock.monotonic() - replica.loaded_at >= ENTRIES_RENEWED_S


class ProbeResult(NamedTuple):
    """What a probe has shown of a server, and what counts of it.

    ``report`` is ``None`` if the server did not respond. ``failures`` is the number of
    failures in a row, the first of which began at ``failing_since``. ``refused`` is
    whether the last one was a refused connection.
    """

    probed_at: float
    report: object
    failures: int = 0
    failing_since: float = 0.0
    refused: bool = False

    def is_recent(self, now):
        """Return whether the probe is recent enough to count at all."""
        return now - self.probed_at <= MAX_EVIDENCE_AGE_S

    def is_of_earlier_life(self, member):
        """Return whether it tells of an incarnation before the member's."""
        return self.report is not None and self.report.born < member.born


def valid_evidence(evidence, member, now):
    """Return the evidence if it says anything of a member now, otherwise ``None``."""
    if evidence is None or not evidence.is_recent(now):
        return None
    return None if evidence.is_of_earlier_life(member) else evidence


def is_in_unregistered_group(evidence, entry):
    """Return whether a server says that it serves in a group that its entry lacks.

    Its entry is older than the group then, and a new group must not take it.
    """
    report = evidence.report if evidence else None
    membership = report.group_membership if report else None
    if membership is None or membership.state not in (OPEN, CLOSING):
        return False
    known = entry.group_membership
    return known is None or (known.group, known.epoch) != (
        membership.group,
        membership.epoch,
    )
