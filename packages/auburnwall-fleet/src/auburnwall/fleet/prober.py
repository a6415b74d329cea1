"""Probe the backend servers that fall to this node."""

from auburnwall.base.logs import event
from auburnwall.base.rendezvous import score

from .exceptions import EngineError, VmListUnavailableError


def watchers_of(entry, nodes, count):
    """Return the names of the nodes that watch a VM, its own data centre first."""
    ranking = sorted(
        nodes,
        key=lambda node: (
            node.data_center != entry.data_center,
            -score(entry.name, node.name),
        ),
    )
    return [node.name for node in ranking[:count]]


class Roster:
    """The platform's VM list as last read; an old copy is better than none."""

    def __init__(self, vm_list):
        self._vm_list = vm_list
        self.entries = {}

    def refresh(self):
        """Read the list again; keep the old copy if it cannot be read."""
        try:
            self.entries = self._vm_list.fetch()
        except VmListUnavailableError as exc:
            event("VM list not read", step=exc.step, peer=exc.peer, why=exc.detail)

    def is_leaving(self, vm):
        """Return whether the list says that ``vm`` is leaving or no longer there.

        A list that was never read says nothing.
        """
        if not self.entries:
            return False
        entry = self.entries.get(vm)
        return entry is None or entry.leaving

    def address(self, vm):
        """Return the address of ``vm``, or ``None`` if the list does not name it."""
        entry = self.entries.get(vm)
        return entry.address if entry else None


class Prober:
    """Keep one probing task for each VM that falls to this node."""

    def __init__(self, node, roster, follower, evidence, engine, clock, cfg):
        self._node = node
        self._roster = roster
        self._follower = follower
        self._watcher_results = evidence.own
        self._evidence = evidence
        self._engine = engine
        self._clock = clock
        self._cfg = cfg
        self._watching = {}

    def follow_list(self, tasks):
        """Start and stop probing tasks as the list and the membership change."""
        wanted = self.wanted()
        for vm in wanted - self._watching.keys():
            self._watching[vm] = tasks.spawn(self._probe_loop, vm)
        for vm in self._watching.keys() - wanted:
            self._watching.pop(vm).kill(block=False)
            self._watcher_results.forget(vm)

    def wanted(self):
        """Return the VMs that fall to this node."""
        nodes = list(self._follower.state.nodes.values())
        return {
            entry.name
            for entry in self._roster.entries.values()
            if self._node in watchers_of(entry, nodes, self._cfg.watchers)
        }

    def look(self, vm):
        """Probe ``vm`` once for this node's own use."""
        self._probe(vm, self._evidence.looks)

    def _probe(self, vm, watcher_results):
        entry = self._roster.entries.get(vm)
        if entry is None:
            return
        asked_at = self._clock.monotonic()
        try:
            report = self._engine.report(entry.address)
        except EngineError:
            old = watcher_results.results.get(vm)
            failing_since = old.failing_since if old else 0.0
            watcher_results.probed(vm, asked_at, None, failing_since or asked_at)
            return
        watcher_results.probed(vm, asked_at, report)

    def _probe_loop(self, vm):
        while True:
            self._probe(vm, self._watcher_results)
            self._clock.sleep(self._cfg.probe_s)
