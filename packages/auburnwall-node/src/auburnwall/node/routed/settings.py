"""Settings of a node that serves routes."""

from typing import NamedTuple

from auburnwall.base.logs import FORMATS
from auburnwall.base.settings import About


class RoutedSettings(NamedTuple):
    """All settings of a routed node; ``ABOUT`` describes each of them."""

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
    repeat_share: float = 0.1
    repeat_reserve: float = 10.0
    repeat_window_s: float = 10.0


ABOUT = {
    "node": About("Name of this node, unlike every other's", required=True),
    "data_center": About("Data centre that this VM is in", required=True),
    "front_address": About("Address for callers", form="host:port", required=True),
    "ready_address": About(
        "Address for readiness and metrics", form="host:port", required=True
    ),
    "directory_address": About(
        "Address where callers ask for entry points", form="host:port", required=True
    ),
    "peer_address": About("Address for other nodes", form="host:port", required=True),
    "store_address": About(
        "Address of the platform's store", form="host:port", required=True
    ),
    "log_format": About("Form of log lines", choices=FORMATS),
    "log_level": About(
        "Lowest level that is logged", choices=("debug", "info", "warning", "error")
    ),
    "entry_hold_s": About(
        "Time that callers may keep an answer of the directory", "s", 0.5, 300.0
    ),
    "most_entry_points": About(
        "Entry points in an answer of the directory", "", 1, 1_000
    ),
    "first_start": About(
        "Whether the whole system starts for the first time, with nothing loaded yet"
    ),
    "grace_s": About("Time from SIGTERM to SIGKILL", "s", 1.0, 3_600.0),
    "registry_s": About("Time between readings of the registrations", "s", 0.1, 1.5),
    "planner_registry_s": About("The same at the planner", "s", 0.05, 1.5),
    "pulse_s": About("Time between calls to a peer", "s", 0.05, 2.0),
    "repeat_share": About(
        "Repeats that a service may get, as a share of its requests", "", 0.0, 1.0
    ),
    "repeat_reserve": About(
        "Repeats over that share, over all nodes together", "", 0.0, 1_000_000.0
    ),
    "repeat_window_s": About("Window in which repeats count", "s", 1.0, 600.0),
}
