"""Route calls to plain services, which run beside the model engines."""

from auburnwall.state.configuration.selection import (
    is_idempotent,
    labels_of,
    matches,
)
from auburnwall.state.fold.groups import is_in_service

from .exceptions import NOT_RUN, UNKNOWN, BadRequestError, ExchangeError, RequestError

# Longest wait for further bytes of a response.
READ_TIMEOUT_S = 10.0
MAX_ATTEMPTS = 3


class ServiceDirectory:
    """Finds the backend servers of plain services that may take calls.

    ``view_type`` is the class of the views that it returns. It is the class used for
    groups: each VM is viewed as a group of one member, with generation 0 and no
    selector.
    """

    def __init__(self, follower, evidence, roster, view_type):
        self._follower = follower
        self._evidence = evidence
        self._roster = roster
        self._view_type = view_type

    def eligible(self, name):
        """Return views of the service's VMs that are ready and may take calls.

        VMs that are leaving or whose data centre is out of service are not included.
        """
        state = self._follower.state
        service = state.config.get("services", {}).get(name)
        if service is None:
            return []
        found = (
            self._view(name, entry)
            for entry in self._roster.entries.values()
            if not entry.leaving
            and is_in_service(state, entry.data_center)
            and matches(service["where"], labels_of(state.config, entry.name))
        )
        return [view for view in found if view is not None]

    def _view(self, name, entry):
        report = self._evidence.report_if_ready(entry.name, 0)
        if report is None:
            return None
        return self._view_type(
            f"{name}/{entry.name}",
            0,
            "",
            name,
            entry.data_center,
            entry.address,
            report.bears,
            report.running,
            report.boot_id,
        )


class ServiceCalls:
    """Serves calls to plain services from admission to the response."""

    def __init__(self, exchanges, at_most_once, budget, clock):
        self._exchanges = exchanges
        self._at_most_once = at_most_once
        self._budget = budget
        self._clock = clock

    def serve(self, request, service, dispatcher, key):
        """Return the ``Answer`` of a call to ``service``; raise ``RequestError``.

        Idempotent calls are retried. All others need an idempotency ``key`` and run
        at most once.
        """
        if is_idempotent(service, request.method, request.path.partition("?")[0]):
            return self._send_idempotent(request, dispatcher)
        if not key:
            raise BadRequestError(
                "this call may not be repeated and needs an Idempotency-Key header: "
                "a UUID of version 7",
                title="Idempotency-Key is missing",
                step="check key",
            )
        return self._at_most_once.serve(
            request, key, lambda: self._send_once(request, dispatcher, key)
        )

    def _send_idempotent(self, request, dispatcher):
        avoid, sent = frozenset(), False
        self._budget.note_request()
        for attempt in range(MAX_ATTEMPTS):
            try:
                with dispatcher.slot(request, avoid) as slot:
                    try:
                        return self._exchanges.exchange_complete(
                            request, slot.group_view.address, {}, READ_TIMEOUT_S
                        )
                    except ExchangeError as exc:
                        last_error, sent = exc, sent or exc.sent
                        avoid |= {slot.group_view.name}
            except RequestError as exc:
                exc.ran = UNKNOWN if sent else exc.ran
                raise
            if attempt + 1 == MAX_ATTEMPTS or not self._budget.take():
                break
        raise RequestError(
            502,
            "Backend server failed",
            last_error.detail,
            ran=UNKNOWN if sent else NOT_RUN,
            step=last_error.step,
            peer=last_error.peer,
            retry_after_s=1.0,
        ) from last_error

    def _send_once(self, request, dispatcher, key):
        """Send over a new connection; retry only if nothing was sent.

        Raises ``ExchangeError`` or ``RequestError``.
        """
        avoid, headers = frozenset(), {"Idempotency-Key": key}
        while True:
            with dispatcher.slot(request, avoid) as slot:
                try:
                    return self._exchanges.exchange_on_new_connection(
                        request, slot.group_view.address, headers, READ_TIMEOUT_S
                    )
                except ExchangeError as exc:
                    if exc.sent or len(avoid) + 1 == MAX_ATTEMPTS:
                        raise
                    avoid |= {slot.group_view.name}
