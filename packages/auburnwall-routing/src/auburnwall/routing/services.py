"""Route calls to plain services beside the model engines."""

from auburnwall.state.configuration.selection import (
    is_idempotent,
    labels_of,
    matches,
)
from auburnwall.state.fold.groups import data_center_in

from .exceptions import NOT_RUN, UNKNOWN, BadRequestError, ExchangeError, RequestError

SILENCE_S = 10.0
MAX_TRIES = 3


class ServiceDirectory:
    """Find the backend servers of plain services that may take calls."""

    def __init__(self, follower, evidence, roster, view_type):
        self._follower = follower
        self._evidence = evidence
        self._roster = roster
        self._view_type = view_type

    def eligible(self, name):
        """Return views of the service's VMs that are ready and may take work."""
        state = self._follower.state
        service = state.config.get("services", {}).get(name)
        if service is None:
            return []
        found = (
            self._view(name, entry)
            for entry in self._roster.entries.values()
            if not entry.leaving
            and data_center_in(state, entry.data_center)
            and matches(service["where"], labels_of(state.config, entry.name))
        )
        return [view for view in found if view is not None]

    def _view(self, name, entry):
        report = self._evidence.ready_at(entry.name, 0)
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


class Services:
    """The path of a service's call from admission to the answer."""

    def __init__(self, exchanges, once, budget, clock):
        self._exchanges = exchanges
        self._once = once
        self._budget = budget
        self._clock = clock

    def serve(self, request, service, dispatcher, key):
        """Return the ``Answer`` of a call to ``service``; raise ``RequestError``."""
        if is_idempotent(service, request.method, request.path.partition("?")[0]):
            return self._repeatable(request, dispatcher)
        if not key:
            raise BadRequestError(
                "this call may not be repeated and needs an Idempotency-Key header: "
                "a UUID of version 7",
                title="Idempotency-Key is missing",
                step="check key",
            )
        return self._once.serve(
            request, key, lambda: self._send_once(request, dispatcher, key)
        )

    def _repeatable(self, request, dispatcher):
        avoid, sent = frozenset(), False
        self._budget.note_request()
        for attempt in range(MAX_TRIES):
            try:
                with dispatcher.slot(request, avoid) as slot:
                    try:
                        return self._exchanges.whole(
                            request, slot.view.address, {}, SILENCE_S
                        )
                    except ExchangeError as exc:
                        error, sent = exc, sent or exc.sent
                        avoid |= {slot.view.name}
            except RequestError as exc:
                exc.ran = UNKNOWN if sent else exc.ran
                raise
            if attempt + 1 == MAX_TRIES or not self._budget.take():
                break
        raise RequestError(
            502,
            "Backend server failed",
            error.detail,
            ran=UNKNOWN if sent else NOT_RUN,
            step=error.step,
            peer=error.peer,
            retry_after_s=1.0,
        ) from error

    def _send_once(self, request, dispatcher, key):
        """Send over a connection of its own; only a failed connect may be repeated."""
        avoid, headers = frozenset(), {"Idempotency-Key": key}
        while True:
            with dispatcher.slot(request, avoid) as slot:
                try:
                    return self._exchanges.alone(
                        request, slot.view.address, headers, SILENCE_S
                    )
                except ExchangeError as exc:
                    if exc.sent or len(avoid) + 1 == MAX_TRIES:
                        raise
                    avoid |= {slot.view.name}
