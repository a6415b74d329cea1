"""A small deployment on loopback addresses: store, servers and nodes as processes."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
HOST, KEY, TENANT = "shop.example", "key-of-blue", "blue"
# Below the range from which the kernel takes ports for outgoing connections.
PORTS = (12_000, 32_000)
START_S = 20.0
SETTINGS = """Node={node}
Role=node
MachineClass=edge
Serves=edge,dir
Ip=127.0.0.1
Zone=norte
Region=valle
Zones.norte=valle
Listen.Front={front}
Listen.Ready={ready}
Listen.Directory={directory}
PortRange={peer},{peer}
Bootstrap=true
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
HeartbeatMs=1200
Bounds.ContactMs=3000
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.ConfigMs=2000
Bounds.BudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.BudgetSlack=105
Bounds.StallMs=6000
Platform.Address={store}
Platform.form=log
"""


class CannotRunError(Exception):
    """The deployment did not start, so that the case shows nothing."""


def route(name, kind, service, **changes):
    """Return a route of the configuration, as the operator writes it."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Type": kind,
        "Service": service,
        "TimeoutMs": 8000,
        "SloMs": 400,
        "GapSloMs": 300,
        "Attempts": 2,
        **changes,
    }


def configuration(look_timeout_ms):
    """Return a configuration with four routes to three services.

    ``look_timeout_ms`` is the ``TimeoutMs`` of the route "look".
    """
    engine = {
        "BatchSlots": 9,
        "KvCapacity": 984_705,
        "Models": [
            {"Name": "big", "size": 2, "Share": 1.0, "LoadS": 12, "WarmS": 1.1},
        ],
        "step_ms": 7.8,
        "per_seq_ms": 0.0947,
        "context_per_k": 0.0096,
        "read_per_s": 45_900.0,
        "pairs_per_m": 0.433,
        "Stride": 5,
        "LoadsPerS": 5.0,
        "loads_at_once": 7,
    }
    return {
        "Version": 1,
        "Routes": [
            route("ask", "streaming", "assist", Resumable=True, Affinity=True),
            route("book", "mutating", "desk", Attempts=1, TimeoutMs=2000),
            route("look", "idempotent", "desk", TimeoutMs=look_timeout_ms),
            route("certify", "mutating", "ledger", Attempts=1, TimeoutMs=4000),
        ],
        "Services": [
            {"Name": "assist", "HealthPath": "/healthz", "Engine": engine},
            {"Name": "desk", "HealthPath": "/healthz"},
            {"Name": "ledger", "HealthPath": "/healthz"},
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384,
            "MaxBodyBytes": 4_194_304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15_000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


def request_headers(attempt, deadline_ms, **changes):
    """Return the headers of a caller's request."""
    return {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **changes,
    }


class Deployment:
    """Processes of a store, of servers and of nodes; leaving the context ends them.

    Their logs are kept in the folder that the variable ``CASE_LOGS`` names, if it is
    set.
    """

    def __init__(self, look_timeout_ms=4000):
        self._look_timeout_ms = look_timeout_ms
        self.processes, self.nodes, self.specs = {}, {}, {}
        self._reserved, self._stack = [], ExitStack()

    def __enter__(self):
        with ExitStack() as stack:
            out = stack.enter_context(tempfile.TemporaryDirectory())
            self.out = Path(out)
            stack.callback(self._end_all)
            self._stack = stack
            self.store = self.free_address()
            self.start("store", ["-m", "review.lib2.store_process", self.store])
            self.wait(lambda: self.post("/standin/trouble", {"trouble": ""}), "store")
            self.put("keyed.op", "config", configuration(self._look_timeout_ms))
            # Nothing has failed, so the processes live on.
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def free_address(self):
        """Return a loopback address that no other process of the case gets."""
        while True:
            port, sock = random.randrange(*PORTS), socket.socket()
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                sock.close()
                continue
            # Set after bind: others may listen here, and nobody else reserves it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._reserved.append(sock)
            return f"127.0.0.1:{port}"

    def start(self, name, arguments, **environ):
        """Start a Python process whose output goes to a file."""
        log = self._stack.enter_context((self.out / f"{name}.log").open("ab"))
        path = f"{DEPS}:{ROOT}" if name not in self.nodes else str(DEPS)
        self.processes[name] = subprocess.Popen(
            ["python3", *arguments],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": path, **environ},
        )

    def add_node(self, name):
        """Start a node with the command of the deploy file."""
        front, ready, directory, peer = (self.free_address() for _ in range(4))
        self.nodes[name] = {"front": front, "ready": ready, "directory": directory}
        text = SETTINGS.format(
            node=name,
            store=self.store,
            peer=peer.rpartition(":")[2],
            **self.nodes[name],
        )
        path = self.out / f"{name}.conf"
        path.write_text(text, "utf-8")
        self.start_node(name)

    def start_node(self, name):
        """Start a node, again with its settings if it has ended."""
        path = self.out / f"{name}.conf"
        if name in self.processes:
            # The system does not start for the first time any more.
            text = path.read_text("utf-8")
            path.write_text(text.replace("Bootstrap=true", "Bootstrap=false"), "utf-8")
        self.start(name, ["-m", "auburnwall.platform"], AUBURNWALL_SETTINGS=str(path))

    def resident_bytes(self, name):
        """Return the resident memory of a process, 0 if it has ended."""
        try:
            pages = Path(f"/proc/{self.processes[name].pid}/statm").read_text()
        except OSError:
            return 0
        return int(pages.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def add_server(self, name, service, domain, registered="", **changes):
        """Start a server; ``registered`` is the address of a proxy before it."""
        address = changes.pop("address", "") or self.free_address()
        self.specs[name] = {
            "name": name,
            "service": service,
            "domain": domain,
            "store": self.store,
            "address": address,
            "registered": registered or address,
            "run_log": str(self.out / "runs.txt"),
            **changes,
        }
        self.start_server(name)
        return address

    def start_server(self, name):
        """Start a server, again under the same id if it has ended."""
        spec = json.dumps(self.specs[name])
        self.start(name, ["-m", "review.lib2.server_process", spec])

    def signal(self, name, number):
        """Send a signal to a process of this deployment."""
        self.processes[name].send_signal(number)

    def put(self, topic, key, value):
        """Write a record to the store, as its other writers do."""
        return self.post("/standin/put", {"topic": topic, "key": key, "value": value})

    def post(self, path, body):
        """Call the store's stand-in; return whether it succeeded."""
        try:
            return self.call(self.store, "POST", path, json.dumps(body))[0] == 200
        except OSError:
            return False

    def call(self, address, method, path, body=None):
        """Return status and body of one exchange."""
        conn = http.client.HTTPConnection(address, timeout=5.0)
        try:
            headers = {"Content-Type": "application/json"}
            conn.request(method, path, body=body, headers=headers)
            resp = conn.getresponse()
            return resp.status, resp.read()
        finally:
            conn.close()

    def is_ready(self, node):
        """Return whether a node says that it is ready."""
        try:
            return self.call(self.nodes[node]["ready"], "GET", "/-/readyz")[0] == 200
        except OSError:
            return False

    def wait(self, condition, what, limit_s=START_S):
        """Wait until ``condition()``; raises ``CannotRunError``."""
        ends_at = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > ends_at:
                raise CannotRunError(f"not in time: {what}")
            time.sleep(0.05)

    def runs(self):
        """Return the lines of all servers on what they have begun to run."""
        path = self.out / "runs.txt"
        return path.read_text("utf-8").splitlines() if path.exists() else []

    def _end_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        for sock in self._reserved:
            sock.close()
        if kept := os.environ.get("CASE_LOGS"):
            shutil.copytree(self.out, kept, dirs_exist_ok=True)
