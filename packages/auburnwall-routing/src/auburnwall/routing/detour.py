"""The detour of a request through a peer, while this node reaches no server for it.

Failure pattern: a node is partitioned from the servers, while callers and peers still
reach it. A peer with links then serves the requests of its callers, with its own slots
and limits; to this node the peer is what a server is otherwise. A request takes one
detour at most.
"""

from collections import Counter

from auburnwall.fleet.candidate_index import Candidate
from auburnwall.fleet.formation.records import nodes_near

from .attempt import Attempt
from .exceptions import OverloadedError
from .placer import Placement
from .stop_time import STOP_STEP

# Time for which a peer that could not be reached is not chosen, in seconds.
FAILED_PEER_S = 1.0
# Idle time after which a connection to a peer is not reused, in seconds. The peer
# closes it after the time that the configuration allows to callers.
PEER_IDLE_S = 1.0


class DetourPlacer:
    """Chooses a peer in place of a server while this node reaches none of a service.

    ``direct`` is the placer of all other requests. ``reach`` is the node's
    ``ServerReach``. ``peers(service)`` returns the ``NodeRecord`` of each ready peer
    that reaches the service, ``is_live(peer)`` whether a peer is heard of.
    """

    def __init__(self, direct, reach, peers, is_live, data_center, clock, rng):
        self._direct = direct
        self._reach = reach
        self._peers = peers
        self.is_live = is_live
        self._data_center = data_center
        self._clock = clock
        self._rng = rng
        self._running = Counter()
        self._failed_until = {}

    def waiting_count(self):
        """Return the number of requests that wait at this node."""
        return self._direct.waiting_count()

    def running_count(self):
        """Return the number of requests that are on a detour now."""
        return self._running.total()

    def place(self, request, excluded_servers=frozenset(), resume_window_s=None):
        """Return a ``Placement``, at a peer or, as ``Placer.place``, at a server."""
        if placement := self._place_at_peer(request, excluded_servers):
            return placement
        try:
            return self._direct.place(request, excluded_servers, resume_window_s)
        except OverloadedError as exc:
            if exc.step == STOP_STEP:
                raise
            # The links may have been lost during the wait.
            if placement := self._place_at_peer(request, excluded_servers):
                return placement
            raise

    def search(self, request, excluded_servers=frozenset(), resume_window_s=None):
        """Return a ``Placement`` or ``None``, as ``Placer.search`` does."""
        return self._place_at_peer(request, excluded_servers) or self._direct.search(
            request, excluded_servers, resume_window_s
        )

    def release_slot(self, placement):
        """Release the slot of a placement."""
        if not placement.is_detour:
            self._direct.release_slot(placement)
            return
        self._running[placement.candidate.name] -= 1

    def note_unreachable(self, peer):
        """Do not choose a peer for a time, as it could not be reached."""
        self._failed_until[peer] = self._clock.monotonic() + FAILED_PEER_S

    def _place_at_peer(self, request, excluded):
        """Return a placement at the peer with the fewest detours, ``None`` without."""
        if request.forwarded_by or not self._reach.is_lost(request.service):
            return None
        now = self._clock.monotonic()
        peers = [
            peer
            for peer in self._peers(request.service)
            if peer.node not in excluded
            and self._failed_until.get(peer.node, 0.0) < now
        ]
        if not peers:
            return None
        peers = nodes_near(peers, self._data_center)
        self._rng.shuffle(peers)
        peer = min(peers, key=lambda peer: self._running[peer.node])
        load = self._running[peer.node]
        self._running[peer.node] += 1
        candidate = Candidate(peer.node, peer.node, 0, peer.front, peer.data_center, 0)
        return Placement(candidate, load, is_detour=True)


class DetourAttempt(Attempt):
    """An attempt to have a request served by a peer.

    The peer's response is final whatever its status: the peer has made the further
    attempts that were worthwhile. It may hold the request back until a slot is free, so
    its silence is no stall, unless it is heard of no more.
    """

    is_detour = True
    max_idle_s = PEER_IDLE_S

    @property
    def not_run(self):
        """Return false: a refusal of the peer is passed on to the caller."""
        return False

    @property
    def may_refuse(self):
        """Return whether no earlier attempt of this node may have run the request."""
        return self._servers_left == self._request.route.max_servers

    def limit_silence(self, *, may_reroute):
        """Let the deadline or the loss of the peer end the wait for it."""
        peer, is_live = self.candidate.name, self._deps.placer.is_live
        self.exchange.may_reroute = may_reroute
        self.exchange.is_lost = lambda: not is_live(peer)

    def note_unreachable(self):
        """Record that the peer could not be reached."""
        self._deps.placer.note_unreachable(self.candidate.name)

    def _note_connected(self):
        """Record nothing: a connection to a peer proves no link to a server."""

    def _note_notices(self):
        """Record nothing: what a server says of itself concerns the peer."""

    def _note_limit(self):
        """Record nothing: what a server says of itself concerns the peer."""

    def _sent_headers(self):
        return self._request_head.for_peer(self._servers_left)
