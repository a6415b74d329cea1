"""Stand-ins for the VM list and the weight store."""

import time

import bottle
import gevent

from .server import StandinServer, abort_connection, json_response


class VmListStandin:
    """A list of VMs with faults that ``POST /_faults`` sets.

    ``down`` closes every connection, ``slow_s`` delays responses by that many seconds,
    and with ``lag_s`` the response is the list as it was that many seconds ago.
    """

    def __init__(self, address="127.0.0.1:0"):
        self.down = False
        self.slow_s = 0.0
        self.lag_s = 0.0
        self._vms = {}
        self._history = []
        app = bottle.Bottle()
        app.route("/v1/vms", "GET", self._list_vms)
        app.route("/_faults", "POST", self._set_faults)
        app.route("/_vms", "POST", self._update)
        self.server = StandinServer(app, address)

    @property
    def url(self):
        """Return the service's URL."""
        return f"http://{self.server.address}"

    def put(self, rows):
        """Add or replace VMs.

        A row has the keys ``name``, ``address``, ``data_center``, ``fabric_domain`` and
        ``state``.
        """
        self._vms.update((row["name"], row) for row in rows)
        self._record_version()

    def set_state(self, name, state):
        """Mark a VM ``live`` or ``leaving``, or remove it with ``gone``."""
        if state == "gone":
            self._vms.pop(name, None)
        else:
            self._vms[name] = {**self._vms[name], "state": state}
        self._record_version()

    def _record_version(self):
        self._history.append((time.monotonic(), list(self._vms.values())))

    def _list_vms(self):
        if self.down:
            abort_connection()
        gevent.sleep(self.slow_s)
        visible_until = time.monotonic() - self.lag_s
        visible = [rows for at, rows in self._history if at <= visible_until]
        oldest = self._history[0][1] if self._history else []
        return json_response({"vms": visible[-1] if visible else oldest})

    def _set_faults(self):
        for name, value in bottle.request.json.items():
            if name not in ("down", "slow_s", "lag_s"):
                return json_response({"error": f"no fault {name!r}"}, 400)
            setattr(self, name, value)
        return json_response({})

    def _update(self):
        body = bottle.request.json
        if "vms" in body:
            self.put(body["vms"])
        for name, state in body.get("states", {}).items():
            self.set_state(name, state)
        return json_response({})


class WeightStoreStandin:
    """Weight store that transfers no weights, only their size.

    Fetches share the rate ``bytes_per_s`` and are served in order: each takes as long
    as its own transfer after those of all earlier fetches still in flight.
    """

    def __init__(self, address="127.0.0.1:0", total_bytes=2_000_000, bytes_per_s=10**7):
        self.down = False
        self._total_bytes = total_bytes
        self._bytes_per_s = bytes_per_s
        self._idle_at = 0.0
        app = bottle.Bottle()
        app.route("/v1/weights/<model>/<version>", "GET", self._manifest)
        app.route("/v1/weights/<model>/<version>/shards/<rank>", "GET", self._fetch)
        app.route("/_faults", "POST", self._set_faults)
        self.server = StandinServer(app, address)

    @property
    def url(self):
        """Return the service's URL."""
        return f"http://{self.server.address}"

    def _manifest(self, model, version):
        self._apply_faults()
        return json_response(
            {"total_bytes": self._total_bytes, "bytes_per_s": self._bytes_per_s}
        )

    def _fetch(self, model, version, rank):
        """Respond when the transfer, queued behind all earlier ones, would be done."""
        self._apply_faults()
        now = time.monotonic()
        fetch_s = self._total_bytes / self._bytes_per_s
        self._idle_at = max(self._idle_at, now) + fetch_s
        gevent.sleep(self._idle_at - now)
        return json_response({"bytes": self._total_bytes})

    def _apply_faults(self):
        if self.down:
            abort_connection()

    def _set_faults(self):
        self.down = bool(bottle.request.json.get("down"))
        return json_response({})
