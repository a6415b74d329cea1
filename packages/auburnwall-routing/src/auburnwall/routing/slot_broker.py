"""Grants slots of a data centre's groups to the requests of all nodes.

Load pattern: hundreds of nodes place requests at the same time, and what each knows of
the others' requests is about as old as a request takes. Nodes that choose the least
loaded groups by that then choose the same ones: these are overfilled while others are
idle. So one node, the broker, knows each request at a model's groups in a data centre,
and requests of all nodes wait there in one queue.
"""

from typing import NamedTuple

import gevent

from auburnwall.base.logs import event

from .step_model import Work

# Time after a request's deadline at which its slot is free in any case, in seconds.
GRANT_MARGIN_S = 0.5


class BrokeredRequest(NamedTuple):
    """What a broker knows of a request; the times are on its own clock.

    The fields are those of ``RoutedRequest`` that the placer uses. ``objective_s`` is
    the objective of the request's route, ``elapsed_s`` how much of the caller's time
    had passed before the broker was asked.
    """

    id: str
    node: str
    request_id: str
    service: str
    model: str
    team: str
    priority: int
    work: Work
    deadline: float
    objective_at: float
    objective_s: float
    weight: float = 1.0
    elapsed_s: float = 0.0
    # The node that asks has this from the caller, and does not pass it on.
    came_early: bool = False

    @property
    def route(self):
        """Return an object that has the route's ``objective_s``."""
        return self


class _Grant(NamedTuple):
    placement: object
    node: str
    expires_at: float


class SlotBroker:
    """Grants slots through a ``Placer`` that knows the groups of one data centre.

    ``is_live(node)`` returns whether a node is live, or would be if this one had not
    been paused. The slots of a node that is lost are free, as are those of requests
    whose deadline has passed.
    """

    def __init__(self, placer, is_live, clock):
        self._placer = placer
        self._is_live = is_live
        self._clock = clock
        self._grants = {}
        self._waiting = {}

    def __len__(self):
        return len(self._grants)

    def take(self, request, excluded_servers, resume_window_s, wait):
        """Return a ``Placement`` for a ``BrokeredRequest``.

        Without ``wait``, returns ``None`` if no slot is free. Raises
        ``OverloadedError`` if the request is refused.
        """
        if not wait:
            placement = self._placer.place_now(
                request, excluded_servers, resume_window_s
            )
            return placement and self._grant(request, placement)
        self._waiting[request.id] = gevent.getcurrent()
        try:
            placement = self._placer.place(request, excluded_servers, resume_window_s)
        finally:
            del self._waiting[request.id]
        return self._grant(request, placement)

    def release(self, request_id):
        """Free the slot of a request, or end its wait; unknown ones are ignored."""
        if grant := self._grants.pop(request_id, None):
            self._placer.release_slot(grant.placement)
        elif task := self._waiting.get(request_id):
            task.kill(block=False)

    def expire_grants(self):
        """Free the slots of requests that have ended without a word of their node."""
        now = self._clock.monotonic()
        for request_id, grant in list(self._grants.items()):
            lost = not self._is_live(grant.node)
            if lost or now >= grant.expires_at:
                event(
                    "slot freed",
                    id=request_id,
                    peer=grant.node,
                    group=grant.placement.candidate.name,
                    why="node lost" if lost else "deadline passed",
                )
                self.release(request_id)

    def _grant(self, request, placement):
        self._grants[request.id] = _Grant(
            placement, request.node, request.deadline + GRANT_MARGIN_S
        )
        event(
            "slot granted",
            request=request.request_id,
            peer=request.node,
            group=placement.candidate.name,
            running=placement.load,
            granted=len(self._grants),
        )
        return placement
