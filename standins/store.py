"""Stand-in of the users' platform store: topics with offsets, keyed ones kept."""

import base64
import json
import struct
from collections import defaultdict

import bottle
import gevent
from gevent.event import Event

from .server import StandinServer

PAGE = 500


class StoreStandin:
    """Append, read and list records; ``trouble`` decides what goes wrong.

    ``trouble`` is empty, ``"busy"`` (503), ``"silent"`` (no answer), ``"lost"`` (writes
    are done and not answered) or ``"late"`` (the same, done ``late_s`` later).
    """

    def __init__(self, address="127.0.0.1:0", late_s=0.5):
        self.trouble = ""
        self.late_s = late_s
        self._topics = defaultdict(list)
        self._first = defaultdict(int)
        self._changed = Event()
        self.app = app = bottle.Bottle()
        app.route("/-/log-append", "POST", self._append)
        app.route("/-/log-read", "GET", self._read)
        app.route("/-/log-newest", "GET", self._newest)
        app.route("/standin/trouble", "POST", self._set_trouble)
        app.route("/standin/put", "POST", self._put_json)
        self.server = StandinServer(app, address)

    def put(self, topic, key, value):
        """Write ``value`` (an object, bytes, or ``None`` to remove) under ``key``."""
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self._topics[topic].append((key, value))
        self._wake()

    def drop_history(self, topic):
        """Let the records of a topic expire; the newest of each key stays."""
        self._first[topic] = len(self._topics[topic])

    def newest(self, topic):
        """Return the newest value of each key with its offset."""
        found = {}
        for offset, (key, value) in enumerate(self._topics[topic]):
            found[key] = (offset, value)
        return {key: entry for key, entry in found.items() if entry[1] is not None}

    def _wake(self):
        self._changed.set()
        self._changed = Event()

    def _refuse(self):
        if self.trouble == "busy":
            bottle.abort(503, "busy")
        if self.trouble == "silent":
            gevent.sleep(60)

    def _append(self):
        self._refuse()
        query = bottle.request.query
        data, at = bottle.request.body.read(), query.get("At")
        if self.trouble == "late":
            gevent.spawn_later(self.late_s, self._apply, query["Topic"], data, at)
            gevent.sleep(60)
        offset = self._apply(query["Topic"], data, at)
        if self.trouble == "lost":
            gevent.sleep(60)
        end = len(self._topics[query["Topic"]])
        if offset is None:
            return _answer({"End": end}, 412)
        return _answer({"Offset": offset, "End": end})

    def _apply(self, topic, data, at):
        records = self._topics[topic]
        if at is not None and int(at) != len(records):
            return None
        offset = len(records)
        records.extend(_unframe(data))
        self._wake()
        return offset

    def _read(self):
        self._refuse()
        query = bottle.request.query
        topic, start = query["Topic"], int(query["From"])
        deadline_s = int(query.get("WaitMs", 0)) / 1000
        with gevent.Timeout(deadline_s, False):
            while deadline_s and len(self._topics[topic]) <= start:
                self._changed.wait()
        if start < self._first[topic]:
            return _answer({"First": self._first[topic]}, 410)
        records = self._topics[topic]
        body = struct.pack(">QQ", len(records), self._first[topic])
        return body + b"".join(map(_frame, records[start:]))

    def _newest(self):
        self._refuse()
        query = bottle.request.query
        entries = sorted(self.newest(query["Topic"]).items())
        after = query.get("After")
        entries = [entry for entry in entries if after is None or entry[0] > after]
        page = [
            {"Key": k, "Value": base64.b64encode(v).decode(), "Offset": offset}
            for k, (offset, v) in entries[:PAGE]
        ]
        return _answer(
            {
                "Entries": page,
                "HasMore": len(entries) > PAGE,
                "End": len(self._topics[query["Topic"]]),
            }
        )

    def _set_trouble(self):
        self.trouble = bottle.request.json["trouble"]

    def _put_json(self):
        body = bottle.request.json
        self.put(body["topic"], body["key"], body["value"])


def _answer(value, status=200):
    bottle.response.status = status
    bottle.response.content_type = "application/json"
    return json.dumps(value).encode()


def _frame(record):
    key, value = record
    content = bytes([len(key)]) + key.encode() + (value or b"")
    return struct.pack(">I", len(content)) + content


def _unframe(data):
    at = 0
    while at < len(data):
        (length,) = struct.unpack_from(">I", data, at)
        content = data[at + 4 : at + 4 + length]
        at += 4 + length
        key_end = 1 + content[0]
        yield content[1:key_end].decode(), content[key_end:] or None
