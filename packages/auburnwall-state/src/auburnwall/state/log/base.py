"""Interface to the platform's log."""

from abc import ABC, abstractmethod
from typing import NamedTuple


class LogRecord(NamedTuple):
    """One record: its offset, the log's time of append and the decoded payload."""

    offset: int
    time_ms: int
    data: dict


class LogBatch(NamedTuple):
    """Records in order of offset.

    ``oldest`` is the first offset that the stream retains, ``end`` the offset of the
    next record appended.
    """

    records: list
    oldest: int
    end: int


class LogClient(ABC):
    """Append to and read from named streams of JSON objects."""

    @abstractmethod
    def append(self, stream, payloads):
        """Append all ``payloads`` atomically and return the first one's offset.

        Raises ``LogUnavailableError``; its ``effect_possible`` is whether the append
        may have happened.
        """

    @abstractmethod
    def read(self, stream, offset, *, limit, wait_s):
        """Return records from ``offset`` on, waiting up to ``wait_s`` seconds for one.

        Returns at most ``limit`` records. Raises ``LogUnavailableError``, and
        ``LogTruncatedError`` if the record at ``offset`` has expired.
        """
