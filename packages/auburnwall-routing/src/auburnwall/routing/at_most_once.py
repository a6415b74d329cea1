"""Run a request that may not be repeated at most once.

Before anything is sent, the request's key is claimed in the log; the first claim
wins, and its holder sends once. A caller that asks again, at any node, gets the
outcome, the answer in flight, or ``unknown``; never a second run.
"""

from typing import NamedTuple
from uuid import uuid4

from gevent.event import Event

from auburnwall.state.claims.index import Claim
from auburnwall.state.claims.keys import KeyRefusedError, check_age, digest_of
from auburnwall.state.exceptions import StateError
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import OutcomeState

from .exceptions import NOT_RUN, UNKNOWN, ExchangeError, RequestError
from .request import Answer

ASK_HOLDER_AGAIN_S = 0.2


class KeyedRun:
    """One attempt of this node at a key, and its outcome once there is one."""

    def __init__(self, attempt, digest, born_at):
        self.attempt = attempt
        self.digest = digest
        self.born_at = born_at
        self.state = OutcomeState.RUNNING
        self.answer = None
        self.asked_by_others = False
        self.finished = Event()

    def finish(self, state, answer=None):
        """Set the outcome, which never changes afterwards."""
        self.state = state
        self.answer = answer
        self.finished.set()


class RunOutcome(NamedTuple):
    """What is known of a run; ``answer`` with ``DONE`` only."""

    state: int
    answer: Answer | None


