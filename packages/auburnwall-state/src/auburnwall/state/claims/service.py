"""Claim and release idempotency keys at the owners of their shards."""

from auburnwall.base.logs import event
from auburnwall.base.rendezvous import owner
from auburnwall.base.tasks import run_restarting
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import ClaimAsk

from .index import Claim
from .keys import shard_of
from .shard import ClaimShard


class ClaimService:
    """Claim and release keys of any shard.

    A claim goes to the node that owns the shard. If this node is the owner, or the
    owner can't be reached, this node appends to the shard's stream itself.
    """

    def __init__(self, node, log, follower, peers, clock, cfg, tasks):
        self._node = node
        self._log = log
        self._follower = follower
        self._peers = peers
        self._clock = clock
        self._cfg = cfg
        self._tasks = tasks
        self._shards = {}

    def claim(self, new_claim):
        """Return the ``Claim`` that wins the key of ``new_claim``.

        Raises ``StateError`` if the winner can't be determined in time.
        """
        shard = shard_of(new_claim.key, self._cfg.claim_shards)
        shard_owner = self._owner(shard)
        if shard_owner is not None and shard_owner.name != self._node:
            request = ClaimAsk(*new_claim[:5])
            try:
                verdict = self._peers.call(
                    shard_owner.peer_address, "claim", shard, [request]
                )[0]
                return Claim(
                    new_claim.key,
                    verdict.digest,
                    verdict.attempt,
                    verdict.node,
                    verdict.incarnation,
                )
            except PeerUnavailableError as exc:
                event(
                    "claim at shard owner failed",
                    step="claim",
                    peer=exc.peer,
                    why=exc.detail,
                )
        return self.claim_in_log(shard, new_claim)

    def claim_in_log(self, shard, new_claim):
        """Claim in the shard's stream and return the winning ``Claim``."""
        return self.shard(shard).claim(new_claim, self._cfg.claim_timeout_s)

    def release(self, claim):
        """Free the key of a claim that won but whose node never sent the request."""
        shard = shard_of(claim.key, self._cfg.claim_shards)
        shard_owner = self._owner(shard)
        if shard_owner is not None and shard_owner.name != self._node:
            try:
                request = ClaimAsk(*claim[:5])
                self._peers.call(shard_owner.peer_address, "release", shard, request)
                return
            except PeerUnavailableError as exc:
                event(
                    "release at shard owner failed",
                    step="release",
                    peer=exc.peer,
                    why=exc.detail,
                )
        self.release_in_log(shard, claim.key, claim.attempt)

    def release_in_log(self, shard, key, attempt):
        """Release a key in the shard's stream."""
        self.shard(shard).release(key, attempt)

    def shard(self, number):
        """Return this node's ``ClaimShard`` of a shard, created when first used.

        It reads the shard's stream before it appends its first claim.
        """
        if number not in self._shards:
            cfg = self._cfg
            self._shards[number] = ClaimShard(
                number,
                self._log,
                self._clock,
                batch_s=cfg.claim_batch_s,
                retention_s=cfg.claim_window_s + 2 * cfg.claim_skew_s,
            )
            self._tasks.spawn(
                run_restarting,
                self._clock,
                self._shards[number].run,
                f"claims {number}",
            )
        return self._shards[number]

    def counts(self):
        """Return the numbers of appends and claims that this node's shards made."""
        shards = self._shards.values()
        return sum(s.appends for s in shards), sum(s.claimed for s in shards)

    def _owner(self, shard):
        nodes = self._follower.state.nodes
        name = owner(f"claims/{shard}", nodes)
        return nodes.get(name)
