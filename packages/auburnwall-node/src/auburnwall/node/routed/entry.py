"""HTTP applications for the directory of entry points, readiness and metrics."""

import json

import bottle

from auburnwall.fleet.formation.records import nodes_near

from ..webserver import METRICS_TYPE


class EntryPoints:
    """Choose the nodes that the directory names to a caller.

    Nodes that do not reach all services are named only if no ready node does. Of the
    others, ``nodes_near`` chooses those near the caller. ``cfg()`` returns the node's
    current settings.
    """

    def __init__(self, state, peers, own_pulse, cfg):
        self._state = state
        self._peers = peers
        self._own_pulse = own_pulse
        self._cfg = cfg

    def hold_s(self):
        """Return how long callers may use a directory response, in seconds."""
        return self._cfg().entry_hold_s

    def addresses(self, caller_data_center):
        """Return the front addresses for a caller in the given data centre."""
        own = self._own_pulse()
        statuses = {
            name: status
            for name, status in {**self._peers.live(), own.node: own}.items()
            if status.ready and not status.stopping
        }
        reaching = {n for n, status in statuses.items() if not status.lost_services}
        ready = reaching or set(statuses)
        nodes = [node for name, node in self._state.nodes.items() if name in ready]
        chosen = nodes_near(nodes, caller_data_center)
        return [node.front for node in chosen][: self._cfg().most_entry_points]


class DirectoryCodec:
    """The directory's path, its query field and its response.

    ``auburnwall.platform`` supplies them for the users' platform.
    ``response_body(addresses, hold_s)`` returns the response body, to be encoded as
    JSON.
    """

    def __init__(self, path, data_center_field, response_body):
        self.path = path
        self.data_center_field = data_center_field
        self.response_body = response_body


def new_directory_app(codec, entry_points):
    """Return the application that names entry points to callers."""
    app = bottle.Bottle()

    def resolve():
        caller_data_center = bottle.request.query.get(codec.data_center_field, "")
        addresses = entry_points.addresses(caller_data_center)
        if not addresses:
            bottle.response.status = 503
        bottle.response.content_type = "application/json"
        return json.dumps(
            codec.response_body(addresses, entry_points.hold_s())
        ).encode()

    app.route(codec.path, "GET", resolve)
    return app


def new_ready_app(path, is_ready, metrics):
    """Return the application that serves readiness and metrics."""
    app = bottle.Bottle()

    def ready():
        bottle.response.status = 200 if is_ready() else 503
        return b""

    def exposition():
        bottle.response.content_type = METRICS_TYPE
        return metrics.exposition()

    app.route(path, "GET", ready)
    app.route("/metrics", "GET", exposition)
    return app
