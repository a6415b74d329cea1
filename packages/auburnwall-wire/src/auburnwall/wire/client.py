"""Clients of the peer protocol."""

import gevent
from thrift.Thrift import TException
from thrift.transport.TTransport import TFramedTransport, TTransportException

from auburnwall.base.sockets import has_unread

from .exceptions import PeerUnavailableError
from .frames import FrameSocket
from .peer import Peer
from .peer.ttypes import PeerError
from .server import PROTOCOL_FACTORY

# Ratio of the longest time for a whole call to the longest silence within it, and least
# such time, in seconds: this process may be paused while the response arrives.
TOTAL_FACTOR, MIN_TOTAL_S = 3, 2.0
# Largest number of idle connections kept per peer.
MAX_IDLE_CLIENTS = 8


class _PeerSocket(FrameSocket):
    """A socket on which bytes that have arrived count even after the timeout.

    When this process goes on after a pause, timeouts end before sockets are looked at.
    """

    def read(self, sz):
        """Return up to ``sz`` bytes; raises ``TTransportException``."""
        try:
            return super().read(sz)
        except TTransportException as exc:
            if exc.type != exc.TIMED_OUT or not has_unread(self.handle):
                raise
        return super().read(sz)


class PeerClient:
    """Makes calls to one peer over one connection, one call at a time.

    The connection is opened by the first call and closed after any failure of the
    exchange. A connection whose call did not finish is not reused, since a late
    response could be taken for the response to another call.
    """

    def __init__(self, address, *, timeout_s, service=Peer):
        self.address = address
        self._service = service
        self._timeout_s = timeout_s
        self._transport = None
        self._client = None

    def call(self, name, *args):
        """Call the method ``name`` of the service and return its result.

        Raises ``PeerUnavailableError`` if the peer can't be reached in time or reports
        an error.
        """
        try:
            return getattr(self._connect(), name)(*args)
        except PeerError as exc:
            raise PeerUnavailableError(
                exc.detail, step=exc.step or name, peer=self.address
            ) from exc
        except (TException, OSError, EOFError) as exc:
            self.close()
            raise PeerUnavailableError(str(exc), step=name, peer=self.address) from exc
        except BaseException:
            self.close()
            raise

    def close(self):
        """Close the connection if one is open."""
        transport, self._transport, self._client = self._transport, None, None
        if transport:
            transport.close()

    def _connect(self):
        if self._client is None:
            host, _, port = self.address.rpartition(":")
            socket = _PeerSocket(host, int(port))
            socket.setTimeout(self._timeout_s * 1000)
            transport = TFramedTransport(socket)
            transport.open()
            self._transport = transport
            self._client = self._service.Client(PROTOCOL_FACTORY.getProtocol(transport))
        return self._client


class PeerPool:
    """Owns the connections to all peers, one for each concurrent call.

    Idle connections are reused.
    """

    def __init__(self, *, timeout_s, service=Peer):
        self._timeout_s = timeout_s
        self._service = service
        self._idle = {}

    def call(self, address, name, *args, total_s=None):
        """Call the method ``name`` of the peer at ``address`` and return its result.

        The pool's timeout limits each wait for bytes, ``total_s`` the whole call, as a
        peer whose link is saturated sends a few bytes now and then; without it, the
        call may take ``TOTAL_FACTOR`` times the timeout, and ``MIN_TOTAL_S`` in any
        case. Raises ``PeerUnavailableError`` and forgets the idle connections to this
        peer.
        """
        if total_s is None:
            total_s = max(TOTAL_FACTOR * self._timeout_s, MIN_TOTAL_S)
        idle = self._idle.setdefault(address, [])
        client = idle.pop() if idle else self._new_client(address)
        too_slow = PeerUnavailableError(
            f"no complete response within {total_s} s", step=name, peer=address
        )
        try:
            with gevent.Timeout(total_s, too_slow):
                result = client.call(name, *args)
        except PeerUnavailableError:
            self._idle.pop(address, None)
            raise
        if len(idle) < MAX_IDLE_CLIENTS:
            idle.append(client)
        else:
            client.close()
        return result

    def close(self):
        """Close all idle connections."""
        for client in (client for idle in self._idle.values() for client in idle):
            client.close()
        self._idle.clear()

    def _new_client(self, address):
        return PeerClient(address, timeout_s=self._timeout_s, service=self._service)
