"""The brokers of slots: which nodes they are, and calls to them."""

from itertools import count

from auburnwall.base.lateness import LATE_S, LoopLateness
from auburnwall.base.logs import event
from auburnwall.base.rendezvous import owner
from auburnwall.fleet.candidate_index import Candidate
from auburnwall.routing.brokered_placer import BrokeredPlacer, Grant
from auburnwall.routing.exceptions import OverloadedError
from auburnwall.routing.placer import Placement
from auburnwall.routing.slot_broker import BrokeredRequest
from auburnwall.routing.step_model import Work
from auburnwall.wire.exceptions import PeerUnavailableError
from auburnwall.wire.peer.ttypes import SlotAsk, SlotGrant

from .topology import relays_of

# Timeout of a call that does not wait for a slot, and of one that does, in seconds. The
# first is short, so that a request whose broker is frozen can still be in time; the
# latter is longer than any wait for a slot.
ASK_TIMEOUT_S, WAITING_ASK_TIMEOUT_S = 0.12, 3.5
# Time for which a broker that did not respond is not asked, in seconds.
FAILED_BROKER_S = 1.0
# Time for which the choice of brokers is reused, in seconds.
CHOICE_REUSED_S = 0.25


class LostBrokers:
    """The brokers that did not respond, each for ``FAILED_BROKER_S``.

    A broker's first silence does not count if this node was late meanwhile: what held
    up the node may have held up the broker or the connection as well. ``lateness`` is
    the node's ``LoopLateness``.
    """

    def __init__(self, clock, lateness):
        self._clock = clock
        self._lateness = lateness
        self._lost_until = {}
        self._excused_at = {}

    def __contains__(self, broker):
        return self._lost_until.get(broker, 0.0) > self._clock.monotonic()

    def note_response(self, broker):
        """Record that a broker has responded."""
        self._excused_at.pop(broker, None)

    def note_silence(self, broker, asked_at):
        """Record that a broker did not respond to a call; return whether it is lost."""
        now = self._clock.monotonic()
        is_first = asked_at < self._excused_at.get(broker, now)
        if is_first and self._lateness.recent_s(asked_at) > LATE_S:
            self._excused_at.setdefault(broker, now)
            return False
        self._lost_until[broker] = now + FAILED_BROKER_S
        return True


