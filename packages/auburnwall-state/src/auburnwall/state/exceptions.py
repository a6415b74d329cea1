"""Errors of the log, the tables and the state that is computed from them."""

from auburnwall.base.exceptions import AuburnwallError


class StateError(AuburnwallError):
    """Base class of this package's errors."""


class LogUnavailableError(StateError):
    """The log or a table did not give a valid response.

    ``effect_possible`` is whether an append may have taken effect nevertheless.
    """

    def __init__(self, detail, *, step="", peer="", effect_possible=True):
        super().__init__(detail, step=step, peer=peer)
        self.effect_possible = effect_possible


class LogTruncatedError(StateError):
    """Requested records have expired; ``oldest`` is the first offset still retained."""

    def __init__(self, oldest, *, step="", peer=""):
        super().__init__(f"log now starts at {oldest}", step=step, peer=peer)
        self.oldest = oldest


class OutcomeUnknownError(StateError):
    """A proposal or claim may have taken effect, but its outcome is not known yet."""


class TableChangedError(StateError):
    """A conditional write came too late; ``end`` is the present end of the table."""

    def __init__(self, end, *, step="", peer=""):
        super().__init__(f"the table now ends at {end}", step=step, peer=peer)
        self.end = end
