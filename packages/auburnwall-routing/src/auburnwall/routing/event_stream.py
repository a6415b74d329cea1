"""Splits a stream of bytes into complete server-sent events."""

from typing import NamedTuple

from auburnwall.base.body_buffer import BodyBuffer

# Digits of the longest id of an event that is taken for a number.
MAX_ID_DIGITS = 18
# Characters of an unexpected id that are logged.
MAX_LOGGED_ID_CHARS = 40

# Largest event, in bytes; a longer one is no event of a server.
MAX_EVENT_BYTES = 1024 * 1024

EVENT_STREAM_TYPE = "text/event-stream"

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


def is_event_stream(headers):
    """Return whether a response with these headers may hold the events of a stream."""
    content_type = headers.get("Content-Type", EVENT_STREAM_TYPE)
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


class EventSplitter:
    """Collects the bytes of a stream and returns complete events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: x\\n\\nda")
    b'data: x\\n\\n'
    """

    def __init__(self):
        self._incomplete = BodyBuffer()
        self._last_byte = b""

    @property
    def pending(self):
        """Return whether an incomplete event has arrived.

        An empty line by itself is none.
        """
        return bool(self._incomplete.take().strip(b"\n"))

    @property
    def pending_bytes(self):
        """Return the size of the incomplete event."""
        return self._incomplete.size

    def feed(self, data):
        """Return the bytes of all events that are complete now, possibly none."""
        end = data.rfind(_EVENT_END)
        is_within = self._last_byte == b"\n" and data.startswith(b"\n")
        if end < 0 and not is_within:
            self._keep(data)
            return b""
        if self._incomplete.size:
            data = self._incomplete.take() + data
            self._incomplete = BodyBuffer()
            end = data.rfind(_EVENT_END)
        end += len(_EVENT_END)
        self._last_byte = b""
        if end < len(data):
            self._keep(data[end:])
        return data[:end]

    def _keep(self, data):
        self._incomplete.add(data)
        self._last_byte = data[-1:]


class StreamPosition(NamedTuple):
    """How far a stream has come: the id of its last event, ``None`` before the first.

    ``is_consecutive`` is whether each id up to there was one more than the last.
    """

    last_id: bytes | None
    is_consecutive: bool

    @property
    def id_text(self):
        """Return the id as text, ``None`` before the first event."""
        return None if self.last_id is None else self.last_id.decode("latin-1")


class NumberedEventSplitter(EventSplitter):
    """Also counts the events and checks their ids, which must increase.

    Once an event had an id, one without an id or with one that is not greater does not
    belong to the stream. Then ``fault`` says why, and nothing is returned from there
    on. Comments need no id. With ``resumed_at``, a ``StreamPosition``, this is the
    continuation of a stream: also its first event needs an id that follows, and
    comments before it are left out. ``position`` is the ``StreamPosition`` after the
    last event.

    >>> splitter = NumberedEventSplitter()
    >>> splitter.feed(b"id: 4\\ndata: x\\n\\nid: 5\\nda")
    b'id: 4\\ndata: x\\n\\n'
    >>> splitter.last_id, splitter.count
    ('4', 1)
    >>> splitter.feed(b"ta: y\\n\\nid: 2\\ndata: z\\n\\n"), splitter.fault
    (b'id: 5\\ndata: y\\n\\n', 'event 2 after event 5')
    """

    def __init__(self, resumed_at=None):
        super().__init__()
        self.count = 0
        self.fault = None
        self.position = resumed_at or StreamPosition(None, True)
        self._is_resumed = resumed_at is not None
        self._last_number = resumed_at and _number_of(resumed_at.last_id)

    @property
    def last_id(self):
        """Return the id of the last event as text, ``None`` without one."""
        return self.position.id_text

    def feed(self, data):
        """Return the bytes of all events that are complete now, possibly none."""
        complete, begin, end = super().feed(data), 0, 0
        while end < len(complete) and not self.fault:
            found_at = complete.find(_EVENT_END, end)
            # What is left may be an empty line that ends no event.
            next_end = len(complete) if found_at < 0 else found_at + len(_EVENT_END)
            self.fault = self._fault_of(complete[end:next_end])
            if not self.fault:
                end = next_end
            if self._is_resumed and not self.count:
                begin = end
        return complete[begin:end]

    def _fault_of(self, event_bytes):
        """Count an event; return why it does not belong here, ``None`` if it does."""
        event_id = _id_of(event_bytes)
        if event_id is None:
            if _is_comment(event_bytes):
                return None
            if self._is_resumed or self.position.last_id is not None:
                return f"an event without an id after event {self.last_id}"
            self.count += 1
            return None
        number, last = _number_of(event_id), self._last_number
        last_id, is_consecutive = self.position
        is_next = number is not None and number == (last or 0) + 1
        if last_id is not None and not is_next and not self._may_skip_to(event_id):
            shown_id = event_id[:MAX_LOGGED_ID_CHARS].decode("latin-1")
            return f"event {shown_id} after event {self.last_id}"
        is_consecutive = is_next and (is_consecutive or not self.count)
        self.position = StreamPosition(event_id, is_consecutive)
        self._last_number = number
        self.count += 1
        return None

    def _may_skip_to(self, event_id):
        """Return whether an event that is not the next number may follow."""
        number, last = _number_of(event_id), self._last_number
        last_id, is_consecutive = self.position
        if number is None or last is None:
            # Ids of another form have no order.
            return number is None and last is None and event_id != last_id
        if self._is_resumed and not self.count and is_consecutive:
            return False
        return number > last


def _id_of(event_bytes):
    """Return the id in the bytes of an event, ``None`` without one."""
    if event_bytes.startswith(_ID_FIELD):
        at = len(_ID_FIELD)
    else:
        at = event_bytes.find(b"\n" + _ID_FIELD)
        if at < 0:
            return None
        at += 1 + len(_ID_FIELD)
    return event_bytes[at : event_bytes.index(b"\n", at)].strip() or None


def _number_of(event_id):
    """Return the number that an id is, ``None`` if it is none."""
    is_number = event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS
    return int(event_id) if is_number else None


def _is_comment(event_bytes):
    """Return whether the bytes hold nothing but comments."""
    lines = event_bytes.split(b"\n")
    return all(not line or line.startswith(b":") for line in lines)
