"""Run a routed node whose connections to some addresses can be cut.

While the file named by ``AUBURNWALL_TEST_CUT`` exists, the addresses that it lists
cannot be reached. The file holds a JSON object with ``addresses`` and ``how``. With
``"hang"`` nothing gets through in either direction, with ``"reset"`` open connections
are reset and new ones refused, with ``"refuse"`` open ones live on and new ones are
refused.
"""

from auburnwall.base.startup import handle_signals_while_starting

if __name__ == "__main__":
    handle_signals_while_starting()

from gevent import monkey  # noqa: E402

monkey.patch_all()

import errno  # noqa: E402
import functools  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from gevent import socket  # noqa: E402

from auburnwall.platform.__main__ import main  # noqa: E402

# Time between two checks whether a cut has ended, in seconds.
POLL_S = 0.02


class Cut:
    """The cut that the file describes, read again when the file changes."""

    def __init__(self, path):
        self._path = path
        self._modified_at = None
        self._content = {}

    def how(self, address):
        """Return how an address is cut off, ``None`` if it is not."""
        try:
            modified_at = self._path.stat().st_mtime_ns
        except FileNotFoundError:
            return None
        if modified_at != self._modified_at:
            self._modified_at = modified_at
            self._content = json.loads(self._path.read_text("utf-8"))
        is_cut = address in self._content["addresses"]
        return self._content["how"] if is_cut else None


class SocketPatch:
    """Makes all sockets of this process subject to a cut."""

    def __init__(self, cut):
        self._cut = cut

    def apply(self):
        """Wrap the methods of gevent's sockets."""
        self._wrap("connect", self._before_connect)
        self._wrap("sendall", self._check_open)
        # What arrives while the cut lasts is not delivered before its end.
        for name in ("recv", "recv_into"):
            self._wrap(name, self._check_open, self._check_open)

    def _wrap(self, name, before, after=None):
        method = getattr(socket.socket, name)

        @functools.wraps(method)
        def wrapped(sock, *args, **kwargs):
            before(sock, *args)
            result = method(sock, *args, **kwargs)
            if after is not None:
                after(sock, *args)
            return result

        setattr(socket.socket, name, wrapped)

    def _how(self, address):
        return self._cut.how("{}:{}".format(*address[:2]))

    def _before_connect(self, sock, address):
        if self._how(address) in ("reset", "refuse"):
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused by the cut")
        self._wait(sock, address)

    def _check_open(self, sock, *args):
        try:
            address = sock.getpeername()
        except OSError:
            return
        if self._how(address) == "reset":
            raise ConnectionResetError(errno.ECONNRESET, "reset by the cut")
        self._wait(sock, address)

    def _wait(self, sock, address):
        """Wait until the cut is over; raises ``TimeoutError`` as the kernel would."""
        timeout_s = sock.gettimeout()
        ends_at = None if timeout_s is None else time.monotonic() + timeout_s
        while self._how(address) == "hang":
            if ends_at is not None and time.monotonic() >= ends_at:
                raise TimeoutError("timed out in the cut")
            gevent.sleep(POLL_S)


if __name__ == "__main__":
    SocketPatch(Cut(Path(os.environ["AUBURNWALL_TEST_CUT"]))).apply()
    main()
