"""Append proposals to the control stream and wait for their verdicts."""

from gevent.lock import RLock
from uuid6 import uuid7

from .exceptions import LogUnavailableError, OutcomeUnknownError
from .records import CONTROL_STREAM, envelope

# After a failed append, how long to wait for the record to appear in the log before
# appending it again, in seconds. The backoff delay is added.
_LOST_RESPONSE_WAIT_S = 0.5


def new_incarnation():
    """Return a unique identifier for one run of a process."""
    return str(uuid7())


class Proposer:
    """Append proposals of one incarnation, one at a time.

    A proposal whose response was lost is appended again under the same sequence
    number, never under a new one. The fold applies a sequence number at most once.
    """

    def __init__(self, log, follower, clock, backoff, incarnation):
        self._log = log
        self._follower = follower
        self._clock = clock
        self._backoff = backoff
        self._seq = 0
        self._lock = RLock()
        self.incarnation = incarnation
        self.appends = 0

    def propose(self, kind, body, timeout_s):
        """Append a proposal and return the verdict of the fold.

        Waits until earlier proposals of this process are done, and then about
        ``timeout_s`` seconds for the verdict. The wait after a failed append may exceed
        this. If there is no verdict by then, raises ``LogUnavailableError`` if
        nothing can have been appended, or else ``OutcomeUnknownError``.
        """
        with self._lock:
            self._seq += 1
            return self._append_until_verdict(
                kind, body, self._clock.monotonic() + timeout_s
            )

    def _append_until_verdict(self, kind, body, deadline):
        payload = envelope(kind, self.incarnation, self._seq, body)
        effect_possible = False
        while True:
            try:
                offset = self._append(payload)
                effect_possible = True
                self._follower.wait_for(
                    lambda state, offset=offset: state.offset >= offset,
                    deadline - self._clock.monotonic(),
                )
            except LogUnavailableError as exc:
                effect_possible = effect_possible or exc.effect_possible
                last_error = exc
                self._wait_for_verdict(
                    _LOST_RESPONSE_WAIT_S + self._backoff.next_delay()
                )
            verdict = self._verdict()
            if verdict:
                self._backoff.reset()
                return verdict
            if self._clock.monotonic() >= deadline:
                if not effect_possible:
                    raise last_error
                raise OutcomeUnknownError("no verdict in time", step=kind)

    def _append(self, payload):
        self.appends += 1
        return self._log.append(CONTROL_STREAM, [payload])

    def _wait_for_verdict(self, timeout_s):
        self._follower.wait_for(lambda state: self._verdict(), timeout_s)

    def _verdict(self):
        entry = self._follower.state.writers.get(self.incarnation)
        return entry.verdict if entry and entry.seq == self._seq else None
