"""One attempt to have a request served by one server."""

from http.client import HTTPException

from urllib3.exceptions import HTTPError

from auburnwall.base import memory
from auburnwall.base.body_buffer import BodyBuffer
from auburnwall.base.http import READ_BYTES
from auburnwall.base.http_reader import STATUS_LINE
from auburnwall.base.logs import event
from auburnwall.base.sockets import has_unread, has_unread_bytes
from auburnwall.fleet.server_notices import (
    LEAVING,
    limit_from_header,
    pause_from_header,
)

from .channels import CONNECT_FAILURES
from .event_stream import (
    MAX_EVENT_BYTES,
    NumberedEventSplitter,
    is_event_stream,
)
from .exceptions import ExchangeError
from .in_flight import DeadlineExceededError
from .request_head import RequestHead
from .tracked_exchange import FIRST_EVENT_STALL_TIMEOUT_S, reroute_delay_s

# How an exchange fails in ``urllib3``, or in the standard library below it, which
# rejects bytes that are no response.
EXCHANGE_FAILURES = (HTTPError, HTTPException, OSError, ValueError)
# Largest response that is collected as a whole, in bytes.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Time after the deadline in which events that are ready are still passed on, in
# seconds.
MAX_LATE_S = 0.25
# Statuses that promise a caller that its request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Socket read timeout; stalled exchanges are interrupted long before.
READ_TIMEOUT_S = 60.0


