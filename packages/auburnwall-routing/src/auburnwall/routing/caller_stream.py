"""What a caller has of its stream, and where an attempt at it has to begin.

Failure pattern: a stream has been begun at a second server while the first one is
silent. The first one then sends further events, which the caller gets, and ends. What
the second one sends begins with events that the caller has.
"""

from .event_stream import StreamPosition
from .exceptions import unresumable_error


class CallerStream:
    """The position of a caller in its stream, which each attempt at it starts from.

    ``position`` is the ``StreamPosition`` after the last event that was passed on, and
    ``None`` if the stream begins with the first event. ``last_id`` is the id after
    which the caller itself resumes. ``has_begun`` tells whether anything was passed on.

    >>> stream = CallerStream()
    >>> begun_at = stream.position
    >>> stream.note_passed_on(StreamPosition(b"4", True))
    >>> stream.goes_on_after(begun_at), stream.goes_on_after(stream.position)
    (False, True)
    """

    def __init__(self, last_id=None):
        self.position = None
        if last_id:
            # Whether the ids up to there were consecutive is not known.
            self.position = StreamPosition(last_id.encode("latin-1", "replace"), False)
        self.has_begun = False

    def note_passed_on(self, position):
        """Record that the caller has all events up to ``position``."""
        self.position = position
        self.has_begun = True

    def goes_on_after(self, position):
        """Return whether what follows ``position`` is what the caller lacks."""
        return position == self.position

    def check_resumable(self):
        """Raise ``RequestError`` if the caller has events, but none with an id."""
        if self.has_begun and self.position.last_id is None:
            raise unresumable_error()
