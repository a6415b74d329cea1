"""Builds the servers of a node: for its peers, operators, the directory and callers."""

from auburnwall.wire.peer import Routed
from auburnwall.wire.server import PeerServer

from ..webserver import new_listener, new_server
from .entry import EntryPoints, new_directory_app, new_ready_app
from .front import LISTEN_BACKLOG, new_front_server
from .handler import RoutedHandler


def build_servers(node):
    """Return the servers of a ``RoutedNode``; their sockets listen already.

    Binding a socket lets other tasks run, starting a server does not. So no server has
    a connection before all of them have been started. Raises ``OSError``.
    """
    cfg, platform = node.cfg, node.platform
    peer_listener, ready_listener, directory_listener = map(
        new_listener, (cfg.peer_address, cfg.ready_address, cfg.directory_address)
    )
    front_listener = new_listener(cfg.front_address, LISTEN_BACKLOG)
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
        PeerServer(host, int(port), handler, Routed, peer_listener),
        new_server(
            cfg.ready_address,
            new_ready_app(platform.ready_path, node.is_ready, node.metrics),
            listener=ready_listener,
        ),
        new_server(
            cfg.directory_address,
            new_directory_app(platform.directory, entry_points),
            listener=directory_listener,
        ),
        new_front_server(
            cfg.front_address,
            node.gateway,
            node.clock,
            node.connections,
            front_listener,
        ),
    )
