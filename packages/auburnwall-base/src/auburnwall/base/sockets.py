"""Looks at sockets and uses them without waiting for them."""

from socket import MSG_PEEK


def has_unread(sock):
    """Return whether bytes, an end or an error lie unread in a socket."""
    return _peek(sock) is not None


def has_unread_bytes(sock):
    """Return whether bytes lie unread in a socket."""
    return bool(_peek(sock))


def has_ended(sock):
    """Return whether nothing but an end or an error lies unread in a socket."""
    return _peek(sock) == b""


def send_available(sock, data):
    """Send what a socket of ``gevent`` has room for; return the number of bytes.

    This is 0 after an error, which the next use of the socket raises.
    """
    try:
        return sock.send(data, 0, 0.0)
    except OSError:
        return 0


def _peek(sock):
    """Return an unread byte, ``b""`` at an end or an error, or else ``None``.

    Neither waits nor lets other tasks run, as ``select`` does under ``gevent``.
    """
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
