"""``auburnwall node drain``: stop a node without cutting off a request."""

from cleo.helpers import argument

from ..base import BaseCommand
from ..reading import LogReader, NodeClient


class NodeDrainCommand(BaseCommand):
    """Ask a node to stop; it exits once its running requests have finished."""

    name = "node drain"
    description = "Stop a node without cutting off a request."
    arguments = [argument("node", "Name of the node")]

    def run_command(self):
        """Start the drain."""
        name = self.argument("node")
        state = LogReader(self.cfg.log_url).catch_up()
        body = NodeClient(state).request_one(name, "/admin/drain", "POST")
        self.show_text(
            f"{name} is draining; it stops once its running requests have finished"
        )
        if self.cfg.format == "json":
            self.show_json({"node": name, **body})
