"""Convert log records and probe results to and from messages between nodes."""

import json

from auburnwall.state.log.base import LogRecord
from auburnwall.wire.peer.ttypes import LogWord, Observation, RelayedRecord

from .engines.base import EngineReport
from .evidence import ProbeResult


def encode_record(record):
    """Return a log record as a message."""
    return RelayedRecord(
        record.offset, record.time_ms, json.dumps(record.data).encode()
    )


def decode_record(message):
    """Return the log record in a message."""
    return LogRecord(message.offset, message.time_ms, json.loads(message.data))


def encode_log_end(follower):
    """Return the follower's last known log end as a message.

    Its ``age_ms`` is -1 if the follower does not know the end.
    """
    age_s = follower.log_end_age_s()
    age_ms = -1 if age_s is None else round(age_s * 1000)
    return LogWord(follower.state.offset + 1, age_ms)


def encode_probe_result(result, now):
    """Return a probe result as a message, with its times as ages in milliseconds."""
    report = result.report
    failing_s = now - result.failing_since if result.failing_since else -1
    return Observation(
        vm=result.vm,
        watcher=result.watcher,
        age_ms=round((now - result.observed_at) * 1000),
        reachable=result.reachable,
        boot_id=report.boot_id,
        state=report.state,
        generation=report.generation,
        running=report.running,
        bears=report.bears,
        fence=report.fence,
        failing_ms=round(failing_s * 1000),
        seq=result.seq,
        version=report.version,
    )


def decode_probe_result(message, watcher, asked_at):
    """Return the probe result in a response to a call made at ``asked_at``."""
    report = EngineReport(
        message.boot_id,
        message.state,
        message.generation,
        message.version,
        message.running,
        message.bears,
        message.fence,
    )
    failing_since = 0.0
    if message.failing_ms >= 0:
        failing_since = asked_at - message.failing_ms / 1000
    return ProbeResult(
        message.vm,
        watcher,
        asked_at - message.age_ms / 1000,
        message.reachable,
        report,
        failing_since,
        message.seq,
    )
