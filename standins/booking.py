"""Stand-in for a service without a model, whose bookings must run at most once."""

import time
from uuid import uuid4

import bottle
import gevent

from .server import StandinServer, abort_connection, json_response


class BookingService:
    """Accepts bookings and records every run, so that a test finds duplicate runs.

    A booking takes ``work_s`` seconds. ``bears`` is the number of concurrent requests
    that the health check reports; it isn't enforced. ``POST /_faults`` sets attributes
    by name. The next ``lose_answers`` bookings run but get no response.
    """

    def __init__(self, address="127.0.0.1:0", *, work_s=0.02, bears=16):
        self.boot_id = uuid4().hex
        self.work_s = work_s
        self.bears = bears
        self.running = 0
        self.bookings = []
        self.lose_answers = 0
        app = bottle.Bottle()
        app.route("/health", "GET", self._health)
        app.route("/bookings", "POST", self._create_booking)
        app.route("/schedule", "GET", self._count_bookings)
        app.route("/_bookings", "GET", self._list_bookings)
        app.route("/_faults", "POST", self._set_faults)
        self.server = StandinServer(app, address)

    @property
    def address(self):
        """Return ``host:port``."""
        return self.server.address

    def _health(self):
        return json_response(
            {
                "boot_id": self.boot_id,
                "state": "ready",
                "generation": 0,
                "version": "",
                "running": self.running,
                "bears": self.bears,
                "fence": 0,
            }
        )

    def _create_booking(self):
        request_id = bottle.request.headers.get("X-Request-Id", "")
        key = bottle.request.headers.get("Idempotency-Key", "")
        body = bottle.request.json
        self.running += 1
        try:
            gevent.sleep(self.work_s)
        finally:
            self.running -= 1
        self.bookings.append({"at": time.time(), "key": key, "body": body})
        if self.lose_answers > 0:
            self.lose_answers -= 1
            abort_connection()
        bottle.response.headers["X-Request-Id"] = request_id
        return json_response({"booking": len(self.bookings), "body": body}, 201)

    def _count_bookings(self):
        bottle.response.headers["X-Request-Id"] = bottle.request.headers.get(
            "X-Request-Id", ""
        )
        return json_response({"booked": len(self.bookings)})

    def _list_bookings(self):
        return json_response({"bookings": self.bookings})

    def _set_faults(self):
        for name, value in bottle.request.json.items():
            setattr(self, name, value)
        return json_response({})
