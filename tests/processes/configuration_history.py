"""Which answers the versions of a configuration allow, at the time of a request."""

from typing import NamedTuple


class Version(NamedTuple):
    """A version as the operator wrote it; times are monotonic, in seconds.

    ``routes`` maps path prefixes to services, ``keys`` are the callers' API keys.
    ``acknowledged_at`` is ``None`` if the store did not acknowledge it.
    """

    number: int
    routes: dict
    keys: frozenset
    sent_at: float
    acknowledged_at: float | None

    def allows(self, answer):
        """Return whether this version may give an answer of 200, 404 or 401."""
        service = self.routes.get(answer.prefix)
        if service is None:
            return answer.status == 404
        if answer.key not in self.keys:
            return answer.status == 401
        return answer.status == 200 and answer.service == service


class Answer(NamedTuple):
    """A node's answer to one request; ``status`` is 0 if there was none.

    ``service`` is the one that ran the request, ``version`` the one that a refusal
    names; both may be empty.
    """

    node: str
    prefix: str
    key: str
    sent_at: float
    ended_at: float
    status: int
    service: str = ""
    version: int | None = None


class Breach(NamedTuple):
    """An answer that only older versions allow, and the oldest that may be in force.

    ``late_s`` is the time since that one was acknowledged, in seconds.
    """

    answer: Answer
    oldest: int
    late_s: float


# Answers by which a node goes by a version; all others leave that open.
DECIDED = (200, 404, 401)


class History:
    """The versions of one day and what they allow; ``bound_s`` is the users' bound."""

    def __init__(self, bound_s):
        self.versions = []
        self._bound_s = bound_s

    def breach(self, answer):
        """Return the ``Breach`` of an answer, or ``None``.

        Versions that may be in force are the newest one that was acknowledged for
        longer than the bound when the request was sent, and all higher ones that were
        sent before its answer.
        """
        if answer.status not in DECIDED:
            return None
        due = [
            version
            for version in self.versions
            if version.acknowledged_at is not None
            and version.acknowledged_at + self._bound_s < answer.sent_at
        ]
        oldest = max(due, key=lambda version: version.number, default=None)
        if oldest is None:
            return None
        possible = [
            version
            for version in self.versions
            if version.number >= oldest.number and version.sent_at <= answer.ended_at
        ]
        if any(version.allows(answer) for version in possible):
            return None
        late_s = answer.sent_at - min(
            version.acknowledged_at
            for version in due
            if not any(
                later.allows(answer)
                for later in self.versions
                if later.number >= version.number and later.sent_at <= answer.ended_at
            )
        )
        return Breach(answer, oldest.number, late_s)

    def breaches(self, answers):
        """Return the ``Breach`` of each answer that has one."""
        return list(filter(None, map(self.breach, answers)))
