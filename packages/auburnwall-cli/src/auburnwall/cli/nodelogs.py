"""Read events from nodes' log files and select those of a request or a group."""

import json
from pathlib import Path

from .exceptions import BadInputError

# Events of the tables and of the configuration, which explain an answer that names the
# version of the configuration by which it was given.
_CONFIGURATION_EVENTS = {
    "bad configuration",
    "configuration held back",
    "configuration in force",
    "old configuration",
    "paused",
    "store lost records",
    "table behind peer",
    "table copy failed",
    "table copy outdated",
    "table lost",
    "table read",
    "table history dropped",
    "table refreshed",
    "table settled",
    "table stale",
}
# How many of them are shown, the newest before the answer.
_MAX_CONFIGURATION_EVENTS = 12
# Fields left out of the detail column: most have their own column, and the level and
# the request id add nothing to it.
_NOT_IN_DETAIL = {"time", "level", "node", "event", "group", "peer", "request"}


def read_events(paths):
    """Return the events of all files, sorted by time.

    Lines without an event, such as other output of a program, are skipped. Text before
    the event is ignored, since log collectors prefix each line. Raises
    ``BadInputError`` if a file cannot be read.
    """
    events = []
    for path in paths:
        try:
            lines = Path(path).read_text("utf-8", "replace").splitlines()
        except OSError as exc:
            raise BadInputError(f"{path}: {exc.strerror}") from exc
        events.extend(event for line in lines if (event := _parse_event(line)))
    return sorted(events, key=lambda event: event.get("time", ""))


def select_events(events, request, group):
    """Return rows of the events of a request and of the groups it was sent to.

    Events of a group count only from the first to the last event of the request.
    Either ``request`` or ``group`` may be empty. Without events of the request, all
    events of the group are returned that belong to no request. For a request that was
    refused for a part of its prompt, the events about that part are added; for one that
    was refused by the configuration, the events that show how old that was.
    """
    request_events = [
        event for event in events if request and event.get("request") == request
    ]
    groups = {event["group"] for event in request_events if event.get("group")}
    if group:
        groups.add(group)
    first_time = request_events[0]["time"] if request_events else ""
    refusals = {(e.get("node"), e["part"]) for e in request_events if e.get("part")}
    # "9" sorts after all timestamps.
    last_time = request_events[-1]["time"] if request_events else "9"
    configuration_events = _configuration_events(events, request_events)
    selected = [
        event
        for event in events
        if event in request_events
        or (event.get("time", "") <= last_time and _explains_refusal(event, refusals))
        or event in configuration_events
        or (
            event.get("group") in groups
            and "request" not in event
            and first_time <= event.get("time", "") <= last_time
        )
    ]
    verdicts = map(_configuration_verdict, request_events)
    return [*map(_event_row, selected), *filter(None, verdicts)]


def _configuration_verdict(event):
    """Return a row that says what a refusal by the configuration went by, or ``None``.

    A version in the node's copy that was not in force is told from a copy that was old.
    Nodes of earlier builds do not tell of such a version.
    """
    if "config_version" not in event:
        return None
    age_s, pending = event.get("config_age_s"), event.get("config_pending_version")
    why = event.get("config_pending_why")
    if "config_pending_why" not in event:
        detail = "the node's build does not tell whether its copy held another version"
    elif why:
        version = "one that cannot be read" if pending is None else f"version {pending}"
        detail = f"the copy held {version}, not in force: {why}"
    else:
        detail = "the copy held no other version"
    age = "of unknown age" if age_s is None else f"{age_s} s old"
    return {
        "time": event.get("time", "")[11:23],
        "node": event.get("node", ""),
        "event": "went by",
        "group": "",
        "peer": event.get("config_source", ""),
        "detail": f"version {event['config_version']}, copy {age}; {detail}",
    }


def _configuration_events(events, request_events):
    """Return the node's last events about its tables before it refused a request."""
    answers = [event for event in request_events if "config_version" in event]
    if not answers:
        return []
    node, time = answers[-1].get("node"), answers[-1].get("time", "")
    known = [
        event
        for event in events
        if event["event"] in _CONFIGURATION_EVENTS
        and event.get("node") == node
        and event.get("table", "operator") == "operator"
        and event.get("time", "") <= time
    ]
    return known[-_MAX_CONFIGURATION_EVENTS:]


def _explains_refusal(event, refusals):
    """Return whether an event tells why a request was refused for a part of its prompt.

    ``refusals`` are pairs of a node and the part. What explains them are the crashes
    with the part at any node, and what the node itself did about it.
    """
    if event["event"] == "server crashed":
        return any(part in event.get("parts", ()) for _, part in refusals)
    is_decision = event["event"] in ("prompt part blocked", "prompt part unblocked")
    return is_decision and (event.get("node"), event.get("part")) in refusals


def _parse_event(line):
    json_start = line.find("{")
    if json_start < 0:
        return None
    try:
        event = json.loads(line[json_start:])
    except ValueError:
        return None
    return event if isinstance(event, dict) and "event" in event else None


def _event_row(event):
    detail = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _NOT_IN_DETAIL and value not in (None, "")
    )
    return {
        "time": event.get("time", "")[11:23],
        "node": event.get("node", ""),
        "event": event["event"],
        "group": event.get("group", ""),
        "peer": event.get("peer", ""),
        "detail": detail,
    }
