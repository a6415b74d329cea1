"""Errors raised while a request is served."""

from auburnwall.base.exceptions import AuburnwallError

NOT_RUN = "not run"
UNKNOWN = "unknown"
# Step of a refusal for want of a slot.
ADMISSION_STEP = "admission"


class RequestError(AuburnwallError):
    """The final response to a request that is not served.

    ``ran`` is ``NOT_RUN`` only if nothing of the request was sent to any backend
    server, or if every server that got it stated that it did not run it. Otherwise it
    is ``UNKNOWN``. After ``retry_after_s`` the caller may retry. ``provenance`` tells
    by which configuration the request was refused, by the name of the field.
    """

    def __init__(
        self,
        status,
        title,
        detail,
        *,
        ran=NOT_RUN,
        step,
        peer="",
        retry_after_s=None,
        provenance=None,
    ):
        super().__init__(detail, step=step, peer=peer)
        self.status = status
        self.title = title
        self.ran = ran
        self.retry_after_s = retry_after_s
        self.provenance = provenance or {}


class BadRequestError(RequestError):
    """The caller's request is not valid."""

    def __init__(self, detail, *, status=400, title="Bad request", step="read request"):
        super().__init__(status, title, detail, step=step)


class OverloadedError(RequestError):
    """The request cannot start in time."""

    def __init__(self, detail, retry_after_s, *, status=503, step=ADMISSION_STEP):
        super().__init__(
            status, "Overloaded", detail, step=step, retry_after_s=retry_after_s
        )


class ExchangeError(AuburnwallError):
    """An exchange with a backend server failed.

    ``sent`` tells whether anything of the request may have reached the server.
    """

    def __init__(self, detail, *, step, peer, sent):
        super().__init__(detail, step=step, peer=peer)
        self.sent = sent


def unresumable_error():
    """Return the error for a stream that broke off and whose events have no ids."""
    return RequestError(
        502, "Stream broke off", "its events have no ids", ran=UNKNOWN, step="resume"
    )


def no_retry_error():
    """Return the error for a request that may not be sent to a further server."""
    return RequestError(
        502, "No repeats left", "no repeats left", ran=UNKNOWN, step="place"
    )
