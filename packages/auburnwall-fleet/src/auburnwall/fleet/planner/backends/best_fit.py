"""Mend in place, spread over data centres and leave few VMs over."""

from collections import Counter

from ..base import Planner, by_domain


class BestFitPlanner(Planner):
    """Place where the selector has fewest groups and the remainder is smallest."""

    def place(self, selector, size, free, filling):
        """Return VMs of the domain that suits best.

        Data centres with fewer groups of the selector go first; among their domains
        the one in which forming the group strands fewest VMs; then the one with the
        fewest free VMs, which keeps large blocks whole.
        """
        spread = Counter(group.data_center for group in filling)
        candidates = [
            (spread[data_center], len(vms) % size, len(vms), (data_center, domain))
            for (data_center, domain), vms in by_domain(free).items()
            if len(vms) >= size
        ]
        if not candidates:
            return None
        vms = by_domain(free)[min(candidates)[-1]]
        return sorted(vms, key=_cold_last)[:size]

    def repair(self, group, whole, missing, free):
        """Return free VMs of the members' own fabric domain."""
        domains = {(vm.data_center, vm.fabric_domain) for vm in whole}
        if len(domains) != 1:
            return None
        near = [vm for vm in free if (vm.data_center, vm.fabric_domain) in domains]
        near.sort(key=_cold_last)
        return near[: len(missing)] if len(near) >= len(missing) else None


def _cold_last(vm):
    """Order VMs that have weights already before those that must fetch them."""
    return not vm.version, vm.name
