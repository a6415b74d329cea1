"""Run the demo: ``python -m demo``; exits with 0 only if every step succeeds."""

import json
import signal
import sys
import tempfile
import time
from pathlib import Path

from uuid6 import uuid7

from auburnwall.cli.callers import Caller, CallerError
from standins.engine import response_words

from .cluster import Cluster, VmSpec, wait_until

DATA_CENTERS = ("norte-cali", "zona-yumbo", "zona-palmira")
KEY = "drivers-key"
MODEL = "dispatch-70b"
NODES = 7
READY_TIMEOUT_S = 40.0
TOKENS = 24
CONFIG = Path(__file__).with_name("config.toml")


def engine_vms():
    """Return three VMs for each data centre; each has a single fabric domain."""
    return [
        VmSpec(f"gpu-{center}-{number}", center, f"{center}-f1")
        for center in DATA_CENTERS
        for number in (1, 2, 3)
    ]


class Demo:
    """Runs the steps of the demo in order and prints each that succeeds."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._step_number = 0
        self._started_at = time.monotonic()

    def run(self):
        """Run all steps; a step that fails raises an error."""
        cluster = self._cluster
        for name in cluster.nodes:
            cluster.start_node(name)
        self._print_step(f"{NODES} nodes are running, each at its own address")
        self._apply_configuration()
        self._wait_for_groups(2)
        self._complete("first request")
        self._book_twice()
        self._kill_member()
        self._complete("after the repair")
        self._stop_a_node()
        self._complete("with one node fewer")

    def _print_step(self, text):
        self._step_number += 1
        seconds = time.monotonic() - self._started_at
        print(f"{self._step_number:2d}. [{seconds:5.1f} s] {text}", flush=True)

    def _apply_configuration(self):
        code, output = self._cluster.operate("apply", str(CONFIG), "--wait")
        if code != 0:
            raise RuntimeError(f"apply ended with {code}: {output}")
        self._print_step("an operator applied the configuration: " + output.strip())

    def _status(self):
        code, output = self._cluster.operate("status", "--format=json")
        if code != 0:
            raise RuntimeError(f"status ended with {code}: {output}")
        return json.loads(output)

    def _serving(self):
        return [g for g in self._status()["groups"] if g["serving"] == "yes"]

    def _wait_for_groups(self, count):
        serving = wait_until(
            lambda: found if len(found := self._serving()) >= count else None,
            READY_TIMEOUT_S,
            f"{count} serving groups",
        )
        for group in serving:
            vms = " and ".join(group["vms"])
            self._print_step(f"group {group['group']} serves on {vms}")

    def _caller(self):
        any_node = next(iter(self._cluster.nodes.values()))
        return Caller(any_node[1], KEY)

    def _complete(self, label):
        messages = [{"role": "user", "content": f"Classify the drums: {label}"}]
        body = {"model": MODEL, "stream": True, "max_tokens": TOKENS}
        expected = response_words(json.dumps(messages), TOKENS)
        caller = self._caller()
        started_at = time.monotonic()
        text = "".join(caller.stream({**body, "messages": messages}))
        if text.split() != expected:
            raise RuntimeError(f"{label}: the response is incomplete: {text!r}")
        took_ms = (time.monotonic() - started_at) * 1000
        self._print_step(f"{label}: {TOKENS} of {TOKENS} tokens in {took_ms:.0f} ms")

    def _book_twice(self):
        key = str(uuid7())
        body = {"slot": "2026-12-04T06:00", "house": 17}
        responses = [
            self._caller().call(
                "POST", "/v1/services/booking/bookings", body, {"Idempotency-Key": key}
            )
            for _ in range(2)
        ]
        booked = [
            row
            for desk in self._cluster.desks
            for row in self._cluster.get(
                self._cluster.vm_addresses[desk], "/_bookings"
            )["bookings"]
        ]
        if [response[0] for response in responses] != [201, 201] or len(booked) != 1:
            raise RuntimeError(f"booking: responses {responses}, booked {booked}")
        self._print_step("a booking was sent twice under one key and ran once")

    def _kill_member(self):
        group = self._serving()[0]
        lost = group["vms"][1]
        self._cluster.post("engines", f"/members/{lost}/kill")
        self._print_step(f"VM {lost} is killed")

        def has_left():
            return group["group"] not in [g["group"] for g in self._serving()]

        wait_until(has_left, READY_TIMEOUT_S, "the broken group to leave service")
        self._print_step(f"group {group['group']} is out of service")

        def repaired():
            return [
                g
                for g in self._serving()
                if g["group"] == group["group"] and lost not in g["vms"]
            ]

        repaired_group = wait_until(repaired, READY_TIMEOUT_S, "the repair")[0]
        vms = " and ".join(repaired_group["vms"])
        self._print_step(f"group {group['group']} is repaired and serves on {vms}")

    def _stop_a_node(self):
        name = list(self._cluster.nodes)[-1]
        self._cluster.signal(name, signal.SIGTERM)
        if self._cluster.wait_for_exit(name) != 0:
            raise RuntimeError(f"{name} exited with an error")
        self._print_step(f"node {name} received SIGTERM and exited with 0")


def main():
    """Run the demo and return the exit code."""
    with tempfile.TemporaryDirectory(prefix="auburnwall-demo-") as out:
        desks = [VmSpec(f"desk-{c}", c, f"{c}-f0") for c in DATA_CENTERS]
        try:
            with Cluster(DATA_CENTERS, NODES, engine_vms(), desks, out) as cluster:
                Demo(cluster).run()
        except (RuntimeError, TimeoutError, CallerError) as exc:
            print(f"step failed: {exc}", file=sys.stderr)
            for log in sorted(Path(out).glob("*.log")):
                lines = log.read_text("utf-8", "replace").splitlines()[-8:]
                print(f"--- {log.name}", *lines, sep="\n", file=sys.stderr)
            return 1
    print("all steps succeeded")
    return 0


if __name__ == "__main__":
    sys.exit(main())
