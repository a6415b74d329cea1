"""Nodes as processes, between them and the platform's stand-ins proxies."""

import signal

import gevent

from demo.platform_cluster import PlatformCluster
from standins.modelserver import TOPIC, ModelServerStandin
from standins.store import StoreStandin
from standins.usersplatform import REGISTRATION_EXPIRY_S

from .plan import DESKS, ENGINES, NODES
from .proxy import TroubledProxy

HISTORY_TOPICS = ("keyed.op", "keyed.servers", "keyed.auburnwall")


class SoakWorld(PlatformCluster):
    """A cluster whose store and servers live in this process."""

    def __init__(self, out):
        super().__init__(0, out)
        self.servers = {}
        self.past_servers = []
        self.ways = {}
        self.store_ways = {}
        self._lapses = {}

    def _start_all(self):
        super()._start_all()
        for name in NODES:
            self.store_ways[name] = self._way(lambda: self.store)
            self.start_node(name)

    def _start_platform(self):
        self.store_standin = StoreStandin()
        self.store_standin.server.start()
        self._stack.callback(self.store_standin.server.shut_down)
        self.store = self.store_standin.server.address
        for number, name in enumerate(ENGINES):
            self.start_server(name, f"norte-d{number % 2}")
        for name in DESKS:
            self.start_server(name, "")

    def start_node(self, name):
        """Start a node, again if it ran before."""
        self.add_node(name, self.store_ways[name].address)

    def start_server(self, name, domain):
        """Start a server in a new incarnation behind its proxy."""
        service = "assist" if domain else "desk"
        server = ModelServerStandin(self.store_standin, name, service, "norte", domain)
        if name not in self.ways:
            self.ways[name] = self._way(lambda: self.servers[name].address)
        server.registered_address = self.ways[name].address
        server.domain = domain
        self.servers[name] = server
        self.past_servers.append(server)
        server.start()
        self._lapses.pop(name, gevent.Greenlet()).kill()

    def stop_server(self, name):
        """Let a server vanish; its registration lapses."""
        self.servers[name].stop()
        self._lapses[name] = gevent.spawn_later(
            REGISTRATION_EXPIRY_S, self.store_standin.put, TOPIC, name, None
        )

    def begin(self, trouble):
        """Let a trouble begin."""
        self._log(trouble)
        target, how = trouble.target, trouble.how
        match trouble.kind:
            case "kill":
                self.signal(target, signal.SIGKILL)
            case "pause":
                self.signal(target, signal.SIGSTOP)
            case "term":
                self.signal(target, signal.SIGTERM)
            case "hup":
                self.signal(target, signal.SIGHUP)
            case "store":
                self.store_standin.trouble = how
            case "store way":
                self.store_ways[target].set_mode(how)
            case "history":
                for topic in HISTORY_TOPICS:
                    self.store_standin.expire_history(topic)
            case "server":
                self.stop_server(target)
            case "server way":
                self.ways[target].set_mode(how)
            case "server fault":
                self.servers[target].faults.add(how)

    def end(self, trouble):
        """Let a trouble end; a node that was stopped or killed starts anew."""
        target = trouble.target
        match trouble.kind:
            case "kill" | "term":
                self.wait(lambda: self.exit_code(target) is not None, "a node ends")
                self.start_node(target)
            case "pause":
                self.signal(target, signal.SIGCONT)
            case "store":
                self.store_standin.trouble = ""
            case "store way":
                self.store_ways[target].set_mode("pass")
            case "server":
                self.servers[target].stop()
                self.start_server(target, self.servers[target].domain)
            case "server way":
                self.ways[target].set_mode("pass")
            case "server fault":
                for server in self.past_servers:
                    if server.server == target:
                        server.faults.discard(trouble.how)

    def runs(self, request_id):
        """Return how often servers ran the request with this id."""
        return sum(
            seen["headers"].get("X-Attempt-Id") == request_id
            for server in self.past_servers
            for seen in server.seen
        )

    def _way(self, target):
        way = TroubledProxy(target)
        way.start()
        self._stack.callback(way.stop)
        return way

    def _log(self, trouble):
        with (self._out / "troubles.log").open("a", encoding="utf-8") as log:
            log.write(f"{trouble}\n")

    def _end_all(self):
        for server in self.servers.values():
            server.stop()
        super()._end_all()
