"""Client of the platform's VM list over HTTP; see ``docs/ref/vm-list.md``."""

from urllib3.exceptions import HTTPError

from auburnwall.base.http import exchange_json, new_pool

from ...exceptions import VmListUnavailableError
from ..base import VmEntry, VmList


class HttpVmList(VmList):
    """Read the VM list from the server at ``url``."""

    def __init__(self, url):
        self._url = url.rstrip("/") + "/v1/vms"
        self._pool = new_pool()

    def fetch(self):
        """Return the entries by name; raise ``VmListUnavailableError``."""
        try:
            status, response = exchange_json(self._pool, "GET", self._url)
            if status != 200:
                raise ValueError(f"HTTP status {status}")
            entries = [_entry(row) for row in response["vms"]]
        except (HTTPError, ValueError, KeyError, TypeError) as exc:
            raise VmListUnavailableError(
                str(exc), step="read VM list", peer=self._url
            ) from exc
        return {entry.name: entry for entry in entries}


def _entry(row):
    return VmEntry(
        row["name"],
        row["address"],
        row["data_center"],
        row["fabric_domain"],
        row["state"] == "leaving",
    )
