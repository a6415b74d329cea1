"""A server of the application service that breaks off some of its answers.

``python3 -m review.2.cutting_server STORE ADDRESS ID SHARE``. In trouble it breaks off
the given share of its answers at a random byte, and closes the channel.
"""

import random
import sys

from ..lib.plain_server import PlainServer


class CuttingServer(PlainServer):
    """A server that breaks off ``share`` of its answers."""

    def __init__(self, store, address, server, share):
        super().__init__(store, address, server)
        self._share = float(share)

    def answer(self, sock, attempt):
        """Send an answer, whole or broken off; return whether it is whole."""
        data = self.sound_answer(attempt)
        if random.random() >= self._share:
            sock.sendall(data)
            return True
        end = random.randrange(len(data))
        self.say(f"breaks off its answer to {attempt} after {end} of {len(data)} bytes")
        sock.sendall(data[:end])
        return False


if __name__ == "__main__":
    CuttingServer(*sys.argv[1:]).main()
