"""Exchanges in flight at this node: their number, their progress and their stalls.

Failure pattern: a group whose member has died still accepts requests but makes no
progress on any of them. The first sign is that all of its streams stop at the same
time.
"""

import gevent

from auburnwall.base.exceptions import AuburnwallError
from auburnwall.base.logs import event

from .stop_time import StopTime

# Time between two checks for stalled exchanges.
CHECK_INTERVAL_S = 0.05
# A check that is late by more than this shows that this node was paused. The silence of
# the servers during the pause means nothing.
MAX_CHECK_DELAY_S = 0.15
# Silence after which a stream's group is suspect and gets no more requests: several
# times the longest usual pause, a step in which the engine reads a long prompt.
STALL_TIMEOUT_S = 0.35
# Further silence before a request is sent to another server. Waiting costs little: the
# response is late by then in any case, and a group that is only slow finishes it with
# less work than another group that has to read the prompt again.
REROUTE_DELAY_S = 0.45
# Silence before the first event after which a group is suspect, in addition to the
# time for reading the prompt.
FIRST_EVENT_STALL_TIMEOUT_S = 0.6
# How long the last progress of a candidate is remembered: longer than any candidate
# stays suspect.
PROGRESS_RETENTION_S = 30.0


class StalledError(AuburnwallError):
    """The candidate makes no progress; the request may be sent to another one."""


class DeadlineExceededError(AuburnwallError):
    """The deadline of the route or of the caller has passed."""


class Exchange:
    """One request at one candidate.

    ``awaiting_server`` is true while the exchange's task sends to the server or reads
    from it, and ``waits`` counts these times. ``may_reroute`` allows the request to be
    sent to another server. After ``stall_timeout_s`` without progress the candidate
    becomes suspect. ``reads`` counts the pieces of a stream that have arrived, each of
    which may hold several events or a part of one. If ``is_lost`` is set, the candidate
    may be silent as long as ``is_lost()`` is false, and is never suspect. With
    ``has_begun``, the caller has a part of the response.
    """

    def __init__(self, request, candidate, now):
        self.request = request
        self.candidate = candidate
        self.started_at = now
        self.progress_at = now
        self.reads = 0
        self.awaiting_server = False
        self.waits = 0
        self.may_reroute = False
        self.has_begun = False
        self.is_lost = None
        self.stall_timeout_s = FIRST_EVENT_STALL_TIMEOUT_S
        self.task = gevent.getcurrent()

    def note_progress(self, now):
        """Record that bytes of a stream have arrived."""
        self.reads += 1
        self.progress_at = now
        self.stall_timeout_s = STALL_TIMEOUT_S


