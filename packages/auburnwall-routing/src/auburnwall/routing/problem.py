"""Problem details (RFC 9457) for requests that are not served."""

import math
from typing import TypedDict


class Problem(TypedDict, total=False):
    """The body of an error response."""

    type: str
    title: str
    status: int
    detail: str
    ran: str
    step: str
    peer: str
    request_id: str
    retry_after_s: int
    use_instead: list
    config_version: int
    config_offset: int
    config_age_s: float | None
    config_source: str


def problem_of(exc, request_id, use_instead=()):
    """Return the problem details of the ``RequestError`` ``exc``.

    ``use_instead`` lists the URLs of other entry points.
    """
    problem = Problem(
        type="about:blank",
        title=exc.title,
        status=exc.status,
        detail=exc.detail,
        ran=exc.ran,
        step=exc.step,
        peer=exc.peer,
        request_id=request_id,
        **exc.provenance,
    )
    if exc.retry_after_s is not None:
        problem["retry_after_s"] = math.ceil(exc.retry_after_s)
    if use_instead:
        problem["use_instead"] = list(use_instead)
    return problem
