"""Probe the backend servers that are assigned to this node."""

from auburnwall.base.logs import event
from auburnwall.base.rendezvous import score

from .exceptions import EngineError, VmListUnavailableError


def watchers_of(entry, nodes, count):
    """Return the names of the ``count`` nodes that probe a VM.

    Nodes of the VM's own data centre are preferred, then those with the highest
    rendezvous hash.
    """
    ranking = sorted(
        nodes,
        key=lambda node: (
            node.data_center != entry.data_center,
            -score(entry.name, node.name),
        ),
    )
    return [node.name for node in ranking[:count]]


class Roster:
    """The last copy of the platform's VM list.

    An old copy stays in use while the list cannot be read.
    """

    def __init__(self, vm_list):
        self._vm_list = vm_list
        self.entries = {}

    def refresh(self):
        """Read the list; keep the old copy if that fails."""
        try:
            self.entries = self._vm_list.fetch()
        except VmListUnavailableError as exc:
            event(
                "VM list could not be read",
                step=exc.step,
                peer=exc.peer,
                why=exc.detail,
            )

    def is_leaving(self, vm):
        """Return whether ``vm`` is leaving or no longer on the list.

        Returns ``False`` as long as the list was never read.
        """
        if not self.entries:
            return False
        entry = self.entries.get(vm)
        return entry is None or entry.leaving

    def address(self, vm):
        """Return the address of ``vm``, or ``None`` if it is not on the list."""
        entry = self.entries.get(vm)
        return entry.address if entry else None


class Prober:
    """Run one probing task for each VM that is assigned to this node."""

    def __init__(self, node, roster, follower, evidence, engine, clock, cfg):
        self._node = node
        self._roster = roster
        self._follower = follower
        self._watcher_results = evidence.own_results
        self._evidence = evidence
        self._engine = engine
        self._clock = clock
        self._cfg = cfg
        self._probe_tasks = {}

    def follow_vm_list(self, tasks):
        """Start and stop probing tasks to match the VM list and the membership."""
        assigned = self.assigned_vms()
        for vm in assigned - self._probe_tasks.keys():
            self._probe_tasks[vm] = tasks.spawn(self._probe_loop, vm)
        for vm in self._probe_tasks.keys() - assigned:
            self._probe_tasks.pop(vm).kill(block=False)
            self._watcher_results.unwatch(vm)

    def assigned_vms(self):
        """Return the names of the VMs that this node probes."""
        nodes = list(self._follower.state.nodes.values())
        return {
            entry.name
            for entry in self._roster.entries.values()
            if self._node in watchers_of(entry, nodes, self._cfg.watchers)
        }

    def probe_once(self, vm):
        """Probe ``vm`` once; the result is not reported to peers."""
        self._probe(vm, self._evidence.single_probes)

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
            watcher_results.record_probe(vm, asked_at, None, failing_since or asked_at)
            return
        watcher_results.record_probe(vm, asked_at, report)

    def _probe_loop(self, vm):
        while True:
            self._probe(vm, self._watcher_results)
            self._clock.sleep(self._cfg.probe_s)
