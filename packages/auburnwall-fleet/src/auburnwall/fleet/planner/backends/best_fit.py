"""Spread groups over data centres, leave few VMs unused and repair broken groups."""

from collections import Counter

from ..base import Planner, by_data_center_and_domain


class BestFitPlanner(Planner):
    """Spread a selector's groups over data centres and leave few VMs unused.

    A group that has lost members is repaired within its fabric domain.
    """

    def place(self, selector, size, free, existing):
        """Return VMs of the best fabric domain, those that hold weights first.

        Prefers data centres with fewer groups of the selector; then the domain in which
        dividing the free VMs into groups leaves the fewest over; then the one with the
        fewest free VMs, so that large blocks stay available.
        """
        group_counts = Counter(group.data_center for group in existing)
        candidates = [
            (
                group_counts[data_center],
                len(vms) % size,
                len(vms),
                (data_center, domain),
            )
            for (data_center, domain), vms in by_data_center_and_domain(free).items()
            if len(vms) >= size
        ]
        if not candidates:
            return None
        vms = by_data_center_and_domain(free)[min(candidates)[-1]]
        return sorted(vms, key=_weights_first_key)[:size]

    def repair(self, group, remaining, lost, free):
        """Return free VMs of the remaining members' fabric domain, or ``None``."""
        domains = {(vm.data_center, vm.fabric_domain) for vm in remaining}
        if len(domains) != 1:
            return None
        same_domain = [
            vm for vm in free if (vm.data_center, vm.fabric_domain) in domains
        ]
        same_domain.sort(key=_weights_first_key)
        return same_domain[: len(lost)] if len(same_domain) >= len(lost) else None


def _weights_first_key(vm):
    """Return a sort key that puts VMs with weights before those without."""
    return not vm.version, vm.name
