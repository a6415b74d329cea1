"""Splits a stream of bytes into complete server-sent events."""

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"


class EventSplitter:
    """Collects the bytes of a stream and returns complete events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: x\\n\\nda")
    b'data: x\\n\\n'
    """

    def __init__(self):
        self._incomplete = b""

    @property
    def pending(self):
        """Return whether an incomplete event has arrived."""
        return bool(self._incomplete)

    @property
    def pending_bytes(self):
        """Return the size of the incomplete event."""
        return len(self._incomplete)

    def feed(self, data):
        """Return the bytes of all events that are complete now, possibly none."""
        buffered = self._incomplete + data
        end = buffered.rfind(_EVENT_END)
        if end < 0:
            self._incomplete = buffered
            return b""
        complete, self._incomplete = buffered[: end + 2], buffered[end + 2 :]
        return complete


class NumberedEventSplitter(EventSplitter):
    """Also counts the events and remembers the last event id.

    >>> splitter = NumberedEventSplitter()
    >>> splitter.feed(b"id: 4\\ndata: x\\n\\nid: 5\\nda")
    b'id: 4\\ndata: x\\n\\n'
    >>> splitter.last_id, splitter.count
    ('4', 1)
    """

    def __init__(self):
        super().__init__()
        self.last_id = None
        self.count = 0

    def feed(self, data):
        """Return the bytes of all events that are complete now, possibly none."""
        complete = super().feed(data)
        if complete:
            self.last_id = _last_id(complete) or self.last_id
            self.count += complete.count(_EVENT_END)
        return complete


def _last_id(events):
    at = events.rfind(_ID_FIELD)
    while at > 0 and events[at - 1 : at] != b"\n":
        at = events.rfind(_ID_FIELD, 0, at)
    if at < 0:
        return None
    line = events[at + len(_ID_FIELD) :].partition(b"\n")[0]
    return line.strip().decode("latin-1")
