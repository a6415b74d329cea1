"""Serve calls of other nodes by the peer protocol."""

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
    """Implements the ``Peer`` service of ``peer.thrift``."""

    def __init__(self, components):
        self._components = components

    def exchange(self, cursor):
        """Return this node's digest for a peer.

        It holds the probe results that changed after ``cursor``, or all of them if
        the peer has seen none of this incarnation yet.
        """
        components = self._components
        own, now = components.evidence.own_results, components.clock.monotonic()
        whole = cursor.seen_incarnation != components.identity.incarnation
        changed, unwatched = own.changes_after(-1 if whole else cursor.seen_seq)
        state = components.follower.state
        return Digest(
            node=components.identity.node,
            incarnation=components.identity.incarnation,
            folded=state.offset,
            word=encode_log_end(components.follower),
            draining=components.membership.draining,
            whole=whole,
            seq=own.seq,
            unchanged_age_ms=round(own.max_age_s(now) * 1000),
            observations=[encode_probe_result(result, now) for result in changed],
            forgotten=unwatched,
            running=components.gateway.running(),
            config_offset=state.config_offset,
            mode=components.membership.freshness().value,
            suspects=sorted(components.membership.suspects()),
        )

    def tail(self, offset, limit):
        """Return up to ``limit`` log records from ``offset`` on, if still cached.

        If the limit leaves out records, the response states no age of the log's end:
        its reader has not read up to that end.
        """
        follower = self._components.follower
        records = follower.recent_from(offset, limit)
        log_end = encode_log_end(follower)
        if records is None:
            return Tail(False, [], log_end)
        if records and records[-1].offset < follower.state.offset:
            log_end.age_ms = -1
        return Tail(True, [encode_record(record) for record in records], log_end)

    def credits(self, ask):
        """Return a grant of slots to a router, or a refusal with its reason."""
        decision = self._components.ownership.decide(ask)
        term_ms = round(self._components.cfg.credit_term_s * 1000)
        grant = decision.grant
        if grant is None:
            return CreditGrant(False, 0, term_ms, decision.reason, 0, "")
        return CreditGrant(True, grant.slots, term_ms, "", grant.number, grant.ledger)

    def claim(self, shard_number, asks):
        """Return whose claim won the key of each of ``asks``.

        Raises ``PeerError`` if the claims can't be recorded in the log.
        """
        claims = self._components.claims
        try:
            winners = [
                claims.claim_in_log(
                    shard_number,
                    Claim(a.key, a.digest, a.attempt, a.node, a.incarnation),
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

    def release(self, shard_number, ask):
        """Release the key of a claim whose request was never sent."""
        self._components.claims.release_in_log(shard_number, ask.key, ask.attempt)

    def outcome(self, key, attempt):
        """Return what this node knows of its attempt to run the request of ``key``."""
        known = self._components.at_most_once.outcome(key, attempt)
        if known.answer is None:
            return Outcome(known.state, 0, {}, b"")
        answer = known.answer
        return Outcome(known.state, answer.status, dict(answer.headers), answer.body)
