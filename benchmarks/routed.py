"""What a routed node's control costs it at 7, 74 and 1,000 nodes.

``python -m benchmarks.routed`` measures the slopes of pulses and registrations and of
planning, and prints the sums for a deployment of each size as tables.
"""

import json
import time

from absl import logging
from thrift.TSerialization import deserialize, serialize

from auburnwall.fleet.formation.assembly import FreeServer, assemble
from auburnwall.node.routed.peers import MAX_PULSES_PER_S
from auburnwall.node.routed.settings import RoutedSettings
from auburnwall.platform.servers import decode_registration
from auburnwall.routing.routes import ModelSpec
from auburnwall.wire.peer.ttypes import Pulse
from standins.platformconfig import registration_entry

from .slopes import fitted

GROUPS = (5, 25, 60, 150)
FREE = (20, 60, 160, 400)
ROUNDS = 300
# Time between two registrations of a server, in seconds, from the platform's settings.
BEAT_S = 1.2
# Nodes, servers, and groups that one node has requests at.
SIZES = ((7, 63, 21), (74, 220, 40), (1_000, 4_300, 60))
LIMITS = "limits: 1.5% of a core, 9,000 bytes/s"
MODELS = {
    "big": ModelSpec("big", 8, 1.0, 0.5, 16.0, 1.6),
    "small": ModelSpec("small", 2, 0.6, 0.5, 12.0, 1.1),
}


def pulse_of(groups):
    """Return a pulse of a node with requests at that many groups."""
    return Pulse(
        node="edge-norte-1",
        incarnation="01a0e306-42c1-74f9-a547-10167b69cd8b",
        ready=True,
        stopping=False,
        reads_tables=True,
        table_ends={"operator": 9, "servers": 90_000, "fleet": 900},
        running={f"g{900 + number}": 3 for number in range(groups)},
        demand={"model-one": 0.5, "model-two": 1.0},
        suspects=[],
        has_traffic=True,
    )


def cpu_of(function, rounds=ROUNDS):
    """Return the processor time of one call, in seconds."""
    began = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - began) / rounds


def measure():
    """Return the measured slopes and figures by name."""
    texts = {groups: serialize(pulse_of(groups)) for groups in GROUPS}
    data = json.dumps(registration_entry()).encode()
    return {
        "pulse bytes": fitted(
            "pulse", "bytes", "group", [(g, len(text)) for g, text in texts.items()]
        ),
        "pulse cpu": fitted(
            "pulse, written and read",
            "CPU s",
            "group",
            [(g, cpu_of(lambda g=g: _there_and_back(g))) for g in GROUPS],
        ),
        "plan cpu": fitted(
            "forming groups of free servers",
            "CPU s",
            "server",
            [(n, cpu_of(lambda n=n: _assemble(n), 3)) for n in FREE],
        ),
        "registration bytes": len(data) + 20,
        "registration cpu": cpu_of(lambda: decode_registration("i-1", data)),
    }


def sums(found, nodes, servers, groups):
    """Return rows of what a node spends a second on each mechanism."""
    cfg = RoutedSettings()
    pulses_per_s = min((nodes - 1) / cfg.pulse_s, MAX_PULSES_PER_S * 1.0)
    beats_per_s = servers / BEAT_S
    pulse_bytes = found["pulse bytes"].at(groups)
    rows = [
        (
            "pulses with every node",
            pulses_per_s * found["pulse cpu"].at(groups),
            pulses_per_s * 2 * pulse_bytes,
        ),
        (
            "registrations, read by every node",
            beats_per_s * found["registration cpu"],
            beats_per_s * found["registration bytes"],
        ),
    ]
    total = ("all", sum(row[1] for row in rows), sum(row[2] for row in rows))
    return [*rows, total]


def main():
    """Print the slopes and the sums."""
    logging.set_verbosity(logging.FATAL)
    found = measure()
    for name in ("pulse bytes", "pulse cpu", "plan cpu"):
        line = found[name]
        slope = f"{line.slope:.3g} a {line.per}"
        print(f"| {line.name}, {line.unit} | {line.base:.3g} | {slope} |")
    print(f"| registration | {found['registration bytes']} bytes |", end=" ")
    print(f"{found['registration cpu']:.3g} CPU s |")
    for nodes, servers, groups in SIZES:
        print(f"\n{nodes} nodes, {servers} servers ({LIMITS})")
        for name, cpu, size in sums(found, nodes, servers, groups):
            print(f"| {name} | {cpu:.2%} | {size:,.0f} |")


def _there_and_back(groups):
    deserialize(Pulse(), serialize(pulse_of(groups)))


def _assemble(count):
    free = [
        FreeServer(f"s{n}", 1, "", f"d{n // 18}", f"z{n % 3}", "", ())
        for n in range(count)
    ]
    assemble(free, MODELS, {}, {"big": 9.0, "small": 20.0}, 25)


if __name__ == "__main__":
    main()
