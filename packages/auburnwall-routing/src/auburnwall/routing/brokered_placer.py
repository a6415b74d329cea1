"""Gets slots from the brokers of the data centres, or places requests itself.

A request asks the broker of its own data centre first, then those that seem to have
most free slots. If none has a free one, it waits at the first. While a broker cannot be
reached, the node places requests by what it knows of the load itself.
"""

from collections import Counter
from typing import NamedTuple

from auburnwall.base.logs import event

from .exceptions import ADMISSION_STEP, OverloadedError
from .placer import Placement
from .return_times import RefusedCallers
from .shortage_order import rank_of

# Brokers that a request asks for a slot that is free at once.
MAX_BROKERS_ASKED = 3


class Grant(NamedTuple):
    """A slot that ``broker``, in one of its incarnations, has granted as ``id``."""

    id: str
    broker: str
    incarnation: str
    group: str


class Ask(NamedTuple):
    """What a broker is asked for a request.

    ``resume_window_s`` is how long a stream that has begun may wait, ``None`` for other
    requests. With ``wait``, the request waits if no slot is free. ``is_search`` is true
    for a request that has a slot already.
    """

    request: object
    resume_window_s: float | None
    wait: bool
    is_search: bool


class BrokeredPlacer:
    """A ``Placer`` for requests whose slots are granted by brokers.

    These are requests to models, and to services of which a server names a limit: where
    only a few nodes may send to a server, the others could not use it. ``local`` is the
    ``Placer`` for all other requests. ``brokers`` has the methods
    ``are_used()``, ``broker_of(service, model, data_center)``, ``is_current(grant)``,
    ``ask(broker, ask, excluded_servers)``, which returns a ``Placement`` or ``None``
    and raises ``OverloadedError``, and ``release(grant)``. ``ask`` returns
    ``UNREACHABLE`` if the broker does not respond.
    """

    UNREACHABLE = object()

    def __init__(self, local, view, brokers, clock):
        self._local = local
        self._view = view
        self._brokers = brokers
        self._grants = {}
        self._refused_callers = RefusedCallers(clock)

    def waiting_count(self):
        """Return the number of requests that wait at this node."""
        return self._local.waiting_count()

    def place(self, request, excluded_servers=frozenset(), resume_window_s=None):
        """Return a ``Placement``, as ``Placer.place`` does.

        Where ranks are told apart, refused callers are remembered, so that repeating a
        request before its time gains nothing.
        """
        if not self._view.is_ranked(request):
            return self._place(request, excluded_servers, resume_window_s)
        if resume_window_s is None:
            request = self._refused_callers.recognise(request)
        try:
            return self._place(request, excluded_servers, resume_window_s)
        except OverloadedError as exc:
            if exc.step == ADMISSION_STEP:
                exc.retry_after_s = self._refused_callers.note_refused(
                    request, exc.retry_after_s
                )
            raise

    def _place(self, request, excluded_servers, resume_window_s):
        placement = self._ask_brokers(request, excluded_servers, resume_window_s)
        if placement is None and self._came_early(request):
            self._local.refuse(request)
        if placement is None or placement is self.UNREACHABLE:
            return self._local.place(request, excluded_servers, resume_window_s)
        return placement

    def search(self, request, excluded_servers=frozenset(), resume_window_s=None):
        """Return a ``Placement`` or ``None``, as ``Placer.search`` does."""
        placement = self._ask_brokers(
            request, excluded_servers, resume_window_s, is_search=True
        )
        if placement is self.UNREACHABLE:
            return self._local.search(request, excluded_servers, resume_window_s)
        return placement

    def release_slot(self, placement):
        """Release the slot of a placement."""
        grant = placement.grant
        if grant is None:
            self._local.release_slot(placement)
            return
        self._grants.pop(grant.id, None)
        self._brokers.release(grant)

    def unaccounted_requests(self):
        """Return the number of requests by group that no broker accounts for any more.

        Their broker was lost or replaced after it had granted their slots.
        """
        return Counter(
            grant.group
            for grant in self._grants.values()
            if not self._brokers.is_current(grant)
        )

    def _ask_brokers(self, request, excluded_servers, resume_window_s, is_search=False):
        """Return a placement or, without one, ``None``.

        Returns ``UNREACHABLE`` if the request has no broker or if one does not respond.
        """
        has_brokers = self._brokers.are_used() and (
            bool(request.model) or self._is_limited(request)
        )
        data_centers = self._data_centers(request) if has_brokers else []
        if not data_centers:
            return self.UNREACHABLE
        avoided = excluded_servers | self._avoided_servers(request)
        asked = data_centers
        if is_search:
            # In a silence of many servers, many nodes search at the same time.
            usable = self._usable_data_centers(request, avoided)
            asked = [name for name in data_centers if name in usable]
        asks = [(name, False) for name in asked[:MAX_BROKERS_ASKED]]
        may_wait = not is_search or resume_window_s is not None
        if may_wait and not self._came_early(request):
            asks.append((data_centers[0], True))
        for data_center, wait in asks:
            ask = Ask(request, resume_window_s, wait, is_search)
            placement = self._ask_until_usable(data_center, ask, avoided)
            if placement is not None:
                return placement
        return None

    def _ask_until_usable(self, data_center, ask, avoided):
        """Ask a broker again if it grants a slot that this node must not use.

        The broker has not heard yet that the server leaves.
        """
        while True:
            placement = self._ask(data_center, ask, avoided)
            if (
                placement is None
                or placement is self.UNREACHABLE
                or self._view.may_send(placement.candidate)
            ):
                return placement
            self.release_slot(placement)
            avoided = avoided | {placement.candidate.server}

    def _ask(self, data_center, ask, avoided):
        request = ask.request
        broker = self._brokers.broker_of(request.service, request.model, data_center)
        if broker is None:
            return self.UNREACHABLE
        try:
            placement = self._brokers.ask(broker, ask, avoided)
        except OverloadedError as exc:
            if ask.is_search:
                return None
            event(
                "request refused",
                request=request.request_id,
                step="place",
                peer=broker,
                model=request.model,
                rank=rank_of(request),
                work_s=round(self._view.bounded_work(request).work_s, 4),
                why=exc.detail,
                retry_after_s=round(exc.retry_after_s, 2),
            )
            raise
        if isinstance(placement, Placement) and placement.grant:
            self._grants[placement.grant.id] = placement.grant
        return placement

    def _came_early(self, request):
        """Return whether a caller came back before its return time."""
        return self._view.is_ranked(request) and request.came_early

    def _is_limited(self, request):
        """Return whether a server that may take the request names a limit."""
        return any(
            self._view.limit_per_s(candidate.server) is not None
            for candidate in self._view.candidates(request)
        )

    def _avoided_servers(self, request):
        """Return the servers to which this node must send nothing now."""
        view = self._view
        return {
            candidate.server
            for candidate in view.candidates(request)
            if view.must_avoid(candidate.name)
            or view.pause_left_s(candidate.server) > 0
        }

    def _usable_data_centers(self, request, avoided):
        """Return the data centres with a candidate whose server is not avoided."""
        return {
            candidate.data_center
            for candidate in self._view.candidates(request)
            if candidate.server not in avoided
        }

    def _data_centers(self, request):
        """Return the data centres with groups, the own one first.

        The others follow by the number of slots that seem to be free there.
        """
        free, view = Counter(), self._view
        for candidate in view.candidates(request):
            free[candidate.data_center] += candidate.slots - view.load(candidate)
        own = view.data_center
        return sorted(free, key=lambda name: (name != own, -free[name]))
