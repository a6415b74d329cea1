"""Run the project's stand-in of the platform's store, with entries that expire.

``python3 -m review.lib2.store_process HOST:PORT``
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from standins.store import StoreStandin  # noqa: E402

SERVER_TOPIC = "keyed.servers"
# Three intervals between two liveness reports, after which an entry is removed.
EXPIRY_S = 3.6
CHECK_S = 0.2


class ExpiringStore(StoreStandin):
    """A store that removes the entries of servers which have fallen silent."""

    def __init__(self, address):
        super().__init__(address)
        self._written_at = {}

    def put(self, topic, key, value):
        """Append a record and note when a server wrote it."""
        super().put(topic, key, value)
        if topic == SERVER_TOPIC and value is not None:
            self._written_at[key] = time.monotonic()

    def remove_silent(self):
        """Remove the entries that were not written for ``EXPIRY_S``."""
        now = time.monotonic()
        for key, at in list(self._written_at.items()):
            if now - at > EXPIRY_S:
                del self._written_at[key]
                super().put(SERVER_TOPIC, key, None)


def main():
    """Serve until the process is killed."""
    store = ExpiringStore(sys.argv[1])
    store.server.start()
    while True:
        gevent.sleep(CHECK_S)
        store.remove_silent()


if __name__ == "__main__":
    main()
