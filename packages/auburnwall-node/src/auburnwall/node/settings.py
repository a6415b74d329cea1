"""Settings of a node, with their defaults, units, ranges and meanings."""

from typing import NamedTuple

from auburnwall.base.logs import FORMATS
from auburnwall.base.settings import SettingProblem, SettingSpec
from auburnwall.fleet.planner.backends import PLANNERS


class NodeSettings(NamedTuple):
    """All settings of ``auburnwalld``; ``SETTING_SPECS`` describes each of them."""

    node: str = ""
    data_center: str = ""
    address: str = "127.0.0.1:8080"
    peer_address: str = "127.0.0.1:8081"
    log_url: str = ""
    vm_list_url: str = ""
    log_format: str = "keyvalue"
    log_level: str = "info"
    fresh_s: float = 2.0
    heartbeat_s: float = 0.4
    suspect_s: float = 3.0
    pause_s: float = 1.0
    probe_s: float = 0.4
    watchers: int = 2
    witnesses: int = 2
    dead_s: float = 2.0
    vm_list_s: float = 1.0
    lease_term_s: float = 6.0
    order_again_s: float = 1.0
    settle_s: float = 3.0
    pre_shift_s: float = 60.0
    planner: str = "best-fit"
    preload_spares: bool = True
    credit_term_s: float = 2.0
    entry_hold_s: float = 5.0
    default_deadline_s: float = 60.0
    most_deadline_s: float = 600.0
    most_groups: int = 32
    most_waiting: int = 256
    most_body_bytes: int = 4_194_304
    memory_mb: float = 0.0
    write_stall_s: float = 20.0
    retry_share: float = 0.1
    retry_reserve: float = 10.0
    snapshot_records: int = 2_000
    snapshot_s: float = 300.0
    claim_window_s: float = 900.0
    claim_skew_s: float = 30.0
    claim_shards: int = 2
    claim_batch_s: float = 0.03
    claim_timeout_s: float = 4.0
    claim_retry_after_s: float = 5.0
    drain_limit_s: float = 300.0


