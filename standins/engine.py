"""Stand-in for model engines: several members, each on an address of its own.

A member that receives more requests than it can run crashes, as a real engine does.
The fleet records every request that its members received, so that a test can check
the routing without looking into a node.
"""

import json
import time
from hashlib import sha256
from typing import NamedTuple
from uuid import uuid4

import bottle
import gevent
import urllib3

from .server import StandinServer, abort_connection, json_response

DEFAULT_TOKENS = 16
WORDS = ("drum", "truck", "dock", "valve", "paint", "route", "shift", "spring")


class ReceivedRequest(NamedTuple):
    """One request, with the state of the member that received it.

    ``at`` is monotonic time. ``running`` and ``bears`` are the member's requests in
    flight and their maximum at that moment. ``resumed`` is the number of words that the
    caller already has from earlier attempts.
    """

    at: float
    request_id: str
    vm: str
    group: str
    generation: int
    running: int
    bears: int
    members_up: bool
    resumed: int


def response_words(prompt, tokens):
    """Return ``tokens`` words of a response; they depend on the prompt alone."""
    digest = sha256(prompt.encode()).digest()
    return [f"{WORDS[digest[i % len(digest)] % len(WORDS)]}-{i}" for i in range(tokens)]


def prompt_of(body):
    """Return the prompt of a request as text, the messages of a chat as JSON."""
    if "messages" in body:
        return json.dumps(body["messages"])
    return str(body.get("prompt", ""))


class EngineMember:
    """One VM with a model engine; it serves one group at a time."""

    def __init__(self, vm, address, fleet):
        self.vm = vm
        self.fleet = fleet
        self.checks_fence = True
        self.token_s = fleet.token_s
        self.slots = fleet.slots
        self.paused_until = 0.0
        self.highest_fence = 0
        self.reset()
        self.server = StandinServer(self._app(), address).start()
        self.address = self.server.address

    def reset(self):
        """Forget all state and take a new boot ID, as a restart does."""
        self.boot_id = uuid4().hex
        self.state = "empty"
        self.generation = 0
        self.version = ""
        self.group = ""
        self.members = ()
        self.running = 0
        self.ready_at = 0.0
        self.cancelled = set()

    @property
    def bears(self):
        """Return how many requests the member can run now.

        The number grows from 1 to ``slots`` over the warm-up time after loading, and
        is 0 unless the member is ready.
        """
        if self.state != "ready":
            return 0
        warm_s = time.monotonic() - self.ready_at
        warm_fraction = (
            min(1.0, warm_s / self.fleet.warm_up_s) if self.fleet.warm_up_s else 1.0
        )
        return max(1, int(self.slots * warm_fraction))

    def kill(self):
        """Stop the engine immediately and close its connections."""
        self.server.shut_down()
        self.reset()

    def revive(self):
        """Restart the engine on the same address, with nothing loaded."""
        self.reset()
        self.server.start()

    def chill(self):
        """Start the warm-up again, without a restart or a new boot ID."""
        self.ready_at = time.monotonic()

    def members_up(self):
        """Return whether all members of the group are up and at this generation."""
        members = [self.fleet.by_address.get(address) for address in self.members]
        return all(
            member is not None
            and member.server.up
            and member.generation == self.generation
            for member in members
        )

    def _app(self):
        app = bottle.Bottle()
        app.route("/health", "GET", self._health)
        app.route("/orders", "POST", self._receive_order)
        app.route("/cancel", "POST", self._cancel)
        app.route("/v1/chat/completions", "POST", self._complete)
        app.route("/v1/completions", "POST", self._complete)
        return app

    def _wait_while_paused(self):
        while time.monotonic() < self.paused_until:
            gevent.sleep(0.01)

    def _health(self):
        self._wait_while_paused()
        return json_response(
            {
                "boot_id": self.boot_id,
                "state": self.state,
                "generation": self.generation,
                "version": self.version,
                "running": self.running,
                "bears": self.bears,
                "fence": self.highest_fence,
            }
        )

    def _receive_order(self):
        self._wait_while_paused()
        order = bottle.request.json
        if self.checks_fence and order["fence"] < self.highest_fence:
            return json_response(
                {"error": "old fence", "fence": self.highest_fence}, 409
            )
        self.highest_fence = max(self.highest_fence, order["fence"])
        if order["kind"] == "preload":
            if self.state == "empty":
                self.state = "preloading"
                gevent.spawn(self._preload, order, self.boot_id)
        elif order["kind"] == "idle":
            if order["generation"] == self.generation:
                self.state, self.generation = "empty", 0
        elif order["generation"] != self.generation:
            self.state, self.generation = "loading", 0
            gevent.spawn(self._load, order, self.boot_id)
        return json_response({})

    def _load(self, order, boot_id):
        weights_cached = self.version == order["version"]
        if not weights_cached:
            self._fetch_weights(order)
        gevent.sleep(self.fleet.load_s / 4 if weights_cached else self.fleet.load_s)
        if self.boot_id != boot_id:
            return
        self.generation = order["generation"]
        self.version = order["version"]
        self.group = order["group"]
        self.members = tuple(order["members"])
        self.state = "ready"
        self.ready_at = time.monotonic()

    def _preload(self, order, boot_id):
        self._fetch_weights({**order, "rank": 0})
        if self.boot_id == boot_id and self.state == "preloading":
            self.state, self.version = "empty", order["version"]

    def _fetch_weights(self, order):
        url = self.fleet.weight_store_url
        if not url:
            return
        path = f"/v1/weights/{order['model']}/{order['version']}/shards/{order['rank']}"
        while True:
            try:
                urllib3.request("GET", url + path, timeout=60, retries=False)
                return
            except urllib3.exceptions.HTTPError:
                gevent.sleep(0.2)

    def _cancel(self):
        self.cancelled.add(bottle.request.json["request_id"])
        return json_response({})

    def _complete(self):
        self._wait_while_paused()
        req = bottle.request
        body, request_id = req.json, req.headers.get("X-Request-Id", "")
        generation = int(req.headers.get("X-Auburnwall-Generation", 0))
        if self.state != "ready" or generation != self.generation:
            return json_response({"error": "not serving that generation"}, 409)
        resume = body.get("auburnwall_resume", {})
        self._record_request(request_id, generation, resume.get("pieces", 0))
        if self.running >= self.bears:
            self.fleet.overload_failures.append(
                (time.monotonic(), self.vm, self.running)
            )
            self.reset()
            abort_connection()
        words = response_words(
            prompt_of(body), int(body.get("max_tokens") or DEFAULT_TOKENS)
        )
        bottle.response.headers["X-Request-Id"] = request_id
        self.running += 1
        if body.get("stream"):
            bottle.response.content_type = "text/event-stream"
            return self._stream(request_id, body, words, resume.get("pieces", 0))
        try:
            for _ in self._generate_words(words, request_id):
                pass
        finally:
            self.running = max(0, self.running - 1)
        return json_response(completion_body(request_id, body, words))

    def _stream(self, request_id, body, words, start):
        try:
            if start == 0:
                yield stream_event(request_id, body, None)
            for word in self._generate_words(words[start:], request_id):
                yield stream_event(request_id, body, word)
            yield stream_event(request_id, body, "", finish="stop")
            yield b"data: [DONE]\n\n"
        finally:
            self.running = max(0, self.running - 1)

    def _generate_words(self, words, request_id):
        """Yield one word each ``token_s``.

        Aborts the connection if the member restarts, another member of the group is
        lost, or the request is cancelled.
        """
        boot_id = self.boot_id
        for word in words:
            gevent.sleep(self.token_s)
            self._wait_while_paused()
            member_lost = self.boot_id != boot_id or not self.members_up()
            if member_lost or request_id in self.cancelled:
                self.cancelled.discard(request_id)
                abort_connection()
            yield f"{word} "

    def _record_request(self, request_id, generation, resumed):
        self.fleet.seen.append(
            ReceivedRequest(
                time.monotonic(),
                request_id,
                self.vm,
                self.group,
                generation,
                self.running,
                self.bears,
                self.members_up(),
                resumed,
            )
        )


