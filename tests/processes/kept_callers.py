"""Callers that keep their connections, and count how each of their requests ends."""

import http.client
import itertools
import json
import threading
import time
from collections import Counter
from contextlib import ExitStack, closing
from typing import NamedTuple

from standins.modelserver import REQUEST_ID_HEADER
from standins.platformconfig import request_headers

CALLER_TIMEOUT_S = 10.0
# Pause of a caller after a refusal, and after a request that ended otherwise.
REFUSED_PAUSE_S, PAUSE_S = 0.25, 0.01
# Length of the intervals in which a lasting refusal is looked for.
BIN_S = 0.25
# Nearly all streams of an interval are refused if a smaller fraction is whole.
SERVED_FRACTION = 0.1

WHOLE, REFUSED, FAILED = "whole", "refused", "failed"
CUT, UNANSWERED, WRONG = "cut", "unanswered", "wrong"


class Ended(NamedTuple):
    """One request and how it ended; the times are those of ``time.time()``.

    ``outcome`` is ``WHOLE``, ``REFUSED`` (503 in place of a response), ``FAILED``
    (another such status), ``CUT`` (the connection ended within the response),
    ``UNANSWERED`` (it ended before the response) or ``WRONG`` (a response that is
    another's, or that is not whole and has a regular end). ``gap_s`` is the longest
    time without bytes.
    """

    request_id: str
    node: str
    path: str
    sent_at: float
    ended_at: float
    outcome: str
    status: int
    gap_s: float
    detail: str


class KeptCallers:
    """Threads that send requests one after another, each on its own connection.

    ``paths`` has the path prefix of each caller; a stream's has ``stream_prefix``, and
    ``events`` events. ``nodes`` are the names of the nodes that they use, all if
    ``None``. A caller leaves a node that closes its connection or refuses it.
    Leaving the context ends the callers after their request. ``ended`` holds the
    requests that have ended.
    """

    def __init__(self, cluster, paths, events, nodes=None, stream_prefix="/ask/"):
        names = cluster.nodes if nodes is None else nodes
        self._nodes = {name: cluster.nodes[name]["front"] for name in names}
        self._events = events
        self._stream_prefix = stream_prefix
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number, path), daemon=True)
            for number, path in enumerate(paths)
        ]
        self.ended = []
        self.errors = []

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopping.set()
        for thread in self._threads:
            thread.join(2 * CALLER_TIMEOUT_S)

    def streams(self):
        """Return the streams that have ended."""
        return [e for e in self.ended if e.path.startswith(self._stream_prefix)]

    def _run(self, number, path):
        try:
            self._send_all(number, path)
        except Exception as exc:
            self.errors.append(exc)
            raise

    def _send_all(self, number, path):
        names = itertools.cycle(sorted(self._nodes))
        name = next(itertools.islice(names, number % len(self._nodes), None))
        while not self._stopping.is_set():
            with ExitStack() as stack:
                host = self._nodes[name]
                conn = http.client.HTTPConnection(host, timeout=CALLER_TIMEOUT_S)
                stack.enter_context(closing(conn))
                try:
                    conn.connect()
                except ConnectionError:
                    name = next(names)
                    time.sleep(PAUSE_S)
                    continue
                while not self._stopping.is_set() and self._send(conn, name, path):
                    pass
            name = next(names)

    def _send(self, conn, name, path):
        """Send one request; return whether the connection stays."""
        request_id = f"k-{next(self._numbers)}"
        sent_at = time.time()
        outcome, status, detail, gap_s = UNANSWERED, 0, "", 0.0
        stays = False
        try:
            # A path of its own, since the body of a plain response names it.
            conn.request("POST", path + request_id, b"{}", request_headers(request_id))
            resp = conn.getresponse()
            status, outcome = resp.status, CUT
            body, gap_s = b"", time.time() - sent_at
            read_at = time.time()
            while piece := resp.read1(65_536):
                body += piece
                gap_s, read_at = max(gap_s, time.time() - read_at), time.time()
            if resp.length:
                raise http.client.IncompleteRead(body, resp.length)
            # Otherwise the connection does not take the next request.
            resp.close()
            outcome = self._outcome(path, request_id, resp, body)
            stays = not resp.will_close
            detail = "" if outcome == WHOLE else body.decode(errors="replace")
        except (OSError, http.client.IncompleteRead, http.client.BadStatusLine) as exc:
            detail = repr(exc)
            if outcome == CUT:
                gap_s = max(gap_s, time.time() - read_at)
                if not self._is_own_part(path, request_id, body):
                    outcome = WRONG
        self.ended.append(
            Ended(
                request_id,
                name,
                path,
                sent_at,
                time.time(),
                outcome,
                status,
                gap_s,
                detail,
            )
        )
        time.sleep(PAUSE_S if outcome == WHOLE else REFUSED_PAUSE_S)
        return stays

    def _outcome(self, path, request_id, resp, body):
        if resp.status == 503:
            return REFUSED
        if resp.status != 200:
            return FAILED
        if resp.getheader(REQUEST_ID_HEADER) != request_id:
            return WRONG
        if path.startswith(self._stream_prefix):
            return WHOLE if body == self._stream(request_id) else WRONG
        return WHOLE if body.endswith(self._plain_end(path, request_id)) else WRONG

    def _plain_end(self, path, request_id):
        return json.dumps({"of": path + request_id})[1:].encode()

    def _is_own_part(self, path, request_id, body):
        """Return whether a response that broke off may be the request's own."""
        if path.startswith(self._stream_prefix):
            return self._stream(request_id).startswith(body)
        return True

    def _stream(self, request_id):
        return b"".join(
            b"id: %d\ndata: piece-%d of %s\n\n" % (n, n, request_id.encode())
            for n in range(1, self._events + 1)
        )


def outcomes(ended):
    """Return the number of requests by outcome."""
    return dict(Counter(e.outcome for e in ended))


def longest_refusal_s(streams, since):
    """Return the longest time from ``since`` on in which nearly all are refused.

    A time in which none is sent does not end it.
    """
    whole, sent = Counter(), Counter()
    for stream in streams:
        if stream.sent_at >= since:
            number = int((stream.sent_at - since) / BIN_S)
            sent[number] += 1
            whole[number] += stream.outcome == WHOLE
    longest, first = 0, None
    for number in sorted(sent):
        if whole[number] >= SERVED_FRACTION * sent[number]:
            first = None
            continue
        first = number if first is None else first
        longest = max(longest, number + 1 - first)
    return longest * BIN_S
