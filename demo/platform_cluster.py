"""Start and stop nodes on a stand-in of the users' platform, on loopback."""

import base64
import http.client
import json
import sys

import urllib3

from standins.platformconfig import (
    CONFIG_KEY,
    KEY,
    OPERATOR_TOPIC,
    READY_PATH,
    SETTINGS,
    request_headers,
    resolve_path,
    routes,
)

from .cluster import START_TIMEOUT_S, Processes, free_addresses, wait_until


class PlatformCluster(Processes):
    """A cluster of a stand-in platform and nodes, each in its own process.

    ``node_env`` holds environment variables of the nodes, ``node_module`` is the
    Python module that runs one.
    """

    def __init__(self, node_count, out, node_env=(), node_module="auburnwall.platform"):
        super().__init__(out)
        self.nodes = {}
        self._node_module = node_module
        self._node_env = dict(node_env)
        self._node_count = node_count

    def _start_all(self):
        self._start_platform()
        self.put(OPERATOR_TOPIC, CONFIG_KEY, routes())
        for number in range(self._node_count):
            self.add_node(f"edge-norte-{number + 1}")

    def _start_platform(self, *arguments):
        """Start the process of the stand-ins for the store and the servers."""
        self.store = free_addresses(1)[0]
        command = [sys.executable, "-m", "standins", "users-platform"]
        self._start("platform", [*command, "--address", self.store, *arguments], {})
        self.wait(self._store_responds, "the store answers")

    def add_node(self, name, store=None):
        """Start a node; ``store`` is the store's address if not the cluster's own."""
        front, ready, directory, peer = free_addresses(4)
        self.nodes[name] = {"front": front, "ready": ready, "directory": directory}
        text = SETTINGS.format(
            node=name,
            peer_port=peer.rpartition(":")[2],
            store=store or self.store,
            **self.nodes[name],
        )
        self.settings_path(name).write_text(text, "utf-8")
        self.launch_node(name)

    def launch_node(self, name):
        """Start a node with its settings file, again if it has ended."""
        command = [sys.executable, "-m", self._node_module]
        environ = {
            "AUBURNWALL_SETTINGS": str(self.settings_path(name)),
            **self._node_env,
        }
        self._start(name, command, {**environ, **self.environ_of(name)})

    def environ_of(self, node):
        """Return environment variables that only this node has."""
        return {}

    def settings_path(self, node):
        """Return the path of a node's settings file."""
        return self._out / f"{node}.conf"

    def put(self, topic, key, value):
        """Write a record to the store, as an operator or a server does.

        ``value`` is a JSON object, ``None`` to remove the key, or bytes.
        """
        body = {"topic": topic, "key": key, "value": value}
        if isinstance(value, bytes):
            body.update(value=None, raw=base64.b64encode(value).decode())
        self._post("/standin/put", body)

    def server_addresses(self):
        """Return the addresses of all backend servers."""
        return self._http.request(
            "GET", f"http://{self.store}/standin/addresses"
        ).json()

    def stop_server(self, server):
        """Stop a server without notice."""
        self._post("/standin/stop", {"server": server})

    def set_streams(self, events, event_s):
        """Set the number of each stream's events and the seconds between them.

        Each event names its request from then on.
        """
        self._post("/standin/streams", {"events": events, "event_s": event_s})

    def silence_servers(self, seconds):
        """Let all servers send nothing for some seconds, while the store goes on."""
        self._post("/standin/silence", {"s": seconds})

    def set_store_fault(self, fault):
        """Set the store's fault, one of ``StoreStandin``'s; an empty name ends it."""
        self._post("/standin/trouble", {"trouble": fault})

    def keep_store_copy(self):
        """Let the store remember its records for ``send_store_back``."""
        self._post("/standin/copy", {})

    def newest(self, topic, key):
        """Return the newest value of a key in the store, decoded from JSON."""
        return self._post("/standin/newest", {"topic": topic, "key": key}).json()

    def send_store_back(self):
        """Let the store lose all records since its last copy."""
        self._post("/standin/back", {})

    def expire_store_history(self, topic):
        """Let the store forget the records of a topic but the newest of each key."""
        self._post("/standin/expire", {"topic": topic})

    def process(self, node):
        """Return a node's current process."""
        return self._processes[node]

    def exit_code(self, node):
        """Return a node's exit code, ``None`` while it runs."""
        return self._processes[node].poll()

    def is_ready(self, node):
        """Return whether a node reports that it is ready."""
        try:
            url = f"http://{self.nodes[node]['ready']}{READY_PATH}"
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def directory_addresses(self, node):
        """Return the entry addresses that a node's directory lists."""
        url = f"http://{self.nodes[node]['directory']}{resolve_path('norte')}"
        return self._http.request("GET", url).json().get("Addresses", [])

    def metrics(self, node):
        """Return a node's metrics as text."""
        url = f"http://{self.nodes[node]['ready']}/metrics"
        return self._http.request("GET", url).data.decode()

    def set_crash_part(self, part):
        """Set the prompt part that crashes model servers.

        Returns the times at which requests with such a part have reached them.
        """
        return self._post("/standin/crash-part", {"part": part}).json()

    def set_crash_path(self, path):
        """Set the end of the paths of requests that crash servers.

        Returns the times at which such requests have reached them.
        """
        return self._post("/standin/crash-path", {"path": path}).json()

    def set_server_limit(self, per_s):
        """Set how many requests per second the servers say that they take.

        ``None`` ends the limit. Returns the times at which requests have reached each
        server.
        """
        return self._post("/standin/limit", {"per_s": per_s}).json()

    def set_answer_time(self, answer_s):
        """Set how long plain servers take for a response, in seconds."""
        self._post("/standin/answer-time", {"answer_s": answer_s})

    def send_request(self, node, request_id, path="/ask/x", key=KEY, prompt=""):
        """Send a request to a node and return the status and body of the response.

        ``prompt`` lists the parts of its prompt.
        """
        conn = http.client.HTTPConnection(self.nodes[node]["front"], timeout=8.0)
        headers = request_headers(request_id, key)
        if prompt:
            headers["X-Prompt-Prefix"] = prompt
        try:
            conn.request("POST", path, body=b"{}", headers=headers)
            resp = conn.getresponse()
            return resp.status, resp.read()
        finally:
            conn.close()

    def log_events(self, node):
        """Return the events that a node has logged."""
        lines = self.log_text(node).splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def log_text(self, node):
        """Return all that a node has written."""
        return (self._out / f"{node}.log").read_text("utf-8")

    def wait(self, condition, description, timeout_s=START_TIMEOUT_S):
        """Wait until ``condition()`` is true.

        Raises ``TimeoutError`` after ``timeout_s`` seconds.
        """
        wait_until(condition, timeout_s, description)

    def _store_responds(self):
        try:
            self._post("/standin/trouble", {"trouble": ""})
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def _post(self, path, body):
        return self._http.request("POST", f"http://{self.store}{path}", json=body)
