"""Graceful shutdown of a routed node.

When the shutdown starts, the node reports that it is not ready, and the directory stops
naming it. The node still accepts requests until the directory responses that callers
use have expired, as far as the grace time allows. Then it refuses new requests and
exits when no request is running. It exits earlier if it has had no request for
``IDLE_S``, and in any case before the grace time ends and it is killed.
"""

from gevent.event import Event

from auburnwall.base.logs import event, warn
from auburnwall.state.exceptions import StateError

# Interval at which the running requests are checked, in seconds.
POLL_S = 0.05
# Callers use a directory response for up to this many times its hold time. The node
# accepts requests for that long.
ENTRY_HOLDS = 3
# Maximum fraction of the grace time in which requests are still accepted. Requests
# accepted last finish in the rest: the longest streams under load take half of the
# grace time.
ACCEPT_SHARE = 0.36
# Fraction of the grace time after which the node exits although requests are running.
END_SHARE = 0.93
# Time that the exit has at least, in seconds.
MIN_EXIT_S = 0.25
# Time before the exit from which on requests without a response get an error, so that
# it can still be written, as a fraction of the grace time.
ANSWER_SHARE = 0.08
# Time without a running request after which no more are expected, in seconds.
IDLE_S = 1.5


class GracefulShutdown:
    """The graceful shutdown of a node; ``finished`` is set at its end.

    ``log_cut_off()`` logs the requests that still run then.
    """

    def __init__(self, gateway, writer, clock, cfg, tasks):
        self.finished = Event()
        self.log_cut_off = lambda: None
        self._gateway = gateway
        self._writer = writer
        self._clock = clock
        self.cfg = cfg
        self._tasks = tasks

    def begin(self):
        """Start the shutdown in a new task; further calls have no effect."""
        if self._gateway.stop_begun:
            event("stop already in progress", step="stop")
            return
        self._gateway.stop_begun = True
        self._tasks.spawn(self._run)

    def _run(self):
        gateway, cfg = self._gateway, self.cfg
        began_at = self._clock.monotonic()
        event("stop begun", running=gateway.running, grace_s=cfg.grace_s)
        self._tasks.spawn(self._withdraw)
        accept_s = min(ENTRY_HOLDS * cfg.entry_hold_s, ACCEPT_SHARE * cfg.grace_s)
        end_at = began_at + min(END_SHARE * cfg.grace_s, cfg.grace_s - MIN_EXIT_S)
        gateway.stop_time.begin(end_at - ANSWER_SHARE * cfg.grace_s, end_at)
        while (now := self._clock.monotonic()) < end_at:
            gateway.refusing = now - began_at >= accept_s
            idle_s = now - max(gateway.idle_since, began_at)
            if not gateway.running and (gateway.refusing or idle_s >= IDLE_S):
                break
            gateway.stop_time.end_late_waits()
            self._clock.sleep(min(POLL_S, end_at - now))
        gateway.refusing = True
        if gateway.running:
            warn("stopping with requests running", running=gateway.running)
            self.log_cut_off()
        event("stop finished", running=gateway.running)
        self.finished.set()

    def _withdraw(self):
        try:
            self._writer.withdraw()
        except StateError as exc:
            warn("leave not recorded", step=exc.step, why=exc.detail)
