"""A cluster of node processes, with proxies to the platform's stand-ins."""

import signal

import gevent

from standins.modelserver import TOPIC, ModelServerStandin
from standins.store import StoreStandin
from standins.usersplatform import REGISTRATION_EXPIRY_S
from tests.processes.partitioned_cluster import PartitionedCluster

from .plan import DESKS, ENGINES, NODES
from .proxy import FaultyProxy

HISTORY_TOPICS = ("keyed.op", "keyed.servers", "keyed.auburnwall")


class SoakCluster(PartitionedCluster):
    """A cluster whose store and servers run in this process.

    Each server has a proxy, and each node has its own proxy to the store.
    ``started_servers`` holds all server incarnations, ``servers`` the current one of
    each name.
    """

    def __init__(self, out):
        super().__init__(0, out)
        self.servers = {}
        self.started_servers = []
        self.server_proxies = {}
        self.store_proxies = {}
        self._expirations = {}

    def _start_all(self):
        super()._start_all()
        for name in NODES:
            self.store_proxies[name] = self._start_proxy(lambda: self.store)
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
        """Start or restart a node."""
        self.add_node(name, self.store_proxies[name].address)

    def start_server(self, name, domain):
        """Start a new incarnation of a server behind its proxy."""
        service = "assist" if domain else "desk"
        server = ModelServerStandin(self.store_standin, name, service, "norte", domain)
        if name not in self.server_proxies:
            self.server_proxies[name] = self._start_proxy(
                lambda: self.servers[name].address
            )
        server.registered_address = self.server_proxies[name].address
        server.domain = domain
        self.servers[name] = server
        self.started_servers.append(server)
        server.start()
        self._expirations.pop(name, gevent.Greenlet()).kill()

    def server_addresses(self):
        """Return the addresses of the servers' proxies."""
        return [proxy.address for proxy in self.server_proxies.values()]

    def stop_server(self, name):
        """Stop a server without notice; its registration expires later."""
        self.servers[name].stop()
        self._expirations[name] = gevent.spawn_later(
            REGISTRATION_EXPIRY_S, self.store_standin.put, TOPIC, name, None
        )

    def begin(self, trouble):
        """Begin a trouble."""
        self._log_trouble(trouble)
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
                self.store_proxies[target].set_mode(how)
            case "history":
                for topic in HISTORY_TOPICS:
                    self.store_standin.expire_history(topic)
            case "links":
                self.cut_off(target, how)
            case "server":
                self.stop_server(target)
            case "server way":
                self.server_proxies[target].set_mode(how)
            case "server fault":
                self.servers[target].faults.add(how)

    def end(self, trouble):
        """End a trouble; a node that was stopped or killed is started again."""
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
                self.store_proxies[target].set_mode("pass")
            case "links":
                self.heal(target)
            case "server":
                self.servers[target].stop()
                self.start_server(target, self.servers[target].domain)
            case "server way":
                self.server_proxies[target].set_mode("pass")
            case "server fault":
                for server in self.started_servers:
                    if server.server == target:
                        server.faults.discard(trouble.how)

    def run_count(self, request_id):
        """Return how many times servers ran the request with this id."""
        return sum(
            seen["headers"].get("X-Attempt-Id") == request_id
            for server in self.started_servers
            for seen in server.seen
        )

    def _start_proxy(self, target):
        proxy = FaultyProxy(target)
        proxy.start()
        self._stack.callback(proxy.stop)
        return proxy

    def _log_trouble(self, trouble):
        with (self._out / "troubles.log").open("a", encoding="utf-8") as log:
            log.write(f"{trouble}\n")

    def _kill_all(self):
        for server in self.servers.values():
            server.stop()
        super()._kill_all()
