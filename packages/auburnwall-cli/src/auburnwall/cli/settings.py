"""Settings of the ``auburnwall`` program."""

from typing import NamedTuple

from auburnwall.base.settings import SettingSpec


class CliSettings(NamedTuple):
    """Settings shared by all commands; ``SETTING_SPECS`` describes them."""

    log_url: str = "http://127.0.0.1:9000"
    format: str = "table"
    timeout_s: float = 15.0


SETTING_SPECS = {
    "log_url": SettingSpec("The platform's log", syntax="an http URL", required=True),
    "format": SettingSpec("Form of the output", choices=("table", "json")),
    "timeout_s": SettingSpec("Longest wait for the log or a node", "s", 0.5, 3600.0),
}