class Attempt:
    """Owns a slot and a channel until the exchange is over.

    If ``resume_at`` is not ``None``, the server is asked to resume a stream after that
    ``StreamPosition``. While the attempt waits for its server, ``in_flight`` may
    interrupt it with ``StalledError`` or ``DeadlineExceededError``. ``servers_left`` is
    to how many servers the request may still be sent, this one included.
    """

    is_detour = False
    # Idle time after which the connection is not reused, in seconds; ``None`` to follow
    # the server.
    max_idle_s = None

    def __init__(self, deps, request, placement, resume_at, servers_left):
        self.status = 0
        self.headers = None
        self.candidate = placement.candidate
        self.resume_at = resume_at
        self.splitter = NumberedEventSplitter(resume_at)
        self._deps = deps
        self._request = request
        self._placement = placement
        self._request_head = RequestHead(deps, request, resume_at)
        self._servers_left = servers_left
        self._channel = None
        self._resp = None
        self._complete = False
        self._held_bytes = 0
        self._memory = request.call.memory or memory.budget.open(request.request_id)
        self._memory.add_ender(self._end_for_memory)
        self.exchange = deps.in_flight.begin(request, placement.candidate)
        self._awaiting_server = _AwaitingServer(self.exchange)
        self.exchange.has_unread = self._has_unread
        self.exchange.has_unread_bytes = self._has_unread_bytes

    def open(self):
        """Send the request and read the head of the response.

        Raises ``ExchangeError`` if the server fails or the response is not valid.
        """
        self._connect()
        call, connection = self._request.call, self._channel.connection
        connection.id_header = self._deps.header_names.request_id
        try:
            with self._awaiting_server:
                connection.request(
                    call.method,
                    call.path,
                    body=call.body or None,
                    headers=self._sent_headers(),
                    preload_content=False,
                    decode_content=False,
                )
                self._resp = connection.getresponse()
        except EXCHANGE_FAILURES as exc:
            raise self._failure(exc, "send") from exc
        finally:
            self._log_stale_answers(connection.stale_heads)
        self.status, self.headers = self._resp.status, self._resp.headers
        self._check_id()
        self._note_notices()
        self._check_head()
        self._note_limit()

    @property
    def not_run(self):
        """Return whether the server states that it did not run the request.

        Only a response that bears the request's own id is such a statement.
        """
        if self.headers is None:
            return False
        return self.status == 421 or self._states_not_run

    @property
    def _states_not_run(self):
        return self._deps.header_names.not_run in self.headers

    @property
    def is_event_stream(self):
        """Return whether the response is one that may hold the events of a stream."""
        return self.status == 200 and is_event_stream(self.headers)

    @property
    def pause_s(self):
        """Return for how many seconds the server wants no request, or ``None``."""
        value = self.headers.get(self._deps.header_names.pause)
        return pause_from_header(self.status, value)

    def limit_silence(self, *, may_reroute):
        """Set for how long the server may be silent before it becomes suspect.

        ``may_reroute`` allows the request to be sent to another server then. Half the
        objective is allowed for reading the prompt. An answer that is no stream is
        looked for elsewhere only after the time that such answers usually take.
        """
        request, exchange, deps = self._request, self.exchange, self._deps
        exchange.may_reroute = may_reroute
        exchange.stall_timeout_s = (
            FIRST_EVENT_STALL_TIMEOUT_S + 0.5 * request.route.objective_s
        )
        if not request.route.streams:
            exchange.reroute_delay_s = reroute_delay_s(
                exchange.stall_timeout_s,
                deps.time_to_start.mean_s(request.service, request.model),
                request.deadline - deps.clock.monotonic(),
            )

    def note_unreachable(self):
        """Record that nothing could be sent to the server."""
        self._deps.in_flight.make_suspect(self.candidate.name)

    def read_body(self):
        """Return the complete body, which the request's memory account holds.

        Raises ``ExchangeError`` if it is cut short, larger than ``MAX_ANSWER_BYTES`` or
        too large beside the other messages of this node.
        """
        with BodyBuffer() as received:
            for data in self._chunks():
                self._deps.in_flight.note_bytes(self.exchange)
                received.add(data)
                if received.size > MAX_ANSWER_BYTES:
                    raise self._error("the answer is too large", "read answer")
                self._hold(received.size)
            body = received.take()
        if self._holds_answer(body) or self._begins_answer(body):
            raise self._error("another answer is within this one", "read answer")
        # From now on the request holds it.
        self._held_bytes = 0
        return body

    def events(self):
        """Yield bytes of one or more complete events as they arrive.

        Raises ``ExchangeError`` if the stream is cut short or goes on with something
        else than its next event. Raises ``DeadlineExceededError`` if it goes on for
        ``MAX_LATE_S`` after the deadline, or after the first event that is read later,
        as the node may have been paused.
        """
        exchange, deadline, late_since = self.exchange, self._request.deadline, None
        for data in self._chunks():
            if (size := len(data) + self.splitter.pending_bytes) > self._held_bytes:
                self._hold(size)
            if events := self.splitter.feed(data):
                self._deps.in_flight.note_progress(exchange)
                if exchange.progress_at >= deadline:
                    late_since = late_since or exchange.progress_at
                    if exchange.progress_at - late_since > MAX_LATE_S:
                        raise DeadlineExceededError("out of time", step="read stream")
                if self._holds_answer(events):
                    detail = "another answer is within the stream"
                    raise self._error(detail, "read stream")
                yield events
            elif self.splitter.pending_bytes > MAX_EVENT_BYTES:
                raise self._error("an event is too large", "read stream")
            if self.splitter.fault:
                raise self._error(self.splitter.fault, "read stream")
        if self.splitter.pending:
            raise self._error("the stream ended within an event", "read stream")
        if not self._complete and not self.splitter.count:
            # Nothing but the connection's end says that the stream is over, and that
            # of a server that has crashed looks the same.
            raise self._error("the stream ended before an event", "read stream")

    def detach_placement(self):
        """Return the placement, which the caller has to release from now on."""
        placement, self._placement = self._placement, None
        return placement

    def close(self):
        """Release the slot, and the channel for reuse if the exchange is complete.

        Otherwise the channel is closed.
        """
        self._deps.in_flight.end(self.exchange)
        self._release_memory()
        if (placement := self.detach_placement()) is not None:
            self._deps.placer.release_slot(placement)
        channel, self._channel = self._channel, None
        if channel is None:
            return
        connection = channel.connection
        if self._complete and not connection.stale_heads:
            if self._request.call.method != "HEAD":
                connection.answered_ids.append(self._request.request_id)
            pool = self._deps.channels
            pool.release(channel, self.candidate.address, self.headers, self.max_idle_s)
        else:
            if self._resp is not None:
                self._resp.close()
            channel.close()

    def _hold(self, size):
        """Count ``size`` bytes of the response as held, more than until now."""
        added, self._held_bytes = size - self._held_bytes, size
        self._memory.add(added)

    def _release_memory(self):
        account, self._memory = self._memory, None
        if account is not None:
            account.remove_ender(self._end_for_memory)
            account.release(self._held_bytes)

    def _end_for_memory(self, error):
        self._deps.in_flight.fail(
            self.exchange, self._error(error.detail, "read answer")
        )

    def _connect(self):
        candidate, channels = self.candidate, self._deps.channels
        try:
            channel, reused = channels.take(candidate.server, candidate.address)
            while self._request.request_id in channel.connection.answered_ids:
                # A late copy of that answer could not be told from the one to come.
                channel.close()
                channel, reused = channels.take(candidate.server, candidate.address)
            self._channel = channel
            if not reused:
                channel.connect()
                self._note_connected()
        except CONNECT_FAILURES as exc:
            raise ExchangeError(
                str(exc), step="connect", peer=candidate.server, sent=False
            ) from exc
        # The connection applies this timeout to its socket before it sends and reads.
        channel.connection.timeout = READ_TIMEOUT_S

    def _note_connected(self):
        self._deps.reach.note_connected(self._request.service)

    def _sent_headers(self):
        return self._request_head.for_server(self.candidate.server)

    def _log_stale_answers(self, heads):
        for headers in heads:
            event(
                "stale answer skipped",
                request=self._request.request_id,
                peer=self.candidate.server,
                answered=headers.get(self._deps.header_names.request_id),
            )

    def _note_notices(self):
        """Record what the head of the response says of the server."""
        header_names = self._deps.header_names
        self._deps.notices.note_response(
            self.candidate.server,
            f"request {self._request.request_id}",
            is_leaving=self.headers.get(header_names.leaving) == LEAVING,
            pause_s=self.pause_s,
        )

    def _note_limit(self):
        """Record the rate limit that the response names, or that it names none."""
        if self.status == 421:
            # Another server may have answered.
            return
        try:
            per_s = limit_from_header(self.headers.get(self._deps.header_names.limit))
        except ValueError as exc:
            # What was heard before still counts.
            event(
                "server limit not readable",
                request=self._request.request_id,
                peer=self.candidate.server,
                why=str(exc),
            )
            return
        self._deps.notices.note_limit(
            self.candidate.server,
            f"request {self._request.request_id}",
            per_s,
            asked_at=self.exchange.started_at,
        )

    def _check_id(self):
        """Raise ``ExchangeError`` unless the response is to this request.

        A server may write a response once more, also a refusal, on a connection that is
        in use again. Nothing in a response to another request, or to an unknown one,
        says anything of this one.
        """
        echoed = self.headers.get(self._deps.header_names.request_id)
        if echoed != self._request.request_id:
            raise self._error(
                f"the answer, status {self.status}, is for {echoed!r}", "check answer"
            )

    def _check_head(self):
        header_names = self._deps.header_names
        if self.status < 200:
            raise self._error(f"status {self.status} is not final", "check answer")
        if "Content-Encoding" in self.headers:
            raise self._error("the answer is encoded", "check answer")
        if 200 <= self.status < 300 and header_names.seal not in self.headers:
            raise self._error("the answer has no seal", "check answer")
        if self.status < 400 and self._states_not_run:
            raise self._error("a success that has not run", "check answer")
        if self.status in NOT_RUN_STATUSES and not self.may_refuse:
            # The status alone would promise the caller what the server does not state.
            detail = f"status {self.status} without the statement that it has not run"
            raise self._error(detail, "check answer")

    @property
    def may_refuse(self):
        """Return whether the response may promise that the request has not run."""
        return self.not_run

    def _chunks(self):
        """Yield the body as it arrives.

        At its end, marks the exchange as complete if the framing of the body states
        where it ends. Without that, a broken connection looks like the end.
        """
        chunked = self._resp.chunked
        chunks = self._resp.read_chunked(READ_BYTES) if chunked else self._unchunked()
        while True:
            try:
                with self._awaiting_server:
                    data = next(chunks, None)
            except EXCHANGE_FAILURES as exc:
                raise self._failure(exc, "read answer") from exc
            if data is None:
                break
            if data:
                yield data
        if not chunked and self._resp.length_remaining not in (0, None):
            raise self._error("the answer is cut short", "read answer")
        self._complete = chunked or "Content-Length" in self.headers

    def _holds_answer(self, data):
        """Return whether data of a body holds the head of an answer, with its id.

        A faulty server may write a copy of an answer at any moment.
        """
        match = STATUS_LINE.search(data)
        if not match:
            return False
        field = f"\n{self._deps.header_names.request_id}:".lower().encode()
        return field in data[match.end() :].lower()

    def _begins_answer(self, body):
        """Return whether a status line begins in a body that more bytes follow.

        If a copy has pushed the end of the body out of it, that end follows.
        """
        unread = self._channel.connection.unread
        if not unread:
            return False
        match = STATUS_LINE.search(body + unread)
        return match is not None and match.start() < len(body)

    def _unchunked(self):
        while data := self._resp.read1(READ_BYTES):
            yield data

    def _has_unread(self):
        """Return whether bytes have arrived that this attempt has not read yet.

        The node may run late. The socket is not known once it belongs to a response
        that ends with its connection; then this is false.
        """
        sock = self._channel.connection.sock if self._channel else None
        return sock is not None and has_unread(sock)

    def _has_unread_bytes(self):
        """Return whether bytes have arrived, and not merely the connection's end."""
        sock = self._channel.connection.sock if self._channel else None
        return sock is not None and has_unread_bytes(sock)

    def _failure(self, exc, step):
        return self._error(str(exc) or repr(exc), step)

    def _error(self, detail, step):
        return ExchangeError(detail, step=step, peer=self.candidate.server, sent=True)


class _AwaitingServer:
    """Marks an exchange as waiting for its server, within a ``with`` block.

    There ``in_flight`` may interrupt it. Raises the ``final_error`` of an exchange that
    has one. It is entered again for each piece of a response.
    """

    def __init__(self, exchange):
        self._exchange = exchange

    def __enter__(self):
        if self._exchange.final_error is not None:
            raise self._exchange.final_error
        self._exchange.awaiting_server = True
        self._exchange.waits += 1
        if self._exchange.timing is not None:
            self._exchange.timing.note_wait()

    def __exit__(self, *exc_info):
        self._exchange.awaiting_server = False