SETTING_SPECS = {
    "node": SettingSpec("Name of this node, unlike every other's", required=True),
    "data_center": SettingSpec("Data centre that this VM is in", required=True),
    "address": SettingSpec("Address for callers", syntax="host:port"),
    "peer_address": SettingSpec("Address for other nodes", syntax="host:port"),
    "log_url": SettingSpec("The platform's log", syntax="an http URL", required=True),
    "vm_list_url": SettingSpec(
        "The platform's VM list", syntax="an http URL", required=True
    ),
    "log_format": SettingSpec("Form of log lines", choices=FORMATS),
    "log_level": SettingSpec(
        "Lowest level that is logged", choices=("debug", "info", "warning", "error")
    ),
    "fresh_s": SettingSpec(
        "Age up to which word of the log's end, or evidence, counts", "s", 0.2, 3.0
    ),
    "heartbeat_s": SettingSpec("Time between calls to a peer", "s", 0.05, 5.0),
    "suspect_s": SettingSpec("Silence after which a peer is suspected", "s", 0.5, 60.0),
    "pause_s": SettingSpec("Gap in running that counts as a pause", "s", 0.2, 10.0),
    "probe_s": SettingSpec("Time between probes of a backend server", "s", 0.05, 5.0),
    "watchers": SettingSpec("Nodes that probe each backend server", "nodes", 1, 5),
    "witnesses": SettingSpec("Watchers that must miss a dead one", "nodes", 1, 5),
    "dead_s": SettingSpec(
        "Silence after which a backend server is dead", "s", 0.5, 60.0
    ),
    "vm_list_s": SettingSpec("Time between readings of the VM list", "s", 0.1, 60.0),
    "lease_term_s": SettingSpec("Term of a steward's lease", "s", 1.0, 120.0),
    "order_again_s": SettingSpec("Time until an order is repeated", "s", 0.1, 60.0),
    "settle_s": SettingSpec(
        "Rest of a drained group before it is dropped", "s", 0.0, 60.0
    ),
    "pre_shift_s": SettingSpec(
        "Head start before a selector's hours", "s", 0.0, 3600.0
    ),
    "preload_spares": SettingSpec("Whether free VMs fetch weights ahead of need"),
    "planner": SettingSpec("Way of placing groups", choices=tuple(PLANNERS)),
    "credit_term_s": SettingSpec("Term of a grant of slots", "s", 0.2, 10.0),
    "entry_hold_s": SettingSpec(
        "Time that callers may keep an answer", "s", 0.5, 300.0
    ),
    "default_deadline_s": SettingSpec(
        "Deadline of a request that names none", "s", 0.1, 3600.0
    ),
    "most_deadline_s": SettingSpec(
        "Longest deadline that is granted", "s", 1.0, 86_400.0
    ),
    "most_groups": SettingSpec(
        "Groups of one model that this node sends to", "groups", 2, 100_000
    ),
    "most_waiting": SettingSpec(
        "Requests that wait for one model", "requests", 1, 100_000
    ),
    "most_body_bytes": SettingSpec(
        "Largest body of a request", "bytes", 1_024, 1 << 30
    ),
    "memory_mb": SettingSpec(
        "Memory that this process may use, 0 if that is not limited", "MiB", 0.0, 1e9
    ),
    "write_stall_s": SettingSpec(
        "Time that a caller may stop reading", "s", 0.1, 600.0
    ),
    "retry_share": SettingSpec("Retries as a share of requests", "", 0.0, 1.0),
    "retry_reserve": SettingSpec(
        "Retries allowed in quiet times", "retries", 0.0, 1_000.0
    ),
    "snapshot_records": SettingSpec(
        "Records after which a snapshot is written", "records", 10, 1_000_000
    ),
    "snapshot_s": SettingSpec(
        "Time after which a snapshot is written, well within the log's retention",
        "s",
        1.0,
        86_400.0,
    ),
    "claim_window_s": SettingSpec(
        "Oldest age of an idempotency key", "s", 10.0, 86_400.0
    ),
    "claim_skew_s": SettingSpec("Greatest error of any clock", "s", 0.0, 600.0),
    "claim_shards": SettingSpec(
        "Streams of claims, the same on all nodes", "streams", 1, 1_000
    ),
    "claim_batch_s": SettingSpec("Time in which claims gather", "s", 0.0, 1.0),
    "claim_timeout_s": SettingSpec("Longest wait for a claim", "s", 0.1, 60.0),
    "claim_retry_after_s": SettingSpec(
        "When to come back if claims fail", "s", 0.1, 600.0
    ),
    "drain_limit_s": SettingSpec(
        "Longest wait for running requests at a stop", "s", 0.0, 86_400.0
    ),
}


def check_agreement(cfg):
    """Yield a ``SettingProblem`` for settings that contradict each other."""
    if cfg.witnesses > cfg.watchers:
        yield SettingProblem(
            "--witnesses (AUBURNWALL_WITNESSES)",
            f"{cfg.witnesses} is more than --watchers, {cfg.watchers}",
            "Lower it or raise --watchers",
        )
    if 2 * cfg.heartbeat_s > cfg.fresh_s or 2 * cfg.probe_s > cfg.fresh_s:
        yield SettingProblem(
            "--fresh-s (AUBURNWALL_FRESH_S)",
            f"{cfg.fresh_s} s is less than twice --heartbeat-s or --probe-s",
            "Raise it, up to 3 s, or probe more often",
        )
    if cfg.address == cfg.peer_address:
        yield SettingProblem(
            "--peer-address (AUBURNWALL_PEER_ADDRESS)",
            "is the same as --address",
            "Give it a port of its own",
        )
    if cfg.default_deadline_s > cfg.most_deadline_s:
        yield SettingProblem(
            "--default-deadline-s (AUBURNWALL_DEFAULT_DEADLINE_S)",
            f"{cfg.default_deadline_s} s is more than --most-deadline-s",
            "Lower it",
        )


CHECKS = (check_agreement,)
