"""Decide the next actions for one group: its orders, and when its servers are free.

A group may be opened once all its members have reported that they are ready at its
epoch. Its servers are free for another group once its head can no longer serve it: the
head has accepted the orders of ``retirement_orders``, has reported a later epoch, is
gone, or has left the group and has no order pending. Otherwise an event unknown to the
planner, such as the late execution of an order, could make the head run a request with
members that have joined another group.
"""

from enum import Enum
from typing import NamedTuple

from ..engines.group import CloseOrder, JoinOrder, LeaveOrder, OpenOrder
from ..registrations import BROKEN, CLOSING, OPEN, READY
from .records import SERVING

# A group that still waits for its members is ended after this time, in multiples of the
# time that its model takes to load from the weight store.
FORMING_LIMIT_IN_LOAD_TIMES = 3.0
# The running requests of a draining group are stopped after this time: a server that
# shuts down waits at most 10 s for the requests of its group.
DRAIN_LIMIT_S = 9.0


class Liveness(Enum):
    """Whether a group's server is alive, as far as the planner knows.

    A server is alive until there are signs to the contrary. An unresponsive server is a
    reason to end its group, but it may still be serving requests. Only a server that is
    gone certainly serves none.
    """

    ALIVE = "alive"
    UNRESPONSIVE = "silent"
    GONE = "gone"


class MemberView(NamedTuple):
    """A member as the planner sees it.

    ``unusable`` is whether the server must get no new work: it drains, is unregistered
    or is in an evacuated data centre. ``group_membership`` is the newest one that it
    reported, ``None`` if it is in no group. ``membership_known`` is whether there is a
    current report: a registration or else a response to the last probe.
    """

    server: str
    liveness: Liveness
    unusable: bool
    group_membership: object
    membership_known: bool = True


class GroupStatus(NamedTuple):
    """A group, its members in their order, and how long it has been in its phase.

    ``load_s`` is the time that its model takes to load from the weight store.
    ``head_retired`` is whether the head has accepted the ``retirement_orders``,
    ``order_pending`` whether it may still execute an earlier order.
    """

    group: object
    members: tuple
    phase_s: float
    load_s: float
    head_retired: bool = False
    order_pending: bool = True


class GroupActions(NamedTuple):
    """What to do next; ``orders`` maps each server to its orders, sent one by one.

    ``end_cause`` is the reason to end a serving group, empty if it need not end.
    ``at_once`` means that its running requests are lost anyway. ``servers_free`` means
    that the servers of an ending group may be used again.
    """

    orders: dict
    end_cause: str = ""
    at_once: bool = False
    servers_free: bool = False


NO_ACTIONS = GroupActions({})


def next_actions(status):
    """Return the next ``GroupActions`` for the group of a ``GroupStatus``."""
    if status.group.phase == SERVING:
        return _serving_actions(status)
    return _ending_actions(status)


def retirement_orders(group, order_pending):
    """Return the orders that remove a head from its group for good.

    The head leaves the group and therefore refuses an open order that arrives late. If
    a join order may also arrive late, the head then joins a group of its own at a later
    epoch and therefore refuses the older join order. This makes the host stage the
    group's model again, which evicts another staged model, so it is done only if an
    order may be pending.
    """
    leave = LeaveOrder(group.name, group.epoch)
    if not order_pending:
        return (leave,)
    head = group.head.server
    own = JoinOrder(f"{group.name}-end", group.ending_epoch, group.model, (head,))
    return leave, own


def _serving_actions(status):
    group = status.group
    not_alive = [
        member.server
        for member in status.members
        if member.liveness is not Liveness.ALIVE
    ]
    if not_alive:
        return GroupActions({}, end_cause="lost " + ", ".join(not_alive), at_once=True)
    unusable = [member.server for member in status.members if member.unusable]
    if unusable:
        return GroupActions({}, end_cause="leaving: " + ", ".join(unusable))
    if not all(member.membership_known for member in status.members):
        # What a member is in now is yet to be read; an order could take it from there.
        return NO_ACTIONS
    states = [_state_in(group, member) for member in status.members]
    if states[0] == OPEN:
        return _open_actions(status, states)
    if states[0] == BROKEN:
        return GroupActions(
            {}, end_cause="the head says that it is broken", at_once=True
        )
    if at_later_epoch := [
        member.server
        for member in status.members
        if _reports_later_epoch(group, member)
    ]:
        return GroupActions(
            {}, end_cause="moved on: " + ", ".join(at_later_epoch), at_once=True
        )
    if all(state == READY for state in states):
        return GroupActions({group.head.server: (OpenOrder(group.name, group.epoch),)})
    if status.phase_s > FORMING_LIMIT_IN_LOAD_TIMES * status.load_s:
        return GroupActions({}, end_cause="it did not form in time", at_once=True)
    join = JoinOrder(
        group.name,
        group.epoch,
        group.model,
        tuple(member.server for member in group.members),
    )
    return GroupActions(
        {
            member.server: (join,)
            for member, state in zip(status.members, states, strict=True)
            if not state
        }
    )


def _open_actions(status, states):
    """Return the actions for an open group.

    It ends if a member reports another group or another epoch. A member that reports no
    group at all is no reason to end it.
    """
    departed = [
        member.server
        for member, state in zip(status.members, states, strict=True)
        if not state
        and member.group_membership is not None
        and member.liveness is Liveness.ALIVE
    ]
    if departed:
        return GroupActions(
            {}, end_cause="no longer in it: " + ", ".join(departed), at_once=True
        )
    return NO_ACTIONS


def _ending_actions(status):
    group, head = status.group, status.members[0]
    state = _state_in(group, head)
    if (
        status.head_retired
        or head.liveness is Liveness.GONE
        or _reports_later_epoch(group, head)
    ):
        return GroupActions({}, servers_free=True)
    if not head.membership_known:
        return NO_ACTIONS
    if not state and not status.order_pending:
        return GroupActions({}, servers_free=True)
    if state in (OPEN, CLOSING) and not group.at_once:
        at_once = status.phase_s > DRAIN_LIMIT_S
        if state == CLOSING and not at_once:
            return NO_ACTIONS
        return GroupActions(
            {head.server: (CloseOrder(group.name, group.epoch, at_once),)}
        )
    if state in (OPEN, CLOSING):
        close = CloseOrder(group.name, group.epoch, at_once=True)
        return GroupActions(
            {head.server: (close, *retirement_orders(group, status.order_pending))}
        )
    return GroupActions({head.server: retirement_orders(group, status.order_pending)})


def _state_in(group, member):
    """Return the member's state in the group, empty if it is not a member."""
    group_membership = member.group_membership
    if group_membership is None or group_membership.group != group.name:
        return ""
    return group_membership.state if group_membership.epoch == group.epoch else ""


def _reports_later_epoch(group, member):
    """Return whether the member reports an epoch later than the group's."""
    return (
        member.group_membership is not None
        and member.group_membership.epoch > group.epoch
    )
