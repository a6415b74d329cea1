"""Membership of nodes: joins and leaves are log records, liveness is probed.

One task for each peer periodically pulls the peer's digest. A node takes a peer's state
only from the response to a call of its own, because only then can it bound the age of
that state by its own clock.
"""

from typing import NamedTuple

from auburnwall.base.logs import event, warn
from auburnwall.state.exceptions import StateError
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import Cursor

from .freshness import Freshness, assess_freshness
from .relay import decode_probe_result, decode_record

MAX_TAIL_RECORDS = 500
# Age assumed for a log end that a peer does not know: it never counts as fresh.
UNKNOWN_LOG_END_AGE_S = 1e9


class PeerView(NamedTuple):
    """What a peer last reported of itself.

    ``reached_at`` is when the call that it responded to was made. ``log_end_known_at``
    is when it last knew the log's end. Both are on this node's monotonic clock.
    ``folded_offset`` is the offset up to which it has applied the log, ``freshness``
    the value of its ``Freshness``. ``running`` is its number of running requests,
    ``suspects`` the names of the peers that it cannot reach.
    """

    node: str
    incarnation: str
    reached_at: float
    log_end_known_at: float
    draining: bool
    freshness: str
    folded_offset: int
    config_offset: int
    running: int
    suspects: frozenset


