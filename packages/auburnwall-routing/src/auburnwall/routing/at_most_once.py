"""At-most-once execution of requests with an idempotency key.

Before a node sends such a request, it claims the key in the replicated log. The first
claim wins, and the node that made it sends the request once. A caller that retries, at
any node, waits for the response of that run, or gets an error that says that the
outcome is unknown or pending. The request never runs a second time.
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

# Time between two queries to the node that runs a request, and the pause after its key
# was released before it is claimed again.
OUTCOME_POLL_INTERVAL_S = 0.2


class KeyAttempt:
    """One attempt of this node to claim a key and run its request, and the outcome.

    ``digest`` is that of the request. An attempt whose claim loses ends as ``NOT_RUN``.
    ``outcome_queried`` is set once the outcome has been queried for another request
    with the same key.
    """

    def __init__(self, attempt_id, digest, started_at):
        self.attempt_id = attempt_id
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
    """What is known of an attempt: its state, and its answer if the state is ``DONE``.

    The state is ``RUNNING`` while there is no outcome yet, and ``UNKNOWN`` if the
    request may have run.
    """

    state: int
    answer: Answer | None


class AtMostOnce:
    """Runs requests with a key at most once.

    It keeps the attempts of this node by key and queries other nodes for theirs.
    ``claims`` claims and releases keys in the log, and ``follower`` holds the state
    that results from the log. ``peers`` calls other nodes, and ``tasks`` starts
    background tasks. ``identity`` is this node's.
    """

    def __init__(self, identity, claims, follower, peers, clock, cfg, tasks):
        self._identity = identity
        self._claims = claims
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._cfg = cfg
        self._tasks = tasks
        self._attempts = {}
        self._unsent_attempt_ids = {}

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
            key_attempt = self._attempts.get(key)
            if key_attempt is not None and key_attempt.state != OutcomeState.NOT_RUN:
                self._check_digest(digest, key_attempt.digest)
                return self._wait_for_attempt(request, key_attempt)
            key_attempt = self._attempts[key] = KeyAttempt(
                uuid4().hex, digest, self._clock.monotonic()
            )
            try:
                return self._claim_and_send(request, key, key_attempt, send)
            except _KeyReleasedError:
                continue
            finally:
                # Without an outcome, an error ended the run: the request may have run.
                if not key_attempt.finished.is_set():
                    key_attempt.finish(OutcomeState.UNKNOWN)
        raise self._claim_error("no claim was settled before the deadline", "")

    def outcome(self, key, attempt_id):
        """Return the ``RunOutcome`` of an attempt of this node.

        The state is ``UNKNOWN`` for attempts that this node does not know. Records that
        the outcome was queried, see ``_release_unsent``.
        """
        if attempt_id in self._unsent_attempt_ids:
            return RunOutcome(OutcomeState.NOT_RUN, None)
        key_attempt = self._attempts.get(key)
        if key_attempt is None or key_attempt.attempt_id != attempt_id:
            return RunOutcome(OutcomeState.UNKNOWN, None)
        key_attempt.outcome_queried = True
        return RunOutcome(key_attempt.state, key_attempt.answer)

    def remove_expired(self):
        """Remove finished and unsent attempts that are older than the claim window."""
        cutoff = self._clock.monotonic() - self._cfg.claim_window_s
        self._attempts = {
            key: key_attempt
            for key, key_attempt in self._attempts.items()
            if key_attempt.started_at >= cutoff or not key_attempt.finished.is_set()
        }
        self._unsent_attempt_ids = {
            attempt_id: at
            for attempt_id, at in self._unsent_attempt_ids.items()
            if at >= cutoff
        }

    def _claim_and_send(self, request, key, key_attempt, send):
        own_claim = Claim(
            key,
            key_attempt.digest,
            key_attempt.attempt_id,
            self._identity.node,
            self._identity.incarnation,
        )
        winning_claim = self._claim_key(own_claim, key_attempt)
        if winning_claim.attempt != key_attempt.attempt_id:
            self._mark_not_sent(key_attempt)
            self._check_digest(key_attempt.digest, winning_claim.digest)
            return self._wait_for_winning_claim(request, winning_claim)
        return self._send_once(own_claim, key_attempt, send)

    def _claim_key(self, own_claim, key_attempt):
        try:
            return self._claims.claim(own_claim)
        except StateError as exc:
            # The claim may still get into the log, so it is released.
            self._release_unsent(own_claim, key_attempt)
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

    def _send_once(self, own_claim, key_attempt, send):
        try:
            answer = send()
        except ExchangeError as exc:
            raise self._exchange_failure(
                own_claim, key_attempt, exc, sent=exc.sent
            ) from exc
        except RequestError as exc:
            if exc.ran == NOT_RUN:
                exc.ran = self._release_unsent(own_claim, key_attempt)
            raise
        key_attempt.finish(OutcomeState.DONE, answer)
        return answer

    def _exchange_failure(self, own_claim, key_attempt, exc, *, sent):
        """Return the error for a failed exchange.

        Releases the key if nothing was sent.
        """
        return RequestError(
            502,
            "Backend server failed",
            exc.detail,
            ran=UNKNOWN if sent else self._release_unsent(own_claim, key_attempt),
            step=exc.step,
            peer=exc.peer,
            retry_after_s=1.0,
        )

    def _release_unsent(self, own_claim, key_attempt):
        """Release the key of a request that was not sent; return ``ran`` for its error.

        The release is written in the background. If another request has queried the
        outcome, it can claim the key once the release is in the log and run the request
        itself, so the error can't promise that the request has not run.
        """
        self._mark_not_sent(key_attempt)
        self._tasks.spawn(self._claims.release, own_claim)
        return UNKNOWN if key_attempt.outcome_queried else NOT_RUN

    def _mark_not_sent(self, key_attempt):
        key_attempt.finish(OutcomeState.NOT_RUN)
        self._unsent_attempt_ids[key_attempt.attempt_id] = self._clock.monotonic()

    def _wait_for_attempt(self, request, key_attempt):
        remaining_s = max(0.0, request.deadline - self._clock.monotonic())
        self._clock.wait(key_attempt.finished, remaining_s)
        return self._answer_or_raise(
            RunOutcome(key_attempt.state, key_attempt.answer), self._identity.node
        )

    def _wait_for_winning_claim(self, request, winning_claim):
        while True:
            outcome = self._query_outcome(winning_claim)
            if outcome.state == OutcomeState.NOT_RUN:
                # The release by its own node is best effort and may have been lost.
                self._claims.release(winning_claim)
                self._clock.sleep(OUTCOME_POLL_INTERVAL_S)
                raise _KeyReleasedError
            deadline_passed = self._clock.monotonic() >= request.deadline
            if outcome.state != OutcomeState.RUNNING or deadline_passed:
                return self._answer_or_raise(outcome, winning_claim.node)
            self._clock.sleep(OUTCOME_POLL_INTERVAL_S)

    def _query_outcome(self, winning_claim):
        node = self._follower.state.nodes.get(winning_claim.node)
        if winning_claim.incarnation == self._identity.incarnation:
            return self.outcome(winning_claim.key, winning_claim.attempt)
        if node is None or node.incarnation != winning_claim.incarnation:
            return RunOutcome(OutcomeState.UNKNOWN, None)
        try:
            outcome = self._peers.call(
                node.peer_address, "outcome", winning_claim.key, winning_claim.attempt
            )
        except PeerUnavailableError:
            return RunOutcome(OutcomeState.UNKNOWN, None)
        answer = None
        if outcome.state == OutcomeState.DONE:
            answer = Answer(outcome.status, outcome.headers, outcome.body)
        return RunOutcome(outcome.state, answer)

    def _answer_or_raise(self, outcome, claim_node):
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
            peer=claim_node,
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
    """The request of the winning claim was not sent; the key can be claimed again."""
