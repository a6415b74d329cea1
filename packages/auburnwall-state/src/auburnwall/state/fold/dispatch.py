"""Apply one record to the state."""

from ..records import Verdict
from . import configuration, groups, leases, membership
from .model import WriterEntry

# A writer's last sequence number is retained until the log has grown by this many
# records after that writer's last record. A writer appends only its latest proposal
# again, and only until the proposal's timeout.
WRITER_RETENTION_OFFSETS = 50_000
_PRUNE_INTERVAL_OFFSETS = 1_000

_RULES = {
    "config": configuration.fold_config,
    "lease_take": leases.fold_take,
    "lease_renew": leases.fold_renew,
    "lease_release": leases.fold_release,
    "node_join": membership.fold_join,
    "node_leave": membership.fold_leave,
    "group_form": groups.fold_form,
    "group_repair": groups.fold_repair,
    "group_drain": groups.fold_drain,
    "group_drop": groups.fold_drop,
}


def fold(state, record):
    """Apply ``record`` and return its verdict; never raise for an invalid record.

    Records must be applied in the order of the log. A record whose sequence number is
    not above the last one of its writer repeats an earlier record and has no effect.
    """
    if record.offset <= state.offset:
        return Verdict(False, record.offset, "already folded")
    state.offset = record.offset
    verdict = _apply_rule(state, record)
    if record.offset % _PRUNE_INTERVAL_OFFSETS == 0:
        _prune_writers(state)
    return verdict


def _apply_rule(state, record):
    data = record.data
    try:
        writer, seq = str(data["writer"]), int(data["seq"])
        rule, body = _RULES[data["kind"]], data["body"]
    except (KeyError, TypeError, ValueError):
        return Verdict(False, record.offset, "malformed or unknown record")
    entry = state.writers.get(writer)
    if entry and seq <= entry.seq:
        return Verdict(
            False, record.offset, "repeats an earlier record", entry.verdict.offset
        )
    try:
        verdict = rule(state, record.offset, body)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        verdict = Verdict(False, record.offset, f"malformed body: {exc!r}")
    state.writers[writer] = WriterEntry(seq, verdict)
    return verdict


def _prune_writers(state):
    min_offset = state.offset - WRITER_RETENTION_OFFSETS
    state.writers = {
        writer: entry
        for writer, entry in state.writers.items()
        if entry.verdict.offset >= min_offset
    }
