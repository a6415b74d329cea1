"""Events of a stream as bytes, cut at their ends."""

_END = b"\n\n"
_ID = b"id:"


class EventSplitter:
    """Collect bytes of a stream and give out whole events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: x\\n\\nda")
    b'data: x\\n\\n'
    """

    def __init__(self):
        self._rest = b""

    @property
    def pending(self):
        """Return whether part of an event has come."""
        return bool(self._rest)

    def feed(self, data):
        """Return the events that are whole now, together, possibly none."""
        rest = self._rest + data
        end = rest.rfind(_END)
        if end < 0:
            self._rest = rest
            return b""
        whole, self._rest = rest[: end + 2], rest[end + 2 :]
        return whole


class NumberedEventSplitter(EventSplitter):
    """Also count the events and remember the id of the last one.

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
        """Return the events that are whole now, together, possibly none."""
        whole = super().feed(data)
        if whole:
            self.last_id = _last_id(whole) or self.last_id
            self.count += whole.count(_END)
        return whole


def _last_id(events):
    at = events.rfind(_ID)
    while at > 0 and events[at - 1 : at] != b"\n":
        at = events.rfind(_ID, 0, at)
    if at < 0:
        return None
    line = events[at + len(_ID) :].partition(b"\n")[0]
    return line.strip().decode("latin-1")
