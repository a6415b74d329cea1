"""A node's way to the owners of shards, its own shards included."""

from auburnwall.base.logs import event
from auburnwall.base.rendezvous import owner
from auburnwall.base.tasks import supervise
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import ClaimAsk

from .index import Claim
from .keys import shard_of
from .shard import ClaimShard


class ClaimService:
    """Claim and release keys, at the shard's owner or else in the stream itself."""

    def __init__(self, node, log, follower, peers, clock, cfg, tasks):
        self._node = node
        self._log = log
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._cfg = cfg
        self._tasks = tasks
        self._shards = {}

    def claim(self, ask):
        """Return the winning ``Claim`` of ``ask.key``; raise ``StateError``."""
        shard = shard_of(ask.key, self._cfg.claim_shards)
        chosen = self._owner(shard)
        if chosen is not None and chosen.name != self._node:
            message = ClaimAsk(*ask[:5])
            try:
                verdict = self._peers.call(
                    chosen.peer_address, "claim", shard, [message]
                )[0]
                return Claim(
                    ask.key,
                    verdict.digest,
                    verdict.attempt,
                    verdict.node,
                    verdict.incarnation,
                )
            except PeerUnavailableError as exc:
                event("claim owner failed", step="claim", peer=exc.peer, why=exc.detail)
        return self.claim_here(shard, ask)

    def claim_here(self, shard, ask):
        """Claim in the stream, as the shard's owner does."""
        return self.shard(shard).claim(ask, self._cfg.claim_timeout_s)

    def release(self, ask):
        """Free the key of a claim that won and whose node never sent anything."""
        shard = shard_of(ask.key, self._cfg.claim_shards)
        chosen = self._owner(shard)
        if chosen is not None and chosen.name != self._node:
            try:
                message = ClaimAsk(*ask[:5])
                self._peers.call(chosen.peer_address, "release", shard, message)
                return
            except PeerUnavailableError as exc:
                event("release failed", step="release", peer=exc.peer, why=exc.detail)
        self.release_here(shard, ask.key, ask.attempt)

    def release_here(self, shard, key, attempt):
        """Release in the stream, as the shard's owner does."""
        self.shard(shard).release(key, attempt)

    def shard(self, number):
        """Return this node's part in a shard, reading the stream when first used."""
        if number not in self._shards:
            cfg = self._cfg
            self._shards[number] = ClaimShard(
                number,
                self._log,
                self._clock,
                batch_s=cfg.claim_batch_s,
                memory_s=cfg.claim_window_s + 2 * cfg.claim_skew_s,
            )
            self._tasks.spawn(
                supervise, self._clock, self._shards[number].run, f"claims {number}"
            )
        return self._shards[number]

    def counts(self):
        """Return the appends and the claims made by this node's shards."""
        shards = self._shards.values()
        return sum(s.appends for s in shards), sum(s.claimed for s in shards)

    def _owner(self, shard):
        nodes = self._follower.state.nodes
        name = owner(f"claims/{shard}", nodes)
        return nodes.get(name)