class Brokers:
    """Choose the brokers and call them.

    ``broker`` is this node's own ``SlotBroker``. ``is_cut_off()`` returns whether this
    node does not reach the model servers. ``quick_pool`` and ``waiting_pool`` are pools
    of connections to peers for calls that do not wait for a slot and for those that do.
    ``lateness`` is the node's ``LoopLateness``.
    """

    def __init__(
        self,
        identity,
        state,
        peers,
        is_cut_off,
        broker,
        quick_pool,
        waiting_pool,
        clock,
        tasks,
        lateness=None,
    ):
        self._identity = identity
        self._is_cut_off = is_cut_off
        self._state = state
        self._peers = peers
        self._broker = broker
        self._quick_pool = quick_pool
        self._waiting_pool = waiting_pool
        self._clock = clock
        self._tasks = tasks
        self._numbers = count(1)
        self._lost = LostBrokers(clock, lateness or LoopLateness(clock))
        self._relays = {}
        self._relays_key = None

    def are_used(self):
        """Return whether slots are granted by brokers in this fleet."""
        return not self._peers.is_mesh

    def broker_of(self, service, model, data_center):
        """Return the broker of a model's groups in a data centre, or ``None``.

        Rendezvous hashing chooses among the live relays there that reach servers. A
        broker that is cut off from them suspects all groups and grants no slot.
        """
        relays = self._live_relays().get(data_center, ())
        broker = owner(f"slots of {service}/{model}", relays)
        return None if broker in self._lost else broker

    def is_current(self, grant):
        """Return whether the broker that granted a slot is still live."""
        if grant.broker == self._identity.node:
            return grant.incarnation == self._identity.incarnation
        status = self._peers.not_lost().get(grant.broker)
        return status is not None and status.incarnation == grant.incarnation

    def ask(self, broker, ask, excluded_servers):
        """Ask a broker for a slot; see ``BrokeredPlacer``.

        A search is asked like a late request, which is no miss and overtakes nobody.
        """
        request, resume_window_s = ask.request, ask.resume_window_s
        now = self._clock.monotonic()
        objective_left_s = 0.0 if ask.is_search else request.objective_at - now
        slot_ask = SlotAsk(
            id=f"{self._identity.incarnation}/{next(self._numbers)}",
            node=self._identity.node,
            request=request.request_id,
            service_name=request.service,
            model=request.model,
            team=request.team,
            rank=request.rank,
            prompt_tokens=request.work.prompt_tokens,
            response_tokens=request.work.response_tokens,
            deadline_left_ms=int(1000 * (request.deadline - now)),
            objective_left_ms=int(1000 * objective_left_s),
            objective_ms=int(1000 * request.route.objective_s),
            resume_window_ms=(
                -1 if resume_window_s is None else int(1000 * resume_window_s)
            ),
            excluded_servers=sorted(excluded_servers),
            wait=ask.wait,
        )
        reply = self._call(broker, slot_ask)
        if reply is None:
            return BrokeredPlacer.UNREACHABLE
        if not reply.granted:
            if reply.why:
                raise OverloadedError(reply.why, reply.retry_after_s)
            return None
        candidate = Candidate(
            reply.group,
            reply.server,
            reply.born,
            reply.address,
            reply.data_center,
            reply.slots,
        )
        grant = Grant(slot_ask.id, reply.broker, reply.incarnation, reply.group)
        return Placement(candidate, reply.load, grant)

    def release(self, grant):
        """Tell the broker that a slot is free, in a task of its own."""
        self._release(grant.broker, grant.id)

    def take_slot(self, slot_ask):
        """Answer a node's ``SlotAsk`` as this node's broker, with a ``SlotGrant``."""
        now = self._clock.monotonic()
        request = BrokeredRequest(
            slot_ask.id,
            slot_ask.node,
            slot_ask.request,
            slot_ask.service_name,
            slot_ask.model,
            slot_ask.team,
            -slot_ask.rank,
            Work(slot_ask.prompt_tokens, slot_ask.response_tokens),
            now + slot_ask.deadline_left_ms / 1000,
            now + slot_ask.objective_left_ms / 1000,
            slot_ask.objective_ms / 1000,
            elapsed_s=(slot_ask.objective_ms - slot_ask.objective_left_ms) / 1000,
        )
        window_ms = slot_ask.resume_window_ms
        try:
            placement = self._broker.take(
                request,
                frozenset(slot_ask.excluded_servers),
                None if window_ms < 0 else window_ms / 1000,
                slot_ask.wait,
            )
        except OverloadedError as exc:
            return SlotGrant(
                granted=False, why=exc.detail, retry_after_s=exc.retry_after_s
            )
        if placement is None:
            return SlotGrant(granted=False)
        candidate = placement.candidate
        return SlotGrant(
            granted=True,
            broker=self._identity.node,
            incarnation=self._identity.incarnation,
            group=candidate.name,
            server=candidate.server,
            born=candidate.born,
            address=candidate.address,
            data_center=candidate.data_center,
            slots=candidate.slots,
            load=placement.load,
        )

    def release_slot(self, ask_id):
        """Free a slot that this node's broker has granted, or end the wait for it."""
        self._broker.release(ask_id)

    def _call(self, broker, slot_ask):
        """Return the broker's ``SlotGrant``, ``None`` if it does not respond."""
        if broker == self._identity.node:
            return self.take_slot(slot_ask)
        pool = self._waiting_pool if slot_ask.wait else self._quick_pool
        asked_at = self._clock.monotonic()
        try:
            reply = pool.call(self._peers.address(broker), "take_slot", slot_ask)
        except PeerUnavailableError as exc:
            is_lost = self._lost.note_silence(broker, asked_at)
            event(
                "broker lost" if is_lost else "broker asked late",
                request=slot_ask.request,
                peer=broker,
                step="take slot",
                why=exc.detail,
            )
            self._release(broker, slot_ask.id)
            return None
        except BaseException:
            # The caller has left; the broker must not keep a slot for it.
            self._release(broker, slot_ask.id)
            raise
        self._lost.note_response(broker)
        return reply

    def _release(self, broker, ask_id):
        if broker == self._identity.node:
            self.release_slot(ask_id)
        else:
            self._tasks.spawn(self._release_at, broker, ask_id)

    def _release_at(self, broker, ask_id):
        node = self._state.nodes.get(broker)
        if node is None:
            return
        try:
            self._quick_pool.call(node.peer, "release_slot", ask_id)
        except PeerUnavailableError as exc:
            # The broker frees the slot when the deadline of its request has passed.
            event("slot not released", peer=broker, step="release", why=exc.detail)

    def _live_relays(self):
        """Return the names of the live relays of each data centre."""
        now = self._clock.monotonic()
        cut_off = self._is_cut_off()
        key = self._state.change_count, int(now / CHOICE_REUSED_S), cut_off
        if key != self._relays_key:
            self._relays_key = key
            live, nodes = self._peers.not_lost(), self._state.nodes
            names = [
                name
                for name, status in live.items()
                if not status.stopping and not status.cut_off and name in nodes
            ]
            if self._identity.node in nodes and not cut_off:
                names.append(self._identity.node)
            self._relays = {}
            for name in relays_of([nodes[name] for name in names]):
                self._relays.setdefault(nodes[name].data_center, []).append(name)
        return self._relays
