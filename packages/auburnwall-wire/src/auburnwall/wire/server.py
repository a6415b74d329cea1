"""Server of the peer protocol, with one task for each connection."""

from contextlib import closing
from socket import IPPROTO_TCP, TCP_NODELAY

from gevent.server import StreamServer
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TTransport import TFramedTransport

from auburnwall.base.logs import event

from .frames import FrameSocket
from .peer import Peer

PROTOCOL_FACTORY = TBinaryProtocolAcceleratedFactory()


class PeerServer:
    """Accepts connections on ``host:port`` and passes the calls to ``handler``.

    ``service`` is the generated module of the service that ``handler`` implements. If
    there is a ``listener``, a listening socket, it is used instead of a new one.
    """

    def __init__(self, host, port, handler, service=Peer, listener=None):
        self._processor = service.Processor(handler)
        self._server = StreamServer(listener or (host, port), self._serve)

    def start(self):
        """Start to accept connections."""
        self._server.start()

    def stop(self):
        """Stop accepting and end the tasks of open connections."""
        self._server.stop(timeout=0.5)

    def _serve(self, sock, address):
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        transport = FrameSocket()
        transport.setHandle(sock)
        protocol = PROTOCOL_FACTORY.getProtocol(TFramedTransport(transport))
        with closing(sock):
            try:
                while True:
                    self._processor.process(protocol, protocol)
            except (TException, OSError, EOFError) as exc:
                event("peer connection closed", peer=address[0], why=str(exc))
