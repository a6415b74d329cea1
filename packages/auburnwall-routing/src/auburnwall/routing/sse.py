"""Parsing and writing of server-sent events, as bytes."""

import json

from .event_stream import EventSplitter

DONE = b"data: [DONE]\n\n"
# Largest event, in bytes; longer ones are no events of a model engine.
MAX_EVENT_BYTES = 1024 * 1024
_END = b"\n\n"


class TruncatedStreamError(Exception):
    """A stream ended without its end marker, or an event does not end."""


def split_events(chunks):
    """Yield complete events from chunks of bytes; one item may hold several events.

    All chunks are read, so that the connection can be reused. Bytes after the end
    marker are dropped. Raises ``TruncatedStreamError`` if there is no end marker or an
    event is larger than ``MAX_EVENT_BYTES``.
    """
    splitter, done = EventSplitter(), False
    for chunk in chunks:
        if not done and (events := splitter.feed(chunk)):
            yield events
            done = events.endswith(DONE)
        elif splitter.pending_bytes > MAX_EVENT_BYTES:
            raise TruncatedStreamError("an event is too large")
    if not done:
        raise TruncatedStreamError("the stream ended without its end marker")


def error_event(problem):
    """Return an event that reports to the caller why the stream ends early."""
    return b"data: " + json.dumps({"error": problem}).encode() + _END


def text_of(events):
    """Return the text that the events contain and the number of its pieces.

    A piece is the text of one choice in one event. Events without text do not count.
    """
    pieces = []
    for line in b"".join(events).split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        for choice in json.loads(line[6:]).get("choices", ()):
            delta = choice.get("delta", {}).get("content") or choice.get("text")
            if delta:
                pieces.append(delta)
    return "".join(pieces), len(pieces)
