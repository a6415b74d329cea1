"""Baseline planner: use the first fabric domain with room and never repair."""

from ..base import Planner, by_data_center_and_domain


class FirstFitPlanner(Planner):
    """Place groups in the first fabric domain with room; drop broken groups."""

    def place(self, selector, size, free, existing):
        """Return VMs of the first domain with at least ``size`` free, or ``None``."""
        for vms in by_data_center_and_domain(free).values():
            if len(vms) >= size:
                return vms[:size]
        return None

    def repair(self, group, remaining, lost, free):
        """Return ``None``: the group is dropped, and formed anew where VMs are free."""
        return
