"""Stand-in for the users' platform as one process: the store and backend servers."""

import time

import bottle
import gevent

from .modelserver import TOPIC, ModelServerStandin
from .server import json_response
from .store import StoreStandin

ENGINE_SERVERS = 6
DESK_SERVERS = 2
# Time from a server's stop to the removal of its registration, in seconds: three
# heartbeat intervals.
REGISTRATION_EXPIRY_S = 1.2


class UsersPlatform:
    """A store and the servers of two services.

    ``assist`` has model servers in two fabric domains, ``desk`` has plain servers. The
    services ``further`` have one plain server each.
    ``POST /standin/stop`` with ``{"server": ...}`` stops a server without notice; its
    registration expires as after a crash. ``POST /standin/crash-part`` with ``{"part":
    ...}`` sets the part of prompts that crashes model servers, and returns the times at
    which requests that crash servers have reached them; so does ``POST
    /standin/crash-path`` with ``{"path": ...}``, the end of the paths that crash any.
    ``POST /standin/limit`` with ``{"per_s": ...}`` sets the limit that servers name,
    ``null`` for none, and returns the times at which requests have reached each server.
    ``POST /standin/streams`` with ``{"events": ..., "event_s": ...}`` sets the number
    of a stream's events and the time between two of them, and lets each event name its
    request. ``POST /standin/silence`` with ``{"s": ...}`` lets the servers send nothing
    for so many seconds, while the store goes on. ``POST /standin/answer-time`` with
    ``{"answer_s": ...}`` sets how long plain servers take for a response. ``GET
    /standin/addresses`` returns the servers' addresses.
    """

    def __init__(self, address, doors=(), further=()):
        self.store = StoreStandin(address)
        for door in doors:
            self.store.open_door(door)
        self.server = self.store.server
        self.servers = {}
        for number in range(ENGINE_SERVERS):
            domain = f"norte-d{number % 2}"
            self._add_server(f"i-engine-{number}", "assist", domain)
        for number in range(DESK_SERVERS):
            self._add_server(f"i-desk-{number}", "desk", "")
        for service in further:
            self._add_server(f"i-{service}-0", service, "")
        self.store.app.route("/standin/stop", "POST", self._stop_server)
        self.store.app.route("/standin/crash-part", "POST", self._set_crash_part)
        self.store.app.route("/standin/limit", "POST", self._set_limit)
        self.store.app.route("/standin/crash-path", "POST", self._set_crash_path)
        self.store.app.route("/standin/streams", "POST", self._set_streams)
        self.store.app.route("/standin/silence", "POST", self._silence)
        self.store.app.route("/standin/answer-time", "POST", self._set_answer_time)
        self.store.app.route("/standin/addresses", "GET", self._addresses)
        for server in self.servers.values():
            server.start()

    def _add_server(self, name, service, domain):
        self.servers[name] = ModelServerStandin(
            self.store, name, service, "norte", domain
        )

    def _stop_server(self):
        name = bottle.request.json["server"]
        self.servers.pop(name).stop()
        gevent.spawn_later(REGISTRATION_EXPIRY_S, self.store.put, TOPIC, name, None)

    def _set_answer_time(self):
        for name, server in self.servers.items():
            if name.startswith("i-desk-"):
                server.answer_s = bottle.request.json["answer_s"]

    def _addresses(self):
        return json_response([server.address for server in self.servers.values()])

    def _set_streams(self):
        body = bottle.request.json
        for server in self.servers.values():
            server.events, server.event_s = body["events"], body["event_s"]
            server.names_request = True

    def _silence(self):
        silent_until = time.monotonic() + bottle.request.json["s"]
        for server in self.servers.values():
            server.silent_until = silent_until

    def _set_crash_part(self):
        for server in self.servers.values():
            server.crash_part = bottle.request.json["part"]
        return self._crashes()

    def _set_crash_path(self):
        for server in self.servers.values():
            server.crash_path = bottle.request.json["path"]
        return self._crashes()

    def _crashes(self):
        crashes = [at for server in self.servers.values() for at in server.crashes]
        return json_response(sorted(crashes))

    def _set_limit(self):
        for server in self.servers.values():
            server.limit_per_s = bottle.request.json["per_s"]
        return json_response({name: s.arrivals for name, s in self.servers.items()})
