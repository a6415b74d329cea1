"""Liveness of the servers of groups, from registrations and direct probes."""

from auburnwall.base.logs import event

from ..exceptions import EngineError, ServerPausedError, ServerRefusedError
from ..registrations import GroupMembership
from .knowledge import (
    MAX_EVIDENCE_AGE_S,
    ProbeResult,
    is_in_unregistered_group,
    valid_evidence,
)
from .lifecycle import Liveness, MemberView
from .records import Member

# Interval between two probes of a suspect server.
PROBE_INTERVAL_S = 0.15
# Interval between two probes of a member that responds although it is not registered.
SOUND_PROBE_INTERVAL_S = 0.5
# Time for which a member that is no longer registered is given to answer a probe before
# it counts as leaving.
FIRST_PROBE_S = 0.5
# Number of failed probes in a row after which a server whose registration has expired
# counts as gone.
GONE_AFTER_FAILURES = 2
# Time of failed probes after which a registered server counts as unresponsive. A sound
# server may be silent for a second or so; one that refuses connections has ended.
MIN_SILENCE_S = 1.5
# A group remains suspect for this time after its last stall was reported.
SUSPECT_S = 2.0


class MemberMonitor:
    """Monitor the members of groups for the planner.

    ``reached_by_peer`` returns whether any other node reaches a server. It is called
    before a server counts as unresponsive or gone. ``reach`` is this node's
    ``ServerReach``: while its own links are lost, a failed probe counts for nothing.
    """

    def __init__(self, registry, engine, reach, reached_by_peer, clock, tasks):
        self._registry = registry
        self._engine = engine
        self._reach = reach
        self._reached_by_peer = reached_by_peer
        self._clock = clock
        self._tasks = tasks
        self._results = {}
        self._probing = set()
        self._suspected_until = {}
        # Member -> time since which it has not been registered.
        self._unregistered_since = {}

    def suspect_group(self, group_name):
        """Mark a stalled group as suspect, so that ``view`` probes its members."""
        self._suspected_until[group_name] = self._clock.monotonic() + SUSPECT_S

    def view(self, group, member, evacuated):
        """Return a ``MemberView``; ``evacuated`` are data centres out of service.

        Starts a probe of a member that is not registered or whose group is suspect.
        """
        entry = self._registry.servers.get(member.server)
        if entry is not None and entry.born > member.born:
            return MemberView(
                member.server, Liveness.GONE, False, entry.group_membership, True
            )
        if entry is not None and entry.born < member.born:
            # The entry is of an earlier life; the member's own is yet to be read.
            return MemberView(member.server, Liveness.ALIVE, False, None, False)
        is_suspect = (
            self._suspected_until.get(group.name, 0.0) > self._clock.monotonic()
        )
        now = self._clock.monotonic()
        if entry is None:
            self._unregistered_since.setdefault(member, now)
        else:
            self._unregistered_since.pop(member, None)
        if entry is None or is_suspect:
            sound = self._is_in_group(group, member) and not is_suspect
            self._probe(member, SOUND_PROBE_INTERVAL_S if sound else PROBE_INTERVAL_S)
        result = valid_evidence(self._results.get(member.server), member, now)
        liveness = self._liveness(member, entry, result, is_suspect)
        group_membership = (
            entry.group_membership if entry else _group_membership_of(result)
        )
        membership_known = entry is not None or (
            result is not None and result.report is not None
        )
        if entry is None:
            unusable = not self._may_stay(group, member, evacuated)
        else:
            unusable = (
                self._registry.usable_registration(member.server) is None
                or entry.data_center in evacuated
            )
        return MemberView(
            member.server, liveness, unusable, group_membership, membership_known
        )

    def _may_stay(self, group, member, evacuated):
        """Return whether an unregistered server may remain a member of its group.

        A server that is cut off from the table loses its registration and serves on. It
        may stay while it says itself that it is in the group and does not leave. The
        head may not, as no request may be sent to a server without a registration.
        """
        registry = self._registry
        if (
            member == group.head
            or registry.drained_incarnations.get(member.server) == member.born
            or registry.data_center_of(member.server) in evacuated
        ):
            return False
        unregistered_s = self._clock.monotonic() - self._unregistered_since[member]
        return unregistered_s < FIRST_PROBE_S or self._is_in_group(group, member)

    def _is_in_group(self, group, member):
        """Return whether a member says that it is in its group, by a recent probe."""
        now = self._clock.monotonic()
        result = valid_evidence(self._results.get(member.server), member, now)
        membership = _group_membership_of(result)
        return membership is not None and (membership.group, membership.epoch) == (
            group.name,
            group.epoch,
        )

    def keep_only(self, groups):
        """Forget what is known of unregistered members of other groups."""
        members = {member for group in groups for member in group.members}
        self._unregistered_since = {
            member: since
            for member, since in self._unregistered_since.items()
            if member in members
        }

    def probe_server(self, member):
        """Probe a server that has not responded to an order."""
        self._probe(member)

    def is_usable(self, entry):
        """Return whether a new group may use a server.

        It may not if a probe has failed since its last registration, if it has said
        since that it serves in another group, or if both the last registration and the
        last probe are too old. Then it is probed again.
        """
        now = self._clock.monotonic()
        result = self._results.get(entry.server)
        last_registered_at = self._registry.registered_at.get(entry.server, 0.0)
        probed_at = result.probed_at if result else 0.0
        if (
            result is not None
            and probed_at >= last_registered_at
            and (result.failures or is_in_unregistered_group(result, entry))
        ):
            self._probe(Member(entry.server, entry.born, entry.address))
            return False
        if max(last_registered_at, probed_at) >= now - MAX_EVIDENCE_AGE_S:
            return True
        self._probe(Member(entry.server, entry.born, entry.address))
        return False

    def _may_be_gone(self, member, failures):
        expired = member.server not in self._registry.servers
        return expired and failures >= GONE_AFTER_FAILURES

    def _liveness(self, member, entry, result, is_suspect):
        if result is not None and result.report is not None:
            if result.report.born > member.born:
                return Liveness.GONE
            if entry is None:
                return Liveness.ALIVE
        failures = result.failures if result else 0
        if entry is None:
            return self._liveness_unregistered(member, failures)
        # Two signs are needed: its group's streams stalled, and its probes failed.
        is_silent = result is not None and _is_silent(result)
        return Liveness.UNRESPONSIVE if is_suspect and is_silent else Liveness.ALIVE

    def _liveness_unregistered(self, member, failures):
        """Return the liveness of an unregistered server from its failed probes.

        It counts as alive until ``GONE_AFTER_FAILURES`` probes in a row have failed.
        Then it is gone, as it would have registered by now if it were alive. But if its
        whole data centre is cut off from the table, it may still be serving callers
        there and is only unresponsive.
        """
        if failures < GONE_AFTER_FAILURES:
            return Liveness.ALIVE
        is_gone = self._registry.is_registration_expected(member.server)
        return Liveness.GONE if is_gone else Liveness.UNRESPONSIVE

    def _probe(self, member, interval_s=PROBE_INTERVAL_S):
        result = self._results.get(member.server)
        due_at = result.probed_at + interval_s if result else 0.0
        if member.server in self._probing or self._clock.monotonic() < due_at:
            return
        self._probing.add(member.server)
        self._tasks.spawn(self._probe_now, member)

    def _probe_now(self, member):
        probed_at = self._clock.monotonic()
        previous = valid_evidence(self._results.get(member.server), member, probed_at)
        try:
            report = self._engine.fetch_report(member.server, member.address)
            result = ProbeResult(probed_at, report)
        except ServerPausedError:
            return
        except EngineError as exc:
            failures = self._count_failure(member, previous, probed_at, exc)
            result = ProbeResult(
                probed_at,
                None,
                failures,
                previous.failing_since if failures > 1 else probed_at,
                isinstance(exc, ServerRefusedError),
            )
        finally:
            self._probing.discard(member.server)
        self._results[member.server] = result

    def _count_failure(self, member, previous, probed_at, exc):
        """Log a failed probe; return the failures in a row that count.

        None counts if this node reaches no server, or if another node reaches this one.
        Peers are asked at the first failure, and at each that shows the server as gone.
        """
        failures = (previous.failures if previous else 0) + 1
        reaches_any = self._reach.reaches_any_since(probed_at)
        asks_peers = failures == 1 or self._may_be_gone(member, failures)
        reached_by_peer = (
            self._reached_by_peer(member) if reaches_any and asks_peers else None
        )
        event(
            "server silent",
            peer=member.server,
            failures=failures,
            registered=member.server in self._registry.servers,
            reaches_others=reaches_any,
            reached_by_peer=reached_by_peer,
            why=exc.detail,
        )
        return failures if reaches_any and not reached_by_peer else 0


def _is_silent(evidence):
    """Return whether a server has ended, or been silent for too long."""
    if not evidence.failures:
        return False
    silent_s = evidence.probed_at - evidence.failing_since
    return evidence.refused or silent_s >= MIN_SILENCE_S


def _group_membership_of(result):
    """Return the group membership that an unregistered server last reported."""
    group_membership = (
        result.report.group_membership if result and result.report else None
    )
    return group_membership if isinstance(group_membership, GroupMembership) else None
