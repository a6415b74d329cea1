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
        shard_number = shard_of(new_claim.key, self._cfg.claim_shards)
        shard_owner = self._owner_node(shard_number)
        if shard_owner is not None and shard_owner.name != self._node:
            # All fields but ``time_ms``, which only the log can state.
            request = ClaimAsk(*new_claim[:5])
            try:
                winner = self._peers.call(
                    shard_owner.peer_address, "claim", shard_number, [request]
                )[0]
                return Claim(
                    new_claim.key,
                    winner.digest,
                    winner.attempt,
                    winner.node,
                    winner.incarnation,
                )
            except PeerUnavailableError as exc:
                event(
                    "claim at shard owner failed",
                    step="claim",
                    peer=exc.peer,
                    why=exc.detail,
                )
        return self.claim_in_log(shard_number, new_claim)

    def claim_in_log(self, shard_number, new_claim):
        """Claim in the shard's stream and return the winning ``Claim``."""
        return self._claim_shard(shard_number).claim(
            new_claim, self._cfg.claim_timeout_s
        )

    def release(self, claim):
        """Free the key of a claim that won but whose node never sent the request."""
        shard_number = shard_of(claim.key, self._cfg.claim_shards)
        shard_owner = self._owner_node(shard_number)
        if shard_owner is not None and shard_owner.name != self._node:
            try:
                # All fields but ``time_ms``, as for a claim.
                request = ClaimAsk(*claim[:5])
                self._peers.call(
                    shard_owner.peer_address, "release", shard_number, request
                )
                return
            except PeerUnavailableError as exc:
                event(
                    "release at shard owner failed",
                    step="release",
                    peer=exc.peer,
                    why=exc.detail,
                )
        self.release_in_log(shard_number, claim.key, claim.attempt)

    def release_in_log(self, shard_number, key, attempt):
        """Release a key in the shard's stream."""
        self._claim_shard(shard_number).release(key, attempt)

    def _claim_shard(self, shard_number):
        """Return this node's ``ClaimShard`` of a shard, created when first used.

        It reads the shard's stream before it appends its first claim.
        """
        if shard_number not in self._shards:
            cfg = self._cfg
            self._shards[shard_number] = ClaimShard(
                shard_number,
                self._log,
                self._clock,
                gather_s=cfg.claim_batch_s,
                # A winner is retained while its key may be accepted. Two clocks differ
                # by at most twice ``claim_skew_s``, the greatest error of any clock.
                retention_s=cfg.claim_window_s + 2 * cfg.claim_skew_s,
            )
            self._tasks.spawn(
                run_restarting,
                self._clock,
                self._shards[shard_number].run,
                f"claims {shard_number}",
            )
        return self._shards[shard_number]

    def counts(self):
        """Return the numbers of this node's attempted appends and of claims in them."""
        shards = self._shards.values()
        return sum(s.appends for s in shards), sum(s.appended_claims for s in shards)

    def _owner_node(self, shard_number):
        """Return the ``Node`` that owns a shard, or ``None`` without members."""
        nodes = self._follower.state.nodes
        name = owner(f"claims/{shard_number}", nodes)
        return nodes.get(name)
