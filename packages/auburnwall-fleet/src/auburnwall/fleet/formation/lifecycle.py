"""The next step of one group: which orders to give, and when its servers are free.

A group may be opened once all its members have said themselves that they are ready
at its epoch. Its servers are free for another group once its head can serve it no
more: the head was seen to have moved on, is broken, or is gone. Until then nothing
that the planner does not know of, such as an order that is carried out late, can make
the head run a request with members that work elsewhere.
"""

from enum import Enum
from typing import NamedTuple

from ..engines.group import CloseOrder, JoinOrder, LeaveOrder, OpenOrder
from ..registrations import BROKEN, CLOSING, OPEN, READY
from .records import SERVING

# What ends a group that only waits for its members, in times of the slowest load.
FORMING_LOADS = 3.0
# A group that drains is cut off after this long; servers that leave keep their group
# for 10 s while it has work.
DRAIN_LIMIT_S = 9.0


class Liveness(Enum):
    """What is known of a server of a group.

    One that does not answer is enough to end its group, but only a server that is
    gone for sure cannot be serving any more.
    """

    ALIVE = "alive"
    UNRESPONSIVE = "silent"
    GONE = "gone"


class MemberView(NamedTuple):
    """A member as the planner sees it; ``group_membership`` is its own newest word.

    ``known`` tells that there is such a word, be it that it is in no group.
    """

    server: str
    liveness: Liveness
    leaving: bool
    group_membership: object
    known: bool = True


class GroupView(NamedTuple):
    """A group, its members in their order, and how long it has been in its phase.

    ``retired`` tells that the head has accepted its retirement, ``pending`` that an
    order to the head may still be under way.
    """

    group: object
    members: tuple
    phase_s: float
    load_s: float
    retired: bool = False
    pending: bool = True


class GroupActions(NamedTuple):
    """What is to be done: ``orders`` maps servers to orders, given one by one.

    ``end`` says why a serving group is to end, ``at_once`` that what runs in it is
    lost anyhow; ``free`` that an ending group's servers may be used again.
    """

    orders: dict
    end: str = ""
    at_once: bool = False
    free: bool = False


NO_ACTIONS = GroupActions({})


def next_actions(view):
    """Return the next ``GroupActions`` of a group."""
    if view.group.phase == SERVING:
        return _serve(view)
    return _end(view)


def retirement(group, pending):
    """Return the orders that take a head out of its group for good.

    It leaves, so that an open order that is still under way finds it gone. Where a join
    order may be under way too, it joins a group of its own at a later epoch and so
    refuses the old one. That makes the host stage the group's model again, which costs
    another model its place there, so it is done only where it must be.
    """
    leave = LeaveOrder(group.name, group.epoch)
    if not pending:
        return (leave,)
    head = group.head.server
    own = JoinOrder(f"{group.name}-end", group.ending_epoch, group.model, (head,))
    return leave, own


def _serve(view):
    group = view.group
    lost = [
        member.server
        for member in view.members
        if member.liveness is not Liveness.ALIVE
    ]
    if lost:
        return GroupActions({}, end="lost " + ", ".join(lost), at_once=True)
    leaving = [member.server for member in view.members if member.leaving]
    if leaving:
        return GroupActions({}, end="leaving: " + ", ".join(leaving))
    states = [_state_in(group, member) for member in view.members]
    if states[0] == OPEN:
        return _watch_open(view, states)
    if states[0] == BROKEN:
        return GroupActions({}, end="the head says that it is broken", at_once=True)
    if moved := [
        member.server for member in view.members if _has_moved_on(group, member)
    ]:
        return GroupActions({}, end="moved on: " + ", ".join(moved), at_once=True)
    if all(state == READY for state in states):
        return GroupActions({group.head.server: (OpenOrder(group.name, group.epoch),)})
    if view.phase_s > FORMING_LOADS * view.load_s:
        return GroupActions({}, end="it did not form in time", at_once=True)
    join = JoinOrder(
        group.name,
        group.epoch,
        group.model,
        tuple(member.server for member in group.members),
    )
    return GroupActions(
        {
            member.server: (join,)
            for member, state in zip(view.members, states, strict=True)
            if not state
        }
    )


def _watch_open(view, states):
    """Keep an open group unless a member has left it."""
    lost = [
        member.server
        for member, state in zip(view.members, states, strict=True)
        if not state
        and member.group_membership is not None
        and member.liveness is Liveness.ALIVE
    ]
    if lost:
        return GroupActions({}, end="no longer in it: " + ", ".join(lost), at_once=True)
    return NO_ACTIONS


def _end(view):
    group, head = view.group, view.members[0]
    state = _state_in(group, head)
    if view.retired or head.liveness is Liveness.GONE or _has_moved_on(group, head):
        return GroupActions({}, free=True)
    if not head.known:
        return NO_ACTIONS
    if not state and not view.pending:
        return GroupActions({}, free=True)
    if state in (OPEN, CLOSING) and not group.at_once:
        at_once = view.phase_s > DRAIN_LIMIT_S
        if state == CLOSING and not at_once:
            return NO_ACTIONS
        return GroupActions(
            {head.server: (CloseOrder(group.name, group.epoch, at_once),)}
        )
    if state in (OPEN, CLOSING):
        close = CloseOrder(group.name, group.epoch, at_once=True)
        return GroupActions({head.server: (close, *retirement(group, view.pending))})
    return GroupActions({head.server: retirement(group, view.pending)})


def _state_in(group, member):
    """Return the member's state in the group, empty if it is not in it."""
    group_membership = member.group_membership
    if group_membership is None or group_membership.group != group.name:
        return ""
    return group_membership.state if group_membership.epoch == group.epoch else ""


def _has_moved_on(group, member):
    """Return whether the member has seen a later epoch than the group's."""
    return (
        member.group_membership is not None
        and member.group_membership.epoch > group.epoch
    )
