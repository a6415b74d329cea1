"""Fakes of the services that a node uses, with the faults that tests inject."""

import json
from collections import defaultdict
from contextlib import contextmanager
from itertools import count

from gevent.event import AsyncResult, Event

from auburnwall.fleet.engines.base import (
    Engine,
    EngineReport,
    IdleOrder,
    LoadOrder,
    PreloadOrder,
)
from auburnwall.fleet.exceptions import (
    EngineError,
    OrderRefusedError,
    VmListUnavailableError,
)
from auburnwall.fleet.vmlist.base import VmList
from auburnwall.routing.exceptions import ExchangeError
from auburnwall.routing.request import Answer
from auburnwall.state.exceptions import LogTruncatedError, LogUnavailableError
from auburnwall.state.log.base import LogBatch, LogClient, LogRecord
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import PeerError
from standins.engine import completion_body, prompt_of, response_words, stream_event

from .virtual_time import EPOCH_S

LOG_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.5
LATENCY_S = 0.001
TOKEN_S = 0.02
SLOW_PEER_S = 0.8
ORDER_KINDS = {LoadOrder: "load", IdleOrder: "idle", PreloadOrder: "preload"}


class FakeLogStore:
    """The platform's log.

    It refuses connections while ``down`` and delays each call by ``slow_s``. The next
    ``lose_answers`` appends are written but their responses are lost.
    """

    def __init__(self, time):
        self._time = time
        self.streams = defaultdict(list)
        self.oldest = defaultdict(int)
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.appends = defaultdict(int)
        self.changed = Event()

    def put(self, stream, payloads):
        records = self.streams[stream]
        first = self.oldest[stream] + len(records)
        now_ms = int((EPOCH_S + self._time.now) * 1000)
        records += [
            LogRecord(first + index, now_ms, json.loads(json.dumps(data)))
            for index, data in enumerate(payloads)
        ]
        self.changed.set()
        self.changed = Event()
        return first

    def expire_records(self, stream, keep):
        """Expire all but the last ``keep`` records of a stream."""
        expired = max(0, len(self.streams[stream]) - keep)
        del self.streams[stream][:expired]
        self.oldest[stream] += expired


class FakeLog(LogClient):
    """One process's client of the log."""

    def __init__(self, cluster, name, clock):
        self._cluster = cluster
        self._name = name
        self._clock = clock

    def append(self, stream, payloads):
        store, cluster = self._cluster.log, self._cluster
        kind = payloads[0].get("kind", stream.partition("-")[0])
        cluster.step(f"append {kind}", self._name)
        self._connect(stream)
        offset = store.put(stream, payloads)
        store.appends[kind] += 1
        cluster.record_append(stream, payloads, offset)
        cluster.step(f"appended {kind}", self._name)
        if store.lose_answers > 0:
            store.lose_answers -= 1
            self._clock.sleep(LOG_TIMEOUT_S)
            raise LogUnavailableError("answer lost", step="log append", peer="log")
        self._return_response("log append")
        return offset

    def read(self, stream, offset, *, limit, wait_s):
        store = self._cluster.log
        self._connect(stream)
        records, oldest = store.streams[stream], store.oldest[stream]
        if offset < oldest:
            raise LogTruncatedError(oldest, step="log read", peer="log")
        if offset >= oldest + len(records) and wait_s > 0:
            self._clock.wait(store.changed, wait_s)
        found = list(records[offset - oldest : offset - oldest + limit])
        batch = LogBatch(found, oldest, oldest + len(records))
        self._return_response("log read")
        return batch

    def _connect(self, stream):
        self._clock.sleep(LATENCY_S + self._cluster.log.slow_s)
        if self._cluster.log.down or self._cluster.is_cut(self._name, "log"):
            raise LogUnavailableError(
                "no connection", step="log", peer="log", effect_possible=False
            )

    def _return_response(self, step):
        self._clock.sleep(LATENCY_S)
        if self._cluster.is_cut("log", self._name):
            self._clock.sleep(LOG_TIMEOUT_S)
            raise LogUnavailableError("no answer", step=step, peer="log")


class FakeVmList(VmList):
    """One process's client of the VM list."""

    def __init__(self, cluster, name, clock):
        self._cluster = cluster
        self._name = name
        self._clock = clock

    def fetch(self):
        self._clock.sleep(LATENCY_S)
        if self._cluster.list_down or self._cluster.is_cut(self._name, "vm-list"):
            raise VmListUnavailableError("no answer", step="read VM list", peer="list")
        return self._cluster.current_vm_list()


