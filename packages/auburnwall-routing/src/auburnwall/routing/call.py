"""A caller's request on a route."""

from typing import NamedTuple

from .step_model import Work


class Call(NamedTuple):
    """What a caller sent: ``path`` as written, ``headers`` as pairs in their order."""

    method: str
    path: str
    headers: tuple
    body: bytes
    arrived_at: float

    def header(self, name):
        """Return the first value of a header, or ``None``."""
        wanted = name.lower()
        return next((v for n, v in self.headers if n.lower() == wanted), None)


class RoutedRequest(NamedTuple):
    """A call whose route is known; ``deadline`` is on the node's monotonic clock.

    ``elapsed_s`` is how much of the caller's time had passed before this call.
    ``rank`` is how urgent it is, 0 first. ``model`` is empty on routes without models.
    ``hides_key`` keeps the caller's key from the server.
    ``weight`` and ``priority`` are what the fair queue goes by.
    """

    call: Call
    request_id: str
    route: object
    service: str
    team: str
    model: str
    work: Work
    deadline: float
    rank: int
    hides_key: bool = False
    weight: float = 1.0
    elapsed_s: float = 0.0

    @property
    def objective_at(self):
        """Return the moment of the route's objective, counted from the first call."""
        return self.call.arrived_at + self.route.objective_s - self.elapsed_s

    @property
    def is_retried(self):
        """Return whether the caller called before with the same request."""
        return self.elapsed_s > 0

    @property
    def priority(self):
        """Return the queue's priority, the highest first."""
        return -self.rank


def bearer_key(authorization):
    """Return the key in an ``Authorization`` header, ``None`` if it holds none."""
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def key_of(call):
    """Return the caller's key, empty if it sent none."""
    return bearer_key(call.header("Authorization") or "") or ""


def work_of(call, header_names, engine):
    """Return the ``Work`` that a call states, the engine's usual one if it does not."""
    prompt, answer = engine.prompt, engine.answer
    parts = (call.header(header_names.tokens) or "").split(",")
    hint = call.header(header_names.answer_hint) or ""
    if len(parts) == 2 and all(part.strip().isdigit() for part in parts):
        prompt, answer = int(parts[0]), int(parts[1])
    if hint.isdigit():
        answer = min(answer, int(hint)) if len(parts) == 2 else int(hint)
    return Work(prompt, max(1, answer))
