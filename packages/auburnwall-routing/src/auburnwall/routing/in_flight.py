"""Exchanges in flight at this node: their number, their progress and their stalls.

Failure pattern: a group whose member has died still accepts requests but makes no
progress on any of them. The first sign is that all of its streams stop at the same
time. The same is seen while sound servers pause, so a stalled exchange is given up only
for another one that has begun elsewhere.
"""

from collections import defaultdict

import gevent

from auburnwall.base.exceptions import AuburnwallError
from auburnwall.base.lateness import LoopLateness
from auburnwall.base.logs import event

from .exceptions import RequestError
from .stop_time import StopTime
from .tracked_exchange import REROUTE_DELAY_S, STALL_TIMEOUT_S, Exchange

# Time between two checks for stalled exchanges.
CHECK_INTERVAL_S = 0.05
# A check that is late by more than this shows that this node was paused. The silence of
# the servers during the pause means nothing.
MAX_CHECK_DELAY_S = 0.15
# Further silence before a request is sent to another server if all candidates of the
# service that this node awaits are silent at the same time: another one is hardly any
# better, and a pause of all of them ends for all.
COMMON_REROUTE_DELAY_S = 1.0
# Time after which a stalled request that found no slot elsewhere looks for one again.
SEARCH_RETRY_S = 0.3
# Time past its stall for which an exchange with unread bytes is left alone, in
# seconds. A node that is later than ``MAX_CHECK_DELAY_S`` measures anew, and a server
# that always has bytes there is not waited for.
MAX_UNREAD_S = 0.25
# How long the last progress of a candidate is remembered: longer than any candidate
# stays suspect.
PROGRESS_RETENTION_S = 30.0


class StalledError(AuburnwallError):
    """The candidate makes no progress, and ``placement`` is a slot at another one.

    ``attempt`` uses the slot if the request has been sent there already, and is
    ``None`` otherwise. Whoever handles the error owns both.
    """

    def __init__(self, *args, placement=None, attempt=None, **kwargs):
        super().__init__(*args, **kwargs)
        self.placement = placement
        self.attempt = attempt


class DeadlineExceededError(AuburnwallError):
    """The deadline of the route or of the caller has passed."""


