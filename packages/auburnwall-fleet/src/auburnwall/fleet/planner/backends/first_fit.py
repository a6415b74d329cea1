"""The baseline: the first domain with room, and no repair."""

from ..base import Planner, by_domain


class FirstFitPlanner(Planner):
    """Place in the first fabric domain that has room; drop a broken group."""

    def place(self, selector, size, free, filling):
        """Return the first VMs of the first domain that has enough."""
        for vms in by_domain(free).values():
            if len(vms) >= size:
                return vms[:size]
        return None

    def repair(self, group, whole, missing, free):
        """Never mend: the group is dropped and formed anew where there is room."""
        return
