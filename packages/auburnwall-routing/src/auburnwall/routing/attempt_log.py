"""What the attempts at one request tell: log lines, and the times of its response."""

from auburnwall.base.logs import event


class AttemptLog:
    """Logs the attempts at one request, and measures when its events are passed on."""

    def __init__(self, deps, request):
        self._deps = deps
        self._request = request
        self._first_event_s = None
        self._last_events_at = request.call.arrived_at
        self._longest_pause_s = 0.0

    def write(self, attempt, name, **fields):
        """Log an event of an attempt with its request, server and group."""
        candidate = attempt.candidate
        event(
            name,
            request=self._request.request_id,
            peer=candidate.server,
            group=candidate.name,
            **fields,
        )

    def note_placed(self, attempt, placement, number):
        """Log an attempt that begins, the request's ``number``-th."""
        request, resume_at = self._request, attempt.resume_at
        waited_s = self._deps.clock.monotonic() - request.call.arrived_at
        self.write(
            attempt,
            "request placed",
            model=request.model or None,
            offer=number,
            running=placement.load,
            waited_s=round(waited_s, 3),
            resume_after=resume_at.id_text if resume_at else None,
            detour=attempt.is_detour or None,
            forwarded_by=request.forwarded_by or None,
        )

    def note_events(self, attempt):
        """Record the time to the first event and the longest pause between events."""
        now = self._deps.clock.monotonic()
        if self._first_event_s is None:
            self._record_start(attempt, now)
            self._first_event_s = now - self._request.call.arrived_at
        else:
            pause_s = now - self._last_events_at
            if pause_s > self._longest_pause_s:
                self._longest_pause_s = pause_s
        self._last_events_at = now

    def note_response(self, attempt, event_name, attempt_count):
        """Log the end of a request that got a complete response."""
        exchange, now = attempt.exchange, self._deps.clock.monotonic()
        if not exchange.reads:
            self._record_start(attempt, now)
        self.write(
            attempt,
            f"request {event_name}",
            status=attempt.status,
            events=exchange.reads,
            offers=attempt_count,
            first_s=self._first_event_s and round(self._first_event_s, 3),
            longest_pause_s=round(self._longest_pause_s, 3),
            took_s=round(now - self._request.call.arrived_at, 3),
        )

    def note_failure(self, attempt, exc):
        """Log a failed attempt, with this node's other requests at the server."""
        self.write(
            attempt,
            "attempt failed",
            why=exc.detail,
            step=exc.step,
            events=attempt.exchange.reads,
            fingerprint=self._request.fingerprint,
            parts=self._request.shared_parts,
            others=self._deps.in_flight.count_others(attempt.exchange),
        )

    def _record_start(self, attempt, now):
        """Record how long the server took until ``now``, the start of its response.

        The time of a detour, which may include a wait for a slot, does not count.
        """
        if attempt.is_detour:
            return
        request = self._request
        took_s = now - attempt.exchange.started_at
        self._deps.time_to_start.record(request.service, request.model, took_s)
