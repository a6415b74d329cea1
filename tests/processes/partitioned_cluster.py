"""A cluster whose nodes can be cut off from the backend servers."""

import json

from demo.platform_cluster import PlatformCluster


class PartitionedCluster(PlatformCluster):
    """A cluster whose nodes can be cut off from the backend servers."""

    def __init__(self, node_count, out, node_env=()):
        module = "tests.processes.partitioned_node"
        super().__init__(node_count, out, node_env, module)

    def environ_of(self, node):
        """Return environment variables that only this node has."""
        return {"AUBURNWALL_TEST_CUT": str(self._cut_path(node))}

    def cut_off(self, node, how):
        """Cut a node off from all servers; see ``partitioned_node`` for ``how``."""
        content = {"addresses": self.server_addresses(), "how": how}
        path = self._cut_path(node)
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(content), "utf-8")
        new_path.replace(path)

    def heal(self, node):
        """End the cut of a node, if there is one."""
        self._cut_path(node).unlink(missing_ok=True)

    def _cut_path(self, node):
        return self._out / f"{node}.cut"
