"""A server breaks off answers within the head; callers get them as whole successes."""

import re
import sys
import threading
import time
from collections import Counter
from pathlib import Path

from ..lib.deployment import BOOK_PATH, LOOK_PATH, Deployment, play_spells, run_case
from ..lib.plain_server import ServerProcess, seal_of, sound_body

FOLDER = Path(__file__).resolve().parent
SERVER = "i-desk-cutting"
# Share of the answers of this server, one of three, that are broken off.
CUT_SHARE = 0.03
CLIENTS_PER_NODE = 3
# Length of one spell of trouble: ``for_s`` of the site file. Pause between two.
SPELL_S, GAP_S = 5.5, 1.5
# Time for which the clients send requests, and their pause between two of them.
TRAFFIC_S, PAUSE_S = 40.0, 0.01
DEADLINE_MS = 4000
RUN_BY = re.compile(rb"^(\S+) ran (\S+) ")


def case(record, trouble):
    """Return whether the rule held."""
    with Deployment(record, {"engines": 4, "desks": 0}) as deployment:
        module = f"{__package__}.cutting_server"
        servers = [
            ServerProcess(deployment, module, name, str(CUT_SHARE))
            for name in (SERVER, "i-desk-1", "i-desk-2")
        ]
        try:
            deployment.wait_until_serving()
            time.sleep(1.5)
            return run(deployment, servers, trouble)
        finally:
            for server in servers:
                server.end()


def run(deployment, servers, trouble):
    """Send bookings and lookups; return whether each success is whole."""
    record, ends_at = deployment.record, time.monotonic() + TRAFFIC_S
    replies, names = [], {server.server for server in servers}

    def send(node, number):
        conn = deployment.connect(node)
        while time.monotonic() < ends_at:
            number += 1
            method, path = ("POST", BOOK_PATH) if number % 2 else ("GET", LOOK_PATH)
            reply = deployment.request(node, method, path, DEADLINE_MS, conn=conn)
            replies.append((path, reply))
            if not reply.status:
                conn.close()
            time.sleep(PAUSE_S)
        conn.close()

    threads = [
        threading.Thread(target=send, args=(node, number))
        for node in deployment.nodes
        for number in range(CLIENTS_PER_NODE)
    ]
    for thread in threads:
        thread.start()
    if trouble:
        play_spells(
            servers[0].begin_trouble,
            servers[0].end_trouble,
            until=ends_at,
            spell_s=SPELL_S,
            gap_s=GAP_S,
        )
    for thread in threads:
        thread.join()
    counts = Counter((path, reply.status) for path, reply in replies)
    for (path, status), count in sorted(counts.items()):
        record.write(f"{path}: {count} answers {status}")
    cuts = [line for line in servers[0].lines if line.startswith("breaks off")]
    record.write(f"{SERVER} broke off {len(cuts)} answers")
    wrong = [
        (path, reply)
        for path, reply in replies
        if 200 <= reply.status < 300 and not is_whole(reply, names)
    ]
    for path, reply in wrong:
        cut = next((line for line in cuts if reply.attempt in line), "not broken off")
        record.write(
            f"wrong success: {reply.attempt} {path}: {reply.status}, "
            f"headers {reply.headers}, body of {len(reply.body)} bytes; {cut}"
        )
    record.write(f"{len(wrong)} of {len(replies)} answers are wrong successes")
    return not wrong


def is_whole(reply, names):
    """Return whether a success has the seal and the whole body of one of the servers.

    ``names`` are the servers.
    """
    found = RUN_BY.match(reply.body)
    if not found:
        return False
    server, attempt = (text.decode() for text in found.groups())
    return (
        server in names
        and attempt == reply.attempt
        and reply.headers.get("X-Server-Seal") == seal_of(server)
        and reply.body == sound_body(server, attempt)
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
