"""A caller's request and the response to it, as a node handles them."""

from typing import NamedTuple


class CallerRequest(NamedTuple):
    """A request of a caller.

    ``target`` is the name of a model or service. ``weight`` is the team's weight in
    fair queueing. Requests with a higher ``priority`` are served first. ``deadline``
    is on the node's monotonic clock.
    """

    request_id: str
    team: str
    weight: float
    target: str
    deadline: float
    priority: int
    method: str
    path: str
    headers: dict
    body: bytes


class Answer(NamedTuple):
    """A complete response of a backend server."""

    status: int
    headers: dict
    body: bytes