class InFlightRequests:
    """The exchanges of this node and the slots that they use.

    ``slots_in_use`` holds the number of slots in use by candidate. ``take_slot`` and
    ``release`` count a slot from the placement of a request until its end. ``begin``
    and ``end`` track the exchange that uses it; ``len()`` is the number of exchanges.
    ``make_suspect`` is called with the name of a stalled candidate. ``stop_time`` is
    what a stop of the node leaves to its requests. ``lateness`` is the ``LoopLateness``
    that ``watch`` feeds. ``new_timing(request, candidate)`` returns the
    ``ResponseTiming`` of an exchange that begins, ``None`` if it is not measured.
    """

    def __init__(self, clock, make_suspect, stop_time=None, lateness=None):
        self.slots_in_use = {}
        self.stop_time = stop_time or StopTime(clock)
        self._lateness = lateness or LoopLateness(clock)
        self._clock = clock
        self.make_suspect = make_suspect
        self.new_timing = lambda request, candidate: None
        self._exchanges = set()
        self._progress_by_candidate = {}
        self._silences_at, self._silences = None, {}

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
        exchange.timing = self.new_timing(request, candidate)
        self._exchanges.add(exchange)
        return exchange

    def end(self, exchange):
        """Stop tracking an exchange."""
        self._exchanges.discard(exchange)
        if exchange.timing is not None:
            exchange.timing.end()
        if exchange.search is None:
            exchange.forget()
        else:
            exchange.search.link(lambda search: exchange.forget())
            exchange.search.kill(block=False)

    def fail(self, exchange, error):
        """End an exchange with an error; called by the event loop.

        The error is raised in its task now, or where that next waits for its server.
        """
        if exchange.final_error is None:
            exchange.final_error = error
            self._raise_if_awaiting(exchange, exchange.waits, error)

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
        if exchange.timing is not None:
            exchange.timing.note_event()
        self._progress_by_candidate[exchange.candidate.name] = now

    def note_bytes(self, exchange):
        """Record that bytes of an answer that is no stream have arrived.

        They tell nothing of the candidate's other requests.
        """
        exchange.note_bytes(self._clock.monotonic())

    def watch(self):
        """Check regularly for stalled and expired exchanges; never returns."""
        expected_at = self._clock.monotonic() + CHECK_INTERVAL_S
        while True:
            self._lateness.expect(expected_at)
            self._clock.sleep(CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            late_s = now - expected_at
            self._lateness.record(late_s, now)
            if late_s > MAX_CHECK_DELAY_S:
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
        """Find exchanges that are past their deadline or stalled.

        The former end, whatever their servers send. A stalled candidate becomes
        suspect. Its exchanges go on ``reroute_delay_s`` later if they may be sent to
        another server and as soon as one responds to them; until then they keep what
        they have. Exchanges that do not await their server do not stall. Those that
        have bytes to read are left alone for ``MAX_UNREAD_S`` past their stall, and for
        one check past their deadline, or ``MAX_UNREAD_S`` while they do not await their
        server. Progress older than ``PROGRESS_RETENTION_S`` is removed.
        """
        self._progress_by_candidate = {
            name: at
            for name, at in self._progress_by_candidate.items()
            if now - at < PROGRESS_RETENTION_S
        }
        for exchange in list(self._exchanges):
            request, has_begun = exchange.request, exchange.has_begun
            ends_at = self.stop_time.ends_at(request, has_begun=has_begun)
            if now >= ends_at:
                self._check_for_end(exchange, now, now - ends_at)
                continue
            if not exchange.awaiting_server:
                continue
            if exchange.is_lost is not None:
                if exchange.may_reroute and exchange.is_lost():
                    self._search_slot(exchange, now, "it is lost")
                continue
            self._check_for_stall(exchange, now)

    def _check_for_end(self, exchange, now, over_s):
        """End an exchange that is ``over_s`` past its deadline."""
        if exchange.final_error is not None:
            return
        is_spared = not (exchange.awaiting_server and exchange.is_past_end)
        exchange.is_past_end = True
        if is_spared and _has_unread(exchange, over_s):
            return
        is_late = now >= exchange.request.deadline
        why = "out of time" if is_late else "this node is stopping"
        exchange.final_error = DeadlineExceededError(why, step="wait")
        self._interrupt(exchange, exchange.final_error, now)

    def _check_for_stall(self, exchange, now):
        # A group that has lost a member stalls all its streams, so the progress of any
        # of them shows that the group works.
        name = exchange.candidate.name
        silent_s = now - max(exchange.progress_at, self.last_progress_at(name))
        over_s = silent_s - exchange.stall_timeout_s
        if over_s <= 0 or _has_unread(exchange, over_s):
            return
        self.make_suspect(name)
        # Others of the group have stopped as well, which is no usual time of an answer.
        has_stopped = self.last_progress_at(name) > exchange.progress_at
        delay_s = REROUTE_DELAY_S if has_stopped else exchange.reroute_delay_s
        if not exchange.may_reroute or over_s <= delay_s:
            return
        if over_s <= COMMON_REROUTE_DELAY_S:
            silent, awaited = self._silence_of_service(exchange.request.service, now)
            if 1 < awaited == silent:
                return
        detail = f"no progress for {now - exchange.progress_at:.2f} s"
        self._search_slot(exchange, now, detail)

    def _search_slot(self, exchange, now, why):
        """Start a task that looks for a slot elsewhere, if none is running."""
        if exchange.search is None and now >= exchange.next_search_at:
            exchange.next_search_at = now + SEARCH_RETRY_S
            exchange.search = gevent.spawn(self._reroute, exchange, why)

    def _reroute(self, exchange, why):
        """Interrupt a stalled exchange once another one has begun elsewhere.

        If none does, or if the exchange goes on meanwhile, it is kept.
        """
        began_at, waits = self._clock.monotonic(), exchange.waits
        attempt = None
        try:
            placement = exchange.place_elsewhere()
            goes_on = self._goes_on(exchange, began_at, waits)
            # What a lost peer has sent may still arrive. It must not end the attempt
            # that is to follow, as nothing more comes.
            if not goes_on and exchange.is_lost is None:
                attempt = exchange.begin_elsewhere(placement)
                goes_on = self._goes_on(exchange, began_at, waits)
        except RequestError as exc:
            self._log_kept(exchange, f"{why}; {exc.detail}")
            return
        finally:
            exchange.search = None
            exchange.next_search_at = self._clock.monotonic() + SEARCH_RETRY_S
        if goes_on:
            self._drop(exchange, placement, attempt)
            self._log_kept(exchange, f"{why}; it goes on")
            return
        error = StalledError(why, step="wait", placement=placement, attempt=attempt)
        self._interrupt(exchange, error, self._clock.monotonic())

    def _drop(self, exchange, placement, attempt):
        """End what was to follow an exchange that goes on.

        What has begun elsewhere remains until the bytes that have arrived are read, for
        up to ``MAX_UNREAD_S``: behind them may be the end of the connection, and the
        request goes on there then.
        """
        if attempt is None:
            if placement is not None:
                exchange.give_back(placement)
        elif exchange in self._exchanges:
            exchange.search = gevent.spawn(self._wait_until_read, exchange)
            # Also called if the exchange ends first.
            exchange.search.link(lambda search: exchange.end_elsewhere(attempt))
        else:
            exchange.end_elsewhere(attempt)

    def _wait_until_read(self, exchange):
        checks_left = round(MAX_UNREAD_S / CHECK_INTERVAL_S)
        while checks_left:
            self._clock.sleep(CHECK_INTERVAL_S)
            checks_left = checks_left - 1 if exchange.has_unread() else 0
        exchange.search = None

    def _goes_on(self, exchange, since, waits):
        """Return whether a stalled exchange is found not to be stalled any more.

        ``waits`` is how often it had awaited its server at the time ``since``.
        """
        progress_at = self.last_progress_at(exchange.candidate.name)
        is_live = exchange.is_lost is not None and not exchange.is_lost()
        return (
            max(progress_at, exchange.progress_at) > since
            or is_live
            or not exchange.awaiting_server
            or _is_kept_for_bytes(exchange, waits)
        )

    def _silence_of_service(self, service, now):
        """Return the number of a service's silent candidates and of all awaited ones.

        Awaited are the candidates from which an exchange of this node awaits bytes. One
        count serves all exchanges of a check.
        """
        if self._silences_at != now:
            self._silences_at, self._silences = now, {}
        if service not in self._silences:
            awaited = defaultdict(float)
            for exchange in self._exchanges:
                if exchange.awaiting_server and exchange.request.service == service:
                    name = exchange.candidate.name
                    awaited[name] = max(
                        awaited[name], exchange.progress_at, self.last_progress_at(name)
                    )
            silent = sum(now - at > STALL_TIMEOUT_S for at in awaited.values())
            self._silences[service] = silent, len(awaited)
        return self._silences[service]

    def _log_kept(self, exchange, why):
        _log(exchange, "exchange kept", age_s=self._age_s(exchange), why=why)

    def _age_s(self, exchange):
        return round(self._clock.monotonic() - exchange.started_at, 2)

    def _interrupt(self, exchange, error, now):
        silent, awaited = self._silence_of_service(exchange.request.service, now)
        _log(
            exchange,
            "exchange interrupted",
            age_s=self._age_s(exchange),
            late_s=round(self._lateness.recent_s(), 3),
            silent=silent,
            awaited=awaited,
            why=error.detail,
        )
        gevent.get_hub().loop.run_callback(
            self._raise_if_awaiting, exchange, exchange.waits, error
        )

    def _raise_if_awaiting(self, exchange, wait, error):
        """Raise an error in an exchange's task if that still awaits its server.

        Called by the event loop, while no task runs. The server may have sent something
        since the interrupt was decided, and the task may be at something else already.
        """
        if exchange.awaiting_server and exchange.waits == wait:
            exchange.awaiting_server = False
            exchange.task.throw(error)
        elif isinstance(error, StalledError):
            self._drop(exchange, error.placement, error.attempt)


def _log(exchange, name, **fields):
    """Log an event of an exchange, with its request, server and group."""
    event(
        name,
        request=exchange.request.request_id,
        peer=exchange.candidate.server,
        group=exchange.candidate.name,
        events=exchange.reads,
        **fields,
    )


def _has_unread(exchange, over_s):
    """Return whether an exchange that is ``over_s`` past a limit may yet be read."""
    return over_s <= MAX_UNREAD_S and exchange.has_unread()


def _is_kept_for_bytes(exchange, waits):
    """Return whether bytes have arrived since the exchange had waited ``waits`` times.

    True once until its next progress: a server may always send something else.
    """
    has_arrived = exchange.waits != waits or exchange.has_unread_bytes()
    is_kept = has_arrived and not exchange.was_kept_for_bytes
    exchange.was_kept_for_bytes |= has_arrived
    return is_kept