class InFlightRequests:
    """The exchanges of this node and the slots that they use.

    ``slots_in_use`` holds the number of slots in use by candidate. ``take_slot`` and
    ``release`` count a slot from the placement of a request until its end. ``begin``
    and ``end`` track the exchange that uses it; ``len()`` is the number of exchanges.
    ``make_suspect`` is called with the name of a stalled candidate. ``stop_time`` is
    what a stop of the node leaves to its requests.
    """

    def __init__(self, clock, make_suspect, stop_time=None):
        self.slots_in_use = {}
        self.stop_time = stop_time or StopTime(clock)
        self._clock = clock
        self.make_suspect = make_suspect
        self._exchanges = set()
        self._progress_by_candidate = {}

    def count(self, name):
        """Return the number of slots that this node uses at a candidate."""
        return self.slots_in_use.get(name, 0)

    def __len__(self):
        return len(self._exchanges)

    def count_others(self, exchange):
        """Return the number of this node's other exchanges with the same server."""
        server = exchange.candidate.server
        return sum(
            other is not exchange and other.candidate.server == server
            for other in self._exchanges
        )

    def last_progress_at(self, name):
        """Return the time of a candidate's last progress, 0 if none is remembered."""
        return self._progress_by_candidate.get(name, 0.0)

    def begin(self, request, candidate):
        """Start to track an exchange and return it."""
        exchange = Exchange(request, candidate, self._clock.monotonic())
        self._exchanges.add(exchange)
        return exchange

    def end(self, exchange):
        """Stop tracking an exchange."""
        self._exchanges.discard(exchange)

    def take_slot(self, name):
        """Count one more slot in use at a candidate; does not check for a free one."""
        self.slots_in_use[name] = self.slots_in_use.get(name, 0) + 1

    def release(self, name):
        """Count one slot in use less at a candidate."""
        remaining = self.slots_in_use[name] - 1
        if remaining:
            self.slots_in_use[name] = remaining
        else:
            del self.slots_in_use[name]

    def note_progress(self, exchange):
        """Record progress of an exchange and of its candidate."""
        now = self._clock.monotonic()
        exchange.note_progress(now)
        self._progress_by_candidate[exchange.candidate.name] = now

    def watch(self):
        """Check regularly for stalled and expired exchanges; never returns."""
        expected_at = self._clock.monotonic() + CHECK_INTERVAL_S
        while True:
            self._clock.sleep(CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            if now - expected_at > MAX_CHECK_DELAY_S:
                self.restart_stall_timers()
            expected_at = now + CHECK_INTERVAL_S
            self.check_progress(now)

    def restart_stall_timers(self):
        """Do not count the silence of the servers until now.

        This node was paused, or had no links to the servers.
        """
        now = self._clock.monotonic()
        for exchange in self._exchanges:
            exchange.progress_at = now

    def check_progress(self, now):
        """Interrupt exchanges that are past their deadline or stalled.

        A stalled candidate becomes suspect. Its exchanges are interrupted
        ``REROUTE_DELAY_S`` later, and only if they may be sent to another server.
        Exchanges that do not await their server are left alone, also past their
        deadline. Progress older than ``PROGRESS_RETENTION_S`` is removed.
        """
        self._progress_by_candidate = {
            name: at
            for name, at in self._progress_by_candidate.items()
            if now - at < PROGRESS_RETENTION_S
        }
        for exchange in list(self._exchanges):
            if not exchange.awaiting_server:
                continue
            if now >= self.stop_time.ends_at(
                exchange.request, has_begun=exchange.has_begun
            ):
                is_late = now >= exchange.request.deadline
                detail = "out of time" if is_late else "this node is stopping"
                self._interrupt(exchange, DeadlineExceededError(detail, step="wait"))
                continue
            if exchange.is_lost is not None:
                if exchange.is_lost() and self._may_reroute(exchange):
                    self._interrupt(exchange, StalledError("it is lost", step="wait"))
                continue
            # A group that has lost a member stalls all its streams, so the progress of
            # any of them shows that the group works.
            last_progress_at = self.last_progress_at(exchange.candidate.name)
            silent_s = now - max(exchange.progress_at, last_progress_at)
            if silent_s > exchange.stall_timeout_s:
                self.make_suspect(exchange.candidate.name)
            if (
                silent_s > exchange.stall_timeout_s + REROUTE_DELAY_S
                and self._may_reroute(exchange)
            ):
                detail = f"no progress for {now - exchange.progress_at:.2f} s"
                self._interrupt(exchange, StalledError(detail, step="wait"))

    def _may_reroute(self, exchange):
        """Return whether the request may be sent to another server now.

        If that could not end before the node stops, the exchange goes on.
        """
        if not exchange.may_reroute:
            return False
        why = self.stop_time.refusal(exchange.request, has_begun=exchange.has_begun)
        if why:
            exchange.may_reroute = False
            event(
                "exchange goes on",
                request=exchange.request.request_id,
                peer=exchange.candidate.server,
                step="stop",
                why=why,
            )
        return not why

    def _interrupt(self, exchange, error):
        event(
            "exchange interrupted",
            request=exchange.request.request_id,
            peer=exchange.candidate.server,
            group=exchange.candidate.name,
            events=exchange.reads,
            age_s=round(self._clock.monotonic() - exchange.started_at, 2),
            why=error.detail,
        )
        gevent.get_hub().loop.run_callback(
            _raise_if_awaiting, exchange, exchange.waits, error
        )


def _raise_if_awaiting(exchange, wait, error):
    """Raise an error in an exchange's task if that still awaits its server.

    Called by the event loop, while no task runs. The server may have sent something
    since the interrupt was decided, and the task may be at something else already.
    """
    if exchange.awaiting_server and exchange.waits == wait:
        exchange.awaiting_server = False
        exchange.task.throw(error)
