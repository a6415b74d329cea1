"""What this node and its peers last saw of backend servers, and how old it is.

Every moment here is on this node's monotonic clock. What a peer tells is dated from
just before the peer was asked, less the age that the peer gave, so that no evidence
is ever taken to be younger than it is.
"""

from typing import NamedTuple

from .engines.base import READY, EngineReport

NO_REPORT = EngineReport("", "unknown", 0, "", 0, 0, 0)


class ProbeResult(NamedTuple):
    """One watcher's last probe of one VM; ``failing_since`` is 0 while it answers."""

    vm: str
    watcher: str
    seen_at: float
    reachable: bool
    report: EngineReport
    failing_since: float
    seq: int


class WatcherResults:
    """Sightings of one watcher, with a sequence number for each change.

    ``by_vm`` is an index that all watches share: the watches that have seen a VM.
    """

    def __init__(self, watcher, incarnation, by_vm):
        self.watcher = watcher
        self.incarnation = incarnation
        self.seq = 0
        self.results = {}
        self._by_vm = by_vm
        self._forgotten = {}
        self._confirmed_at = 0.0

    def probed(self, vm, seen_at, report, failing_since=0.0):
        """Note a probe; ``report`` is ``None`` if the VM did not answer."""
        old = self.results.get(vm)
        reachable = report is not None
        report = report or (old.report if old else NO_REPORT)
        known = (old.reachable, old.report, old.failing_since) if old else None
        changed = known != (reachable, report, failing_since)
        self.seq += changed
        seq = self.seq if changed else old.seq
        self._forgotten.pop(vm, None)
        self._put(
            ProbeResult(
                vm, self.watcher, seen_at, reachable, report, failing_since, seq
            )
        )

    def forget(self, vm):
        """Stop watching ``vm``."""
        if vm in self.results:
            self._remove(vm)
            self.seq += 1
            self._forgotten[vm] = self.seq

    def clear(self):
        """Take all sightings back."""
        for vm in list(self.results):
            self._remove(vm)

    def oldest(self, now):
        """Return the age of the oldest probe among those watched."""
        return now - min((s.seen_at for s in self.results.values()), default=now)

    def changes_after(self, seq):
        """Return sightings and forgotten VMs that changed after ``seq``."""
        changed = [s for s in self.results.values() if s.seq > seq]
        forgotten = [vm for vm, at in self._forgotten.items() if at > seq]
        return changed, forgotten

    def refresh(self, confirmed_at, changed, forgotten, seq):
        """Take a peer's word: all but ``changed`` were as they are at that moment."""
        for vm in forgotten:
            self._remove(vm)
        for result in changed:
            self._put(result)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self.seq = seq

    def result(self, vm):
        """Return the sighting of ``vm``, dated by its latest confirmation."""
        found = self.results[vm]
        if found.seen_at >= self._confirmed_at:
            return found
        return found._replace(seen_at=self._confirmed_at)

    def _put(self, result):
        if result.vm not in self.results:
            self._by_vm.setdefault(result.vm, []).append(self)
        self.results[result.vm] = result

    def _remove(self, vm):
        if self.results.pop(vm, None):
            self._by_vm[vm].remove(self)
            if not self._by_vm[vm]:
                del self._by_vm[vm]


class Evidence:
    """All watches, this node's own and its peers'.

    ``own`` holds the VMs that fall to this node, which it probes all the time and
    tells its peers of; ``looks`` holds single probes of other VMs, which it does not.
    """

    def __init__(self, node, incarnation, clock, fresh_s):
        self._by_vm = {}
        self.own = WatcherResults(node, incarnation, self._by_vm)
        self.looks = WatcherResults(node, incarnation, self._by_vm)
        self._clock = clock
        self._fresh_s = fresh_s
        self._peers = {}

    def peer(self, node, incarnation):
        """Return the watch of a peer, an empty one if the incarnation is new."""
        watcher_results = self._peers.get(node)
        if watcher_results is None or watcher_results.incarnation != incarnation:
            self._drop(node)
            watcher_results = self._peers[node] = WatcherResults(
                node, incarnation, self._by_vm
            )
        return watcher_results

    def known_peer(self, node):
        """Return the watch of a peer if there is one."""
        return self._peers.get(node)

    def keep_peers(self, nodes):
        """Forget peers that have left."""
        for node in [node for node in self._peers if node not in nodes]:
            self._drop(node)

    def forget_all(self):
        """Trust nothing seen so far, as after a pause."""
        self.keep_peers(())
        self.looks.clear()
        for vm in list(self.own.results):
            self.own.forget(vm)

    def fresh(self, vm):
        """Return the fresh sightings of ``vm``, the newest first."""
        floor = self._clock.monotonic() - self._fresh_s
        found = [
            watcher_results.result(vm) for watcher_results in self._by_vm.get(vm, ())
        ]
        fresh = [result for result in found if result.seen_at >= floor]
        fresh.sort(key=lambda result: -result.seen_at)
        return fresh

    def _drop(self, node):
        watcher_results = self._peers.pop(node, None)
        if watcher_results is not None:
            watcher_results.clear()

    def report(self, vm):
        """Return the newest fresh report of a VM that answers, or ``None``."""
        return next((s.report for s in self.fresh(vm) if s.reachable), None)

    def ready_at(self, vm, generation):
        """Return the report if the VM is ready at ``generation``, or ``None``.

        All fresh sightings by watchers that reach it must agree, so that one that
        has seen it turn cold or change hands is enough to take it out.
        """
        reports = [s.report for s in self.fresh(vm) if s.reachable]
        ready = bool(reports) and all(
            r.state == READY and r.generation == generation for r in reports
        )
        return min(reports, key=lambda r: r.bears) if ready else None

    def dead_for(self, vm, witnesses):
        """Return for how long ``vm`` has been dead by all fresh accounts, else 0.

        At least ``witnesses`` watchers must have failed to reach it and none may
        have reached it.
        """
        results = self.fresh(vm)
        watchers = {result.watcher for result in results}
        if len(watchers) < witnesses or any(s.reachable for s in results):
            return 0.0
        return self._clock.monotonic() - max(s.failing_since for s in results)
