"""A stop answers the requests that run at its end before the node exits."""

import socket
import time
import unittest

import gevent
import urllib3
from uuid6 import uuid7

from .support import KEY, MODEL, LiveNode

MESSAGES = '[{"role": "user", "content": "Which drums?"}]'
# Longer than the stop takes.
LONG_S = 30.0


class PlannedStopTests(unittest.TestCase):
    """The node stops while its servers take long."""

    def setUp(self):
        self.node = self.enterContext(
            LiveNode(entry_hold_s=0.5, fresh_s=1.5, heartbeat_s=0.2, drain_limit_s=1.5)
        )
        self.http = urllib3.PoolManager(retries=False, timeout=20.0)
        self.addCleanup(self.http.clear)
        self.node.booking.work_s = LONG_S

    def send(self, path, body):
        return self.http.request(
            "POST",
            f"http://{self.node.address}{path}",
            body=body,
            headers={
                "Authorization": f"Bearer {KEY}",
                "Content-Type": "application/json",
                "Idempotency-Key": str(uuid7()),
            },
        )

    def completion(self, stream):
        return (
            f'{{"model": "{MODEL}", "messages": {MESSAGES}, "max_tokens": 6, '
            f'"stream": {stream}}}'
        )

    def test_requests_without_an_answer_get_one(self):
        """Guards against an exit that cuts them off."""
        node, path = self.node, "/v1/chat/completions"
        engines = list(node.engines.members.values())
        for engine in engines:
            engine.token_s = LONG_S
        calls = [
            gevent.spawn(self.send, path, self.completion("false")),
            gevent.spawn(self.send, "/v1/services/booking/bookings", "{}"),
        ]
        node.wait(lambda: node.booking.running and any(e.running for e in engines))
        for engine in engines:
            engine.paused_until = time.monotonic() + LONG_S
        calls.append(gevent.spawn(self.send, path, self.completion("true")))
        node.wait(lambda: node.components.gateway.running() == len(calls))
        drain = self.node.components.drain
        drain.begin()
        drain.finished.wait()
        gevent.sleep(0.02)
        self.assertEqual([call.ready() for call in calls], [True] * len(calls))
        for call in calls:
            resp = call.get()
            self.assertEqual((resp.status, resp.json()["ran"]), (504, "unknown"))

    def test_body_that_never_comes(self):
        """Guards against an exit without an answer to its request."""
        host, _, port = self.node.address.partition(":")
        with socket.create_connection((host, int(port)), 5.0) as sock:
            sock.sendall(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                b"Content-Type: application/json\r\nContent-Length: 9\r\n\r\n{"
            )
            gevent.sleep(0.2)
            drain = self.node.components.drain
            drain.begin()
            answer = gevent.spawn(sock.recv, 65_536)
            drain.finished.wait()
            gevent.sleep(0.02)
            self.assertTrue(answer.ready())
            self.assertTrue(answer.get().startswith(b"HTTP/1.1 503 "))
