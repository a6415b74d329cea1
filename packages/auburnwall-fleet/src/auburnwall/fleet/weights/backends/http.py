"""Client of the weight store over HTTP; see ``docs/ref/weight-store.md``."""

from urllib.parse import quote

from urllib3.exceptions import HTTPError

from auburnwall.base.http import exchange_json, new_pool

from ...exceptions import WeightStoreError
from ..base import Manifest, WeightStore


class HttpWeightStore(WeightStore):
    """Read from the weight store at ``url``."""

    def __init__(self, url):
        self._url = url.rstrip("/")
        self._pool = new_pool()

    def manifest(self, model, version):
        """Return the ``Manifest`` of a version; raise ``WeightStoreError``."""
        url = f"{self._url}/v1/weights/{quote(model)}/{quote(version)}"
        try:
            status, response = exchange_json(self._pool, "GET", url)
            if status != 200:
                raise ValueError(f"HTTP status {status}")
            return Manifest(
                model, version, response["total_bytes"], response["bytes_per_s"]
            )
        except (HTTPError, ValueError, KeyError, TypeError) as exc:
            raise WeightStoreError(str(exc), step="read manifest", peer=url) from exc
