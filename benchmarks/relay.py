"""Bare gevent relay that copies bytes: the baseline for a node's overhead."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
from contextlib import suppress  # noqa: E402

import gevent  # noqa: E402
from gevent.server import StreamServer  # noqa: E402
from gevent.socket import create_connection  # noqa: E402

COPY_BYTES = 65_536


def copy(source, target):
    """Copy bytes until the source ends or one of the connections fails."""
    with suppress(OSError):
        while data := source.recv(COPY_BYTES):
            target.sendall(data)


def main():
    """Relay from the first address of the arguments to the second."""
    listen, backend = (address.rsplit(":", 1) for address in sys.argv[1:3])

    def relay_connection(sock, address):
        upstream = create_connection((backend[0], int(backend[1])))
        response_task = gevent.spawn(copy, upstream, sock)
        copy(sock, upstream)
        upstream.close()
        response_task.kill()

    StreamServer((listen[0], int(listen[1])), relay_connection).serve_forever()


if __name__ == "__main__":
    main()
