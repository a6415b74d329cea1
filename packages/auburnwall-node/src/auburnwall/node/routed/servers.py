"""Builds the servers of a node: for its peers, operators, the directory and callers."""

from auburnwall.wire.peer import Routed
from auburnwall.wire.server import PeerServer

from ..webserver import new_server
from .entry import EntryPoints, new_directory_app, new_ready_app
from .front import new_front_server
from .handler import RoutedHandler


def build_servers(node):
    """Return the servers of a ``RoutedNode``; none of them has been started."""
    cfg, platform = node.cfg, node.platform
    host, _, port = cfg.peer_address.rpartition(":")
    handler = RoutedHandler(
        node.peers,
        node.replicas,
        platform.engine,
        node.clock,
        node.placing.brokers,
    )
    entry_points = EntryPoints(node.fleet, node.peers, node.pulse, lambda: node.cfg)
    return (
        PeerServer(host, int(port), handler, Routed),
        new_server(
            cfg.ready_address,
            new_ready_app(platform.ready_path, node.is_ready, node.metrics),
        ),
        new_server(
            cfg.directory_address,
            new_directory_app(platform.directory, entry_points),
        ),
        new_front_server(cfg.front_address, node.gateway, node.clock, node.connections),
    )
