"""Fold of leases.

The order of the records decides. A record that takes a lease names the last renewal
that its writer has read. If the holder renewed the lease after that, the record is
rejected.
"""

from ..records import Verdict
from .model import Lease


def fold_take(state, offset, body):
    """Grant the lease if it was not renewed, taken or released since ``after``."""
    name = body["name"]
    current = state.leases.get(name)
    renewed = current.renewed if current else -1
    if body["after"] != renewed:
        return Verdict(False, offset, "the lease was renewed since", renewed)
    state.leases[name] = Lease(
        name, str(body["holder"]), str(body["incarnation"]), offset, offset
    )
    return Verdict(True, offset)


def fold_renew(state, offset, body):
    """Renew the lease if the record's fencing token is still the current one."""
    current = state.leases.get(body["name"])
    if current is None or current.fence != body["fence"] or current.released:
        return _lease_lost(offset, current)
    state.leases[current.name] = current._replace(renewed=offset)
    return Verdict(True, offset)


def fold_release(state, offset, body):
    """Release the lease, so that the next holder need not wait until it expires."""
    current = state.leases.get(body["name"])
    if current is None or current.fence != body["fence"] or current.released:
        return _lease_lost(offset, current)
    state.leases[current.name] = current._replace(renewed=offset, released=True)
    return Verdict(True, offset)


def is_current(state, name, fence):
    """Return whether the lease is held and ``fence`` is its fencing token."""
    current = state.leases.get(name)
    return current is not None and current.fence == fence and not current.released


def _lease_lost(offset, current):
    winner = current.fence if current else -1
    return Verdict(False, offset, "the lease is held under another fence", winner)
