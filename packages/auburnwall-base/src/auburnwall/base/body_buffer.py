"""Collects the body of a message."""

# Size of the blocks in which a body is collected, in bytes. All are of one size, so
# that the memory of one body serves the next.
BLOCK_BYTES = 65_536


class BodyBuffer:
    """Collects pieces of any size in blocks; ``size`` is their total, in bytes.

    A context manager, which drops what was not taken: the traceback of an error may
    keep the buffer.

    >>> with BodyBuffer() as buffer:
    ...     buffer.add(b"ab")
    ...     buffer.add(b"c")
    ...     buffer.take()
    b'abc'
    """

    def __init__(self):
        self.size = 0
        self._blocks = []
        self._block = bytearray()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._blocks.clear()
        self._block = bytearray()

    def add(self, data):
        """Add a piece."""
        self.size += len(data)
        self._block += data
        if len(self._block) >= BLOCK_BYTES:
            self._blocks.append(self._block)
            self._block = bytearray()

    def take(self):
        """Return all pieces as bytes."""
        return b"".join((*self._blocks, self._block))
