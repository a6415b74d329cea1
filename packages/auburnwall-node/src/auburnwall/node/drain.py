"""Stop a node without cutting off a request.

First no answer names it any more; then it serves through the longest answer that
callers may still hold; then it refuses new requests; then it finishes what runs.
"""

from gevent.event import Event

from auburnwall.base.logs import event, warn

POLL_S = 0.1


class NodeDrain:
    """The planned stop of this node; asking again while it goes on changes nothing."""

    def __init__(self, components):
        self._components = components
        self._begun = False
        self.refusing = False
        self.finished = Event()

    def begin(self):
        """Begin the stop in a task of its own."""
        if self._begun:
            event("stop already under way", step="drain")
            return
        self._begun = True
        self._components.tasks.spawn(self._run)

    def _run(self):
        components, cfg = self._components, self._components.cfg
        event("drain begun", step="drain", running=components.gateway.running())
        components.membership.draining = True
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
        deadline = components.clock.monotonic() + components.cfg.drain_limit_s
        while components.gateway.running():
            if components.clock.monotonic() >= deadline:
                warn(
                    "stopping with requests running",
                    running=components.gateway.running(),
                )
                return
            components.clock.sleep(POLL_S)
