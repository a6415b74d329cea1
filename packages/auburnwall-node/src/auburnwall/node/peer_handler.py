"""Answer other nodes' calls."""

from auburnwall.base.exceptions import AuburnwallError
from auburnwall.fleet.relay import encode_log_end, encode_probe_result, encode_record
from auburnwall.state.claims.index import Claim
from auburnwall.wire.peer.ttypes import (
    ClaimVerdict,
    CreditGrant,
    Digest,
    Outcome,
    PeerError,
    Tail,
)


class PeerHandler:
    """Implement the inner protocol's service."""

    def __init__(self, components):
        self._components = components

    def exchange(self, cursor):
        """Return this node's digest for a peer that holds ``cursor``."""
        components = self._components
        own, now = components.evidence.own, components.clock.monotonic()
        whole = cursor.seen_incarnation != components.identity.incarnation
        changed, forgotten = own.changes_after(-1 if whole else cursor.seen_seq)
        state = components.follower.state
        return Digest(
            node=components.identity.node,
            incarnation=components.identity.incarnation,
            folded=state.offset,
            word=encode_log_end(components.follower),
            draining=components.membership.draining,
            whole=whole,
            seq=own.seq,
            unchanged_age_ms=round(own.oldest(now) * 1000),
            observations=[encode_probe_result(s, now) for s in changed],
            forgotten=forgotten,
            running=components.gateway.running(),
            config_offset=state.config_offset,
            mode=components.membership.freshness().value,
            suspects=sorted(components.membership.suspects()),
        )

    def tail(self, offset, limit):
        """Return log records from ``offset`` on, if this node still has them."""
        follower = self._components.follower
        records = follower.recent_from(offset, limit)
        word = encode_log_end(follower)
        if records is None:
            return Tail(False, [], word)
        if records and records[-1].offset < follower.state.offset:
            word.age_ms = -1
        return Tail(True, [encode_record(record) for record in records], word)

    def credits(self, ask):
        """Return the grant for a router."""
        decision = self._components.ownership.decide(ask)
        term_ms = round(self._components.cfg.credit_term_s * 1000)
        grant = decision.grant
        if grant is None:
            return CreditGrant(False, 0, term_ms, decision.reason, 0, "")
        return CreditGrant(True, grant.slots, term_ms, "", grant.number, grant.ledger)

    def claim(self, shard, asks):
        """Return whose claim won, for each of ``asks``."""
        claims = self._components.claims
        try:
            winners = [
                claims.claim_here(
                    shard, Claim(a.key, a.digest, a.attempt, a.node, a.incarnation)
                )
                for a in asks
            ]
        except AuburnwallError as exc:
            raise PeerError(exc.detail, exc.step) from exc
        return [
            ClaimVerdict(
                won=winner.attempt == ask.attempt,
                digest=winner.digest,
                attempt=winner.attempt,
                node=winner.node,
                incarnation=winner.incarnation,
            )
            for ask, winner in zip(asks, winners, strict=True)
        ]

    def release(self, shard, ask):
        """Free the key of a claim that was given up unsent."""
        self._components.claims.release_here(shard, ask.key, ask.attempt)

    def outcome(self, key, attempt):
        """Return what this node knows of its attempt at ``key``."""
        known = self._components.once.outcome(key, attempt)
        if known.answer is None:
            return Outcome(known.state, 0, {}, b"")
        answer = known.answer
        return Outcome(known.state, answer.status, dict(answer.headers), answer.body)