class EngineFleet:
    """Engine members in one process, with a control address.

    ``POST /members/<vm>/<action>`` injects a fault into a member: ``kill``, ``revive``,
    ``chill`` (warm up again), ``pause`` for ``s`` seconds, or ``ignore-fence`` (accept
    orders with an old fencing token). ``GET /seen`` returns the requests that members
    received and the crashes from overload.
    """

    def __init__(
        self,
        address="127.0.0.1:0",
        *,
        weight_store_url="",
        load_s=0.3,
        warm_up_s=2.0,
        token_s=0.01,
        slots=8,
    ):
        self.weight_store_url = weight_store_url
        self.load_s = load_s
        self.warm_up_s = warm_up_s
        self.token_s = token_s
        self.slots = slots
        self.members = {}
        self.by_address = {}
        self.seen = []
        self.overload_failures = []
        app = bottle.Bottle()
        app.route("/members/<vm>/<action>", "POST", self._run_action)
        app.route("/seen", "GET", self._list_requests)
        self.server = StandinServer(app, address)

    def add(self, vm, address="127.0.0.1:0"):
        """Start a member and return it."""
        member = EngineMember(vm, address, self)
        self.members[vm] = member
        self.by_address[member.address] = member
        return member

    def stop(self):
        """Stop all members and the control address."""
        for member in self.members.values():
            member.server.shut_down()
        self.server.shut_down()

    def _run_action(self, vm, action):
        member = self.members[vm]
        if action in ("kill", "revive", "chill"):
            getattr(member, action)()
        elif action == "pause":
            member.paused_until = time.monotonic() + float(bottle.request.json["s"])
        elif action == "ignore-fence":
            member.checks_fence = False
        else:
            return json_response({"error": f"no action {action!r}"}, 400)
        return json_response({})

    def _list_requests(self):
        return json_response(
            {
                "seen": [request._asdict() for request in self.seen],
                "fallen": self.overload_failures,
            }
        )


def stream_event(request_id, body, word, finish=None):
    """Return an event of a streamed completion."""
    chat = "messages" in body
    delta = {"role": "assistant"} if word is None else {"content": word}
    choice = {"index": 0, "finish_reason": finish}
    choice |= {"delta": delta} if chat else {"text": word or ""}
    event = {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 1_700_000_000,
        "model": body.get("model", ""),
        "choices": [choice],
    }
    return b"data: " + json.dumps(event).encode() + b"\n\n"


def completion_body(request_id, body, words):
    """Return the body of a completion that is not streamed."""
    text = "".join(f"{word} " for word in words)
    chat = "messages" in body
    choice = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion" if chat else "text_completion",
        "created": 1_700_000_000,
        "model": body.get("model", ""),
        "choices": [choice],
        "usage": {
            "prompt_tokens": 1,
            "completion_tokens": len(words),
            "total_tokens": len(words) + 1,
        },
    }
