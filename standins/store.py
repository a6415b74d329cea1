"""Stand-in for the users' platform store: topics of keyed records with offsets."""

import base64
import json
import random
import struct
import time
from collections import defaultdict
from weakref import WeakKeyDictionary

import bottle
import gevent
from gevent.event import Event

from .server import StandinServer

PAGE_ENTRIES = 500
# Bytes of a response that are sent at once through a slow door, and pause after them.
SLOW_BYTES, SLOW_INTERVAL_S = 400, 0.05
# Time from the making of a delayed response to its sending.
DELAY_S = 0.7
# Share of the calls that a store short of reads turns away.
SHORT = 0.7


class Door:
    """One more address of the store; its connections fell silent at ``hushed_at``."""

    def __init__(self, server):
        self.server = server
        self.trouble = ""
        self.hushed_at = 0.0


class StoreStandin:
    """Appends, reads and lists records; ``trouble`` selects a fault.

    ``trouble`` is empty, ``"busy"`` (every call gets 503), ``"silent"`` (no call gets a
    response), ``"lost"`` (writes are applied but get no response) or ``"late"`` (writes
    are applied ``late_s`` seconds later and get no response). "No response" means none
    within 60 seconds.

    ``doors`` are further addresses of the store, each with a trouble of its own, so
    that the store can treat its callers differently. ``"many"`` answers 429 there,
    ``"short"`` does so for the share ``SHORT`` of the calls,
    ``"slow"`` sends ``SLOW_BYTES`` bytes each ``SLOW_INTERVAL_S``, ``"delayed"`` sends
    each response ``DELAY_S`` after it is made, ``"early"`` makes the response to a read
    that waits at once and sends it after the wait, and ``"refuse"`` takes no
    connections. ``"hushed"`` sends nothing more on the connections that are open then.

    ``keep_copy`` and ``go_back`` play a store that loses its newest records: it
    continues from the copy in a new era, and gives the offsets of the lost records out
    again.
    """

    def __init__(self, address="127.0.0.1:0", late_s=0.5):
        self.trouble = ""
        self.late_s = late_s
        self.era = 1
        self._copy = {}
        self._topics = defaultdict(list)
        self._first_offset = defaultdict(int)
        self._appended = Event()
        self.doors = {}
        self._first_seen = WeakKeyDictionary()
        self.app = app = bottle.Bottle()
        app.route("/-/log-append", "POST", self._append)
        app.route("/-/log-read", "GET", self._read)
        app.route("/-/log-newest", "GET", self._list_newest)
        app.route("/standin/trouble", "POST", self._set_trouble)
        app.route("/standin/put", "POST", self._put_record)
        app.route("/standin/newest", "POST", self._get_newest)
        app.route("/standin/door", "POST", self._set_door)
        app.route("/standin/copy", "POST", self.keep_copy)
        app.route("/standin/back", "POST", self.go_back)
        app.route("/standin/expire", "POST", self._expire)
        self.server = StandinServer(app, address)

    def open_door(self, address):
        """Serve the store at one more address."""
        self.doors[address] = Door(StandinServer(self.app, address).start())

    def put(self, topic, key, value):
        """Append ``value`` for ``key``: bytes, a JSON object, or ``None`` to remove."""
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self._topics[topic].append((key, value))
        self._notify_readers()

    def keep_copy(self):
        """Remember the present records for ``go_back``."""
        self._copy = {topic: len(records) for topic, records in self._topics.items()}

    def go_back(self):
        """Lose all records since ``keep_copy`` and begin a new era."""
        for topic, records in self._topics.items():
            del records[self._copy.get(topic, 0) :]
            self._first_offset[topic] = min(self._first_offset[topic], len(records))
        self.era += 1
        self._notify_readers()

    def expire_history(self, topic):
        """Expire the history of a topic; the newest record of each key stays."""
        self._first_offset[topic] = len(self._topics[topic])

    def newest(self, topic):
        """Return (offset, value) of each key's newest record, without removed keys."""
        latest = {}
        for offset, (key, value) in enumerate(self._topics[topic]):
            latest[key] = (offset, value)
        return {key: entry for key, entry in latest.items() if entry[1] is not None}

    def _notify_readers(self):
        self._appended.set()
        self._appended = Event()

    def _apply_trouble(self):
        bottle.response.headers["Store-Era"] = str(self.era)
        for trouble in (self.trouble, self._door_trouble()):
            if trouble == "busy":
                bottle.abort(503, "busy")
            if trouble == "many" or (trouble == "short" and random.random() < SHORT):
                bottle.abort(429, "too many calls")
            if trouble == "silent":
                gevent.sleep(60)
        self._hold_if_hushed()

    def _door(self):
        environ = bottle.request.environ
        port = environ["SERVER_PORT"]
        return next((d for a, d in self.doors.items() if a.endswith(f":{port}")), None)

    def _door_trouble(self):
        """Return the trouble of the caller's door, empty if there is none."""
        door = self._door()
        return door.trouble if door else ""

    def _hold_if_hushed(self):
        """Send nothing on a connection that was open when its door was hushed."""
        sock = bottle.request.environ["standin.socket"]
        first_seen = self._first_seen.setdefault(sock, time.monotonic())
        door = self._door()
        if door is not None and first_seen < door.hushed_at:
            gevent.sleep(60)

    def _body(self, data):
        """Return a response body, which trickles if the caller's door is slow."""
        self._hold_if_hushed()
        if self._door_trouble() == "delayed":
            gevent.sleep(DELAY_S)
        if self._door_trouble() != "slow":
            return data
        bottle.response.content_length = len(data)
        return _trickle(data)

    def _set_door(self):
        body = bottle.request.json
        door = self.doors[body["address"]]
        if body["trouble"] == "hushed":
            door.hushed_at = time.monotonic()
            return
        if body["trouble"] == "refuse":
            door.server.shut_down()
        else:
            door.server.start()
        door.trouble = body["trouble"]

    def _append(self):
        self._apply_trouble()
        query = bottle.request.query
        data, expected_end = bottle.request.body.read(), query.get("At")
        if self.trouble == "late":
            gevent.spawn_later(
                self.late_s, self._append_records, query["Topic"], data, expected_end
            )
            gevent.sleep(60)
        offset = self._append_records(query["Topic"], data, expected_end)
        if self.trouble == "lost":
            gevent.sleep(60)
        end = len(self._topics[query["Topic"]])
        if offset is None:
            return _json_response({"End": end}, 412)
        return _json_response({"Offset": offset, "End": end})

    def _append_records(self, topic, data, expected_end):
        records = self._topics[topic]
        if expected_end is not None and int(expected_end) != len(records):
            return None
        offset = len(records)
        records.extend(_unframe(data))
        self._notify_readers()
        return offset

    def _read(self):
        self._apply_trouble()
        query = bottle.request.query
        topic, start = query["Topic"], int(query["From"])
        wait_s = int(query.get("WaitMs", 0)) / 1000
        if self._door_trouble() == "early":
            body = self._response(topic, start)
            gevent.sleep(0.0 if len(self._topics[topic]) > start else wait_s)
            return body
        with gevent.Timeout(wait_s, False):
            era = self.era
            while wait_s and len(self._topics[topic]) <= start and self.era == era:
                self._appended.wait()
        return self._response(topic, start)

    def _response(self, topic, start):
        """Return the response to a read of a topic's records from ``start`` on."""
        if start < self._first_offset[topic]:
            return _json_response({"First": self._first_offset[topic]}, 410)
        records = self._topics[topic]
        bottle.response.headers["Store-Era"] = str(self.era)
        if start > len(records):
            return _json_response({"First": self._first_offset[topic]}, 410)
        body = struct.pack(">QQ", len(records), self._first_offset[topic])
        return self._body(body + b"".join(map(_frame, records[start:])))

    def _list_newest(self):
        self._apply_trouble()
        query = bottle.request.query
        entries = sorted(self.newest(query["Topic"]).items())
        after = query.get("After")
        entries = [entry for entry in entries if after is None or entry[0] > after]
        page = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in entries[:PAGE_ENTRIES]
        ]
        answer = {
            "Entries": page,
            "HasMore": len(entries) > PAGE_ENTRIES,
            "End": len(self._topics[query["Topic"]]),
        }
        return self._body(_json_response(answer))

    def _expire(self):
        self.expire_history(bottle.request.json["topic"])

    def _set_trouble(self):
        self.trouble = bottle.request.json["trouble"]

    def _get_newest(self):
        body = bottle.request.json
        return self.newest(body["topic"])[body["key"]][1]

    def _put_record(self):
        body = bottle.request.json
        raw = body.get("raw")
        value = body["value"] if raw is None else base64.b64decode(raw)
        self.put(body["topic"], body["key"], value)


def _trickle(data):
    for start in range(0, len(data), SLOW_BYTES):
        gevent.sleep(SLOW_INTERVAL_S)
        yield data[start : start + SLOW_BYTES]


def _json_response(value, status=200):
    bottle.response.status = status
    bottle.response.content_type = "application/json"
    return json.dumps(value).encode()


def _frame(record):
    """Return a record in the store's format.

    It is the length of the rest in 4 bytes, the length of the key in 1 byte, the key
    and the value; an empty value removes the key.
    """
    key, value = record
    content = bytes([len(key)]) + key.encode() + (value or b"")
    return struct.pack(">I", len(content)) + content


def _unframe(data):
    """Yield (key, value) of each framed record; the value is ``None`` if empty."""
    position = 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        content = data[position + 4 : position + 4 + length]
        position += 4 + length
        key_end = 1 + content[0]
        yield content[1:key_end].decode(), content[key_end:] or None
