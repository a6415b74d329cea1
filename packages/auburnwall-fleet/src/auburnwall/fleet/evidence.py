"""The last probe results of backend servers, from this node and its peers.

All times are on this node's monotonic clock. A result reported by a peer is dated to
just before the peer was called, minus the age that the peer states. So a result may
seem older than it is, but never newer.
"""

from typing import NamedTuple

from .engines.base import READY, EngineReport

NO_REPORT = EngineReport("", "unknown", 0, "", 0, 0, 0)


class ProbeResult(NamedTuple):
    """A watcher's last probe of a VM.

    ``report`` is the last one received, also if the VM no longer responds.
    ``failing_since`` is when the first of the failed probes was sent, 0 while the VM
    responds. ``seq`` is the watcher's sequence number at the last change.
    """

    vm: str
    watcher: str
    observed_at: float
    reachable: bool
    report: EngineReport
    failing_since: float
    seq: int


class WatcherResults:
    """The probe results of one watcher, with a sequence number for each change.

    ``by_vm`` is an index that all ``WatcherResults`` share: it maps a VM to those that
    hold a result for it.
    """

    def __init__(self, watcher, incarnation, by_vm):
        self.watcher = watcher
        self.incarnation = incarnation
        self.seq = 0
        self.results = {}
        self._by_vm = by_vm
        self._unwatched = {}  # VM -> sequence number of its removal
        self._confirmed_at = 0.0

    def record_probe(self, vm, observed_at, report, failing_since=0.0):
        """Record a probe; ``report`` is ``None`` if the VM did not respond."""
        old = self.results.get(vm)
        reachable = report is not None
        report = report or (old.report if old else NO_REPORT)
        known = (old.reachable, old.report, old.failing_since) if old else None
        changed = known != (reachable, report, failing_since)
        self.seq += changed
        seq = self.seq if changed else old.seq
        self._unwatched.pop(vm, None)
        self._put(
            ProbeResult(
                vm, self.watcher, observed_at, reachable, report, failing_since, seq
            )
        )

    def unwatch(self, vm):
        """Remove the result of ``vm``, which is no longer watched."""
        if vm in self.results:
            self._remove(vm)
            self.seq += 1
            self._unwatched[vm] = self.seq

    def clear(self):
        """Remove all results."""
        for vm in list(self.results):
            self._remove(vm)

    def max_age_s(self, now):
        """Return the age of the oldest result in seconds, 0 without results."""
        return now - min(
            (result.observed_at for result in self.results.values()), default=now
        )

    def changes_after(self, seq):
        """Return the results that changed and the VMs unwatched after ``seq``."""
        changed = [result for result in self.results.values() if result.seq > seq]
        unwatched = [
            vm for vm, removal_seq in self._unwatched.items() if removal_seq > seq
        ]
        return changed, unwatched

    def apply_changes(self, confirmed_at, changed, unwatched, seq):
        """Apply what a peer reports.

        The results that are not in ``changed`` were unchanged at ``confirmed_at``.
        """
        for vm in unwatched:
            self._remove(vm)
        for result in changed:
            self._put(result)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        self.seq = seq

    def result(self, vm):
        """Return the result for ``vm``, dated to the last time it was confirmed."""
        found = self.results[vm]
        if found.observed_at >= self._confirmed_at:
            return found
        return found._replace(observed_at=self._confirmed_at)

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
    """The probe results of this node and its peers.

    ``own_results`` holds the VMs assigned to this node, which it probes periodically
    and reports to its peers. ``single_probes`` holds single probes of other VMs, which
    are not reported. Results older than ``fresh_s`` seconds are not used.
    """

    def __init__(self, node, incarnation, clock, fresh_s):
        self._by_vm = {}
        self.own_results = WatcherResults(node, incarnation, self._by_vm)
        self.single_probes = WatcherResults(node, incarnation, self._by_vm)
        self._clock = clock
        self._fresh_s = fresh_s
        self._peers = {}

    def ensure_peer_results(self, node, incarnation):
        """Return the results of a peer.

        If the incarnation is new, discards the earlier results and begins without any.
        """
        watcher_results = self._peers.get(node)
        if watcher_results is None or watcher_results.incarnation != incarnation:
            self._remove_peer(node)
            watcher_results = self._peers[node] = WatcherResults(
                node, incarnation, self._by_vm
            )
        return watcher_results

    def known_peer_results(self, node):
        """Return the results of a peer, or ``None``."""
        return self._peers.get(node)

    def retain_peers(self, nodes):
        """Remove the results of all peers but ``nodes``."""
        for node in [node for node in self._peers if node not in nodes]:
            self._remove_peer(node)

    def discard_all(self):
        """Discard all results, as is needed after this process was paused."""
        self.retain_peers(())
        self.single_probes.clear()
        # Peers are told of these removals, unlike those of single probes.
        for vm in list(self.own_results.results):
            self.own_results.unwatch(vm)

    def fresh(self, vm):
        """Return the fresh results for ``vm``, the newest first."""
        cutoff = self._clock.monotonic() - self._fresh_s
        found = [
            watcher_results.result(vm) for watcher_results in self._by_vm.get(vm, ())
        ]
        fresh = [result for result in found if result.observed_at >= cutoff]
        fresh.sort(key=lambda result: -result.observed_at)
        return fresh

    def _remove_peer(self, node):
        watcher_results = self._peers.pop(node, None)
        if watcher_results is not None:
            watcher_results.clear()

    def report(self, vm):
        """Return the newest fresh report of a reachable VM, or ``None``."""
        return next(
            (result.report for result in self.fresh(vm) if result.reachable), None
        )

    def report_if_ready(self, vm, generation):
        """Return the report if the VM is ready at ``generation``, or ``None``.

        All fresh results in which it is reachable must agree: one that shows another
        state or generation is enough to take the VM out of service. Of several reports,
        returns the one with the smallest ``bears``: the most cautious figure of how
        many requests the VM can take.
        """
        reports = [result.report for result in self.fresh(vm) if result.reachable]
        ready = bool(reports) and all(
            r.state == READY and r.generation == generation for r in reports
        )
        return min(reports, key=lambda r: r.bears) if ready else None

    def dead_for(self, vm, witnesses):
        """Return for how many seconds ``vm`` has been dead, 0 if it is not.

        At least ``witnesses`` watchers must have fresh results for it, and in none of
        these may it be reachable. Counts from the latest of their first failed probes.
        """
        results = self.fresh(vm)
        watchers = {result.watcher for result in results}
        if len(watchers) < witnesses or any(result.reachable for result in results):
            return 0.0
        return self._clock.monotonic() - max(result.failing_since for result in results)
