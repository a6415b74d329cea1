"""Heartbeats between nodes: their liveness, their load and the groups they suspect.

In a small fleet every node exchanges heartbeats with every other one. In a larger one
the relays do so, and each other node reports to a relay; ``topology`` chooses them. A
relay's heartbeat also covers the nodes that report to it.
"""

from auburnwall.base.lateness import LoopLateness
from auburnwall.base.logs import event
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import FleetDigest

from .fleet_load import (
    load_of_pulse,
    loads_in,
    sum_loads,
    sum_running,
)
from .peer_news import PeerNews
from .peer_status import (
    ConfigStatus,
    Heartbeat,
    PublishedStatuses,
    config_status_of,
    member_statuses,
    status_of,
)
from .relay_digest import RelayDigest
from .topology import Topology, relay_rank

# Maximum rate of heartbeat calls that a node starts, per second.
MAX_HEARTBEATS_PER_S = 50.0
# Time between two reports of a node to its relay, in seconds: a fourth of the time for
# which a request holds its slot.
REPORT_PERIOD_S = 0.4
# Time between two calls of a relay to nodes that are not live, in seconds.
LOST_NODE_INTERVAL_S = 0.4
# Heartbeat periods in which a report reaches all nodes of a mesh, and their answers.
MESH_SETTLE_PERIODS = 3
# Minimum time between two heartbeats of relays in different data centres, in seconds.
# Requests cross data centres only where the own one has no free slot.
DISTANT_PERIOD_S = 0.8
# Maximum age of the last heartbeat of a live peer, in seconds. It is short enough that
# the directory stops naming a lost node within the few seconds that are allowed.
MAX_HEARTBEAT_AGE_S = 2.5
# The same as a number of heartbeat periods; the longer of the two applies.
MAX_HEARTBEAT_AGE_PERIODS = 3
# Maximum age of a heartbeat whose request counts are part of the load, in seconds. Two
# heartbeat periods apply if they are longer.
MAX_LOAD_AGE_S = 2.0
# A peer whose last heartbeat is younger than this fraction of the period is not called.
RECENT_FRACTION = 0.7
# Time for which sums over the peers are reused if no heartbeat has arrived, and in a
# relay, where heartbeats arrive all the time, in any case. In seconds.
SUMS_REUSED_S = 0.1


