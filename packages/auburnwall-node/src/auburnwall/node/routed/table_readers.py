"""Builds a node's copies of the platform's tables, their readers and their keepers."""

from auburnwall.state.table.replica import TableReplica

from .table_keeper import TableKeeper
from .tables import (
    LONG_POLL_S,
    MAX_FLEET_AGE_S,
    MAX_FOLLOWED_AGE_S,
    MAX_LONG_POLL_FRACTION,
    MAX_OPERATOR_AGE_S,
    MAX_RELAYED_AGE_FRACTION,
    RELAYED_LONG_POLL_S,
    StoreReaderChoice,
    TableReader,
)

OPERATOR_TABLE, SERVER_TABLE, FLEET_TABLE = "operator", "servers", "fleet"
# Pause between two reads of the fleet table at nodes other than the planner, in
# seconds, so that one read gets a burst of the planner's records. A shorter pause gains
# little: a group is used only once its head, the member that takes its requests, has
# registered, and the registrations are read at longer intervals (``registry_s``).
FLEET_READ_PAUSE_S = 0.3
# Time for the answer of a read that waits, and shortest wait, in seconds.
READ_MARGIN_S, MIN_LONG_POLL_S = 0.1, 0.2
# Time for which this node keeps what it knows of the fleet after the store has lost
# records, in seconds. A new planner, if one is needed, has written them again by then.
FLEET_SETTLE_S = 6.0


def build_replicas(platform, clock):
    """Return the ``TableReplica`` of each table of a ``Platform``, by name."""
    store = platform.store
    replicas = {
        OPERATOR_TABLE: TableReplica(
            OPERATOR_TABLE, store, clock, order=platform.operator_order
        ),
        SERVER_TABLE: TableReplica(
            SERVER_TABLE,
            store,
            clock,
            order=platform.registration_order,
            survives_pause=False,
        ),
        FLEET_TABLE: TableReplica(
            FLEET_TABLE, store, clock, settle_s=FLEET_SETTLE_S, survives_pause=False
        ),
    }
    replicas[SERVER_TABLE].is_repeat = platform.is_same_registration
    return replicas


def build_readers(node):
    """Return the ``TableReader`` of each table of a ``RoutedNode``, by name."""
    reader_choice = StoreReaderChoice(
        node.identity, node.fleet, node.peers, node.writer.is_planner
    )

    def reader(table, wait_s, pause_s, max_age_s, peer_to_follow, **kwargs):
        return TableReader(
            node.replicas[table],
            node.peers,
            node.clock,
            node.rng,
            wait_s=wait_s,
            pause_s=pause_s,
            max_followed_age_s=max_age_s,
            peer_to_follow=peer_to_follow,
            **kwargs,
        )

    return {
        OPERATOR_TABLE: reader(
            OPERATOR_TABLE,
            lambda: _operator_wait_s(node),
            lambda: 0.0,
            MAX_OPERATOR_AGE_S,
            reader_choice.peer_to_follow_in_large_fleet,
            follow_pause_s=0.0,
            notice_s=node.cfg.config_notice_s,
            start=reader_choice,
        ),
        FLEET_TABLE: reader(
            FLEET_TABLE,
            lambda: LONG_POLL_S,
            lambda: _fleet_pause_s(node),
            MAX_FLEET_AGE_S,
            reader_choice.peer_to_follow,
        ),
        SERVER_TABLE: reader(
            SERVER_TABLE,
            lambda: 0.0,
            lambda: _registry_pause_s(node),
            _max_followed_age_s(node),
            reader_choice.peer_to_follow,
            on_read=node.registry.record_read,
            notice_s=node.cfg.drain_notice_s,
            start=reader_choice,
        ),
    }


def build_keepers(node):
    """Return the ``TableKeeper`` of each table of a ``RoutedNode``, by name."""

    def drop_connections():
        node.platform.store.drop_idle_connections()

    def keeper(table, bound_s, **kwargs):
        return TableKeeper(
            node.replicas[table],
            node.peers,
            node.clock,
            node.rng,
            node.tasks.spawn,
            bound_s,
            drop_connections=drop_connections,
            reader_call_began_at=lambda: node.readers[table].call_began_at,
            **kwargs,
        )

    cfg = node.cfg
    return {
        OPERATOR_TABLE: keeper(
            OPERATOR_TABLE,
            cfg.config_notice_s,
            catches_up=True,
            peers_with_newer=lambda: _peers_with_newer_version(node),
        ),
        SERVER_TABLE: keeper(
            SERVER_TABLE, cfg.drain_notice_s, on_read=node.registry.record_read
        ),
        FLEET_TABLE: keeper(FLEET_TABLE, MAX_FLEET_AGE_S),
    }


def apply_bounds(node):
    """Apply changed bounds on the ages of the copies, in ``node.cfg``."""
    cfg = node.cfg
    node.source.notice_s = cfg.config_notice_s
    for table, bound_s in (
        (OPERATOR_TABLE, cfg.config_notice_s),
        (SERVER_TABLE, cfg.drain_notice_s),
    ):
        node.readers[table].notice_s = node.keepers[table].bound_s = bound_s
    node.readers[SERVER_TABLE].max_followed_age_s = _max_followed_age_s(node)


def _peers_with_newer_version(node):
    """Return the peers that go by a higher version than this node has read."""
    known = node.source.newest_version()
    statuses = node.peers.config_statuses()
    return [name for name, status in statuses.items() if status.version > known]


def _operator_wait_s(node):
    """Return how long a read of the operators' table waits for records, in seconds.

    A read that gets records makes the copy as old as that read. The next one ends
    before the keeper would ask.
    """
    longest_s = LONG_POLL_S if node.peers.is_mesh else RELAYED_LONG_POLL_S
    longest_s = min(longest_s, MAX_LONG_POLL_FRACTION * node.cfg.config_notice_s)
    left_s = node.keepers[OPERATOR_TABLE].time_left_s() - READ_MARGIN_S
    return min(longest_s, max(left_s, MIN_LONG_POLL_S))


def _registry_pause_s(node):
    cfg = node.cfg
    return cfg.planner_registry_s if node.writer.is_planner() else cfg.registry_s


def _fleet_pause_s(node):
    """Return the pause between two reads of the fleet table, in seconds."""
    return 0.0 if node.writer.is_planner() else FLEET_READ_PAUSE_S


def _max_followed_age_s(node):
    """Return the maximum age of a peer's copy that this node takes, in seconds."""
    relayed_age_s = MAX_RELAYED_AGE_FRACTION * node.cfg.drain_notice_s
    return max(MAX_FOLLOWED_AGE_S, relayed_age_s)
