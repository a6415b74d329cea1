"""A small deployment on loopback addresses: nodes, the platform, clients.

Nodes are started with the command of ``deploy/system.toml`` and a settings file with
the fields of ``DEPLOY.md``. The platform's store and the servers are stand-ins in one
process of their own, ``review.lib.platform_process``.
"""

import http.client
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
from contextlib import ExitStack, closing
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
# Below the range of ephemeral ports, so that no outgoing connection takes one.
PORT_RANGE = (12_000, 32_000)
POLL_S = 0.05
EXIT_TIMEOUT_S = 10.0
STANDIN_ENVIRON = {"PYTHONPATH": "target/deps:."}
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Added to a deadline before a client counts a request as unanswered, in seconds.
CLIENT_TIMEOUT_S = 12.0

# The values are those of the site file, other than addresses and names.
SETTINGS = """Node={node}
Role=node
MachineClass=edge
Serves=edge,dir
Ip={host}
Zone={zone}
Region=valle-cauca
Zones.norte-cali=valle-cauca
Zones.zona-yumbo=valle-cauca
Zones.zona-palmira=valle-cauca
Listen.Front={host}:{front}
Listen.Ready={host}:{ready}
Listen.Directory={host}:{directory}
PortRange={peer},{peer}
Seeds=
Bootstrap={bootstrap}
InTolerance=false
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=dir
HeartbeatMs=1200
Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,gangs
FaultTolerance.Machines=1
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigMs=2000
Bounds.RollbackSlackMs=250
Bounds.SkewMaxMs=5000
Bounds.StrictRevoke=false
Bounds.RevokeMs=5000
Bounds.BudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.BudgetSlack=105
Bounds.ColdOver=1.5
Bounds.ColdSlack=5
Bounds.EvacMs=5000
Bounds.RecoverS=12
Bounds.PassMs=120
Bounds.RetryAfterS=0
Bounds.StallMs=6000
Bounds.RequireFence=false
Bounds.CeilingWindowS=5
Bounds.CeilingOver=1.1
Bounds.ttl_max_s=5
Platform.Address={store}
Platform.form=log
Platform.WritesPerS=400
Platform.ReadsPerS=2000
Platform.parts=8
Platform.AppendMs=4.0
Platform.PartMbS=20.0
Platform.ReadMbS=80.0
Platform.RecordBytes=262144
Platform.CallBytes=2097152
Platform.keep_s=300
Platform.PartMb=200
Platform.TtlMinMs=1000
"""
ZONES = ("norte-cali", "zona-yumbo", "zona-palmira")
HOST_NAME, KEY, TENANT = "ficu95.example", "n2ctnfzs989anu6wsjnb", "hule930"
APP, ENGINES, MODEL = "app-despacho", "flota-modelo", "m1"
ASK_PATH, BOOK_PATH, LOOK_PATH = "/resumen/x", "/orden/x", "/consulta/x"
READY_PATH = "/-/readyz"


