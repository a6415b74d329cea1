"""Callers that keep their connections alive and check the responses."""

import http.client
import json
import time
from typing import NamedTuple

import gevent

from standins.platformconfig import request_headers

from .plan import NODES

EXPECTED_PIECES = [f"piece-{number}" for number in range(1, 11)]
DEADLINE_S = 3.0
# How long a caller waits for a response beyond its deadline before it disconnects.
RESPONSE_MARGIN_S = 2.0
# Statuses by which a node states that the request has not run.
NOT_RUN = (408, 421, 429, 503)


class Outcome(NamedTuple):
    """The outcome of one request; ``status`` is 0 if its connection ended early.

    ``defect`` says what is wrong with a response of status 200; it is empty if nothing
    is. ``started_at`` is on the clock of ``time.monotonic``.
    """

    request_id: str
    kind: str
    node: str
    status: int
    defect: str
    started_at: float
    took_s: float


class Callers:
    """Concurrent callers that send streams and bookings to random nodes."""

    def __init__(self, cluster, rng, count=10):
        self.outcomes = []
        self._cluster = cluster
        self._rng = rng
        self._tasks = [
            gevent.spawn(self._send_requests, number) for number in range(count)
        ]

    def stop(self):
        """Let the callers finish their current requests."""
        for task in self._tasks:
            task.ending = True
        gevent.joinall(self._tasks, timeout=DEADLINE_S + RESPONSE_MARGIN_S + 1.0)

    def _send_requests(self, number):
        connections, request_count = {}, 0
        while not getattr(gevent.getcurrent(), "ending", False):
            request_count += 1
            node = self._rng.choice(NODES)
            kind = "book" if self._rng.random() < 0.4 else "ask"
            request_id = f"c{number}-{request_count}"
            outcome = self._call(connections, node, kind, request_id)
            self.outcomes.append(outcome)
            gevent.sleep(0.5 if outcome.status in (0, 503) else 0.05)

    def _call(self, connections, node, kind, request_id):
        started_at = time.monotonic()
        status, defect = 0, ""
        conn = connections.pop(node, None) or http.client.HTTPConnection(
            self._cluster.nodes[node]["front"], timeout=DEADLINE_S + RESPONSE_MARGIN_S
        )
        try:
            status, defect = _exchange(conn, kind, request_id)
            connections[node] = conn
        except (OSError, http.client.HTTPException):
            conn.close()
        took_s = time.monotonic() - started_at
        return Outcome(request_id, kind, node, status, defect, started_at, took_s)


def _exchange(conn, kind, request_id):
    """Return the status of one exchange and what is wrong with its response."""
    headers = request_headers(request_id)
    headers["X-Deadline-Ms"] = str(int(DEADLINE_S * 1000))
    conn.request("POST", f"/{kind}/{request_id}", body=b"{}", headers=headers)
    resp = conn.getresponse()
    body = resp.read()
    if resp.status != 200:
        return resp.status, ""
    if resp.headers.get("X-Attempt-Id") != request_id:
        return 200, "the response belongs to another request"
    if "X-Server-Seal" not in resp.headers:
        return 200, "the response has no seal"
    if kind == "ask":
        lines = body.decode().split("\n")
        pieces = [line[6:] for line in lines if line.startswith("data:")]
        return 200, "" if pieces == EXPECTED_PIECES else f"pieces {pieces}"
    path = json.loads(body)["of"]
    return 200, "" if path == f"/book/{request_id}" else f"the response is for {path}"