class Peers:
    """Exchange heartbeats with the other nodes of the fleet table.

    ``own_pulse()`` returns this node's heartbeat without the nodes that report to it.
    Fleets of up to ``max_mesh_nodes`` nodes have no relays; ``is_mesh`` is whether this
    is one. ``config_status()`` returns this node's ``ConfigStatus``. ``lateness`` is
    the node's ``LoopLateness``. ``news`` is the ``PeerNews`` that tells what peers have
    seen.
    """

    def __init__(
        self,
        identity,
        state,
        pool,
        own_pulse,
        clock,
        period_s,
        max_mesh_nodes,
        lateness=None,
    ):
        self.news = PeerNews(clock, REPORT_PERIOD_S)
        self.config_status = ConfigStatus
        self._identity = identity
        self._state = state
        self._pool = pool
        self._own_pulse = own_pulse
        self._clock = clock
        self._period_s = period_s
        self._lateness = lateness or LoopLateness(clock)
        self._heartbeats = {}
        self._statuses = {}
        self._digest = RelayDigest(identity.node, clock)
        self._published = PublishedStatuses()
        self._called_nodes = set()
        self._lost_nodes_called = 0
        self._topology = Topology(identity.node, max_mesh_nodes)
        self._links = self._topology.links
        self._sums = {}

    @property
    def is_mesh(self):
        """Return whether all nodes of this fleet exchange heartbeats."""
        return self._links.is_mesh

    def call_new_peers(self, tasks):
        """Start a call loop for each new partner; drop what is known of removed nodes.

        The loop of a node that is no longer a partner ends by itself.
        """
        self.update_links()
        if not self.is_mesh and self._links.parent is None:
            self._pass_on(self.fleet_load(), self._identity.node)
        for name in self._links.partners - self._called_nodes:
            self._called_nodes.add(name)
            tasks.spawn(self._call_loop, name)
        for known in (self._heartbeats, self._statuses):
            for name in [name for name in known if name not in self._state.nodes]:
                del known[name]
        self.news.keep_only(self._state.nodes)

    def report(self):
        """Report to this node's relay, if it has one, and apply its digest."""
        self.update_links()
        name = self._links.parent
        if name is None or name not in self._state.nodes:
            return
        pulse = self.full_pulse()
        digest_of, version = self._digest.known_to(name)
        try:
            reply = self.call(self.address(name), "report", pulse, digest_of, version)
        except PeerUnavailableError as exc:
            self._topology.note_failed_report(name, self._clock.monotonic())
            event("relay lost", peer=name, step="report", why=exc.detail)
            return
        if not digest_of:
            event("relay chosen", peer=name, nodes=len(reply.nodes))
        self._apply_digest(name, pulse, reply)

    def update_links(self):
        """Choose anew whom this node exchanges heartbeats with, if needed."""
        topology = self._topology
        before = self._links
        now = self._clock.monotonic()
        if not topology.update(self._state.nodes, self.live(), now, self._max_age_s()):
            return
        links = self._links = topology.links
        if links.parent != before.parent or bool(links.partners) != bool(
            before.partners
        ):
            event("heartbeats", relay=links.parent, partners=len(links.partners))
        if links.parent is None:
            self._digest.clear()
        self._sums.clear()

    def call_lost_node(self):
        """Exchange heartbeats with the next node that is not live, if this is a relay.

        Where several relays are lost at once, each of their nodes may have found
        another, and these do not know each other. The nodes that would be relays first
        are called first.
        """
        if self.is_mesh or self._links.parent is not None:
            return
        live, own = self.live(), self._identity.node
        nodes = self._state.nodes.items()
        lost = [node for name, node in nodes if name not in live and name != own]
        if lost:
            lost.sort(key=relay_rank)
            self._exchange(lost[self._lost_nodes_called % len(lost)], True)
            self._lost_nodes_called += 1

    def parent(self):
        """Return the relay that this node reports to, ``None`` if it has none."""
        return self._links.parent

    def is_relay(self, name):
        """Return whether a live peer exchanges heartbeats with this node directly."""
        return name in self._links.partners

    def period_s(self):
        """Return the time between two heartbeats to the same peer, in seconds."""
        return max(self._period_s, len(self._links.partners) / MAX_HEARTBEATS_PER_S)

    def settle_s(self):
        """Return how long a node's report takes to reach all others, in seconds.

        In a fleet with relays it goes to a relay, from there to the other relays, and
        to each other node with the digest of its relay.
        """
        if self.is_mesh:
            return MESH_SETTLE_PERIODS * self.period_s()
        between_relays_s = max(DISTANT_PERIOD_S, self.period_s())
        return REPORT_PERIOD_S + between_relays_s + REPORT_PERIOD_S

    def _period_to(self, node):
        """Return the time between two heartbeats to one peer, in seconds."""
        period_s = self.period_s()
        if self.is_mesh or node.data_center == self._identity.data_center:
            return period_s
        return max(period_s, DISTANT_PERIOD_S)

    def live(self):
        """Return the ``PeerStatus`` of each live peer, by node.

        A peer is live if its last heartbeat is recent and comes from the incarnation
        that is in the fleet table.
        """
        return self._cached("live", self._find_live)

    def not_lost(self):
        """Return ``live()`` and the peers that would be if this node had not paused.

        Their heartbeats may lie unread. A peer that is gone is among these for as much
        longer as the node was late of late.
        """
        late_s = self._lateness.recent_s()
        return self._cached("not lost", lambda: self._find_live(late_s))

    def planner_candidates(self):
        """Return the incarnations of the nodes that may plan, by node name.

        These read the store and are not stopping. This node can be one of them. Nodes
        that are cut off from model servers may plan only if all of them are.
        """
        statuses = {**self.live(), self._identity.node: self._own_pulse()}
        able = {n: s for n, s in statuses.items() if s.reads_tables and not s.stopping}
        reaching = {n: s for n, s in able.items() if not s.cut_off}
        return {n: s.incarnation for n, s in (reaching or able).items()}

    def reaching(self):
        """Return the names of the live peers that reach the model servers."""
        return [name for name, status in self.live().items() if not status.cut_off]

    def table_ends(self, table):
        """Return up to which offset the peers have read a table, by live peer.

        Only peers that exchange heartbeats with this node are known.
        """
        live = self.live()
        return {
            heartbeat.pulse.node: heartbeat.pulse.table_ends[table]
            for heartbeat in self._recent_heartbeats()
            if heartbeat.pulse.node in live and table in heartbeat.pulse.table_ends
        }

    def config_statuses(self):
        """Return the ``ConfigStatus`` of the live peers that tell a version, by peer.

        Only peers that exchange heartbeats with this node are known, and its relay.
        Peers of earlier builds do not tell.
        """
        live = self.live()
        statuses = {
            heartbeat.pulse.node: config_status_of(heartbeat.pulse)
            for heartbeat in self._recent_heartbeats()
        }
        if digest := self._recent_digest():
            statuses[digest.relay] = digest.config
        return {
            name: status
            for name, status in statuses.items()
            if name in live and status.version is not None
        }

    def load(self, name):
        """Return how many requests the peers report in flight at a group or server."""
        return self._cached("running", self._sum_running).get(name, 0)

    def fleet_load(self):
        """Return the ``Load`` of all live nodes, this one included."""
        return self._cached("load", self._sum_load)

    def receive(self, pulse, reports=False):
        """Store a peer's heartbeat and pass on the groups that are suspected.

        ``reports`` is whether the peer reports to this node, as to its relay.
        """
        known = self._heartbeats.get(pulse.node)
        now = self._clock.monotonic()
        self._heartbeats[pulse.node] = Heartbeat(pulse, now, reports)
        if known is None:
            event("peer heard", peer=pulse.node, incarnation=pulse.incarnation)
        self._note_status(pulse.node, status_of(pulse, now))
        for member in pulse.members or ():
            heard_at = now - member.age_ms / 1000
            self._note_status(member.node, status_of(member, heard_at))
        if self.is_mesh:
            self._sums.clear()
            self._pass_on(load_of_pulse(pulse), pulse.node)

    def digest_for(self, digest_of, version):
        """Return the ``FleetDigest`` for a node that reports to this one.

        The caller has the digest of incarnation ``digest_of`` up to ``version``.
        """
        published = self._cached("published", self._publish)
        own = self._identity.incarnation
        whole = digest_of != own
        return FleetDigest(
            own,
            published.version,
            whole,
            published.nodes_since(-1 if whole else version),
            [] if whole else published.lost_since(version),
            self.fleet_load(),
            *self.config_status(),
        )

    def full_pulse(self):
        """Return this node's heartbeat with the nodes that report to it."""
        pulse = self._own_pulse()
        pulse.members, pulse.member_load = self._cached("members", self._sum_members)
        return pulse

    def address(self, name):
        """Return the address for calls to a peer.

        Raises ``PeerUnavailableError`` if the peer has left the fleet.
        """
        node = self._state.nodes.get(name)
        if node is None:
            raise PeerUnavailableError("it has left", step="find address", peer=name)
        return node.peer

    def call(self, address, method, *args, **limits):
        """Call a peer and return its response; raises ``PeerUnavailableError``.

        ``limits`` are those of ``PeerPool.call``.
        """
        return self._pool.call(address, method, *args, **limits)

    def _cached(self, name, function):
        """Return the result of a sum over the peers, computed a short time ago.

        It is computed anew if the fleet's table has changed since.
        """
        now, version = self._clock.monotonic(), self._state.change_count
        at, computed_version, result = self._sums.get(name, (None, None, None))
        if version != computed_version or now - at >= SUMS_REUSED_S:
            result = function()
            self._sums[name] = now, version, result
        return result

    def _max_age_s(self):
        return max(MAX_HEARTBEAT_AGE_S, MAX_HEARTBEAT_AGE_PERIODS * self.period_s())

    def _find_live(self, paused_s=0.0):
        oldest_at = self._clock.monotonic() - self._max_age_s() - paused_s
        return {
            name: status
            for name, status in self._digest.newest_statuses(self._statuses).items()
            if status.heard_at >= oldest_at and self._is_current(name, status)
        }

    def _is_current(self, name, status):
        node = self._state.nodes.get(name)
        return (
            node is not None
            and name != self._identity.node
            and node.incarnation == status.incarnation
        )

    def _note_status(self, name, status):
        known = self._statuses.get(name)
        if name == self._identity.node:
            return
        if known is None or status.heard_at >= known.heard_at:
            self._statuses[name] = status

    def _recent_heartbeats(self, paused_s=0.0):
        max_age_s = max(MAX_LOAD_AGE_S, 2 * self.period_s()) + paused_s
        oldest_at = self._clock.monotonic() - max_age_s
        return [h for h in self._heartbeats.values() if h.received_at >= oldest_at]

    def _recent_digest(self, paused_s=0.0):
        digest = self._digest.last
        if digest is None or self._links.parent is None:
            return None
        age_s = self._clock.monotonic() - digest.received_at
        return digest if age_s <= MAX_LOAD_AGE_S + paused_s else None

    def _sum_running(self):
        # After a pause of this node, what it knew is better than no requests at all.
        late_s = self._lateness.recent_s()
        if digest := self._recent_digest(late_s):
            return digest.running
        return sum_running(loads_in(self._recent_heartbeats(late_s)))

    def _sum_load(self):
        if digest := self._recent_digest():
            return digest.load
        loads = loads_in(self._recent_heartbeats())
        return sum_loads([load_of_pulse(self._own_pulse()), *loads])

    def _sum_members(self):
        """Return the statuses and the ``Load`` of the nodes that report to this one."""
        now = self._clock.monotonic()
        reports = [h for h in self._recent_heartbeats() if h.reports]
        loads = loads_in(reports)
        return member_statuses(reports, now), sum_loads(loads) if loads else None

    def _publish(self):
        own = status_of(self._own_pulse(), self._clock.monotonic())
        self._published.update({**self.live(), self._identity.node: own})
        return self._published

    def _apply_digest(self, relay, sent, reply):
        self._digest.apply(relay, sent, reply)
        self._sums.clear()
        self._pass_on(reply.load, relay)

    def _pass_on(self, load, node):
        self.news.pass_on(load, node, self.is_mesh)

    def _call_loop(self, name):
        failed = False
        try:
            while (
                node := self._state.nodes.get(name)
            ) and name in self._links.partners:
                heard, now = self._heartbeats.get(name), self._clock.monotonic()
                period_s = self._period_to(node)
                if heard is None or (
                    now - heard.received_at >= RECENT_FRACTION * period_s
                ):
                    failed = self._exchange(node, failed)
                self._clock.sleep(period_s)
        finally:
            self._called_nodes.discard(name)

    def _exchange(self, node, failed_before):
        """Exchange heartbeats; return whether the call failed.

        ``failed_before`` is whether the last call failed.
        """
        try:
            self.receive(self._pool.call(node.peer, "pulse", self.full_pulse()))
        except PeerUnavailableError as exc:
            if not failed_before:
                event("peer lost", peer=node.node, why=exc.detail)
            return True
        if failed_before:
            event("peer regained", peer=node.node)
        return False
