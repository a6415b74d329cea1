"""Server-sent events as bytes."""

import json

from .event_stream import EventSplitter

DONE = b"data: [DONE]\n\n"
_END = b"\n\n"


class TruncatedStreamError(Exception):
    """A stream ended without its end marker."""


def split_events(chunks):
    """Yield whole events from chunks of bytes, several together where they wait.

    Reads the chunks to their end, which leaves the connection in order; what comes
    after the end marker is dropped. Raises ``TruncatedStreamError`` without a marker.
    """
    splitter, done = EventSplitter(), False
    for chunk in chunks:
        if not done and (whole := splitter.feed(chunk)):
            yield whole
            done = whole.endswith(DONE)
    if not done:
        raise TruncatedStreamError("the stream ended without its end marker")


def error_event(problem):
    """Return an event that tells the caller that the stream cannot go on."""
    return b"data: " + json.dumps({"error": problem}).encode() + _END


def text_of(events):
    """Return the text that the events have carried so far, and how many pieces."""
    pieces = []
    for line in b"".join(events).split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        for choice in json.loads(line[6:]).get("choices", ()):
            delta = choice.get("delta", {}).get("content") or choice.get("text")
            if delta:
                pieces.append(delta)
    return "".join(pieces), len(pieces)