class Membership:
    """Join and leave, health-check the peers and propose to remove dead ones."""

    def __init__(self, identity, follower, proposer, evidence, peers, clock, cfg):
        self.identity = identity
        self.views = {}
        self.draining = False
        self._follower = follower
        self._proposer = proposer
        self._evidence = evidence
        self._peers = peers
        self._clock = clock
        self._cfg = cfg
        self._pull_tasks = {}
        self._unreachable_since = {}

    def follow_peers(self, tasks):
        """Run one pulling task for each peer in the folded membership.

        Drops the views and the evidence of nodes that are no longer members.
        """
        nodes = self._follower.state.nodes
        for name in nodes:
            if name != self.identity.node and name not in self._pull_tasks:
                self._pull_tasks[name] = tasks.spawn(self._pull_loop, name)
        for name in [n for n in self.views if n not in nodes]:
            del self.views[name]
        self._evidence.retain_peers(nodes)

    def ensure_joined(self):
        """Propose to join if the folded membership lacks this incarnation."""
        recorded = self._follower.state.nodes.get(self.identity.node)
        current = recorded.incarnation if recorded else ""
        if self.draining or current == self.identity.incarnation:
            return
        body = {**self.identity._asdict(), "after": current}
        try:
            verdict = self._proposer.propose("node_join", body, 5.0)
        except StateError as exc:
            event("join failed", step=exc.step, why=exc.detail)
            return
        event("joined", accepted=verdict.accepted, why=verdict.reason)

    def leave(self):
        """Propose to leave the membership.

        A failure is only logged: the peers remove a node that no longer responds.
        """
        body = {
            "node": self.identity.node,
            "incarnation": self.identity.incarnation,
            "by": self.identity.node,
            "witnesses": [],
        }
        try:
            self._proposer.propose("node_leave", body, 2.0)
        except StateError as exc:
            warn("leave not recorded", step=exc.step, why=exc.detail)

    def freshness(self):
        """Return this node's ``Freshness``; without a configuration it is starting."""
        if self._follower.state.config_offset < 0:
            return Freshness.STARTING
        reachable = self.reachable_peers()
        cutoff = self._clock.monotonic() - self._cfg.fresh_s
        return assess_freshness(
            self._follower.log_end_age_s(),
            self._cfg.fresh_s,
            len(self._follower.state.nodes),
            len(reachable) + 1,
            sum(view.log_end_known_at >= cutoff for view in reachable),
        )

    def reachable_peers(self):
        """Return the views of the peers reached within the last ``fresh_s`` seconds."""
        cutoff = self._clock.monotonic() - self._cfg.fresh_s
        return [view for view in self.views.values() if view.reached_at >= cutoff]

    def suspects(self):
        """Return the names of the peers unreachable for at least ``suspect_s``."""
        cutoff = self._clock.monotonic() - self._cfg.suspect_s
        return frozenset(
            name
            for name, since in self._unreachable_since.items()
            if since <= cutoff and name in self._follower.state.nodes
        )

    def remove_dead(self):
        """Propose to remove the peers that are dead.

        A peer is dead if more than half of the reachable nodes suspect it and at least
        two do; with two members, one is enough. This node counts, the peer itself does
        not. Of the nodes that suspect it, the first by name makes the proposal.
        """
        reachable = self.reachable_peers()
        for name in self.suspects():
            other_reachable = [view for view in reachable if view.node != name]
            witnesses = [view.node for view in other_reachable if name in view.suspects]
            witnesses.append(self.identity.node)
            enough_witnesses = len(witnesses) >= min(
                2, len(self._follower.state.nodes) - 1
            )
            # ``other_reachable`` leaves out this node, hence + 1.
            if enough_witnesses and 2 * len(witnesses) > len(other_reachable) + 1:
                self._remove(name, sorted(witnesses))

    def _remove(self, name, witnesses):
        node = self._follower.state.nodes.get(name)
        if node is None or witnesses[0] != self.identity.node:
            return
        body = {
            "node": name,
            "incarnation": node.incarnation,
            "by": self.identity.node,
            "witnesses": witnesses,
        }
        try:
            verdict = self._proposer.propose("node_leave", body, 5.0)
        except StateError as exc:
            event("removal failed", step=exc.step, why=exc.detail, peer=name)
            return
        warn("removal proposed", peer=name, witnesses=witnesses, why=verdict.reason)

    def _pull_loop(self, name):
        try:
            while node := self._follower.state.nodes.get(name):
                self._pull_or_suspect(node)
                self._clock.sleep(self._cfg.heartbeat_s)
        finally:
            self._unreachable_since.pop(name, None)
            self._pull_tasks.pop(name, None)

    def _pull_or_suspect(self, node):
        try:
            self._pull(node)
            self._unreachable_since.pop(node.name, None)
        except PeerUnavailableError:
            self._unreachable_since.setdefault(node.name, self._clock.monotonic())

    def _pull(self, node):
        known = self._evidence.known_peer_results(node.name)
        cursor = Cursor(
            self.identity.node,
            self.identity.incarnation,
            known.incarnation if known else "",
            known.seq if known else 0,
        )
        asked_at = self._clock.monotonic()
        digest = self._peers.call(node.peer_address, "exchange", cursor)
        if digest.node != node.name:
            raise PeerUnavailableError(
                f"address belongs to {digest.node}", step="exchange", peer=node.name
            )
        self._apply_evidence(digest, cursor, asked_at)
        self._learn_log_end(node, digest, asked_at)
        age_ms = digest.word.age_ms
        self.views[node.name] = PeerView(
            node.name,
            digest.incarnation,
            asked_at,
            asked_at - (age_ms / 1000 if age_ms >= 0 else UNKNOWN_LOG_END_AGE_S),
            digest.draining,
            digest.mode,
            digest.folded,
            digest.config_offset,
            digest.running,
            frozenset(digest.suspects),
        )

    def _apply_evidence(self, digest, cursor, asked_at):
        """Apply the changes since ``cursor`` if the earlier results are still here.

        They are not if this process was paused while the call was in flight: after a
        pause all results are discarded.
        """
        watcher_results = self._evidence.ensure_peer_results(
            digest.node, digest.incarnation
        )
        if digest.whole:
            watcher_results.clear()
        elif watcher_results.seq != cursor.seen_seq:
            return
        changed = [
            decode_probe_result(observation, digest.node, asked_at)
            for observation in digest.observations
        ]
        confirmed_at = asked_at - digest.unchanged_age_ms / 1000
        watcher_results.apply_changes(
            confirmed_at, changed, digest.forgotten, digest.seq
        )

    def _learn_log_end(self, node, digest, asked_at):
        offset = self._follower.state.offset
        log_end, records = digest.word, []
        if digest.folded > offset:
            asked_at = self._clock.monotonic()
            tail = self._peers.call(
                node.peer_address, "tail", offset + 1, MAX_TAIL_RECORDS
            )
            # A tail with a gap is of no use; the follower reads the log itself.
            if not tail.complete:
                return
            log_end, records = tail.word, [decode_record(r) for r in tail.records]
        age_s = log_end.age_ms / 1000 if log_end.age_ms >= 0 else None
        self._follower.apply_relayed(records, log_end.end, age_s, asked_at)
