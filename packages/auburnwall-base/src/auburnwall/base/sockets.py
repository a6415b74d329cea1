"""Looks at sockets without waiting for them."""

from socket import MSG_PEEK


def has_unread(sock):
    """Return whether bytes, an end or an error lie unread in a socket.

    Neither waits nor lets other tasks run, as ``select`` does under ``gevent``.
    """
    timeout_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        sock.recv(1, MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(timeout_s)
    return True
