"""Serve the inner protocol: one task for each connection."""

from contextlib import closing
from socket import IPPROTO_TCP, TCP_NODELAY

from gevent.server import StreamServer
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from auburnwall.base.logs import event

from .peer import Peer

FACTORY = TBinaryProtocolAcceleratedFactory()


class PeerServer:
    """Accept connections on ``host:port`` and hand calls to ``handler``.

    ``service`` is the generated module of the service that it implements.
    """

    def __init__(self, host, port, handler, service=Peer):
        self._processor = service.Processor(handler)
        self._server = StreamServer((host, port), self._serve)

    def start(self):
        """Begin to accept."""
        self._server.start()

    def stop(self):
        """Stop accepting and end the connections' tasks."""
        self._server.stop(timeout=0.5)

    def _serve(self, sock, address):
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        socket = TSocket()
        socket.setHandle(sock)
        protocol = FACTORY.getProtocol(TFramedTransport(socket))
        with closing(sock):
            try:
                while True:
                    self._processor.process(protocol, protocol)
            except (TException, OSError, EOFError) as exc:
                event("peer connection ended", peer=address[0], why=str(exc))
