"""What all of the node's HTTP servers share: media types and the log of complaints."""

from auburnwall.base.logs import event

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
