"""Start and stop the processes of a small cluster on loopback addresses."""

import atexit
import json
import os
import random
import socket
import subprocess
import sys
import time
from contextlib import ExitStack, closing
from pathlib import Path
from typing import NamedTuple

import urllib3

START_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
UNBUFFERED_ENV = {"PYTHONUNBUFFERED": "1"}
# Range of ports for the processes of a cluster; its upper bound is excluded.
PORT_RANGE = (12_000, 32_000)

_RESERVED_SOCKETS = ExitStack()
atexit.register(_RESERVED_SOCKETS.close)


class VmSpec(NamedTuple):
    """A backend server VM of the cluster."""

    name: str
    data_center: str
    fabric_domain: str


def free_addresses(count):
    """Return loopback addresses that are reserved until this process exits.

    Their ports lie below the range of ephemeral ports, so that no outgoing connection
    takes one. The sockets that reserve the addresses are bound but never listen, so
    another process can listen on a reserved address.
    """
    addresses = []
    while len(addresses) < count:
        address = "127.0.0.1", random.randrange(*PORT_RANGE)
        sock = socket.socket()
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            continue
        # Set after bind: if set before, two processes could reserve the same address.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _RESERVED_SOCKETS.enter_context(closing(sock))
        addresses.append("{}:{}".format(*address))
    return addresses


class Processes:
    """Processes that write their output to files in ``out``.

    Subclasses start them in ``_start_all``. Leaving the context kills them.
    """

    def __init__(self, out):
        self._out = Path(out)
        self._stack = ExitStack()
        self._processes = {}
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)

    def __enter__(self):
        self._out.mkdir(parents=True, exist_ok=True)
        self._stack.callback(self._kill_all)
        self._start_all()
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def signal(self, name, number):
        """Send the signal with this number to a process of this cluster."""
        self._processes[name].send_signal(number)

    def _start(self, name, command, environ):
        log = self._stack.enter_context((self._out / f"{name}.log").open("ab"))
        self._processes[name] = subprocess.Popen(
            command,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            cwd=Path(__file__).parent.parent,
            env={**os.environ, **environ},
        )

    def _kill_all(self):
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait(EXIT_TIMEOUT_S)


class Cluster(Processes):
    """A cluster of stand-ins and nodes, each in its own process.

    ``node_flags`` are passed to each node as command line flags, ``engine_flags`` to
    the process of the engine stand-ins.
    """

    def __init__(
        self,
        data_centers,
        node_count,
        engines,
        desks,
        out,
        *,
        engine_flags=(),
        **node_flags,
    ):
        super().__init__(out)
        self.data_centers = data_centers
        self.engines = {vm.name: vm for vm in engines}
        self.desks = {vm.name: vm for vm in desks}
        # Name -> (data centre, address for callers, address for peers).
        self.nodes = {}
        self._engine_flags = engine_flags
        self._node_flags = node_flags
        names = ["log", "vm-list", "weight-store", "engines"]
        addresses = iter(
            free_addresses(len(names) + len(engines) + len(desks) + 2 * node_count)
        )
        self.addresses = {name: next(addresses) for name in names}
        self.vm_addresses = {
            name: next(addresses) for name in (*self.engines, *self.desks)
        }
        for number in range(node_count):
            name = f"entry-{number + 1}"
            center = data_centers[number % len(data_centers)]
            self.nodes[name] = (center, next(addresses), next(addresses))

    def _start_all(self):
        for name in ("log", "vm-list", "weight-store"):
            self._start_standin(name, name, self.addresses[name])
        members = ",".join(f"{vm}={self.vm_addresses[vm]}" for vm in self.engines)
        self._start_standin(
            "engines",
            "engines",
            self.addresses["engines"],
            "--members",
            members,
            "--weight-store-url",
            self.url("weight-store"),
            *self._engine_flags,
        )
        for name in self.desks:
            self._start_standin(name, "booking", self.vm_addresses[name])
        for address in (*self.addresses.values(), *self.vm_addresses.values()):
            wait_for_port(address)
        self.post(
            "vm-list", "/_vms", {"vms": [self._vm_row(v) for v in self._all_vms()]}
        )

    def url(self, name):
        """Return the URL of a stand-in."""
        return f"http://{self.addresses[name]}"

    def post(self, name, path, body=None):
        """Send a POST request to a stand-in; raise unless it returns 200."""
        resp = self._http.request("POST", self.url(name) + path, json=body or {})
        if resp.status != 200:
            raise RuntimeError(f"{name}{path}: {resp.status} {resp.data!r}")

    def get(self, address, path):
        """Send a GET request to an address and return the decoded response."""
        return json.loads(self._http.request("GET", f"http://{address}{path}").data)

    def start_node(self, name):
        """Start a node and wait until it listens."""
        center, address, peer_address = self.nodes[name]
        flags = {
            "node": name,
            "data-center": center,
            "address": address,
            "peer-address": peer_address,
            "log-url": self.url("log"),
            "vm-list-url": self.url("vm-list"),
            **self._node_flags,
        }
        program = str(Path(sys.executable).with_name("auburnwalld"))
        command = [program, *(f"--{k}={v}" for k, v in flags.items())]
        self._start(name, command, UNBUFFERED_ENV)
        wait_for_port(address)

    def operate(self, *arguments):
        """Run ``auburnwall`` with the arguments; return its exit code and output."""
        program = str(Path(sys.executable).with_name("auburnwall"))
        result = subprocess.run(
            [program, *arguments, f"--log-url={self.url('log')}"],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return result.returncode, result.stdout + result.stderr

    def pid(self, name):
        """Return the process id of a process of this cluster."""
        return self._processes[name].pid

    def wait_for_exit(self, name, timeout_s=EXIT_TIMEOUT_S):
        """Wait for a process to exit and return its exit code."""
        return self._processes[name].wait(timeout_s)

    def _all_vms(self):
        return [*self.engines.values(), *self.desks.values()]

    def _vm_row(self, vm):
        return {
            **vm._asdict(),
            "address": self.vm_addresses[vm.name],
            "state": "live",
        }

    def _start_standin(self, name, kind, address, *more):
        command = [sys.executable, "-m", "standins", kind, "--address", address, *more]
        self._start(name, command, UNBUFFERED_ENV)


def wait_for_port(address):
    """Wait until a process listens on ``address``."""
    host, _, port = address.rpartition(":")

    def is_listening():
        with closing(socket.socket()) as sock:
            return sock.connect_ex((host, int(port))) == 0

    wait_until(is_listening, START_TIMEOUT_S, f"{address} to listen")


def wait_until(condition, timeout_s, description):
    """Wait until ``condition()`` is true and return its value.

    Raises ``TimeoutError`` after ``timeout_s`` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise TimeoutError(
                f"timed out after {timeout_s} s waiting for: {description}"
            )
        time.sleep(POLL_INTERVAL_S)
