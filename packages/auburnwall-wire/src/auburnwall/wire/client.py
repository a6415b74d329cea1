"""Call a peer over one connection, one call at a time."""

from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from .exceptions import PeerUnavailableError
from .peer import Peer
from .peer.ttypes import PeerError
from .server import FACTORY

MAX_IDLE = 8


class PeerClient:
    """Own the connection to one peer; open it when needed, close it on any error.

    A connection with an unfinished call is never used again, so an answer that comes
    late cannot be taken for the answer to another call.
    """

    def __init__(self, address, *, timeout_s, service=Peer):
        self.address = address
        self._service = service
        self._timeout_s = timeout_s
        self._transport = None
        self._client = None

    def call(self, name, *args):
        """Call ``name`` of the inner protocol and return its answer.

        Raises ``PeerUnavailableError``.
        """
        try:
            return getattr(self._connected(), name)(*args)
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

    def _connected(self):
        if self._client is None:
            host, _, port = self.address.rpartition(":")
            socket = TSocket(host, int(port))
            socket.setTimeout(self._timeout_s * 1000)
            transport = TFramedTransport(socket)
            transport.open()
            self._transport = transport
            self._client = self._service.Client(FACTORY.getProtocol(transport))
        return self._client


class PeerPool:
    """Own clients to many peers, as many to each as there are calls at once."""

    def __init__(self, *, timeout_s, service=Peer):
        self._timeout_s = timeout_s
        self._service = service
        self._idle = {}

    def call(self, address, name, *args):
        """Call ``name`` at ``address``; raise ``PeerUnavailableError``."""
        idle = self._idle.setdefault(address, [])
        client = idle.pop() if idle else self._new(address)
        try:
            answer = client.call(name, *args)
        except PeerUnavailableError:
            self._idle.pop(address, None)
            raise
        if len(idle) < MAX_IDLE:
            idle.append(client)
        else:
            client.close()
        return answer

    def close(self):
        """Close all idle connections."""
        for client in (client for idle in self._idle.values() for client in idle):
            client.close()
        self._idle.clear()

    def _new(self, address):
        return PeerClient(address, timeout_s=self._timeout_s, service=self._service)
