"""Exchanges under way at this node: counts, progress, and those that stand still.

Load pattern: a group whose member has died goes on accepting requests, and nothing
moves in it. The first sign is that events stop on all of its streams at once.
"""

import gevent

from auburnwall.base.exceptions import AuburnwallError
from auburnwall.base.logs import event

# Time between two looks at what stands still.
LOOK_S = 0.05
# A look that comes later than this tells of this node and not of the servers.
OWN_LAG_S = 0.15
# Silence of a stream's group that counts as standing still: several times the longest
# usual pause, a step in which a long prompt is read. The group gets nothing more.
STILL_S = 0.35
# Further silence after which a request goes on elsewhere. Its answer is late by then
# whatever is done; a group that is only slow finishes it with less work than another
# one that has to read the prompt again.
MOVE_AFTER_S = 0.45
# The same before the first event, on top of the time that reading the prompt takes.
FIRST_STILL_S = 0.6
# Time for which progress is remembered, in seconds: longer than any doubt.
PROGRESS_S = 30.0


class StalledError(AuburnwallError):
    """The group makes no progress; the request may go on elsewhere."""


class OutOfTimeError(AuburnwallError):
    """The time that the route or the caller gives has passed."""


class Exchange:
    """One request at one candidate; ``reading`` while it waits for the server."""

    def __init__(self, request, candidate, now):
        self.request = request
        self.candidate = candidate
        self.began_at = now
        self.progress_at = now
        self.events = 0
        self.reading = False
        self.movable = False
        self.patience_s = FIRST_STILL_S
        self.task = gevent.getcurrent()

    def note_event(self, now):
        """Record that bytes of the answer have come."""
        self.events += 1
        self.progress_at = now
        self.patience_s = STILL_S


class InFlightRequests:
    """All exchanges of this node. ``suspect`` is told the name of a still candidate."""

    def __init__(self, clock, suspect):
        self.running = {}
        self._clock = clock
        self.suspect = suspect
        self._exchanges = set()
        self._progress = {}

    def count(self, name):
        """Return this node's requests at a candidate."""
        return self.running.get(name, 0)

    def __len__(self):
        return len(self._exchanges)

    def last_progress_at(self, name):
        """Return when a candidate was last seen to move, 0 if not lately."""
        return self._progress.get(name, 0.0)

    def begin(self, request, candidate):
        """Count an exchange that begins and return it."""
        exchange = Exchange(request, candidate, self._clock.monotonic())
        self._exchanges.add(exchange)
        return exchange

    def end(self, exchange):
        """Forget an exchange."""
        self._exchanges.discard(exchange)

    def reserve(self, name):
        """Count a request that is to go to a candidate."""
        self.running[name] = self.running.get(name, 0) + 1

    def release(self, name):
        """Count a request less at a candidate."""
        left = self.running[name] - 1
        if left:
            self.running[name] = left
        else:
            del self.running[name]

    def note_event(self, exchange):
        """Record progress of an exchange and so of its candidate."""
        now = self._clock.monotonic()
        exchange.note_event(now)
        self._progress[exchange.candidate.name] = now

    def watch(self):
        """Look for what stands still or is out of time, for ever."""
        expected = self._clock.monotonic() + LOOK_S
        while True:
            self._clock.sleep(LOOK_S)
            now = self._clock.monotonic()
            if now - expected > OWN_LAG_S:
                self._forgive(now)
            expected = now + LOOK_S
            self.check_progress(now)

    def check_progress(self, now):
        """Interrupt the exchanges that are out of time or can go on elsewhere."""
        self._progress = {
            name: at for name, at in self._progress.items() if now - at < PROGRESS_S
        }
        for exchange in list(self._exchanges):
            if not exchange.reading:
                continue
            if now >= exchange.request.deadline:
                self._interrupt(exchange, OutOfTimeError("out of time", step="wait"))
                continue
            last_progress_at = self.last_progress_at(exchange.candidate.name)
            silent_s = now - max(exchange.progress_at, last_progress_at)
            if silent_s > exchange.patience_s:
                self.suspect(exchange.candidate.name)
            if exchange.movable and silent_s > exchange.patience_s + MOVE_AFTER_S:
                detail = f"no progress for {now - exchange.progress_at:.2f} s"
                self._interrupt(exchange, StalledError(detail, step="wait"))

    def _interrupt(self, exchange, error):
        exchange.reading = False
        event(
            "exchange interrupted",
            request=exchange.request.request_id,
            peer=exchange.candidate.server,
            group=exchange.candidate.name,
            events=exchange.events,
            age_s=round(self._clock.monotonic() - exchange.began_at, 2),
            why=error.detail,
        )
        exchange.task.kill(error, block=False)

    def _forgive(self, now):
        """Let no server answer for a time in which this node did not run."""
        for exchange in self._exchanges:
            exchange.progress_at = now