class FakePeers:
    """One process's connections to its peers."""

    def __init__(self, cluster, name, clock, timeout_s):
        self._cluster = cluster
        self._name = name
        self._clock = clock
        self._timeout_s = timeout_s

    def call(self, address, method, *args):
        cluster = self._cluster
        cluster.step(f"call {method}", self._name)
        target = cluster.node_at(address)
        slow = target is not None and target.name in cluster.slow_nodes
        self._clock.sleep(SLOW_PEER_S if slow else LATENCY_S)
        if target is None or not target.up:
            raise PeerUnavailableError("refused", step=method, peer=address)
        response = AsyncResult()
        if not cluster.is_cut(self._name, target.name):
            target.tasks.spawn(self._serve, target, method, args, response)
        if not self._clock.wait(response, self._timeout_s):
            raise PeerUnavailableError("no answer", step=method, peer=address)
        self._clock.sleep(LATENCY_S)
        return response.get()

    def _serve(self, target, method, args, response):
        target.clock.gate()
        try:
            value = getattr(target.handler, method)(*args)
        except PeerError as exc:
            error = PeerUnavailableError(exc.detail, step=method, peer=target.name)
            response.set_exception(error)
            return
        target.clock.gate()
        if not self._cluster.is_cut(target.name, self._name):
            response.set(value)

    def close(self):
        pass


class FakeVm:
    """A backend server VM: an engine, which joins serving groups, or a booking desk.

    Only a VM with ``checks_fence`` refuses orders with an old fencing token.
    """

    _boot_numbers = count(1)

    def __init__(self, cluster, row, *, kind):
        self.cluster = cluster
        self.row = row
        self.name = row.name
        self.kind = kind
        self.up = True
        self.died_at = 0.0
        self.left_group_at = 0.0
        self.chilled_at = -1e9
        self.checks_fence = True
        self.highest_fence = 0
        self.bookings = []
        self.boot()

    def boot(self):
        self.boot_id = f"boot-{next(self._boot_numbers)}"
        self.state = "ready" if self.kind == "desk" else "empty"
        self.generation = 0
        self.group = ""
        self.members = ()
        self.version = ""
        self.running = 0
        self.warming_since = self.cluster.time.now

    @property
    def bears(self):
        if self.kind == "desk":
            return 8
        if self.state != "ready":
            return 0
        return min(6, 1 + int((self.cluster.time.now - self.warming_since) / 1.0))

    def kill(self):
        self.up = False
        self.died_at = self.cluster.time.now
        self.boot()

    def revive(self):
        self.boot()
        self.up = True

    def chill(self):
        """Lose the warm-up without a restart; running requests continue."""
        self.warming_since = self.chilled_at = self.cluster.time.now

    def report(self):
        return EngineReport(
            self.boot_id,
            self.state,
            self.generation,
            self.version,
            self.running,
            self.bears,
            self.highest_fence,
        )

    def order(self, order):
        if self.checks_fence and order.fence < self.highest_fence:
            raise OrderRefusedError("old fence", step="order", peer=self.name)
        self.highest_fence = max(self.highest_fence, order.fence)
        if isinstance(order, PreloadOrder):
            if self.state == "empty":
                self.version = order.version
        elif isinstance(order, IdleOrder):
            if order.generation == self.generation:
                self._record_interruption()
                self.state, self.generation = "empty", 0
        elif order.generation != self.generation and self.state != "loading":
            self._record_interruption()
            self.state, self.generation, self.running = "loading", 0, 0
            self.cluster.spawn(self._load, order, self.boot_id)

    def missing_for_s(self):
        """Return for how many seconds a member has been missing, 0 if all are there."""
        now = self.cluster.time.now
        missing = [
            max(member.died_at, member.left_group_at)
            for name in self.members
            if (member := self.cluster.vm_at(name)) is not None
            and (not member.up or member.generation != self.generation)
        ]
        return now - min(missing) if missing else 0.0

    def _record_interruption(self):
        """Record an order that ends requests.

        Requests that a missing member has broken already do not count.
        """
        complete = self.missing_for_s() == 0
        self.left_group_at = self.cluster.time.now
        if self.running and complete:
            self.cluster.interrupting_orders.append((self.cluster.time.now, self.name))

    def _load(self, order, boot_id):
        self.cluster.time.after(0.5).wait()
        if self.boot_id != boot_id:
            return
        self.generation, self.group = order.generation, order.group
        self.members, self.version = tuple(order.members), order.version
        self.state = "ready"
        self.warming_since = self.cluster.time.now


class FakeEngine(Engine):
    """One process's adapter to the model engines."""

    def __init__(self, cluster, name, clock):
        self._cluster = cluster
        self._name = name
        self._clock = clock

    def report(self, address):
        return self._connect(address, "probe", PROBE_TIMEOUT_S).report()

    def send_order(self, address, order):
        kind = ORDER_KINDS[type(order)]
        self._cluster.step(f"order {kind}", self._name)
        self._connect(address, "order", PROBE_TIMEOUT_S).order(order)
        self._cluster.step(f"ordered {kind}", self._name)

    def cancel(self, address, request_id):
        self._connect(address, "cancel", PROBE_TIMEOUT_S)

    def _connect(self, address, step, timeout_s):
        self._clock.sleep(LATENCY_S)
        vm = self._cluster.vm_at(address)
        if self._cluster.is_cut(self._name, vm.name):
            self._clock.sleep(timeout_s)
            raise EngineError("no answer", step=step, peer=address)
        if not vm.up:
            raise EngineError("refused", step=step, peer=address)
        return vm


