"""Errors of the log and of what is folded from it."""

from auburnwall.base.exceptions import AuburnwallError


class StateError(AuburnwallError):
    """Base of this package's errors."""


class LogUnavailableError(StateError):
    """The log gave no usable answer.

    ``effect_possible`` tells whether an append may have taken effect all the same.
    """

    def __init__(self, detail, *, step="", peer="", effect_possible=True):
        super().__init__(detail, step=step, peer=peer)
        self.effect_possible = effect_possible


class LogTruncatedError(StateError):
    """Records that were asked for have expired; ``oldest`` is the first one kept."""

    def __init__(self, oldest, *, step="", peer=""):
        super().__init__(f"log now starts at {oldest}", step=step, peer=peer)
        self.oldest = oldest


class OutcomeUnknownError(StateError):
    """A proposal was sent and nothing tells yet whether it took effect."""


class TableChangedError(StateError):
    """A conditional write came too late; ``end`` is where the table ends now."""

    def __init__(self, end, *, step="", peer=""):
        super().__init__(f"the table now ends at {end}", step=step, peer=peer)
        self.end = end
