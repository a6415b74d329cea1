"""What a stopping node may still begin, and until when it waits for servers.

A request that begins during the stop has to end before the node exits. It is begun only
if that can be expected. If it has not ended shortly before the exit, it gets an error
as its answer while there is time to write it. A stream that has begun goes on until the
exit.
"""

import math
from contextlib import contextmanager
from typing import NamedTuple

import gevent

from auburnwall.base.logs import event

from .exceptions import UNKNOWN, OverloadedError, RequestError

# Time that a request may take, as a multiple of the mean of such requests.
EXPECTED_TIME_MARGIN = 1.5
# Retry-After of a stopping node, in seconds. It is short, as the caller retries at
# another node.
STOPPING_RETRY_AFTER_S = 0.05
# Step of the errors by which a stop ends a request.
STOP_STEP = "stop"


def stopping_error(why):
    """Return the error for a request that a stopping node does not begin."""
    return OverloadedError(why, STOPPING_RETRY_AFTER_S, step=STOP_STEP)


def _unknown_error(why):
    return RequestError(504, "Out of time", why, ran=UNKNOWN, step=STOP_STEP)


class _Wait(NamedTuple):
    """A block that ends with ``error(refusal())`` once ``refusal()`` is not empty."""

    request_id: str
    refusal: object
    error: object


def can_end(left_s, limit_s, expected_s):
    """Return whether a request that begins now is expected to end within ``left_s``.

    It ends within ``limit_s`` in any case. ``expected_s`` is the mean time that such
    requests take, 0 if it is not known. All times are in seconds.
    """
    return limit_s <= left_s or 0 < EXPECTED_TIME_MARGIN * expected_s <= left_s


class StopTime:
    """The time that a stop leaves to the requests of this node.

    By ``answer_by`` each request must have its answer or have begun to stream; the node
    exits at ``exit_at``. Both are on the monotonic clock, and infinite until the stop
    begins. ``expected_s(request)`` returns the mean time that such requests take, in
    seconds, 0 if it is not known.
    """

    def __init__(self, clock, expected_s=lambda request: 0.0):
        self.answer_by = self.exit_at = math.inf
        self.expected_s = expected_s
        self._clock = clock
        self._waits = {}

    def begin(self, answer_by, exit_at):
        """Begin the stop."""
        self.answer_by, self.exit_at = answer_by, exit_at

    def ends_at(self, request, *, has_begun):
        """Return when an exchange ends that is still waiting for its server.

        ``has_begun`` tells whether the caller has a part of the response.
        """
        return request.deadline if has_begun else min(request.deadline, self.answer_by)

    def refusal(self, request, *, has_begun=False):
        """Return why no attempt at a request may begin now, empty if it may."""
        if self.exit_at == math.inf:
            return ""
        now = self._clock.monotonic()
        is_stream = request.route.streams
        left_s = (self.exit_at if is_stream or has_begun else self.answer_by) - now
        expected_s = self.expected_s(request)
        if now < self.answer_by and can_end(left_s, request.deadline - now, expected_s):
            return ""
        return (
            f"this node is stopping: {left_s:.2f} s left, {expected_s:.2f} s expected"
        )

    def check(self, request, *, has_begun=False):
        """Raise ``OverloadedError`` if no attempt at a request may begin now."""
        if why := self.refusal(request, has_begun=has_begun):
            raise stopping_error(why)

    @contextmanager
    def limit_wait(self, request_id, refusal, error=stopping_error):
        """Raise ``error(refusal())`` in the block once ``refusal()`` is not empty.

        That is checked while the stop goes on. Of nested blocks, the inner one counts.
        """
        task = gevent.getcurrent()
        outer = self._waits.get(task)
        self._waits[task] = _Wait(request_id, refusal, error)
        try:
            yield
        finally:
            self._waits.pop(task, None)
            if outer is not None:
                self._waits[task] = outer

    def limit_body(self):
        """Raise ``OverloadedError`` in the block when its time for an answer is up."""
        return self.limit_wait("", self._late_body)

    def limit_answer(self, request_id):
        """Raise a 504 in the block when the time for an answer is up."""
        return self.limit_wait(request_id, self._late_answer, _unknown_error)

    def end_late_waits(self):
        """End the waits that last too long; called regularly during the stop."""
        for task, wait in list(self._waits.items()):
            if why := wait.refusal():
                event("wait ended", request=wait.request_id, step="stop", why=why)
                gevent.get_hub().loop.run_callback(self._raise_in, task, wait, why)

    def _raise_in(self, task, wait, why):
        """Raise the error if the task still waits; called by the event loop."""
        if self._waits.get(task) is wait:
            # The clean-up after the error must not be broken off by a further one.
            del self._waits[task]
            task.throw(wait.error(why))

    def _late_answer(self):
        is_late = self._clock.monotonic() >= self.answer_by
        return "this node is stopping" if is_late else ""

    def _late_body(self):
        why = self._late_answer()
        return f"{why}, and the body is not complete" if why else ""
