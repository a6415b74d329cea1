"""One server answers one booking with bytes without end; its node stops for good."""

import http.client
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

from ..lib.deployment import (
    APP,
    ASK_PATH,
    BOOK_PATH,
    LOOK_PATH,
    CaseError,
    Deployment,
    configuration,
    request_headers,
    run_case,
)
from ..lib.plain_server import ServerProcess, seal_of

FOLDER = Path(__file__).resolve().parent
# Where the bytes without end are, see ``endless_server``.
FORM = os.environ.get("FORM", "body")
SERVER = "i-desk-endless"
# ``TimeoutMs`` of the two routes, in seconds, and what the rule adds to it.
TIMEOUT_S = {BOOK_PATH: 4.0, ASK_PATH: 8.0}
RULE_SLACK_S = 0.5
# Above both, so that the clients still wait when the rule says that answers are due.
DEADLINE_MS = 12_000
REQUESTS_PER_ROUTE = 12
MAX_BOOKINGS = 60
# ``GraceS``.
GRACE_S = 8.0
# Of ``FORM=stream``: the streams, for how long they are read, the ``TimeoutMs`` of
# their route, and how many of them the rule allows to go on after it.
STREAM_PATH, STREAMS, STREAM_READ_BYTES = "/aviso/x", 16, 1 << 20
STREAM_TIMEOUT_S, STREAM_WATCH_S, MIN_LATE_STREAMS = 4.0, 10.0, 8


def case(record, trouble):
    """Return whether the rule held."""
    options = {"engines": 4, "desks": 2, "configuration": with_plain_stream()}
    with Deployment(record, options) as deployment:
        module = f"{__package__}.endless_server"
        server = ServerProcess(deployment, module, SERVER, FORM)
        try:
            return run(deployment, server, trouble)
        finally:
            server.end()


def run(deployment, server, trouble):
    """Bring one endless answer about, and count the answers of its node after it."""
    record, (node, other, *_) = deployment.record, deployment.nodes
    deployment.wait_until_serving()
    deployment.wait_until(
        lambda: sealed_by(deployment.request(node, "GET", LOOK_PATH, 4000), SERVER),
        10.0,
        f"{SERVER} gets requests",
    )
    if trouble:
        server.begin_trouble()
    if FORM == "stream":
        return streams_end(deployment, node)
    if trouble:
        hit = threading.Thread(target=book_until_hit, args=(deployment, node, server))
        hit.start()
        deployment.wait_until(lambda: was_hit(server), 10.0, f"{SERVER} gets a booking")
    time.sleep(1.0)
    replies = send_at_once(deployment, node)
    late, unanswered = [], []
    for path, reply in replies:
        answered_in_s = reply.took_s if reply.status else float("inf")
        if answered_in_s > TIMEOUT_S[path]:
            late.append(reply)
            if answered_in_s > TIMEOUT_S[path] + RULE_SLACK_S:
                unanswered.append(reply)
    record.write(
        f"{node}: of {len(replies)} requests, {len(late)} had no answer at TimeoutMs, "
        f"{len(unanswered)} none half a second later"
    )
    record.write(f"{node} is ready: {deployment.is_ready(node)}")
    deployment.write_runs()
    write_stop(deployment, node)
    control = deployment.request(other, "POST", ASK_PATH, 8000)
    if control.status != 200:
        raise CaseError("a node without such an answer serves nothing either")
    return 2 * len(unanswered) <= len(late)


def with_plain_stream():
    """Return the configuration with a route for streams of the plain servers."""
    changed = configuration()
    stream = next(r for r in changed["Routes"] if r["Type"] == "streaming")
    fields = {"Name": "r-4", "PathPrefix": "/aviso/", "Service": APP, "Affinity": False}
    changed["Routes"].append({**stream, **fields, "TimeoutMs": 4000})
    return changed


def streams_end(deployment, node):
    """Return whether streams that last longer than ``TimeoutMs`` are ended then."""
    record, late, unanswered = deployment.record, [], []

    def read_stream(number):
        conn = deployment.connect(node)
        attempt, started_at, count = f"stream{number}", time.monotonic(), 0
        headers = request_headers(attempt, DEADLINE_MS)
        record.write(f"sent {attempt} POST {STREAM_PATH} to {node}")
        why = "ended"
        try:
            conn.request("POST", STREAM_PATH, body=b"{}", headers=headers)
            resp = conn.getresponse()
            while data := resp.read1(STREAM_READ_BYTES):
                count += len(data)
                if time.monotonic() - started_at > STREAM_WATCH_S:
                    why = "still going on"
                    break
        except (OSError, http.client.HTTPException) as exc:
            why = repr(exc)
        conn.close()
        took_s = time.monotonic() - started_at
        if took_s > STREAM_TIMEOUT_S:
            late.append(attempt)
        if took_s > STREAM_TIMEOUT_S + RULE_SLACK_S:
            unanswered.append(attempt)
        record.write(f"{attempt}: {count} bytes in {took_s:.2f} s, {why}")

    readers = [threading.Thread(target=read_stream, args=(n,)) for n in range(STREAMS)]
    for reader in readers:
        reader.start()
    time.sleep(1.0)
    record.write(f"{node} is ready: {deployment.is_ready(node)}")
    for reader in readers:
        reader.join()
    record.write(
        f"{node}: of {STREAMS} streams, {len(late)} lasted longer than TimeoutMs, "
        f"{len(unanswered)} had not ended half a second later"
    )
    return len(unanswered) < MIN_LATE_STREAMS or 4 * len(unanswered) <= len(late)


def write_stop(deployment, node):
    """Write down whether the node ends after SIGTERM; the result doesn't count."""
    deployment.signal(node, signal.SIGTERM)
    try:
        code = deployment.process(node).wait(GRACE_S + 1.0)
        deployment.record.write(f"{node} ended with {code}")
    except subprocess.TimeoutExpired:
        deployment.record.write(f"{node} still runs {GRACE_S + 1} s after SIGTERM")


def was_hit(server):
    """Return whether the server has begun to send without end."""
    return any(line.startswith("endless") for line in server.lines)


def book_until_hit(deployment, node, server):
    """Send bookings, one by one, until the server has got one."""
    for _ in range(MAX_BOOKINGS):
        if was_hit(server):
            return
        deployment.request(node, "POST", BOOK_PATH, 4000, body=b"{}")


def sealed_by(reply, server):
    """Return whether an answer bears the seal of a server."""
    return reply.headers.get("X-Server-Seal") == seal_of(server)


def send_at_once(deployment, node):
    """Send requests on both routes at the same time; return paths and replies."""
    replies = []

    def send(path):
        reply = deployment.request(node, "POST", path, DEADLINE_MS, body=b"{}")
        replies.append((path, reply))

    paths = [path for path in TIMEOUT_S for _ in range(REQUESTS_PER_ROUTE)]
    senders = [threading.Thread(target=send, args=(path,)) for path in paths]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    return replies


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
