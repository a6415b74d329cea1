"""What all of the node's HTTP servers share."""

from gevent.pywsgi import WSGIServer

from auburnwall.base.logs import event
from auburnwall.routing.exceptions import BadRequestError

PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"
SSE_TYPE = "text/event-stream"
METRICS_TYPE = "text/plain; version=0.0.4"


class QuietLog:
    """Send the server's own complaints to the structured log."""

    def write(self, text):
        """Log one complaint."""
        if text.strip():
            event("http server", why=text.strip()[:2000])

    def flush(self):
        """Do nothing; every line is written at once."""


def new_server(address, app, **options):
    """Return a server for ``app`` at ``address``; it logs no requests by itself."""
    host, _, port = address.rpartition(":")
    return WSGIServer((host, int(port)), app, log=None, error_log=QuietLog(), **options)


def read_body(stream, length, most):
    """Return a request's body; raise ``BadRequestError`` if it is over ``most`` bytes.

    ``length`` is what the request states, -1 or less if it states none.
    """
    body = b"" if length > most else stream.read(most + 1)
    if max(length, len(body)) > most:
        raise BadRequestError(
            f"the body is larger than {most} bytes", status=413, title="Body too large"
        )
    return body
