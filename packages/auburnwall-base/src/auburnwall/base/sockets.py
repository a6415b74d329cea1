"""Looks at sockets without waiting for them."""

from socket import MSG_PEEK


def has_unread(sock):
    """Return whether bytes, an end or an error lie unread in a socket.

    Neither waits nor lets other tasks run, as ``select`` does under ``gevent``.
    """
    return _peek(sock) is not None


def has_ended(sock):
    """Return whether nothing but an end or an error lies unread in a socket."""
    return _peek(sock) == b""


def _peek(sock):
    """Return the first unread byte, none at an end or error, or ``None``."""
    timeout_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return sock.recv(1, MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    finally:
        sock.settimeout(timeout_s)
