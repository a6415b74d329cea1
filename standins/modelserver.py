"""Stand-in of a server that registers itself, takes orders and answers requests."""

import json
import time

import bottle
import gevent

from .server import StandinServer

TOPIC = "keyed.servers"
SEAL = "X-Server-Seal"
ID = "X-Attempt-Id"


class ModelServerStandin:
    """One server; ``faults`` names what it does wrong with requests.

    ``faults`` may hold ``"stall"`` (accepts and does nothing more), ``"cut"`` (breaks
    off after two events), ``"no-ids"`` (events without ids), ``"shed"`` (refuses
    unrun), ``"unsealed"``, ``"foreign"`` (answers another request), ``"short"`` (a body
    that ends early) or ``"fail"``.
    """

    def __init__(self, store, server, service, zone, domain="", *, slots=9, beat_s=0.4):
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
        self.event_s = 0.02
        self.events = 10
        self.join_s = 0.1
        # Where others reach it, if that is not its own address.
        self.registered_address = None
        self._store = store
        self._entry = {"Service": service, "Zone": zone, "BatchSlots": slots}
        self._domain = domain
        self._beat_s = beat_s
        self._beats = 0
        self._born = int(time.time() * 1000)
        self._newest_epoch = -1
        app = bottle.Bottle()
        app.route("/-/report", "GET", self._report)
        app.route("/-/order", "POST", self._order)
        app.route("/<path:path>", ["GET", "POST"], self._serve)
        self._http = StandinServer(app)
        self._task = None

    @property
    def address(self):
        """Return the address at which it serves."""
        return self._http.address

    @property
    def up(self):
        """Return whether it runs."""
        return self._http.up

    def start(self):
        """Serve and register."""
        self._http.start()
        self._task = gevent.spawn(self._beat)

    def stop(self):
        """Vanish without a word."""
        if self._task is not None:
            self._task.kill()
        self._http.cut()

    def register(self):
        """Write the entry as it is now."""
        self._beats += 1
        address = self.registered_address or self.address
        entry = {**self._entry, "Address": address, "State": self.state}
        entry.update(Seqno=self._beats, born=self._born, WarmupLeftMs=0, Version="v1")
        if self._domain:
            entry.update(self._about_engine())
        self._store.put(TOPIC, self.server, entry)

    def _about_engine(self):
        return {
            "Domain": self._domain,
            "Models": [{"Name": name, "Version": 1} for name in self.models],
            "Staged": self.staged,
            "group": self.group,
        }

    def _beat(self):
        while True:
            self.register()
            gevent.sleep(self._beat_s)

    def _report(self):
        bottle.response.content_type = "application/json"
        counts = {"Running": self.running, "Queued": 0, "pace": 1.0, "Busy": False}
        return json.dumps({**counts, "born": self._born, **self._about_engine()})

    def _order(self):
        order = bottle.request.json
        self.orders.append(order)
        status = getattr(self, f"_do_{order['Op'].lower()}")(order)
        self.register()
        bottle.response.status = status

    def _do_join(self, order):
        if order["epoch"] < self._newest_epoch:
            return 412
        if self.group and self.group["epoch"] == order["epoch"]:
            return 200
        self._newest_epoch = order["epoch"]
        self.members = order["Members"]
        self.group = {
            "Name": order["group"],
            "epoch": order["epoch"],
            "rank": order["Members"].index(self.server),
            "State": "joining",
        }
        gevent.spawn_later(self.join_s, self._joined, order)
        return 202

    def _joined(self, order):
        if self.group and self.group["epoch"] == order["epoch"]:
            self.models = [order["Model"]]
            self.staged = [order["Model"]]
            self.group["State"] = "ready"
            self.register()

    def _do_open(self, order):
        if not self._is_in(order) or self.group["State"] not in ("ready", "open"):
            return 409
        self.group["State"] = "open"
        return 202

    def _do_close(self, order):
        if not self._is_in(order):
            return 409
        self.group["State"] = "ready"
        return 200

    def _do_leave(self, order):
        if not self._is_in(order):
            return 409
        self.group = None
        return 200

    def _do_stage(self, order):
        self.staged = [order["Model"]]
        return 202

    def _is_in(self, order):
        group = self.group
        named = (order["group"], order["epoch"])
        return group is not None and (group["Name"], group["epoch"]) == named

    def _serve(self, path):
        req, resp = bottle.request, bottle.response
        expected = req.headers.get("X-Expect-Instance")
        resp.headers[ID] = req.headers.get(ID, "")
        if expected != self.server:
            resp.status = 421
            return b""
        if "shed" in self.faults:
            resp.status = 503
            resp.headers["X-Not-Executed"] = "1"
            return b""
        self.seen.append({"path": path, "headers": dict(req.headers.items())})
        if "foreign" in self.faults:
            resp.headers[ID] = "another"
        if "unsealed" not in self.faults:
            resp.headers[SEAL] = f"seal-of-{self.server}"
        if "stall" in self.faults:
            gevent.sleep(60)
        if "fail" in self.faults:
            resp.status = 500
            return b"failed"
        if not self._domain:
            return self._whole(req)
        return self._stream(req)

    def _whole(self, req):
        body = json.dumps({"by": self.server, "of": req.path}).encode()
        if "short" in self.faults:
            bottle.response.headers["Content-Length"] = str(len(body) + 9)
        return body

    def _stream(self, req):
        bottle.response.content_type = "text/event-stream"
        first = int(req.headers.get("Last-Event-Id") or 0) + 1
        self.running += 1
        try:
            for number in range(first, self.events + 1):
                if "cut" in self.faults and number == first + 2:
                    yield b"id: 99\ndata: torn"
                    raise OSError("cut")
                head = "" if "no-ids" in self.faults else f"id: {number}\n"
                yield f"{head}data: piece-{number}\n\n".encode()
                gevent.sleep(self.event_s)
        finally:
            self.running -= 1
