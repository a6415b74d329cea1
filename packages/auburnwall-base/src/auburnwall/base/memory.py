"""The memory that a process may use for messages of others.

Failure pattern: each message is within its limit, but together they are more than the
process may hold: servers send answers without end, callers send large bodies at once,
or do not read what they asked for. The process is killed for its memory, and requests
that hold next to nothing end with it.
"""

import math

import gevent
from gevent.event import Event

from .exceptions import AuburnwallError
from .logs import event

# Part of the process's memory that messages may use together. The rest is for the
# interpreter and the tables, and for copies of a message that are made for a moment.
MESSAGES_SHARE = 0.25
# Part of that which bodies of callers may use before large ones wait. If answers need
# more than is left, the request that holds most of them ends.
BODIES_SHARE = 0.5
# Bodies up to this size wait only if all bodies together reach the limit, in bytes.
SMALL_BODY_BYTES = 65_536
# Longest time that a body waits for memory, in seconds.
BODY_WAIT_S = 1.0


class NoMemoryError(AuburnwallError):
    """A message cannot be held beside the others."""


class MemoryBudget:
    """Counts what all messages of a process hold, up to ``limit_bytes``.

    Each request has a ``MemoryAccount``. Beyond the limit the request whose answers
    hold most ends, and further ones until the others are within it. ``held_bytes`` is
    what all requests hold, ``bodies_bytes`` what the bodies of callers do.
    """

    def __init__(self, limit_bytes=math.inf):
        self.limit_bytes = limit_bytes
        self.held_bytes = self.bodies_bytes = 0
        self._accounts = set()
        self._room = Event()

    def limit_to(self, process_bytes):
        """Set the limit of a process that may use ``process_bytes``, 0 for none."""
        self.limit_bytes = MESSAGES_SHARE * process_bytes or math.inf

    def open(self, request_id="", *, may_end=True):
        """Return the ``MemoryAccount`` of a request, to be closed at its end."""
        return MemoryAccount(self, request_id, may_end)

    def count(self, account, size):
        """Count ``size`` more bytes for an account, fewer if it is negative."""
        self.held_bytes += size
        if account.held_bytes:
            self._accounts.add(account)
        else:
            self._accounts.discard(account)
        if size > 0:
            self._make_room()

    def count_body(self, size):
        """Count ``size`` more bytes of a caller's body, fewer if it is negative.

        Waits for memory before. Raises ``NoMemoryError`` if there is none after
        ``BODY_WAIT_S``.
        """
        is_large = size > SMALL_BODY_BYTES
        limit = self.largest_body_bytes if is_large else self.limit_bytes
        if size > 0 and self.bodies_bytes + size > limit:
            self._wait_for_room(size, limit)
        self.bodies_bytes += size
        self.held_bytes += size
        if size > 0:
            self._make_room()
        else:
            self._room.set()

    @property
    def largest_body_bytes(self):
        """Return the size of the largest body that there is memory for, in bytes."""
        return BODIES_SHARE * self.limit_bytes

    def _wait_for_room(self, size, limit):
        with gevent.Timeout(BODY_WAIT_S if size <= limit else 0, False):
            while self.bodies_bytes + size > limit:
                self._room.clear()
                self._room.wait()
            return
        detail = f"bodies hold {self.bodies_bytes} bytes; it has {size} more"
        raise NoMemoryError(detail, step="read body")

    def _make_room(self):
        if self.held_bytes <= self.limit_bytes:
            return
        left = self.held_bytes - sum(a.held_bytes for a in self._accounts if a.error)
        while left > self.limit_bytes:
            accounts = [a for a in self._accounts if a.may_end and not a.error]
            if not accounts:
                return
            largest = max(accounts, key=lambda account: account.held_bytes)
            left -= largest.held_bytes
            event(
                "request ended for memory",
                request=largest.request_id,
                held_bytes=largest.held_bytes,
                all_bytes=self.held_bytes,
                limit_bytes=round(self.limit_bytes),
            )
            largest.end()


class MemoryAccount:
    """What the messages of one request hold: ``held_bytes`` without its body.

    Once it is ended, ``error`` is a ``NoMemoryError`` until something is released.
    Whoever holds some of it looks at that after each ``add``, or registers with
    ``add_ender`` how it can be made to release it while it waits. An account that may
    not end, without ``may_end``, only counts.
    """

    def __init__(self, budget, request_id, may_end):
        self.request_id = request_id
        self.may_end = may_end
        self.held_bytes = 0
        self.error = None
        self._budget = budget
        self._body_bytes = 0
        self._enders = []

    def add(self, size):
        """Count further bytes, which may end accounts, also this one."""
        self.held_bytes += size
        self._budget.count(self, size)

    def release(self, size):
        """Count ``size`` bytes less."""
        if size:
            self.error = None
            self.held_bytes -= size
            self._budget.count(self, -size)

    def add_body(self, size):
        """Count bytes of the caller's body; may wait, and raise ``NoMemoryError``."""
        self._budget.count_body(size)
        self._body_bytes += size

    def close(self):
        """Release all."""
        self.release(self.held_bytes)
        size, self._body_bytes = self._body_bytes, 0
        if size:
            self._budget.count_body(-size)

    def add_ender(self, end):
        """Let the event loop call ``end(error)`` when the account is ended."""
        self._enders.append(end)

    def remove_ender(self, end):
        """Undo ``add_ender``."""
        self._enders.remove(end)

    def end(self):
        """Let those who hold something of the account release it."""
        self.error = NoMemoryError(
            f"{self.held_bytes} bytes are too many beside others", step="memory"
        )
        for end in self._enders:
            # The task of the account may be the one that runs now.
            gevent.get_hub().loop.run_callback(end, self.error)


budget = MemoryBudget()