class _FakeResponse:
    """The part of an HTTP response that the streaming path uses."""

    def __init__(self, status, chunks):
        self.headers = {}
        self.status = status
        self._chunks = chunks

    def stream(self, amount):
        return self._chunks

    def read(self, amount=None):
        return b"".join(self._chunks)


class FakeExchanges:
    """One process's HTTP exchanges with backend servers."""

    def __init__(self, cluster, name, clock):
        self._cluster = cluster
        self._name = name
        self._clock = clock

    @contextmanager
    def open(self, request, address, headers, read_timeout_s, body=None):
        vm = self._connect(request, address)
        fields = json.loads(request.body if body is None else body)
        generation = int(headers["X-Auburnwall-Generation"])
        if vm.state != "ready" or vm.generation != generation:
            yield _FakeResponse(409, [b"not serving that generation"])
            return
        chunks = self._stream_chunks(vm, request, fields)
        try:
            yield _FakeResponse(200, chunks)
        finally:
            chunks.close()

    def exchange_complete(self, request, address, headers, read_timeout_s, body=None):
        vm = self._connect(request, address)
        if vm.kind == "desk":
            return self._book(vm, request, "")
        with self.open(request, address, headers, read_timeout_s, body) as resp:
            if resp.status != 200:
                return Answer(resp.status, {}, resp.read())
            for _ in resp.stream(0):
                pass
        fields = json.loads(request.body)
        words = response_words(prompt_of(fields), fields["max_tokens"])
        value = completion_body(request.request_id, fields, words)
        return Answer(200, {}, json.dumps(value).encode())

    def exchange_on_new_connection(self, request, address, headers, read_timeout_s):
        vm = self._connect(request, address)
        return self._book(vm, request, headers["Idempotency-Key"])

    def _connect(self, request, address):
        self._cluster.step("connect", self._name)
        self._clock.sleep(LATENCY_S)
        vm = self._cluster.vm_at(address)
        if self._cluster.is_cut(self._name, vm.name) or not vm.up:
            self._clock.sleep(CONNECT_TIMEOUT_S)
            raise ExchangeError(
                "no connection", step="connect", peer=address, sent=False
            )
        return vm

    def _book(self, vm, request, key):
        cluster, boot_id = self._cluster, vm.boot_id
        cluster.record_receipt(vm, request)
        cluster.step("desk received", self._name)
        self._clock.sleep(0.05)
        if vm.boot_id == boot_id:
            vm.bookings.append((cluster.time.now, key))
        cluster.step("desk booked", self._name)
        if not vm.up or vm.boot_id != boot_id or cluster.is_cut(vm.name, self._name):
            self._clock.sleep(1.0)
            raise ExchangeError("cut", step="read answer", peer=vm.name, sent=True)
        body = json.dumps({"booked": key}).encode()
        return Answer(201, {"Content-Type": "application/json"}, body)

    def _stream_chunks(self, vm, request, fields):
        cluster, boot_id, generation = self._cluster, vm.boot_id, vm.generation
        cluster.record_receipt(vm, request)
        if cluster.fails_on_overload and vm.running >= vm.bears:
            cluster.overload_failures.append((cluster.time.now, vm.name))
            vm.boot()
            raise ExchangeError("fell over", step="send", peer=vm.name, sent=True)
        vm.running += 1
        pieces_sent = fields.get("auburnwall_resume", {}).get("pieces", 0)
        words = response_words(prompt_of(fields), fields["max_tokens"])
        try:
            if pieces_sent == 0:
                yield stream_event(request.request_id, fields, None)
            for word in words[pieces_sent:]:
                self._clock.sleep(TOKEN_S)
                cluster.step("token", self._name)
                broken = (
                    vm.boot_id != boot_id
                    or vm.generation != generation
                    or vm.missing_for_s() > 0
                    or cluster.is_cut(vm.name, self._name)
                )
                if broken:
                    raise ExchangeError(
                        "cut", step="read stream", peer=vm.name, sent=True
                    )
                yield stream_event(request.request_id, fields, f"{word} ")
            yield stream_event(request.request_id, fields, "", finish="stop")
            yield b"data: [DONE]\n\n"
        finally:
            if vm.boot_id == boot_id and vm.generation == generation:
                vm.running -= 1

    def close(self):
        pass
