"""A caller's request, before and after its route is known."""

import hashlib
import re
from typing import NamedTuple

from auburnwall.base.digits import parse_digits

from .step_model import Work

# Largest number of tokens that a call may state; peers get such numbers in 32 bits.
MAX_TOKENS = 10**8
# Largest number of parts in a prompt, and the form of a part's ID.
MAX_PROMPT_PARTS = 64
PART_ID = re.compile(r"[0-9A-Za-z_.-]{1,64}")
# Begins a fingerprint, and no ID of a part. Length of its digest, in bytes.
FINGERPRINT_PREFIX, FINGERPRINT_BYTES = "request:", 8


class Call(NamedTuple):
    """A request as the caller sent it.

    ``path`` is as written, with its query; ``headers`` are pairs in their order.
    ``arrived_at`` is on the node's monotonic clock. What is held of the call and of its
    response counts in ``memory``, a ``MemoryAccount``.
    """

    method: str
    path: str
    headers: tuple
    body: bytes
    arrived_at: float
    memory: object = None

    def header(self, name):
        """Return the first value of a header, or ``None``."""
        return next(self.header_values(name), None)

    def header_values(self, name):
        """Yield all values of a header; servers get them joined by commas."""
        wanted = name.lower()
        return (v for n, v in self.headers if n.lower() == wanted)


class RoutedRequest(NamedTuple):
    """A call whose route is known; ``deadline`` is on the node's monotonic clock.

    ``elapsed_s`` is how much of the caller's time had passed before this call, if it is
    a retry. ``rank`` is the urgency; 0 is the most urgent. ``model`` is empty on routes
    without models. ``strip_key`` removes the caller's key from the request to the
    server. The fair queue uses ``weight`` and ``priority``. ``prompt_parts`` are the
    IDs of the prompt's parts in their order; the last part is the request's own.
    ``fingerprint`` is the same each time the caller sends the request, see
    ``fingerprint_of``. ``forwarded_by`` is the node that the caller sent it to, if that
    one has forwarded it. ``came_early`` is set for a caller that was refused and has
    come back before the time that it was told.
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
    strip_key: bool = False
    weight: float = 1.0
    elapsed_s: float = 0.0
    prompt_parts: tuple = ()
    fingerprint: str = ""
    forwarded_by: str = ""
    came_early: bool = False

    @property
    def shared_parts(self):
        """Return the parts of the prompt that other requests may have too."""
        return self.prompt_parts[:-1]

    @property
    def crash_causes(self):
        """Return what may crash a server that runs the request."""
        return (*self.shared_parts, self.fingerprint)

    @property
    def objective_at(self):
        """Return the time of the route's objective, counted from the first call."""
        return self.call.arrived_at + self.route.objective_s - self.elapsed_s

    @property
    def is_retried(self):
        """Return whether the caller has probably sent this request before."""
        return self.elapsed_s > 0

    @property
    def priority(self):
        """Return the priority in the queue; the highest is served first."""
        return -self.rank


def bearer_key(authorization):
    """Return the key in an ``Authorization`` header, ``None`` if it holds none."""
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def key_of(call):
    """Return the caller's key, empty if it sent none."""
    return bearer_key(call.header("Authorization") or "") or ""


def fingerprint_of(call, team):
    """Return a text that two calls share if they are the same request of one team.

    They have the same host, method, path and body. Their ids and deadlines may differ,
    as those of a caller's retries do.
    """
    host = call.header("Host") or ""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in (team, host, call.method, call.path):
        digest.update(field.encode(errors="surrogateescape") + b"\0")
    digest.update(call.body or b"")
    return FINGERPRINT_PREFIX + digest.hexdigest()


def is_fingerprint(text):
    """Return whether a text is the fingerprint of a request, not the ID of a part."""
    return text.startswith(FINGERPRINT_PREFIX)


def work_of(call, header_names, engine):
    """Return the ``Work`` that a call states in its headers.

    Where it states nothing, the engine's mean token counts are returned.
    """
    prompt, answer = engine.mean_prompt_tokens, engine.mean_response_tokens
    token_counts = (call.header(header_names.tokens) or "").split(",")
    hinted_answer = call.header(header_names.answer_hint) or ""
    counts = [parse_digits(count.strip(), MAX_TOKENS) for count in token_counts]
    if len(counts) == 2 and None not in counts:
        prompt, answer = counts
    hinted = parse_digits(hinted_answer, MAX_TOKENS)
    if hinted is not None:
        answer = min(answer, hinted) if len(token_counts) == 2 else hinted
    return Work(prompt, max(1, answer))


def prompt_parts_of(call, header_names):
    """Return the IDs of the prompt's parts in their order, empty without a header.

    The header holds pairs of an ID and a number of tokens, for example
    ``5c1e07a2:800,91bd3f06:410,e4402b7d:250``. Servers also read lists of another form,
    so the parts of these are known as well: an ID ends at the first colon, and one of
    another form is replaced by a digest. Which of them is the request's own is not
    certain then; a digest of the whole list is added as its own part. Raises
    ``ValueError`` if there are more than ``MAX_PROMPT_PARTS``.
    """
    header = ",".join(call.header_values(header_names.prompt_parts))
    if not header:
        return ()
    pairs = [pair.strip().partition(":") for pair in header.split(",")]
    if len(pairs) > MAX_PROMPT_PARTS:
        raise ValueError(
            f"the prompt has {len(pairs)} parts, at most {MAX_PROMPT_PARTS} are allowed"
        )
    if all(PART_ID.fullmatch(part) and tokens.isdigit() for part, _, tokens in pairs):
        return tuple(part for part, _, _ in pairs)
    parts = (part.strip() for part, _, _ in pairs)
    known = tuple(
        part if PART_ID.fullmatch(part) else _digest_of(part) for part in parts if part
    )
    return (*known, _digest_of(header))


def _digest_of(text):
    """Return a text for a part that no valid ID equals."""
    digest = hashlib.blake2b(
        text.encode(errors="surrogateescape"), digest_size=FINGERPRINT_BYTES
    )
    return f"digest:{digest.hexdigest()}"
