"""HTTP server of the stand-ins; it can stop or abort connections at any time."""

import json
from contextlib import suppress
from socket import IPPROTO_TCP, SHUT_RDWR, TCP_NODELAY

import bottle
import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer


class _Handler(WSGIHandler):
    """Pass the socket to the application, so that it can abort the connection."""

    def __init__(self, sock, *args, **kwargs):
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)

    def get_environ(self):
        environ = super().get_environ()
        environ["standin.socket"] = self.socket
        return environ

    def log_request(self):
        pass

    def handle_error(self, kind, value, traceback):
        self.close_connection = True


class StandinServer:
    """Serves a bottle application on an address."""

    def __init__(self, app, address="127.0.0.1:0"):
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._app = app
        self._server = None

    @property
    def address(self):
        """Return ``host:port``."""
        return f"{self._host}:{self._port}"

    @property
    def up(self):
        """Return whether the server accepts connections."""
        return self._server is not None

    def start(self):
        """Listen, after ``shut_down`` on the same port again, and return ``self``."""
        if self._server is None:
            self._server = WSGIServer(
                (self._host, self._port),
                self._app,
                handler_class=_Handler,
                spawn=Pool(),
                log=None,
                error_log=None,
            )
            self._server.start()
            self._port = self._server.server_port
        return self

    def shut_down(self):
        """Stop listening and close all connections immediately."""
        server, self._server = self._server, None
        if server is not None:
            server.stop(timeout=0)


def abort_connection():
    """Close the connection of the current request without a response.

    Raises GreenletExit to end the handler.
    """
    sock = bottle.request.environ["standin.socket"]
    with suppress(OSError):
        sock.shutdown(SHUT_RDWR)
    raise gevent.GreenletExit


def json_response(value, status=200):
    """Return ``value`` as the body of a JSON response with ``status``."""
    bottle.response.status = status
    bottle.response.content_type = "application/json"
    return json.dumps(value).encode()
