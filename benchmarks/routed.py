"""Cost of control traffic to one node on the users' platform.

``python -m benchmarks.routed`` measures the slopes of heartbeats, registrations and
planning, and prints a table of the costs at 7, 74 and 1,000 nodes.
"""

import json
import time

from absl import logging
from thrift.TSerialization import deserialize, serialize

from auburnwall.fleet.formation.assembly import FreeServer, assemble
from auburnwall.node.routed.peers import MAX_HEARTBEATS_PER_S
from auburnwall.node.routed.settings import RoutedSettings
from auburnwall.platform.servers import decode_registration
from auburnwall.routing.routes import ModelSpec
from auburnwall.wire.peer.ttypes import Pulse
from standins.platformconfig import registration_entry

from .slopes import fit_line

GROUP_COUNTS = (5, 25, 60, 150)
FREE_SERVER_COUNTS = (20, 60, 160, 400)
ROUNDS = 300
# Interval of a server's registrations in the platform's settings, in seconds.
REGISTRATION_INTERVAL_S = 1.2
# Nodes, servers, and groups at which one node has requests in flight.
SIZES = ((7, 63, 21), (74, 220, 40), (1_000, 4_300, 60))
LIMITS = "limits: 1.5% of a core, 9,000 bytes/s"
MODELS = {
    "big": ModelSpec("big", 8, 1.0, 0.5, 16.0, 1.6),
    "small": ModelSpec("small", 2, 0.6, 0.5, 12.0, 1.1),
}


def make_pulse(groups):
    """Return the heartbeat of a node with requests in flight at ``groups`` groups."""
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


def cpu_s(function, rounds=ROUNDS):
    """Return the mean processor time of one call, in seconds."""
    started_at = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - started_at) / rounds


def measure():
    """Return the slopes, and a registration's size and cost of decoding, by name."""
    heartbeats = {groups: serialize(make_pulse(groups)) for groups in GROUP_COUNTS}
    data = json.dumps(registration_entry()).encode()
    return {
        "pulse bytes": fit_line(
            "pulse",
            "bytes",
            "group",
            [(g, len(message)) for g, message in heartbeats.items()],
        ),
        "pulse cpu": fit_line(
            "pulse, written and read",
            "CPU s",
            "group",
            [(g, cpu_s(lambda g=g: _serialize_and_parse(g))) for g in GROUP_COUNTS],
        ),
        "plan cpu": fit_line(
            "forming groups of free servers",
            "CPU s",
            "server",
            [(n, cpu_s(lambda n=n: _assemble(n), 3)) for n in FREE_SERVER_COUNTS],
        ),
        "registration bytes": len(data) + 20,
        "registration cpu": cpu_s(lambda: decode_registration("i-1", data)),
    }


def cost_rows(measured, nodes, servers, groups):
    """Return a row for each mechanism: name, share of a core, bytes per second.

    The last row is the total.
    """
    settings = RoutedSettings()
    pulses_per_s = min((nodes - 1) / settings.pulse_s, MAX_HEARTBEATS_PER_S * 1.0)
    registrations_per_s = servers / REGISTRATION_INTERVAL_S
    pulse_bytes = measured["pulse bytes"].at(groups)
    rows = [
        (
            "pulses with every node",
            pulses_per_s * measured["pulse cpu"].at(groups),
            pulses_per_s * 2 * pulse_bytes,
        ),
        (
            "registrations, read by every node",
            registrations_per_s * measured["registration cpu"],
            registrations_per_s * measured["registration bytes"],
        ),
    ]
    total = ("all", sum(row[1] for row in rows), sum(row[2] for row in rows))
    return [*rows, total]


def main():
    """Print the slopes and the table of each size."""
    logging.set_verbosity(logging.FATAL)
    measured = measure()
    for name in ("pulse bytes", "pulse cpu", "plan cpu"):
        line = measured[name]
        slope = f"{line.slope:.3g} a {line.per}"
        print(f"| {line.name}, {line.unit} | {line.base:.3g} | {slope} |")
    print(f"| registration | {measured['registration bytes']} bytes |", end=" ")
    print(f"{measured['registration cpu']:.3g} CPU s |")
    for nodes, servers, groups in SIZES:
        print(f"\n{nodes} nodes, {servers} servers ({LIMITS})")
        for name, cpu, bytes_per_s in cost_rows(measured, nodes, servers, groups):
            print(f"| {name} | {cpu:.2%} | {bytes_per_s:,.0f} |")


def _serialize_and_parse(groups):
    deserialize(Pulse(), serialize(make_pulse(groups)))


def _assemble(count):
    free = [
        FreeServer(f"s{n}", 1, "", f"d{n // 18}", f"z{n % 3}", "", ())
        for n in range(count)
    ]
    assemble(free, MODELS, {}, {"big": 9.0, "small": 20.0}, 25)


if __name__ == "__main__":
    main()
