"""Parsing and writing of server-sent events, as bytes."""

import json
import re

from .event_stream import MAX_EVENT_BYTES, EventSplitter

DONE = b"data: [DONE]\n\n"
_END = b"\n\n"
# A line of an event: empty, a comment, or a field.
_LINE = re.compile(rb"(data|event|id|retry)?(:|$)")


class TruncatedStreamError(Exception):
    """A stream ended without its end marker, or holds what is no event."""


def split_events(chunks):
    """Yield complete events from chunks of bytes; one item may hold several events.

    All chunks are read, so that the connection can be reused. Bytes after the end
    marker are dropped. Raises ``TruncatedStreamError`` if there is no end marker, if an
    event is larger than ``MAX_EVENT_BYTES``, or before anything that is no event.
    """
    splitter, done = EventSplitter(), False
    for chunk in chunks:
        if not done and (events := splitter.feed(chunk)):
            if not all(map(_LINE.match, events.split(b"\n"))):
                raise TruncatedStreamError("not an event in the stream")
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
