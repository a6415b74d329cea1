"""Membership of nodes: joins and leaves are records, life in between is watched.

One task for each peer pulls the peer's digest. Only the answer to a call of our own
carries news, since only then is the age of the news bounded by our own clock.
"""

from typing import NamedTuple

from auburnwall.base.logs import event, warn
from auburnwall.state.exceptions import StateError
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import Cursor

from .freshness import Freshness, assess_freshness
from .relay import decode_probe_result, decode_record

TAIL_LIMIT = 500
NO_WORD_AGE_S = 1e9


class PeerView(NamedTuple):
    """What a peer last said of itself; ``reached_at`` is when it was asked.

    ``word_at`` is the moment of its last word of the log's end, on our clock.
    """

    node: str
    incarnation: str
    reached_at: float
    word_at: float
    draining: bool
    freshness: str
    folded: int
    config_offset: int
    running: int
    suspects: frozenset


class Membership:
    """Join, watch peers, propose to remove those that are dead, leave."""

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
        self._pulling = {}
        self._first_failed = {}

    def follow_peers(self, tasks):
        """Keep one pulling task for each peer in the folded membership."""
        nodes = self._follower.state.nodes
        for name in nodes:
            if name != self.identity.node and name not in self._pulling:
                self._pulling[name] = tasks.spawn(self._pull_loop, name)
        for name in [n for n in self.views if n not in nodes]:
            del self.views[name]
        self._evidence.keep_peers(nodes)

    def keep_joined(self):
        """Join if the folded membership lacks this incarnation."""
        mine = self._follower.state.nodes.get(self.identity.node)
        current = mine.incarnation if mine else ""
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
        """Leave the membership; peers would find out in any case."""
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
        """Return how current this node is; without a configuration it is starting."""
        if self._follower.state.config_offset < 0:
            return Freshness.STARTING
        in_touch = self.in_touch()
        floor = self._clock.monotonic() - self._cfg.fresh_s
        return assess_freshness(
            self._follower.age(),
            self._cfg.fresh_s,
            len(self._follower.state.nodes),
            len(in_touch) + 1,
            sum(view.word_at >= floor for view in in_touch),
        )

    def in_touch(self):
        """Return the views of peers that answered lately."""
        floor = self._clock.monotonic() - self._cfg.fresh_s
        return [view for view in self.views.values() if view.reached_at >= floor]

    def suspects(self):
        """Return the peers that have not answered for the time of suspicion."""
        floor = self._clock.monotonic() - self._cfg.suspect_s
        return frozenset(
            name
            for name, since in self._first_failed.items()
            if since <= floor and name in self._follower.state.nodes
        )

    def remove_dead(self):
        """Propose to remove peers that most nodes in touch, and two at least, miss."""
        in_touch = self.in_touch()
        for name in self.suspects():
            voters = [view for view in in_touch if view.node != name]
            witnesses = [view.node for view in voters if name in view.suspects]
            witnesses.append(self.identity.node)
            enough = len(witnesses) >= min(2, len(self._follower.state.nodes) - 1)
            if enough and 2 * len(witnesses) > len(voters) + 1:
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
        warn("node removed", peer=name, witnesses=witnesses, why=verdict.reason)

    def _pull_loop(self, name):
        try:
            while node := self._follower.state.nodes.get(name):
                self._pull_or_suspect(node)
                self._clock.sleep(self._cfg.heartbeat_s)
        finally:
            self._first_failed.pop(name, None)
            self._pulling.pop(name, None)

    def _pull_or_suspect(self, node):
        try:
            self._pull(node)
            self._first_failed.pop(node.name, None)
        except PeerUnavailableError:
            self._first_failed.setdefault(node.name, self._clock.monotonic())

    def _pull(self, node):
        known = self._evidence.known_peer(node.name)
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
                f"{digest.node} answers there", step="exchange", peer=node.name
            )
        self._take_evidence(digest, cursor, asked_at)
        self._take_word(node, digest, asked_at)
        age_ms = digest.word.age_ms
        self.views[node.name] = PeerView(
            node.name,
            digest.incarnation,
            asked_at,
            asked_at - (age_ms / 1000 if age_ms >= 0 else NO_WORD_AGE_S),
            digest.draining,
            digest.mode,
            digest.folded,
            digest.config_offset,
            digest.running,
            frozenset(digest.suspects),
        )

    def _take_evidence(self, digest, cursor, asked_at):
        """Take what has changed since ``cursor``, if we still hold the rest.

        A pause while the call was under way makes this node forget what it held.
        """
        watcher_results = self._evidence.peer(digest.node, digest.incarnation)
        if digest.whole:
            watcher_results.clear()
        elif watcher_results.seq != cursor.seen_seq:
            return
        changed = [
            decode_probe_result(observation, digest.node, asked_at)
            for observation in digest.observations
        ]
        seen_at = asked_at - digest.unchanged_age_ms / 1000
        watcher_results.refresh(seen_at, changed, digest.forgotten, digest.seq)

    def _take_word(self, node, digest, asked_at):
        offset = self._follower.state.offset
        word, records = digest.word, []
        if digest.folded > offset:
            asked_at = self._clock.monotonic()
            tail = self._peers.call(node.peer_address, "tail", offset + 1, TAIL_LIMIT)
            if not tail.complete:
                return
            word, records = tail.word, [decode_record(r) for r in tail.records]
        age_s = word.age_ms / 1000 if word.age_ms >= 0 else None
        self._follower.learn(records, word.end, age_s, asked_at)
