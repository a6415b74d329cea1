"""Read what nodes wrote to their logs, and tell the story of a request or a group."""

import json
from pathlib import Path

from .exceptions import BadInputError

# Fields that have a column of their own, or say nothing to a reader of the story.
_SHOWN = {"time", "level", "node", "event", "group", "peer", "request"}


def read_events(paths):
    """Return the events of all files, in order of time.

    Lines that are no events, such as a program's own output, are left out. A line may
    stand behind a prefix, as log collectors write one.
    """
    events = []
    for path in paths:
        try:
            lines = Path(path).read_text("utf-8", "replace").splitlines()
        except OSError as exc:
            raise BadInputError(f"{path}: {exc.strerror}") from exc
        events.extend(event for line in lines if (event := _event(line)))
    return sorted(events, key=lambda event: event.get("time", ""))


def story_of(events, request, group):
    """Return rows about a request and about the groups that it was sent to.

    Of a group only that is told which befell it while the request was there.
    """
    own = [event for event in events if request and event.get("request") == request]
    groups = {event["group"] for event in own if event.get("group")}
    if group:
        groups.add(group)
    first = own[0]["time"] if own else ""
    last = own[-1]["time"] if own else "9"
    told = [
        event
        for event in events
        if event in own
        or (
            event.get("group") in groups
            and "request" not in event
            and first <= event.get("time", "") <= last
        )
    ]
    return [_row(event) for event in told]


def _event(line):
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
    except ValueError:
        return None
    return event if isinstance(event, dict) and "event" in event else None


def _row(event):
    detail = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _SHOWN and value not in (None, "")
    )
    return {
        "time": event.get("time", "")[11:23],
        "node": event.get("node", ""),
        "event": event["event"],
        "group": event.get("group", ""),
        "peer": event.get("peer", ""),
        "detail": detail,
    }
