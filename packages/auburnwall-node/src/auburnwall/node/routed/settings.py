"""Settings of a node that serves routes."""

from typing import NamedTuple

from auburnwall.base.logs import FORMATS
from auburnwall.base.settings import SettingSpec


class RoutedSettings(NamedTuple):
    """All settings of a routed node; ``SETTING_SPECS`` describes each of them."""

    node: str = ""
    data_center: str = ""
    front_address: str = ""
    ready_address: str = ""
    directory_address: str = ""
    peer_address: str = ""
    store_address: str = ""
    log_format: str = "json"
    log_level: str = "info"
    entry_hold_s: float = 1.0
    most_entry_points: int = 64
    first_start: bool = False
    grace_s: float = 8.0
    registry_s: float = 0.6
    planner_registry_s: float = 0.3
    pulse_s: float = 0.12
    max_mesh_nodes: int = 12
    cores: float = 1.0
    memory_mb: float = 0.0
    drain_notice_s: float = 2.0
    config_notice_s: float = 2.0
    repeat_share: float = 0.1
    repeat_reserve: float = 10.0
    repeat_window_s: float = 10.0
    plan_ahead: bool = False


SETTING_SPECS = {
    "node": SettingSpec("Unique name of this node", required=True),
    "data_center": SettingSpec("Data centre of this VM", required=True),
    "front_address": SettingSpec(
        "Address for callers", syntax="host:port", required=True
    ),
    "ready_address": SettingSpec(
        "Address for readiness and metrics", syntax="host:port", required=True
    ),
    "directory_address": SettingSpec(
        "Address of the directory of entry points", syntax="host:port", required=True
    ),
    "peer_address": SettingSpec(
        "Address for calls from other nodes", syntax="host:port", required=True
    ),
    "store_address": SettingSpec(
        "Address of the platform's store", syntax="host:port", required=True
    ),
    "log_format": SettingSpec("Format of log lines", choices=FORMATS),
    "log_level": SettingSpec(
        "Lowest level that is logged", choices=("debug", "info", "warning", "error")
    ),
    "entry_hold_s": SettingSpec(
        "Time that callers may hold a directory answer", "s", 0.5, 300.0
    ),
    "most_entry_points": SettingSpec(
        "Maximum number of entry points in a directory answer", "", 1, 1_000
    ),
    "first_start": SettingSpec(
        "Whether the whole system starts for the first time, with no model loaded yet"
    ),
    "grace_s": SettingSpec("Time from SIGTERM to SIGKILL", "s", 1.0, 3_600.0),
    "registry_s": SettingSpec(
        "Interval between reads of the registrations", "s", 0.1, 1.5
    ),
    "planner_registry_s": SettingSpec(
        "Interval between reads of the registrations at the planner", "s", 0.05, 1.5
    ),
    "pulse_s": SettingSpec("Interval between heartbeats to a peer", "s", 0.05, 2.0),
    "max_mesh_nodes": SettingSpec(
        "Maximum number of nodes that all exchange heartbeats with each other",
        "",
        1,
        64,
    ),
    "cores": SettingSpec("Processor of this VM, in cores", "", 0.01, 1_024.0),
    "memory_mb": SettingSpec(
        "Memory that this process may use, 0 if that is not limited", "MiB", 0.0, 1e9
    ),
    "drain_notice_s": SettingSpec(
        "Time in which a leaving server must get no more requests", "s", 0.5, 60.0
    ),
    "config_notice_s": SettingSpec(
        "Time in which a new configuration must be in force", "s", 0.5, 60.0
    ),
    "repeat_share": SettingSpec(
        "Retries allowed to a service, as a fraction of its requests", "", 0.0, 1.0
    ),
    "repeat_reserve": SettingSpec(
        "Retries allowed beyond repeat_share, over all nodes together",
        "",
        0.0,
        1_000_000.0,
    ),
    "repeat_window_s": SettingSpec("Window for counting retries", "s", 1.0, 600.0),
    "plan_ahead": SettingSpec(
        "Whether capacity follows the newest second's demand, urgent models first, "
        "even where the routes of a service have equal priorities"
    ),
}
