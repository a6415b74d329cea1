"""Stand-in for a server that registers itself, follows orders and serves requests."""

import json
import struct
import time
from contextlib import suppress
from socket import SO_LINGER, SOL_SOCKET

import bottle
import gevent

from .server import StandinServer, abort_connection

TOPIC = "keyed.servers"
SEAL_HEADER = "X-Server-Seal"
REQUEST_ID_HEADER = "X-Attempt-Id"


class ModelServerStandin:
    """One server; ``faults`` is the set of faults in its responses to requests.

    ``faults`` may contain ``"stall"`` (accepts the request and sends no response),
    ``"cut"`` (the stream breaks off after two events), ``"no-ids"`` (events without
    IDs), ``"shed"`` (refuses with 503 without running the request), ``"unsealed"`` (no
    seal header), ``"foreign"`` (the ID of another request), ``"short"`` (a body shorter
    than its Content-Length), ``"fail"`` (500), ``"pause"`` (refuses with 503 and wants
    no request for ``pause_s``), ``"leaving"`` (says in all responses that it leaves),
    ``"contradiction"`` (a success that says that it has not run), ``"endless-head"`` or
    ``"endless-body"`` (bytes that are no response, without end), ``"drip"`` (parts of
    an event that is never complete) or ``"twice"`` (a second copy of the response, a
    moment later).

    Responses have neither a length nor chunks if ``unframed_end`` says how they end:
    ``"whole"``, ``"torn"`` (a stream within its third event), ``"empty"`` (a stream
    before its first event) or ``"reset"`` (a stream after its second event, any other
    response within its body; the connection is reset instead of closed).

    The server crashes at each request with ``crash_part`` among the parts of its
    prompt, once it has begun to answer, and at each one whose path ends with
    ``crash_path``, before it answers. It is back after ``restart_s``. ``crashes`` holds
    the times of these requests' arrivals.
    """

    def __init__(
        self, store, server, service, zone, domain="", *, slots=9, heartbeat_s=0.4
    ):
        self.server = server
        self.faults = set()
        self.state = "ready"
        self.group = None
        self.members = []
        self.models = []
        self.staged = []
        self.orders = []
        self.seen = []
        self.running = 0
        self.refused = 0
        self.endless_bytes = 0
        self.copies = 0
        # Time after which a response is sent a second time.
        self.copy_s = 0.02
        # Time until a response begins.
        self.answer_s = 0.0
        # Interval between the events of a stream, and their number.
        self.event_s = 0.02
        self.events = 10
        # Whether each event of a stream names its request.
        self.names_request = False
        # Monotonic time before which the server sends nothing.
        self.silent_until = 0.0
        self.join_s = 0.1
        self.pause_s = 1.0
        # Smallest size of the body of a plain server's response.
        self.body_bytes = 0
        # Status of the responses to requests that have run.
        self.run_status = 200
        self.unframed_end = None
        self.crash_part = self.crash_path = None
        self.crashes = []
        # Requests per second that the responses name as the server's limit.
        self.limit_per_s = None
        # Times at which requests have arrived.
        self.arrivals = []
        self.restart_s = 1.5
        # Time between two pieces of endless bytes, and their size.
        self.drip_s, self.drip_bytes = 0.0, 65_536
        # Address in the registration, if others reach the server by another one.
        self.registered_address = None
        self._store = store
        self._fixed_fields = {"Service": service, "Zone": zone, "BatchSlots": slots}
        self._domain = domain
        self._heartbeat_s = heartbeat_s
        self._heartbeats = 0
        self._started_ms = int(time.time() * 1000)
        self._latest_epoch = -1
        app = bottle.Bottle()
        app.route("/-/report", "GET", self._report)
        app.route("/-/order", "POST", self._order)
        app.route("/<path:path>", ["GET", "POST"], self._serve)
        self._http = StandinServer(app)
        self._heartbeat_task = None

    @property
    def address(self):
        """Return the ``host:port`` at which the server listens."""
        return self._http.address

    @property
    def up(self):
        """Return whether the server accepts connections."""
        return self._http.up

    def start(self):
        """Listen and register with each heartbeat."""
        self._http.start()
        self._heartbeat_task = gevent.spawn(self._send_heartbeats)

    def stop(self):
        """Stop without notice: the registration stays in the store."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.kill()
        self._http.shut_down()

    def crash(self):
        """End without notice, and start again after ``restart_s`` without any state."""
        self.stop()
        self.group, self.models, self._latest_epoch = None, [], -1
        gevent.sleep(self.restart_s)
        self._started_ms = int(time.time() * 1000)
        self.start()

    def _wait_out_silence(self):
        while (left_s := self.silent_until - time.monotonic()) > 0:
            gevent.sleep(left_s)

    def register(self):
        """Write the server's current registration to the store."""
        self._heartbeats += 1
        address = self.registered_address or self.address
        entry = {**self._fixed_fields, "Address": address, "State": self.state}
        entry.update(
            Seqno=self._heartbeats, born=self._started_ms, WarmupLeftMs=0, Version="v1"
        )
        if self._domain:
            entry.update(self._engine_fields())
        self._store.put(TOPIC, self.server, entry)

    def _engine_fields(self):
        return {
            "Domain": self._domain,
            "Models": [{"Name": name, "Version": 1} for name in self.models],
            "Staged": self.staged,
            "group": self.group,
        }

    def _send_heartbeats(self):
        while True:
            self._wait_out_silence()
            self.register()
            gevent.sleep(self._heartbeat_s)

    def _report(self):
        self._apply_faults_of_any_response()
        bottle.response.content_type = "application/json"
        counts = {"Running": self.running, "Queued": 0, "pace": 1.0, "Busy": False}
        return json.dumps({**counts, "born": self._started_ms, **self._engine_fields()})

    # The ``_do_`` methods return the status of the response: 200 if the order's effect
    # is in place, 202 if its execution has begun, 409 if it isn't possible in the
    # present state, 412 if its epoch is older than that of an earlier order.
    def _order(self):
        self._wait_out_silence()
        order = bottle.request.json
        self.orders.append(order)
        status = getattr(self, f"_do_{order['Op'].lower()}")(order)
        self.register()
        bottle.response.status = status

    def _do_join(self, order):
        if order["epoch"] < self._latest_epoch:
            return 412
        if self.group and self.group["epoch"] == order["epoch"]:
            return 200
        self._latest_epoch = order["epoch"]
        self.members = order["Members"]
        self.group = {
            "Name": order["group"],
            "epoch": order["epoch"],
            "rank": order["Members"].index(self.server),
            "State": "joining",
        }
        gevent.spawn_later(self.join_s, self._finish_join, order)
        return 202

    def _finish_join(self, order):
        if self.group and self.group["epoch"] == order["epoch"]:
            self.models = [order["Model"]]
            self.staged = [order["Model"]]
            self.group["State"] = "ready"
            self.register()

    def _do_open(self, order):
        if not self._is_member(order) or self.group["State"] not in ("ready", "open"):
            return 409
        self.group["State"] = "open"
        return 202

    def _do_close(self, order):
        if not self._is_member(order):
            return 409
        self.group["State"] = "ready"
        return 200

    def _do_leave(self, order):
        if not self._is_member(order):
            return 409
        self.group = None
        return 200

    def _do_stage(self, order):
        self.staged = [order["Model"]]
        return 202

    def _is_member(self, order):
        group = self.group
        ordered = (order["group"], order["epoch"])
        return group is not None and (group["Name"], group["epoch"]) == ordered

    def _apply_faults_of_any_response(self):
        self._wait_out_silence()
        if "leaving" in self.faults:
            bottle.response.headers["Server-Leaving"] = "1"
        if self.limit_per_s is not None:
            bottle.response.headers["Server-Limit"] = str(self.limit_per_s)
        if "endless-head" in self.faults:
            self._send_without_end(b"HTTP/1.1 200 OK\r\nX-Fill: ")
        if "endless-body" in self.faults:
            self._send_without_end(b"HTTP/1.1 200 OK\r\n\r\n")

    def _send_without_end(self, head):
        sock = bottle.request.environ["standin.socket"]
        with suppress(OSError):
            sock.sendall(head)
            while True:
                sock.sendall(b"x" * self.drip_bytes)
                self.endless_bytes += self.drip_bytes
                gevent.sleep(self.drip_s)
        raise gevent.GreenletExit

    def _serve(self, path):
        req, resp = bottle.request, bottle.response
        self._apply_faults_of_any_response()
        expected = req.headers.get("X-Expect-Instance")
        resp.headers[REQUEST_ID_HEADER] = req.headers.get(REQUEST_ID_HEADER, "")
        if expected != self.server:
            resp.status = 421
            return b""
        self.arrivals.append(time.time())
        if "shed" in self.faults:
            resp.status = 503
            resp.headers["X-Not-Executed"] = "1"
            return b""
        if "pause" in self.faults:
            self.refused += 1
            resp.status = 503
            resp.headers["X-Not-Executed"] = "1"
            resp.headers["Retry-After"] = str(self.pause_s)
            return b""
        self.seen.append({"path": path, "headers": dict(req.headers.items())})
        if "foreign" in self.faults:
            resp.headers[REQUEST_ID_HEADER] = "another"
        if "unsealed" not in self.faults:
            resp.headers[SEAL_HEADER] = f"seal-of-{self.server}"
        if "stall" in self.faults:
            gevent.sleep(60)
        gevent.sleep(self.answer_s)
        if "fail" in self.faults:
            resp.status = 500
            return b"failed"
        if "contradiction" in self.faults:
            resp.headers["X-Not-Executed"] = "1"
        resp.status = self.run_status
        if "drip" in self.faults:
            return self._dripping_stream()
        if "twice" in self.faults:
            gevent.spawn_later(
                self.copy_s,
                self._send_copy,
                req.environ["standin.socket"],
                req.headers.get(REQUEST_ID_HEADER, ""),
                req.path,
            )
        if self.unframed_end:
            return self._unframed_response(req)
        if self.crash_path and req.path.endswith(self.crash_path):
            return self._crash(b"", req)
        if not self._domain:
            return self._plain_response(req)
        parts = req.headers.get("X-Prompt-Prefix", "").split(",")
        if self.crash_part in [part.partition(":")[0] for part in parts]:
            head = self._response_head(req, "Transfer-Encoding: chunked")
            return self._crash(head, req)
        return self._event_stream(req)

    def _response_head(self, req, field):
        """Return the head of a response to write to the socket, with one more field."""
        lines = (
            "HTTP/1.1 200 OK",
            f"{SEAL_HEADER}: seal-of-{self.server}",
            f"{REQUEST_ID_HEADER}: {req.headers.get(REQUEST_ID_HEADER)}",
            field,
        )
        return "".join(f"{line}\r\n" for line in (*lines, "")).encode()

    def _crash(self, sent, req):
        """Send the bytes ``sent``, then crash."""
        self.crashes.append(time.time())
        req.environ["standin.socket"].sendall(sent)
        gevent.sleep(self.event_s)
        # Crashing ends the task of this request too.
        gevent.spawn(self.crash)
        gevent.sleep(60)

    def _plain_response(self, req):
        body = json.dumps({"by": self.server, "of": req.path}).encode()
        body = body.ljust(self.body_bytes)
        if "short" in self.faults:
            bottle.response.headers["Content-Length"] = str(len(body) + 9)
        return body

    def _unframed_response(self, req):
        """Send a response whose end is that of its connection."""
        sock = req.environ["standin.socket"]
        sock.sendall(self._response_head(req, "Connection: close"))
        if self._domain:
            events = list(self._event_stream(req))
            count = {"whole": len(events), "empty": 0}.get(self.unframed_end, 2)
            body = b"".join(events[:count])
            if self.unframed_end == "torn":
                body += b"".join(events[count:])[:9]
        else:
            body = self._plain_response(req)
            if self.unframed_end == "reset":
                body = body[:9]
        sock.sendall(body)
        if self.unframed_end == "reset":
            gevent.sleep(self.event_s)
            sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            raise gevent.GreenletExit
        return abort_connection()

    def _send_copy(self, sock, request_id, path):
        """Send a second copy of a response, whatever the connection is used for."""
        body = json.dumps({"by": self.server, "of": path, "copy": True}).encode()
        head = (
            f"HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {request_id}\r\n"
            f"{SEAL_HEADER}: copy\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        with suppress(OSError):
            sock.sendall(head.encode() + body)
            self.copies += 1

    def _dripping_stream(self):
        bottle.response.content_type = "text/event-stream"
        yield b"id: 1\ndata: piece-1\n\n"
        while True:
            yield b": "
            gevent.sleep(self.event_s)

    def _event_stream(self, req):
        bottle.response.content_type = "text/event-stream"
        first_number = int(req.headers.get("Last-Event-Id") or 0) + 1
        request_id = req.headers.get(REQUEST_ID_HEADER, "")
        owner = f" of {request_id}" if self.names_request else ""
        self.running += 1
        try:
            for number in range(first_number, self.events + 1):
                if "cut" in self.faults and number == first_number + 2:
                    yield b"id: 99\ndata: torn"
                    raise OSError("cut")
                id_line = "" if "no-ids" in self.faults else f"id: {number}\n"
                yield f"{id_line}data: piece-{number}{owner}\n\n".encode()
                gevent.sleep(self.event_s)
                self._wait_out_silence()
        finally:
            self.running -= 1
