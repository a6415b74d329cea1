"""The platform of a case as one process: the project's store and server stand-ins.

``python3 -m review.lib.platform_process ADDRESS OPTIONS``, where ``OPTIONS`` is a JSON
object with ``configuration``, ``engines`` and ``desks`` (numbers of servers).
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import bottle  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from standins.modelserver import ModelServerStandin  # noqa: E402
from standins.store import StoreStandin  # noqa: E402

from .deployment import APP, ENGINES, ZONES  # noqa: E402

# ``HeartbeatMs`` of the settings.
HEARTBEAT_S = 1.2
# How long a member takes to join, and a head to open, in seconds. A load before the
# first request takes a tenth of ``LoadS``.
FIRST_LOAD_S, REJOIN_S, FORM_S = 1.2, 0.2, 0.3
DESK_SLOTS, ENGINE_SLOTS = 6, 9


class RecordingServer(ModelServerStandin):
    """A server that writes down joins which take it from an open group.

    ``fleet`` maps the ids of all servers to them.
    """

    def __init__(self, fleet, violations, *args, **kwargs):
        super().__init__(*args, heartbeat_s=HEARTBEAT_S, **kwargs)
        self.fleet = fleet
        self.violations = violations
        self.join_s = FIRST_LOAD_S
        # Size of the answers of a plain server, if not the project's own.
        self.answer_bytes = 0
        # Time until which the streams of this server stand still.
        self.silent_until = 0.0

    def _send_heartbeats(self):
        gevent.sleep(random.uniform(0.0, HEARTBEAT_S))
        super()._send_heartbeats()

    def _event_stream(self, req):
        for event in super()._event_stream(req):
            while time.time() < self.silent_until:
                gevent.sleep(0.01)
            yield event

    def _plain_response(self, req):
        if not self.answer_bytes:
            return super()._plain_response(req)
        return b"x" * self.answer_bytes

    def _do_join(self, order):
        before, members = self.group, self.members
        status = super()._do_join(order)
        if status == 202 and before is not None and before["Name"] != order["group"]:
            self._check_left_group(before, members, order)
        return status

    def _check_left_group(self, before, members, order):
        head = self.fleet[members[0]]
        # This server's own membership has just been replaced.
        group = before if head is self else head.group
        in_same = group is not None and group["Name"] == before["Name"]
        if in_same and group["State"] in ("open", "closing"):
            self.violations.append(
                {
                    "at": time.time(),
                    "server": self.server,
                    "left": before["Name"],
                    "joined": order["group"],
                    "head": head.server,
                    "head_state": group["State"],
                    "head_running": head.running,
                }
            )

    def _finish_join(self, order):
        super()._finish_join(order)
        self.join_s = REJOIN_S

    def _do_open(self, order):
        if not self._is_member(order) or self.group["State"] not in ("ready", "open"):
            return 409
        if self.group["State"] == "ready":
            gevent.spawn_later(FORM_S, self._finish_open, order)
        return 202

    def _finish_open(self, order):
        if self._is_member(order) and self.group["State"] == "ready":
            self.group["State"] = "open"
            self.register()


class Platform:
    """The store, the servers, and the calls by which a case steers them."""

    def __init__(self, address, options):
        self.store = StoreStandin(address)
        self.servers, self.violations = {}, []
        self._store_hidden = False
        for number in range(options.get("engines", 0)):
            zone = ZONES[number // 2 % len(ZONES)]
            self._add(f"i-engine-{number}", ENGINES, zone, f"{zone}-d0", ENGINE_SLOTS)
        for number in range(options.get("desks", 0)):
            zone = ZONES[number % len(ZONES)]
            self._add(f"i-desk-{number}", APP, zone, "", DESK_SLOTS)
        app = self.store.app
        app.route("/review/state", "POST", self._state)
        app.route("/review/put", "POST", self._put)
        app.route("/review/server", "POST", self._set_server)
        app.route("/review/restart", "POST", self._restart_servers)
        app.route("/review/silence", "POST", self._silence_server)
        self.store.put("keyed.op", "config", options["configuration"])

    def start(self):
        """Start the store and the servers."""
        self.store.server.start()
        for server in self.servers.values():
            server.start()

    def _add(self, name, service, zone, domain, slots):
        self.servers[name] = RecordingServer(
            self.servers,
            self.violations,
            self.store,
            name,
            service,
            zone,
            domain,
            slots=slots,
        )

    def _state(self):
        servers = {
            name: {
                "group": server.group,
                "members": server.members,
                "seen": [
                    {"path": s["path"], "id": s["headers"].get("X-Attempt-Id")}
                    for s in server.seen
                ],
                "running": server.running,
                "up": server.up,
            }
            for name, server in self.servers.items()
        }
        bottle.response.content_type = "application/json"
        return json.dumps(
            {
                "servers": servers,
                "violations": self.violations,
                "era": self.store.era,
                "records": {
                    topic: len(records) for topic, records in self.store._topics.items()
                },
            }
        )

    def _put(self):
        body = bottle.request.json
        self.store.put(body["topic"], body["key"], body["value"])

    def _restart_servers(self):
        """Let servers crash and start again under their ids after ``down_s``."""
        body = bottle.request.json
        for name in body["servers"]:
            self.servers[name].restart_s = body["down_s"]
            gevent.spawn(self.servers[name].crash)

    def _silence_server(self):
        """Let the streams of a server stand still for a time."""
        body = bottle.request.json
        self.servers[body["server"]].silent_until = time.time() + body["for_s"]

    def _set_server(self):
        """Set attributes of the servers whose ids begin with ``prefix``."""
        body = bottle.request.json
        for name, server in self.servers.items():
            if name.startswith(body["prefix"]):
                for field, value in body["fields"].items():
                    setattr(server, field, value)


def main():
    """Serve until the process is ended."""
    platform = Platform(sys.argv[1], json.loads(sys.argv[2]))
    platform.start()
    Event().wait()


if __name__ == "__main__":
    main()
