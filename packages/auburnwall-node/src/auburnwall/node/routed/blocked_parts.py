"""Records of blocked prompt parts and requests in the fleet's table.

They are for nodes that start.
"""

from auburnwall.base.logs import event
from auburnwall.fleet.formation.records import BLOCKED_PART_PREFIX
from auburnwall.state.exceptions import StateError

# Time between two attempts to write the records, in seconds.
WRITE_RETRY_S = 1.0


class BlockedParts:
    """Keep what this node blocks and the fleet's table in accord.

    All nodes block a part, or a request by its fingerprint, on the evidence that they
    exchange. The planner records it, so that nodes that have started since know of it
    too.
    """

    def __init__(self, evidence, state, writer, clock):
        self._evidence = evidence
        self._state = state
        self._writer = writer
        self._clock = clock
        self._write_at = 0.0
        state.replica.listeners.append(self._note_record)

    def step(self):
        """Evaluate the evidence, and write what has changed if this is the planner."""
        self._evidence.update()
        if self._writer.is_planner() and self._clock.monotonic() >= self._write_at:
            self._write()

    def _note_record(self, record):
        """Apply a record at once: a node that has read the table takes requests."""
        if not record.key.startswith(BLOCKED_PART_PREFIX):
            return
        part = record.key.removeprefix(BLOCKED_PART_PREFIX)
        if record.value is None:
            self._evidence.unblock(part, "its record was removed")
        else:
            self._evidence.block_known(part)

    def _write(self):
        blocked = self._evidence.blocked_causes()
        recorded = self._state.blocked_parts.keys()
        added, removed = sorted(blocked - recorded), sorted(recorded - blocked)
        if not added and not removed:
            return
        try:
            self._writer.write_blocked_parts(added, removed)
        except StateError as exc:
            self._write_at = self._clock.monotonic() + WRITE_RETRY_S
            event("blocked parts not written", step=exc.step, why=exc.detail)
            return
        event("blocked parts written", blocked=added, unblocked=removed)
