"""Callers that keep one channel for many requests, and what each request came to."""

import http.client
import threading
import time
from typing import NamedTuple

from .deployment import request_headers


class Outcome(NamedTuple):
    """One request: its times, its status (0 without an answer) and the error.

    ``is_kept`` is whether the channel had carried a request before.
    """

    attempt: str
    sent_at: float
    ended_at: float
    status: int
    error: str
    is_kept: bool

    def line(self):
        """Return a line for the record."""
        return (
            f"{self.sent_at:.3f} sent {self.attempt} kept={self.is_kept};"
            f" {self.ended_at:.3f} answered {self.status} {self.error}"
        )


class KeptCaller(threading.Thread):
    """Sends one request after the other on a channel that it keeps.

    A channel that the node closed is replaced by a new one. ``stop()`` ends it.
    """

    def __init__(self, front, prefix, path, deadline_ms, *, method="POST", pause_s=0.0):
        super().__init__(daemon=True)
        self.outcomes = []
        self._front, self._prefix, self._path = front, prefix, path
        self._deadline_ms, self._method = deadline_ms, method
        self._pause_s = pause_s
        self._stopped = threading.Event()

    def stop(self):
        """End after the present request."""
        self._stopped.set()

    def run(self):
        """Send requests until stopped."""
        conn, is_kept, number = self._connection(), False, 0
        while not self._stopped.is_set():
            number += 1
            outcome = self._send(conn, f"{self._prefix}{number:04x}", is_kept)
            self.outcomes.append(outcome)
            is_kept = outcome.status > 0 and conn.sock is not None
            if outcome.status == 0:
                conn.close()
                conn = self._connection()
                self._stopped.wait(0.2)
            self._stopped.wait(self._pause_s)
        conn.close()

    def _connection(self):
        timeout_s = self._deadline_ms / 1000 + 1.0
        return http.client.HTTPConnection(self._front, timeout=timeout_s)

    def _send(self, conn, attempt, is_kept):
        headers = request_headers(attempt, self._deadline_ms)
        body = b"{}" if self._method == "POST" else None
        sent_at, status, error = time.time(), 0, ""
        try:
            conn.request(self._method, self._path, body=body, headers=headers)
            resp = conn.getresponse()
            resp.read()
            status = resp.status
        except (OSError, http.client.HTTPException) as exc:
            error = repr(exc)
        return Outcome(attempt, sent_at, time.time(), status, error, is_kept)