class AtMostOnce:
    """Runs of this node by key, and the way to the runs of others."""

    def __init__(self, identity, claims, follower, peers, clock, cfg, tasks):
        self._identity = identity
        self._claims = claims
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._cfg = cfg
        self._tasks = tasks
        self._runs = {}
        self._given_up = {}

    def serve(self, request, key, send):
        """Return the ``Answer`` of the only run of ``key``; raise ``RequestError``.

        ``send()`` makes the one exchange. It raises ``ExchangeError`` or
        ``RequestError``, whose ``sent`` or ``ran`` tell whether anything went out.
        """
        self._check_key(key)
        digest = digest_of(request.method, request.path, request.body)
        while self._clock.monotonic() < request.deadline:
            run = self._runs.get(key)
            if run is not None and run.state != OutcomeState.NOT_RUN:
                self._check_digest(digest, run.digest)
                return self._wait_here(request, run)
            run = self._runs[key] = KeyedRun(
                uuid4().hex, digest, self._clock.monotonic()
            )
            try:
                return self._attempt(request, key, run, send)
            except _ClaimAgainError:
                continue
            finally:
                if not run.finished.is_set():
                    run.finish(OutcomeState.UNKNOWN)
        raise self._unclaimed("no claim was settled before the deadline", "")

    def outcome(self, key, attempt):
        """Return what this node knows of an attempt, for a peer that asks."""
        if attempt in self._given_up:
            return RunOutcome(OutcomeState.NOT_RUN, None)
        run = self._runs.get(key)
        if run is None or run.attempt != attempt:
            return RunOutcome(OutcomeState.UNKNOWN, None)
        run.asked_by_others = True
        return RunOutcome(run.state, run.answer)

    def forget_old(self):
        """Drop runs that are older than the window."""
        floor = self._clock.monotonic() - self._cfg.claim_window_s
        self._runs = {
            key: run
            for key, run in self._runs.items()
            if run.born_at >= floor or not run.finished.is_set()
        }
        self._given_up = {
            attempt: at for attempt, at in self._given_up.items() if at >= floor
        }

    def _attempt(self, request, key, run, send):
        ask = Claim(
            key,
            run.digest,
            run.attempt,
            self._identity.node,
            self._identity.incarnation,
        )
        winner = self._claim(ask, run)
        if winner.attempt != run.attempt:
            self._never_send(run)
            self._check_digest(run.digest, winner.digest)
            return self._wait_there(request, winner)
        return self._send_once(ask, run, send)

    def _claim(self, ask, run):
        try:
            return self._claims.claim(ask)
        except StateError as exc:
            self._set_free(ask, run)
            raise self._unclaimed(exc.detail, exc.peer) from exc

    def _unclaimed(self, detail, peer):
        return RequestError(
            503,
            "Cannot be claimed now",
            f"the log does not take claims: {detail}",
            ran=UNKNOWN,
            step="claim",
            peer=peer,
            retry_after_s=self._cfg.claim_retry_after_s,
        )

    def _send_once(self, ask, run, send):
        try:
            answer = send()
        except ExchangeError as exc:
            raise self._give_up(ask, run, exc, sent=exc.sent) from exc
        except RequestError as exc:
            if exc.ran == NOT_RUN:
                exc.ran = self._set_free(ask, run)
            raise
        run.finish(OutcomeState.DONE, answer)
        return answer

    def _give_up(self, ask, run, exc, *, sent):
        return RequestError(
            502,
            "Backend server failed",
            exc.detail,
            ran=UNKNOWN if sent else self._set_free(ask, run),
            step=exc.step,
            peer=exc.peer,
            retry_after_s=1.0,
        )

    def _set_free(self, ask, run):
        """Let the key go unsent, and return what the refusal may say.

        Whoever has asked for the same key meanwhile may run it from now on, so to
        say that it has not run would soon be false. Nobody else can before the
        release, which does not hold up the answer.
        """
        self._never_send(run)
        self._tasks.spawn(self._claims.release, ask)
        return UNKNOWN if run.asked_by_others else NOT_RUN

    def _never_send(self, run):
        run.finish(OutcomeState.NOT_RUN)
        self._given_up[run.attempt] = self._clock.monotonic()

    def _wait_here(self, request, run):
        left = max(0.0, request.deadline - self._clock.monotonic())
        self._clock.wait(run.finished, left)
        return self._answer_of(RunOutcome(run.state, run.answer), self._identity.node)

    def _wait_there(self, request, winner):
        while True:
            known = self._ask_holder(winner)
            if known.state == OutcomeState.NOT_RUN:
                self._claims.release(winner)
                self._clock.sleep(ASK_HOLDER_AGAIN_S)
                raise _ClaimAgainError
            late = self._clock.monotonic() >= request.deadline
            if known.state != OutcomeState.RUNNING or late:
                return self._answer_of(known, winner.node)
            self._clock.sleep(ASK_HOLDER_AGAIN_S)

    def _ask_holder(self, winner):
        node = self._follower.state.nodes.get(winner.node)
        if winner.incarnation == self._identity.incarnation:
            return self.outcome(winner.key, winner.attempt)
        if node is None or node.incarnation != winner.incarnation:
            return RunOutcome(OutcomeState.UNKNOWN, None)
        try:
            outcome = self._peers.call(
                node.peer_address, "outcome", winner.key, winner.attempt
            )
        except PeerUnavailableError:
            return RunOutcome(OutcomeState.UNKNOWN, None)
        answer = None
        if outcome.state == OutcomeState.DONE:
            answer = Answer(outcome.status, outcome.headers, outcome.body)
        return RunOutcome(outcome.state, answer)

    def _answer_of(self, known, holder):
        if known.state == OutcomeState.DONE:
            return known.answer
        running = known.state == OutcomeState.RUNNING
        raise RequestError(
            409,
            "Still running" if running else "Outcome unknown",
            "this key was claimed before"
            + (" and its run has not ended" if running else "; it may have run"),
            ran=UNKNOWN,
            step="outcome",
            peer=holder,
            retry_after_s=1.0 if running else None,
        )

    def _check_key(self, key):
        cfg = self._cfg
        try:
            check_age(key, self._clock.time(), cfg.claim_window_s, cfg.claim_skew_s)
        except KeyRefusedError as exc:
            raise RequestError(
                400, "Key refused", exc.detail, ran=UNKNOWN, step=exc.step
            ) from exc

    def _check_digest(self, digest, other):
        if digest != other:
            raise RequestError(
                422,
                "Key used for another request",
                "this Idempotency-Key belongs to a request with other content",
                ran=UNKNOWN,
                step="check key",
            )


class _ClaimAgainError(Exception):
    """The winner gave up without sending; the key may be claimed anew."""
