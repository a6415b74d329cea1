"""Callers that read streams, and what each of them got."""

import http.client
import re
import threading
import time

from .deployment import request_headers

EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
DEADLINE_MS = 8000


class StreamCaller(threading.Thread):
    """Reads one stream; ``ids`` are those of its events in the order of arrival."""

    def __init__(self, front, attempt):
        super().__init__(daemon=True)
        self.attempt = attempt
        self.status, self.is_complete, self.error = 0, False, ""
        self.ids, self.began_at, self.ended_at = [], 0.0, 0.0
        self._front = front

    def run(self):
        """Send the request and read its stream to the end."""
        self.began_at = time.time()
        conn = http.client.HTTPConnection(self._front, timeout=10.0)
        headers = request_headers(
            self.attempt,
            DEADLINE_MS,
            **{
                "X-Model": "big",
                "X-Token-Usage": "714,300",
                "X-Prompt-Prefix": f"aa01:40,{self.attempt}:674",
            },
        )
        try:
            conn.request("POST", "/ask/x", body=b"{}", headers=headers)
            resp = conn.getresponse()
            self.status = resp.status
            body = b""
            while data := resp.read1(65_536):
                body += data
                self.ids = [int(n) for n in EVENT_ID.findall(body)]
            self.is_complete = True
        except (OSError, http.client.HTTPException) as exc:
            self.error = repr(exc)
        finally:
            conn.close()
            self.ended_at = time.time()

    @property
    def is_whole(self):
        """Return whether a whole stream came with success."""
        return self.is_complete and self.status == 200

    @property
    def repeated(self):
        """Return the ids that came at or after a greater or an equal one."""
        return [n for last, n in zip(self.ids, self.ids[1:], strict=False) if n <= last]

    @property
    def missing(self):
        """Return the ids up to the last one that did not come."""
        return sorted(set(range(1, max(self.ids, default=0) + 1)) - set(self.ids))

    def line(self):
        """Return a line for the record."""
        return (
            f"{self.began_at:.3f} sent {self.attempt}; {self.ended_at:.3f} answered"
            f" {self.status} complete={self.is_complete} events={len(self.ids)}"
            f" repeated={self.repeated} missing={self.missing} {self.error}"
        )
