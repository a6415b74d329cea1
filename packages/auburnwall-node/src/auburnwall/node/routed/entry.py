"""Where callers ask which nodes to use, and where readiness and metrics are served."""

import json

import bottle

from ..webserver import METRICS_TYPE


class EntryPoints:
    """Which nodes callers are told to use.

    Nodes in the caller's data centre come alone if there are enough of them, since the
    way to the others is longer; all are named otherwise. ``cfg()`` returns the node's
    settings as they are now.
    """

    ENOUGH_NEAR = 2

    def __init__(self, state, peers, own_pulse, cfg):
        self._state = state
        self._peers = peers
        self._own_pulse = own_pulse
        self._cfg = cfg

    def hold_s(self):
        """Return how long callers may keep an answer, in seconds."""
        return self._cfg().entry_hold_s

    def addresses(self, near):
        """Return the front addresses for a caller in the data centre ``near``."""
        own = self._own_pulse()
        ready = {
            name
            for name, pulse in {**self._peers.live(), own.node: own}.items()
            if pulse.ready and not pulse.stopping
        }
        nodes = [node for name, node in self._state.nodes.items() if name in ready]
        close = [node for node in nodes if node.data_center == near]
        chosen = close if len(close) >= self.ENOUGH_NEAR else nodes
        return [node.front for node in chosen][: self._cfg().most_entry_points]


class DirectoryCodec:
    """How the directory is asked and answers; see ``platform``."""

    def __init__(self, path, data_center_field, answer):
        self.path = path
        self.data_center_field = data_center_field
        self.answer = answer


def new_directory_app(codec, entry_points):
    """Return the application that tells callers where to connect."""
    app = bottle.Bottle()

    def resolve():
        near = bottle.request.query.get(codec.data_center_field, "")
        addresses = entry_points.addresses(near)
        if not addresses:
            bottle.response.status = 503
        bottle.response.content_type = "application/json"
        return json.dumps(codec.answer(addresses, entry_points.hold_s())).encode()

    app.route(codec.path, "GET", resolve)
    return app


def new_ready_app(path, is_ready, metrics):
    """Return the application for readiness and metrics."""
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
