"""Stand-in for the platform's append-only log."""

import time
from collections import defaultdict

import bottle
import gevent
from gevent.event import Event

from .server import StandinServer, abort_connection, json_response


class _Stream:
    """The retained records; ``oldest`` is the offset of the first of them."""

    def __init__(self):
        self.records = []
        self.oldest = 0
        self.changed = Event()

    @property
    def end(self):
        return self.oldest + len(self.records)


class LogFaults:
    """Faults of the log; all are off initially.

    ``down`` closes every connection, ``slow_s`` delays every call. The next
    ``refuse_appends`` appends are refused; of the others, the next ``lose_answers`` are
    written but get no response. ``appends_per_s`` limits the rate of appends, and
    ``keep_records`` the number of records retained in a stream; 0 is no limit.
    """

    def __init__(self):
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.refuse_appends = 0
        self.appends_per_s = 0
        self.keep_records = 0


class LogStandin:
    """Streams in memory, with faults that ``POST /_faults`` sets."""

    def __init__(self, address="127.0.0.1:0"):
        self.faults = LogFaults()
        self.streams = defaultdict(_Stream)
        self.appends = 0
        self._appends_in_second = (0, 0)
        app = bottle.Bottle()
        app.route("/v1/streams/<name>/records", "POST", self._append)
        app.route("/v1/streams/<name>/records", "GET", self._read)
        app.route("/_faults", "POST", self._set_faults)
        app.route("/_counts", "GET", self._list_counts)
        self.server = StandinServer(app, address)

    @property
    def url(self):
        """Return the service's URL."""
        return f"http://{self.server.address}"

    def put(self, name, payloads):
        """Append records and return the first one's offset.

        Of the faults, only ``keep_records`` applies.
        """
        stream = self.streams[name]
        first_offset = stream.end
        now_ms = int(time.time() * 1000)
        stream.records += [
            (first_offset + index, now_ms, data) for index, data in enumerate(payloads)
        ]
        self._trim(stream)
        stream.changed.set()
        stream.changed = Event()
        return first_offset

    def _append(self, name):
        self._apply_faults()
        if self.faults.refuse_appends > 0:
            self.faults.refuse_appends -= 1
            return json_response({"error": "refused"}, 503)
        if self._exceeds_rate():
            return json_response({"error": "too many appends"}, 429)
        self.appends += 1
        offset = self.put(name, bottle.request.json["records"])
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            abort_connection()
        return json_response({"offset": offset})

    def _read(self, name):
        self._apply_faults()
        query = bottle.request.query
        offset, limit = int(query["from"]), int(query.get("limit", 500))
        stream = self.streams[name]
        if offset < stream.oldest:
            return json_response({"oldest": stream.oldest}, 410)
        if offset >= stream.end:
            stream.changed.wait(int(query.get("wait_ms", 0)) / 1000)
            self._apply_faults()
        start = offset - stream.oldest
        return json_response(
            {
                "records": stream.records[start : start + limit],
                "oldest": stream.oldest,
                "end": stream.end,
            }
        )

    def _apply_faults(self):
        if self.faults.down:
            abort_connection()
        if self.faults.slow_s:
            gevent.sleep(self.faults.slow_s)

    def _exceeds_rate(self):
        second, count = self._appends_in_second
        now = int(time.time())
        self._appends_in_second = (now, count + 1 if now == second else 1)
        max_appends = self.faults.appends_per_s
        return max_appends > 0 and self._appends_in_second[1] > max_appends

    def _trim(self, stream):
        max_records = self.faults.keep_records
        if max_records and len(stream.records) > max_records:
            surplus = len(stream.records) - max_records
            del stream.records[:surplus]
            stream.oldest += surplus

    def _set_faults(self):
        for name, value in bottle.request.json.items():
            if not hasattr(self.faults, name):
                return json_response({"error": f"no fault {name!r}"}, 400)
            setattr(self.faults, name, value)
        return json_response(vars(self.faults))

    def _list_counts(self):
        ends = {name: stream.end for name, stream in self.streams.items()}
        return json_response({"appends": self.appends, "ends": ends})
