"""Which of two values of a key is newer by what they say, wherever they stand."""

from abc import ABC, abstractmethod


class RecordOrder(ABC):
    """Compares two values of a key of one table.

    The place in the log does not tell which value its writer meant last: a write may be
    carried out late, and a store that comes back without its newest records gives their
    offsets out again. ``within_era`` is whether the values' order goes before that of
    the offsets also while the store loses nothing.
    """

    within_era = False

    @abstractmethod
    def compare(self, key, value, other):
        """Return -1 if ``value`` is older than ``other``, 1 if newer, 0 if neither.

        Returns ``None`` if the values do not tell. ``other`` is ``None`` if the key was
        not known; the result is 1 then if ``value`` may count at once.
        """


class OffsetOrder(RecordOrder):
    """The order of a table whose values do not tell which of them is newer."""

    def compare(self, key, value, other):
        """Return ``None``."""
