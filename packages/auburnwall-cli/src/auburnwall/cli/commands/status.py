"""``auburnwall status``: show data centres, nodes, groups and VMs."""

from ..base import BaseCommand
from ..reading import LogReader, NodeClient


class StatusCommand(BaseCommand):
    """Show the fleet as reported by the log and the nodes."""

    name = "status"
    description = "Show data centres, groups, VMs, nodes and versions in force."

    def run_command(self):
        """Query the log and all nodes and show the result."""
        state = LogReader(self.cfg.log_url).catch_up()
        bodies = NodeClient(state).request_all("/admin/status")
        report = {
            "version": state.config_offset,
            "data_centers": _data_centers(state),
            "nodes": _nodes(state, bodies),
            "groups": _groups(state, bodies),
            "vms": next((body["vms"] for body in bodies.values() if body), []),
        }
        if self.cfg.format == "json":
            self.show_json(report)
            return
        self.show_text(f"configuration: version {state.config_offset}")
        self.show_rows(report["data_centers"], ["data_center", "state", "steward"])
        self.show_rows(
            report["nodes"],
            ["node", "data_center", "mode", "version", "running", "in_touch"],
        )
        self.show_rows(
            report["groups"],
            ["group", "model", "version", "data_center", "vms", "serving", "obstacle"],
        )
        self.show_rows(
            report["vms"],
            ["vm", "data_center", "fabric_domain", "group", "state", "bears"],
        )


def _data_centers(state):
    return [
        {
            "data_center": name,
            "state": entry["state"],
            "steward": state.leases[f"steward/{name}"].holder
            if f"steward/{name}" in state.leases
            else "",
        }
        for name, entry in sorted(state.config.get("data_centers", {}).items())
    ]


def _nodes(state, bodies):
    return [
        {
            "node": name,
            "data_center": state.nodes[name].data_center,
            "mode": body["mode"] if body else "no answer",
            "version": body["config_offset"] if body else "",
            "running": body["running"] if body else "",
            "in_touch": len(body["in_touch"]) if body else "",
        }
        for name, body in bodies.items()
    ]


def _groups(state, bodies):
    """Return the groups; a group serves if any node reports no obstacle."""
    obstacles = {}
    for body in filter(None, bodies.values()):
        for row in body["groups"]:
            obstacles.setdefault(row["group"], set()).add(row["obstacle"])
    return [
        {
            "group": group.name,
            "model": group.model,
            "version": group.version,
            "data_center": group.data_center,
            "vms": list(group.vms),
            "generation": group.generation,
            "serving": "yes" if "" in obstacles.get(group.name, ()) else "no",
            "obstacle": "; ".join(sorted(obstacles.get(group.name, ()) - {""})),
        }
        for group in state.groups.values()
    ]
