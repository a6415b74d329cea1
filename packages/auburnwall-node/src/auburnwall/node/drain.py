"""Graceful shutdown of a node.

When the shutdown starts, the node is no longer named as an entry point. It still
accepts requests until the lists of entry points that callers hold have expired. Then it
refuses new requests and leaves the membership. It stops when no request is running, or
after ``drain_limit_s``. Requests without an answer by then get one just before.
"""

from gevent.event import Event

from auburnwall.base.logs import event, warn
from auburnwall.routing.stop_time import StopTime

# Interval at which the running requests are checked, in seconds.
POLL_INTERVAL_S = 0.1
# Time before the end in which the last answers are written: in seconds, and at most
# this fraction of ``drain_limit_s``.
MAX_ANSWER_S, MAX_ANSWER_FRACTION = 1.0, 0.2


class NodeDrain:
    """The graceful shutdown of this node.

    ``refusing`` is true once new requests are refused; ``finished`` is set at the end.
    ``stop_time`` is what the shutdown leaves to requests.
    """

    def __init__(self, components):
        self._components = components
        self._started = False
        self.refusing = False
        self.finished = Event()
        self.stop_time = StopTime(components.clock)

    def begin(self):
        """Start the shutdown in a new task; further calls have no effect."""
        if self._started:
            event("stop already in progress", step="drain")
            return
        self._started = True
        self._components.tasks.spawn(self._run)

    def _run(self):
        components, cfg = self._components, self._components.cfg
        event("drain started", step="drain", running=components.gateway.running())
        components.membership.draining = True
        # Peers may list this node as an entry point for ``fresh_s`` after this, and
        # callers may keep such a list for ``entry_hold_s``.
        components.clock.sleep(cfg.entry_hold_s + cfg.fresh_s)
        self.refusing = True
        for controller in components.controllers.values():
            controller.release()
        components.membership.leave()
        self._wait_for_running()
        event("drain finished", step="drain", running=components.gateway.running())
        self.finished.set()

    def _wait_for_running(self):
        components = self._components
        limit_s = components.cfg.drain_limit_s
        deadline = components.clock.monotonic() + limit_s
        answer_s = min(MAX_ANSWER_S, MAX_ANSWER_FRACTION * limit_s)
        self.stop_time.begin(deadline - answer_s, deadline)
        while components.gateway.running():
            self.stop_time.end_late_waits()
            if components.clock.monotonic() >= deadline:
                warn(
                    "stopping with requests running",
                    running=components.gateway.running(),
                )
                return
            components.clock.sleep(POLL_INTERVAL_S)
