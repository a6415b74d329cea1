"""Limits the frames of the peer protocol, whose sender states their size."""

from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TTransportException

from auburnwall.base import memory

# Largest frame, in bytes: a table of a large fleet as a whole.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# Size from which a frame counts in the memory of this process while it arrives.
COUNTED_FRAME_BYTES = 65_536


class FrameSocket(TSocket):
    """A socket from which frames of up to ``MAX_FRAME_BYTES`` are read."""

    def readAll(self, sz):  # noqa: N802
        """Return ``sz`` bytes; raises ``TTransportException``, also for too many."""
        if not 0 <= sz <= MAX_FRAME_BYTES:
            raise TTransportException(
                TTransportException.SIZE_LIMIT, f"a frame of {sz} bytes"
            )
        if sz < COUNTED_FRAME_BYTES:
            return super().readAll(sz)
        account = memory.budget.open("peer", may_end=False)
        account.add(sz)
        try:
            return super().readAll(sz)
        finally:
            account.close()
