"""Stop a routed node without cutting off a request.

At once it is named to callers no more and says that it is not ready, while it serves on
through the longest answer of the directory that callers keep, as far as the grace time
allows. Then it refuses what is new, and it ends when nothing runs, before it would be
killed.
"""

from gevent.event import Event

from auburnwall.base.logs import event, warn
from auburnwall.state.exceptions import StateError

POLL_S = 0.05
# Callers keep an answer of the directory for up to three times what it says.
HOLDS = 3
# Part of the grace time in which requests are still taken. What is taken at its end has
# the rest to finish: the longest streams under load take half of the grace time.
TAKING_SHARE = 0.36
# Part of the grace time after which the node ends whatever still runs.
END_SHARE = 0.93
# Time without any request after which nobody is taken to come any more, in seconds.
QUIET_S = 1.5


class GracefulShutdown:
    """The planned stop of a node."""

    def __init__(self, gateway, writer, clock, cfg, tasks):
        self.finished = Event()
        self._gateway = gateway
        self._writer = writer
        self._clock = clock
        self.cfg = cfg
        self._tasks = tasks

    def begin(self):
        """Begin the stop in a task of its own; asking again changes nothing."""
        if self._gateway.stop_begun:
            event("stop already under way", step="stop")
            return
        self._gateway.stop_begun = True
        self._tasks.spawn(self._run)

    def _run(self):
        gateway, cfg = self._gateway, self.cfg
        began_at = self._clock.monotonic()
        event("stop begun", running=gateway.running, grace_s=cfg.grace_s)
        self._tasks.spawn(self._withdraw)
        taking_s = min(HOLDS * cfg.entry_hold_s, TAKING_SHARE * cfg.grace_s)
        end_at = began_at + END_SHARE * cfg.grace_s
        while self._clock.monotonic() < end_at:
            now = self._clock.monotonic()
            gateway.refusing = now - began_at >= taking_s
            quiet_s = now - max(gateway.idle_since, began_at)
            if not gateway.running and (gateway.refusing or quiet_s >= QUIET_S):
                break
            self._clock.sleep(POLL_S)
        if gateway.running:
            warn("stopping with requests running", running=gateway.running)
        event("stop finished", running=gateway.running)
        self.finished.set()

    def _withdraw(self):
        try:
            self._writer.withdraw()
        except StateError as exc:
            warn("leave not recorded", step=exc.step, why=exc.detail)
