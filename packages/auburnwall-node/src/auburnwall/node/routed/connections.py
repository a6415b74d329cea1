"""The connections of callers and the requests that run on them.

They tell, for a request that ended without a whole response, who ended it, what it was
at and how much of its response the caller had got.
"""

from contextlib import contextmanager
from heapq import nsmallest

import gevent

from auburnwall.base.logs import warn

from .start_stages import FIRST_REQUEST_PLACED

# What a running request is at; the steps of its lines.
READ_BODY = "read body"
PLACE = "place"
AWAIT_SERVER = "await server"
WRITE = "write to caller"
# Why a connection was closed; the values of the metric.
IDLE_TIMEOUT = "idle timeout"
CALLER_CLOSED = "caller closed"
BAD_HEAD = "bad head"
STOPPING = "stopping"
LAST_RESPONSE = "last response"
UNFINISHED = "unfinished"
# Maximum number of lines about the requests that a stop cuts off.
MAX_CUT_OFF_LINES = 50


class RunningRequest:
    """A caller's request from the end of its head to the end of its response.

    ``request_id`` is empty until it is known. ``step`` is what it is at. Its response
    must be written by ``write_by`` on the monotonic clock, ``None`` without a limit.
    ``task`` serves it.
    """

    def __init__(self, handler, clock):
        self.request_id = ""
        self.step = READ_BODY
        self.write_by = None
        self.began_at = clock.monotonic()
        self.task = gevent.getcurrent()
        self._handler = handler
        self._clock = clock

    def fields(self):
        """Return the fields of a log line about the request's end.

        ``sent_bytes`` counts what was given to the caller's connection, with head and
        framing, without a write that has not ended. The age is in seconds.
        """
        return {
            "sent_bytes": self._handler.response_length,
            "age_s": round(self._clock.monotonic() - self.began_at, 3),
        }


class CallerConnections:
    """Counts the connections of callers and keeps the requests that run on them.

    ``open_count`` is the number of open connections.
    """

    def __init__(self, clock, metrics):
        self.open_count = 0
        self._clock = clock
        self._metrics = metrics
        self._running = {}

    @contextmanager
    def connection(self, handler):
        """Count the connection of a handler, and at the end its ``close_reason``."""
        self.open_count += 1
        try:
            yield
        finally:
            self.open_count -= 1
            self._metrics.record_connection_closed(handler.close_reason)

    @contextmanager
    def request(self, handler):
        """Keep a request that the current task serves; return a ``RunningRequest``."""
        task = gevent.getcurrent()
        request = self._running[task] = RunningRequest(handler, self._clock)
        try:
            yield request
        finally:
            del self._running[task]

    def current(self):
        """Return the request that the current task serves, or ``None``."""
        return self._running.get(gevent.getcurrent())

    def log_cut_off(self):
        """Log each request that still runs when the node stops, the oldest first."""
        running = self._running.values()
        oldest = nsmallest(MAX_CUT_OFF_LINES, running, key=lambda r: r.began_at)
        for request in oldest:
            warn(
                "request cut off",
                request=request.request_id,
                step=request.step,
                by="node",
                why="stop",
                **request.fields(),
            )
        if len(running) > len(oldest):
            warn("more requests cut off", step="stop", count=len(running) - len(oldest))


class StepTrackingPlacer:
    """A placer that sets the step of the request to which it gives a place.

    The first one is a stage of the node's start.
    """

    def __init__(self, placer, connections, stages):
        self._placer = placer
        self._connections = connections
        self._stages = stages

    def __getattr__(self, name):
        return getattr(self._placer, name)

    def place(self, *args, **kwargs):
        """Return what the placer returns; after an error the step stays."""
        if (running := self._connections.current()) is None:
            return self._placer.place(*args, **kwargs)
        running.step = PLACE
        placement = self._placer.place(*args, **kwargs)
        self._stages.note(FIRST_REQUEST_PLACED)
        running.step = AWAIT_SERVER
        return placement
