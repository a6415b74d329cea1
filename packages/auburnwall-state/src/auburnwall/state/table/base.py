"""What the system asks of the platform's tables."""

from abc import ABC, abstractmethod
from typing import NamedTuple


class TableRecord(NamedTuple):
    """The value that ``key`` got at ``offset``; ``None`` where it was removed."""

    offset: int
    key: str
    value: bytes | None


class TableBatch(NamedTuple):
    """Records in order of offset; ``end`` is the offset that the next one will get."""

    records: list
    end: int


class TableClient(ABC):
    """Read and write named tables. All methods raise ``LogUnavailableError``."""

    @abstractmethod
    def newest(self, table):
        """Return a batch with the newest record of each key.

        The batch is not a snapshot: reading on from its ``end`` completes it.
        """

    @abstractmethod
    def read(self, table, offset, *, wait_s):
        """Return the records from ``offset`` on, waiting ``wait_s`` for the first.

        Raises ``LogTruncatedError`` if the table no longer keeps them.
        """

    @abstractmethod
    def append(self, table, entries, *, at=None):
        """Write ``(key, value)`` pairs in one step and return the first's offset.

        A value of ``None`` removes the key. With ``at`` the write happens only if the
        table ends there; raises ``TableChangedError`` otherwise.
        """
