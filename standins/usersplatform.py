"""Stand-in of the users' platform as one process: the store and its servers."""

import bottle
import gevent

from .modelserver import TOPIC, ModelServerStandin
from .store import StoreStandin

ENGINES = 6
DESKS = 2
# Silence after which a registration is removed: three beats.
LAPSE_S = 1.2


class UsersPlatform:
    """A store with two services: model servers in two domains, and desks.

    ``POST /standin/stop`` with ``{"server": ...}`` makes a server vanish.
    """

    def __init__(self, address):
        self.store = StoreStandin(address)
        self.server = self.store.server
        self.servers = {}
        for number in range(ENGINES):
            domain = f"norte-d{number % 2}"
            self._add(f"i-engine-{number}", "assist", domain)
        for number in range(DESKS):
            self._add(f"i-desk-{number}", "desk", "")
        self.store.app.route("/standin/stop", "POST", self._stop)
        for server in self.servers.values():
            server.start()

    def _add(self, name, service, domain):
        self.servers[name] = ModelServerStandin(
            self.store, name, service, "norte", domain
        )

    def _stop(self):
        name = bottle.request.json["server"]
        self.servers.pop(name).stop()
        gevent.spawn_later(LAPSE_S, self.store.put, TOPIC, name, None)