def configuration():
    """Return a configuration with the routes, times and limits of the site file."""
    common = {"Host": HOST_NAME, "Priority": 1, "Anonymous": False}
    stream = {
        "Type": "streaming",
        "Service": ENGINES,
        "Attempts": 2,
        "Affinity": True,
        "Resumable": True,
        "TimeoutMs": 8000,
        "SloMs": 400,
        "GapSloMs": 300,
    }
    plain = {"Service": APP, "TimeoutMs": 4000, "SloMs": 400}
    engine = {
        "BatchSlots": 9,
        "KvCapacity": 984705,
        "Stride": 5,
        "Models": [
            {
                "Name": MODEL,
                "size": 2,
                "Share": 1.0,
                "pace": 0.6,
                "LoadS": 12.0,
                "WarmS": 1.1,
            }
        ],
        "step_ms": 7.8,
        "per_seq_ms": 0.179,
        "context_per_k": 0.0181,
        "read_per_s": 45900.0,
        "pairs_per_m": 0.433,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "LoadsPerS": 5.0,
        "loads_at_once": 7,
        "usual": {"prompt": 979, "answer": 154},
        "RetainCount": 1,
        "FormMs": 300.0,
    }
    return {
        "Version": 7,
        "Routes": [
            {**common, "Name": "r-1", "PathPrefix": "/resumen/", **stream},
            {
                **common,
                "Name": "r-2",
                "PathPrefix": "/orden/",
                "Type": "mutating",
                "Attempts": 1,
                **plain,
            },
            {
                **common,
                "Name": "r-3",
                "PathPrefix": "/consulta/",
                "Type": "idempotent",
                "Attempts": 2,
                **plain,
            },
        ],
        "Services": [
            {
                "Name": ENGINES,
                "HealthPath": "/healthz",
                "MaxConns": 428,
                "WarmupS": 3.0,
                "WarmupPerS": 36.0,
                "Engine": engine,
            },
            {"Name": APP, "HealthPath": "/healthz", "MaxConns": 100},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


def request_headers(attempt, deadline_ms):
    """Return the headers of every client attempt."""
    return {
        "Host": HOST_NAME,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }


class CaseError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Record:
    """The file ``record.txt`` of a case; its lines begin with seconds since start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        """Return seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write one line, also to standard output."""
        line = f"{self.now():8.3f}  {text}"
        with self._lock:
            print(line, flush=True)
            self._file.write(line + "\n")
            self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Reply:
    """The answer to a request; ``status`` is 0 if there is none or it is torn."""

    def __init__(self, status, headers, body, took_s, why=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.took_s = took_s
        self.why = why

    @property
    def sealed(self):
        """Return whether the answer bears the seal of a server."""
        return "X-Server-Seal" in self.headers

    def __str__(self):
        text = f"{self.status or 'no answer'} in {self.took_s:.2f} s"
        return f"{text}, {self.why}" if self.why else text


class Deployment:
    """The processes of a case; leaving the context ends all that it has started.

    ``platform_options`` are passed to ``review.lib.platform_process`` as one JSON
    object.
    """

    def __init__(self, record, platform_options, node_count=3):
        self.record = record
        self.nodes = {}
        self._options = platform_options
        self._node_count = node_count
        self._stack = ExitStack()
        self._processes = {}
        self._attempt_numbers = itertools.count(1)
        self._run_id = f"{random.getrandbits(32):08x}"

    def __enter__(self):
        temporary = tempfile.TemporaryDirectory(prefix="auburnwall-review-")
        self.folder = Path(self._stack.enter_context(temporary))
        self._stack.callback(self._end_all)
        try:
            self._start_platform()
            self.start_nodes(self._node_count)
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def start_nodes(self, count):
        """Start the first nodes of the deployment, in all zones by turns."""
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            self.add_node(f"edge-{zone}-{1 + number // len(ZONES)}", zone)

    def state(self):
        """Return the state of the stand-ins, see ``platform_process``."""
        return self.platform_call("/review/state")

    def add_node(self, name, zone):
        """Start a node with an address of its own."""
        ports = dict(
            zip(("front", "ready", "directory", "peer"), self._ports(4), strict=True)
        )
        self.nodes[name] = {"host": "127.0.0.1", "zone": zone, **ports}
        self.start_node(name, bootstrap=True)

    def start_node(self, name, *, bootstrap):
        """Start a node's process with the command of the deploy file."""
        path = self.folder / f"{name}.conf"
        text = SETTINGS.format(
            node=name,
            store=self.platform,
            bootstrap=str(bootstrap).lower(),
            **self.nodes[name],
        )
        path.write_text(text, "utf-8")
        environ = {"AUBURNWALL_SETTINGS": str(path), "PYTHONPATH": "target/deps"}
        self._start(name, ["python3", "-m", "auburnwall.platform"], environ)

    def signal(self, name, number):
        """Send a signal to a process of this case."""
        self.record.write(f"{signal.Signals(number).name} to {name}")
        self._processes[name].send_signal(number)

    def freeze(self, name, for_s):
        """Let a process of this case stand still, and go on after ``for_s``."""
        self.signal(name, signal.SIGSTOP)
        threading.Timer(for_s, self.signal, (name, signal.SIGCONT)).start()

    def process(self, name):
        """Return the process with this name that was started last."""
        return self._processes[name]

    def platform_call(self, path, body=None):
        """Call the stand-in of the platform and return the decoded answer."""
        host, _, port = self.platform.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=10.0)
        with closing(conn):
            headers = {"Content-Type": "application/json"}
            conn.request("POST", path, json.dumps(body or {}), headers)
            data = conn.getresponse().read()
        return json.loads(data) if data else None

    def connect(self, node, timeout_s=CLIENT_TIMEOUT_S):
        """Return a client's connection to the front of a node."""
        at = self.nodes[node]
        return http.client.HTTPConnection(at["host"], at["front"], timeout=timeout_s)

    def request(self, node, method, path, deadline_ms, *, body=None, conn=None):
        """Send one client attempt and return its ``Reply``; writes both down.

        Without ``conn`` a new connection is used and closed.
        """
        attempt = f"{self._run_id}{next(self._attempt_numbers):06x}"
        headers = request_headers(attempt, deadline_ms)
        if path == ASK_PATH:
            headers.update({"X-Model": MODEL, "X-Token-Usage": "1460,170"})
            headers["X-Prompt-Prefix"] = f"5c1e07a2:40,{attempt}:1420"
        own = conn is None
        conn = conn or self.connect(node)
        self.record.write(f"sent {attempt} {method} {path} to {node}")
        started_at = time.monotonic()
        try:
            conn.request(method, path, body=body, headers=headers)
            resp = conn.getresponse()
            data = resp.read()
            reply = Reply(
                resp.status, dict(resp.getheaders()), data, _since(started_at)
            )
        except (OSError, http.client.HTTPException) as exc:
            reply = Reply(0, {}, b"", _since(started_at), repr(exc))
        finally:
            if own:
                conn.close()
        seal = reply.headers.get("X-Server-Seal", "none")
        self.record.write(f"answer to {attempt} from {node}: {reply}, seal {seal}")
        reply.attempt = attempt
        return reply

    def is_ready(self, node, timeout_s=1.0):
        """Return whether a node answers that it is ready."""
        at = self.nodes[node]
        conn = http.client.HTTPConnection(at["host"], at["ready"], timeout=timeout_s)
        with closing(conn):
            try:
                conn.request("GET", READY_PATH)
                return conn.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                return False

    def wait_until(self, condition, timeout_s, description):
        """Wait until ``condition()`` is true; raise ``CaseError`` otherwise."""
        ends_at = time.monotonic() + timeout_s
        while not (value := condition()):
            if time.monotonic() >= ends_at:
                raise CaseError(f"not within {timeout_s} s: {description}")
            time.sleep(POLL_S)
        return value

    def wait_until_serving(self, timeout_s=30.0):
        """Wait until all nodes are ready and serve a request of each kind."""
        for node in self.nodes:
            self.wait_until(lambda n=node: self.is_ready(n), timeout_s, f"{node} ready")
        for node in self.nodes:
            for method, path in (("GET", LOOK_PATH), ("POST", ASK_PATH)):
                self.wait_until(
                    lambda n=node, m=method, p=path: (
                        self.request(n, m, p, 4000).status == 200
                    ),
                    timeout_s,
                    f"{node} serves {path}",
                )

    def planner(self):
        """Return the node that has taken over planning last, ``None`` without."""
        taken = [
            (event["time"], node)
            for node in self.nodes
            for event in self.log_events(node)
            if event["event"] == "planning taken over"
        ]
        return max(taken)[1] if taken else None

    def log_events(self, node):
        """Return the events that a node has logged."""
        text = (self.folder / f"{node}.log").read_text("utf-8", "replace")
        return [json.loads(line) for line in text.splitlines() if line[:1] == "{"]

    def write_runs(self):
        """Write down which requests each server has run."""
        for name, server in sorted(self.state()["servers"].items()):
            ids = [seen["id"] for seen in server["seen"]]
            self.record.write(f"run by {name}: {len(ids)}: {' '.join(map(str, ids))}")

    def _start_platform(self):
        self.platform = self.free_address()
        self._start(
            "platform",
            ["python3", "-m", "review.lib.platform_process", self.platform]
            + [json.dumps({"configuration": configuration(), **self._options})],
            STANDIN_ENVIRON,
        )
        self.wait_until(self._platform_responds, 20.0, "the platform answers")

    def _platform_responds(self):
        try:
            self.platform_call("/review/state")
        except (OSError, http.client.HTTPException, ValueError):
            return False
        return True

    def _start(self, name, command, environ):
        log = self._stack.enter_context((self.folder / f"{name}.log").open("ab"))
        self._processes[name] = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            cwd=ROOT,
            env={**inherited_environ(), **environ},
        )
        self.record.write(f"started {name}")

    def free_address(self):
        """Return a loopback address that only this case uses."""
        return f"127.0.0.1:{self._ports(1)[0]}"

    def process_options(self):
        """Return the folder and the environment of a stand-in's process."""
        return {"cwd": ROOT, "env": {**inherited_environ(), **STANDIN_ENVIRON}}

    def _ports(self, count):
        """Return free ports, reserved by sockets that never listen."""
        ports = []
        while len(ports) < count:
            sock = socket.socket()
            port = random.randrange(*PORT_RANGE)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                sock.close()
                continue
            # After the bind, so that no two cases reserve the same port.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._stack.enter_context(closing(sock))
            ports.append(port)
        return ports

    def _end_all(self):
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(EXIT_TIMEOUT_S)


def inherited_environ():
    """Return the variables that a process gets from the caller."""
    names = ("PATH", "HOME", "LANG")
    return {name: os.environ[name] for name in names if name in os.environ}


def play_spells(begin, end, *, until, spell_s, gap_s):
    """Call ``begin`` and ``end`` by turns until the monotonic time ``until``."""
    while time.monotonic() < until:
        begin()
        time.sleep(min(spell_s, max(0.0, until - time.monotonic())))
        end()
        time.sleep(gap_s)


def _since(at):
    return time.monotonic() - at


def run_case(folder, case):
    """Run ``case(record, trouble)``, which returns whether the rule held.

    Returns the exit code of the case's script.
    """
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if trouble else 'no'}")
    try:
        held = case(record, trouble)
    except Exception as exc:  # noqa: BLE001
        record.write(f"the case could not run: {exc!r}")
        return NOT_RUN
    finally_text = "the rule held" if held else "the rule was broken"
    record.write(finally_text)
    record.close()
    return HELD if held else BROKEN
