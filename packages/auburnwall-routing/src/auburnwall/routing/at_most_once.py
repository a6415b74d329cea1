"""At-most-once execution of requests with an idempotency key.

Before a node sends such a request, it claims the key in the log. The first claim
wins, and the node that holds it sends the request once. A caller that retries, at any
node, waits for the response of that run, or gets an error that says that the outcome
is unknown or pending. The request never runs a second time.
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

# Time between two queries to the node that runs a request.
HOLDER_POLL_INTERVAL_S = 0.2


class KeyedRun:
    """One attempt of this node to run the request of a key, and its outcome.

    ``attempt`` is the attempt's id, and ``digest`` is that of the request.
    ``outcome_queried`` is set once another request for the key has read the state.
    """

    def __init__(self, attempt, digest, started_at):
        self.attempt = attempt
        self.digest = digest
        self.started_at = started_at
        self.state = OutcomeState.RUNNING
        self.answer = None
        self.outcome_queried = False
        self.finished = Event()

    def finish(self, state, answer=None):
        """Set the outcome, which is final, and wake those that wait for it."""
        self.state = state
        self.answer = answer
        self.finished.set()


class RunOutcome(NamedTuple):
    """The known outcome of a run; ``answer`` is set only if the state is ``DONE``."""

    state: int
    answer: Answer | None


class AtMostOnce:
    """Runs requests with a key at most once.

    It keeps the runs of this node by key and queries other nodes for theirs.
    """

    def __init__(self, identity, claims, follower, peers, clock, cfg, tasks):
        self._identity = identity
        self._claims = claims
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._cfg = cfg
        self._tasks = tasks
        self._runs = {}
        self._unsent_attempts = {}

    def serve(self, request, key, send):
        """Return the ``Answer`` of the only run of ``key``.

        ``send()`` makes the one exchange with a backend server. It raises
        ``ExchangeError`` or ``RequestError``, whose ``sent`` or ``ran`` states
        whether anything was sent. Raises ``RequestError`` if the key is refused or
        can't be claimed, if the exchange fails, or if the outcome is unknown or still
        pending at the deadline.
        """
        self._check_key(key)
        digest = digest_of(request.method, request.path, request.body)
        while self._clock.monotonic() < request.deadline:
            run = self._runs.get(key)
            if run is not None and run.state != OutcomeState.NOT_RUN:
                self._check_digest(digest, run.digest)
                return self._wait_for_run(request, run)
            run = self._runs[key] = KeyedRun(
                uuid4().hex, digest, self._clock.monotonic()
            )
            try:
                return self._claim_and_send(request, key, run, send)
            except _KeyReleasedError:
                continue
            finally:
                if not run.finished.is_set():
                    run.finish(OutcomeState.UNKNOWN)
        raise self._claim_error("no claim was settled before the deadline", "")

    def outcome(self, key, attempt):
        """Return the ``RunOutcome`` of an attempt of this node.

        The state is ``UNKNOWN`` for attempts that this node does not know.
        """
        if attempt in self._unsent_attempts:
            return RunOutcome(OutcomeState.NOT_RUN, None)
        run = self._runs.get(key)
        if run is None or run.attempt != attempt:
            return RunOutcome(OutcomeState.UNKNOWN, None)
        run.outcome_queried = True
        return RunOutcome(run.state, run.answer)

    def remove_expired(self):
        """Remove finished runs and unsent attempts older than the claim window."""
        cutoff = self._clock.monotonic() - self._cfg.claim_window_s
        self._runs = {
            key: run
            for key, run in self._runs.items()
            if run.started_at >= cutoff or not run.finished.is_set()
        }
        self._unsent_attempts = {
            attempt: at for attempt, at in self._unsent_attempts.items() if at >= cutoff
        }

    def _claim_and_send(self, request, key, run, send):
        own_claim = Claim(
            key,
            run.digest,
            run.attempt,
            self._identity.node,
            self._identity.incarnation,
        )
        winner = self._claim_key(own_claim, run)
        if winner.attempt != run.attempt:
            self._mark_not_sent(run)
            self._check_digest(run.digest, winner.digest)
            return self._wait_for_holder(request, winner)
        return self._send_once(own_claim, run, send)

    def _claim_key(self, own_claim, run):
        try:
            return self._claims.claim(own_claim)
        except StateError as exc:
            self._release_unsent(own_claim, run)
            raise self._claim_error(exc.detail, exc.peer) from exc

    def _claim_error(self, detail, peer):
        return RequestError(
            503,
            "Cannot be claimed now",
            f"the log does not take claims: {detail}",
            ran=UNKNOWN,
            step="claim",
            peer=peer,
            retry_after_s=self._cfg.claim_retry_after_s,
        )

    def _send_once(self, own_claim, run, send):
        try:
            answer = send()
        except ExchangeError as exc:
            raise self._exchange_failure(own_claim, run, exc, sent=exc.sent) from exc
        except RequestError as exc:
            if exc.ran == NOT_RUN:
                exc.ran = self._release_unsent(own_claim, run)
            raise
        run.finish(OutcomeState.DONE, answer)
        return answer

    def _exchange_failure(self, own_claim, run, exc, *, sent):
        return RequestError(
            502,
            "Backend server failed",
            exc.detail,
            ran=UNKNOWN if sent else self._release_unsent(own_claim, run),
            step=exc.step,
            peer=exc.peer,
            retry_after_s=1.0,
        )

    def _release_unsent(self, own_claim, run):
        """Release the key of a request that was not sent; return ``ran`` for its error.

        If another request has queried the outcome, it can now run the request itself,
        so the error can't promise that the request has not run. No other request can
        run it before the release is in the log. The error doesn't wait for that.
        """
        self._mark_not_sent(run)
        self._tasks.spawn(self._claims.release, own_claim)
        return UNKNOWN if run.outcome_queried else NOT_RUN

    def _mark_not_sent(self, run):
        run.finish(OutcomeState.NOT_RUN)
        self._unsent_attempts[run.attempt] = self._clock.monotonic()

    def _wait_for_run(self, request, run):
        remaining_s = max(0.0, request.deadline - self._clock.monotonic())
        self._clock.wait(run.finished, remaining_s)
        return self._answer_or_error(
            RunOutcome(run.state, run.answer), self._identity.node
        )

    def _wait_for_holder(self, request, winner):
        while True:
            outcome = self._query_holder(winner)
            if outcome.state == OutcomeState.NOT_RUN:
                self._claims.release(winner)
                self._clock.sleep(HOLDER_POLL_INTERVAL_S)
                raise _KeyReleasedError
            deadline_passed = self._clock.monotonic() >= request.deadline
            if outcome.state != OutcomeState.RUNNING or deadline_passed:
                return self._answer_or_error(outcome, winner.node)
            self._clock.sleep(HOLDER_POLL_INTERVAL_S)

    def _query_holder(self, winner):
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

    def _answer_or_error(self, outcome, holder):
        if outcome.state == OutcomeState.DONE:
            return outcome.answer
        running = outcome.state == OutcomeState.RUNNING
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

    def _check_digest(self, digest, claimed_digest):
        if digest != claimed_digest:
            raise RequestError(
                422,
                "Key used for another request",
                "this Idempotency-Key belongs to a request with other content",
                ran=UNKNOWN,
                step="check key",
            )


class _KeyReleasedError(Exception):
    """The winner of the claim didn't send the request; the key can be claimed again."""
