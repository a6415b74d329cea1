"""Interface to the platform's tables."""

from abc import ABC, abstractmethod
from typing import NamedTuple


class TableRecord(NamedTuple):
    """The value that was written to ``key`` at ``offset``; ``None`` for a removal."""

    offset: int
    key: str
    value: bytes | None


class TableBatch(NamedTuple):
    """Records in order of offset; ``end`` is the offset from which to read on.

    This is the end of the table, or the offset after the last of ``records`` if the
    response reached its size limit. ``era`` rises each time the store comes back from
    an older copy: it has then lost records, and gives their offsets out again.
    ``at_end`` is whether the table ended there.
    """

    records: list
    end: int
    era: int = 0
    at_end: bool = True


class AppendResult(NamedTuple):
    """The offset of the first appended record, in an era of the table."""

    offset: int
    era: int = 0


class TableClient(ABC):
    """Read and write named tables. All methods raise ``LogUnavailableError``."""

    def drop_idle_connections(self):  # noqa: B027
        """Let the next calls open new connections, as idle ones may be dead."""

    @abstractmethod
    def newest(self, table):
        """Return a batch with the newest record of each key.

        The batch is not a consistent snapshot; the records from its ``end`` on
        complete it.
        """

    @abstractmethod
    def read(self, table, offset, *, wait_s):
        """Return the records from ``offset`` on, waiting up to ``wait_s`` seconds.

        Raises ``LogTruncatedError`` if some of them are no longer retained.
        """

    @abstractmethod
    def append(self, table, entries, *, at=None):
        """Write ``(key, value)`` pairs atomically and return an ``AppendResult``.

        A value of ``None`` removes the key. With ``at``, the write happens only if the
        table ends at that offset; otherwise raises ``TableChangedError``.
        """
