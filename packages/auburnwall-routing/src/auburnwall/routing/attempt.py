"""One attempt to have a request served by one server."""

from urllib3 import HTTPHeaderDict
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.util import SKIP_HEADER

from .event_stream import NumberedEventSplitter
from .exceptions import ExchangeError
from .hop_by_hop import HOP_BY_HOP

# Bytes taken at once from an answer.
READ_BYTES = 65_536
# Largest whole answer that is kept until it is complete.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Longest silence that a read allows; what stands still is interrupted long before.
READ_S = 60.0


class Attempt:
    """Own a place and a channel until the exchange is over."""

    def __init__(self, deps, request, place, last_id):
        self.status = 0
        self.headers = None
        self.candidate = place.candidate
        self.splitter = NumberedEventSplitter()
        self._deps = deps
        self._request = request
        self._place = place
        self._last_id = last_id
        self._channel = None
        self._resp = None
        self._complete = False
        self.exchange = deps.in_flight.begin(request, place.candidate)

    def open(self):
        """Send the request and read the head of the answer; raise ``ExchangeError``."""
        self._connect()
        request, call = self._request, self._request.call
        try:
            with self._reading():
                self._channel.connection.request(
                    call.method,
                    call.path,
                    body=call.body or None,
                    headers=self._sent_headers(),
                    preload_content=False,
                    decode_content=False,
                )
                self._resp = self._channel.connection.getresponse()
        except (HTTPError, OSError, ValueError) as exc:
            raise self._failure(exc, "send") from exc
        self.status, self.headers = self._resp.status, self._resp.headers
        self._check_head(request.request_id)

    @property
    def not_run(self):
        """Return whether the server states that it did not run the request."""
        if self.headers is None:
            return False
        return self.status == 421 or self._deps.header_names.not_run in self.headers

    def whole(self):
        """Return the complete body; raise ``ExchangeError``."""
        parts, size = [], 0
        for data in self._chunks():
            parts.append(data)
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise self._error("the answer is too large", "read answer")
        return b"".join(parts)

    def events(self):
        """Yield whole events as they come; raise ``ExchangeError`` for a cut."""
        for data in self._chunks():
            self._deps.in_flight.note_event(self.exchange)
            if events := self.splitter.feed(data):
                yield events
        if self.splitter.pending:
            raise self._error("the stream ended within an event", "read stream")

    def close(self):
        """End the attempt; the channel is kept if the exchange is complete."""
        self._deps.in_flight.end(self.exchange)
        place, self._place = self._place, None
        if place is not None:
            self._deps.placer.give_back(place)
        channel, self._channel = self._channel, None
        if channel is None:
            return
        if self._complete:
            pool = self._deps.channels
            pool.give_back(channel, self.candidate.address, self.headers)
        else:
            if self._resp is not None:
                self._resp.close()
            channel.close()

    def _connect(self):
        candidate = self.candidate
        channel, kept = self._deps.channels.take(candidate.server, candidate.address)
        self._channel = channel
        if not kept:
            try:
                channel.connect()
            except (ConnectTimeoutError, NewConnectionError, OSError) as exc:
                raise ExchangeError(
                    str(exc), step="connect", peer=candidate.server, sent=False
                ) from exc
        # The connection sets its own time limit anew before it sends and reads.
        channel.connection.timeout = READ_S

    def _sent_headers(self):
        request, header_names = self._request, self._deps.header_names
        call = request.call
        hidden = _hidden_headers(call)
        own = (
            header_names.deadline_ms,
            header_names.team,
            header_names.expected_server,
        )
        hidden.update(name.lower() for name in own)
        if request.hides_key:
            hidden.add("authorization")
        if self._last_id is not None:
            hidden.add(header_names.last_event_id.lower())
        headers = HTTPHeaderDict()
        for name, value in call.headers:
            if name.lower() not in hidden:
                headers.add(name, value, combine=True)
        # What the caller did not send is not added by the library either.
        for name in ("User-Agent", "Accept-Encoding"):
            headers.setdefault(name, SKIP_HEADER)
        left_s = request.deadline - self._deps.clock.monotonic()
        headers[header_names.deadline_ms] = str(max(1, int(left_s * 1000)))
        headers[header_names.expected_server] = self.candidate.server
        if request.team:
            headers[header_names.team] = request.team
        if self._last_id is not None:
            headers[header_names.last_event_id] = self._last_id
        return headers

    def _check_head(self, request_id):
        header_names = self._deps.header_names
        echoed = self.headers.get(header_names.request_id)
        if echoed != request_id and not (echoed is None and self.not_run):
            raise self._error(f"the answer is for {echoed!r}", "check answer")
        if "Content-Encoding" in self.headers:
            raise self._error("the answer is encoded", "check answer")
        if 200 <= self.status < 300 and header_names.seal not in self.headers:
            raise self._error("the answer has no seal", "check answer")

    def _chunks(self):
        """Yield the body as it comes and note whether it is complete."""
        chunked = self._resp.chunked
        chunks = self._resp.read_chunked(READ_BYTES) if chunked else self._parts()
        while True:
            try:
                with self._reading():
                    data = next(chunks, None)
            except (HTTPError, OSError, ValueError) as exc:
                raise self._failure(exc, "read answer") from exc
            if data is None:
                break
            if data:
                yield data
        if not chunked and self._resp.length_remaining not in (0, None):
            raise self._error("the answer is cut short", "read answer")
        self._complete = chunked or "Content-Length" in self.headers

    def _parts(self):
        while data := self._resp.read1(READ_BYTES):
            yield data

    def _reading(self):
        return _Reading(self.exchange)

    def _failure(self, exc, step):
        return self._error(str(exc) or repr(exc), step)

    def _error(self, detail, step):
        return ExchangeError(detail, step=step, peer=self.candidate.server, sent=True)


class _Reading:
    """Mark an exchange as waiting for its server."""

    def __init__(self, exchange):
        self._exchange = exchange

    def __enter__(self):
        self._exchange.reading = True

    def __exit__(self, *exc_info):
        self._exchange.reading = False


def _hidden_headers(call):
    """Return the names of headers that concern the caller's connection only."""
    named = call.header("Connection") or ""
    return {*HOP_BY_HOP, "expect", *(n.strip().lower() for n in named.split(","))}
