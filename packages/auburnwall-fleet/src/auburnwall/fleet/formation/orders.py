"""Send the orders of a plan to servers and remember what became of them.

Load pattern: a few dozen orders follow each plan. Some servers do not answer, and a
plan is computed several times before the effect of an order is visible.
"""

from auburnwall.base.logs import event

from ..engines.group import CloseOrder, OrderOutcome
from ..exceptions import EngineError, ServerPausedError
from .records import ENDING, SERVING

# An order without a visible effect is sent again after this time: the registrations
# that would show the effect are up to 0.5 s old.
ORDER_RETRY_S = 0.8


class OrderSender:
    """Send orders in tasks of their own.

    ``refusals`` maps the names of groups whose servers refused an order to the cause
    for which they must end. ``groups_with_retired_head`` holds the names of ending
    groups whose head has executed its last order. ``unanswered_at`` maps servers to the
    time of the last order without a response.
    """

    def __init__(self, state, member_monitor, engine, clock, tasks):
        self.refusals = {}
        self.groups_with_retired_head = set()
        self.unanswered_at = {}
        self._state = state
        self._monitor = member_monitor
        self._engine = engine
        self._clock = clock
        self._tasks = tasks
        self._sent_at = {}  # by server and orders

    def forget_conclusions(self):
        """Forget what was concluded from orders when this node planned before.

        Orders without a response are remembered, as they may still take effect.
        """
        self.refusals.clear()
        self.groups_with_retired_head.clear()
        self._sent_at.clear()

    def send_orders(self, statuses, actions):
        """Send the orders of groups whose records are unchanged since ``statuses``."""
        now = self._clock.monotonic()
        self._sent_at = {
            key: at for key, at in self._sent_at.items() if at > now - ORDER_RETRY_S
        }
        for name, act in actions.items():
            if self._state.groups.get(name) != statuses[name].group:
                continue
            for server, orders in act.orders.items():
                self._send_unless_recent(statuses[name].group, server, orders, now)

    def _send_unless_recent(self, group, server, orders, now):
        key = server, orders
        if key in self._sent_at:
            return
        self._sent_at[key] = now
        member = next(m for m in group.members if m.server == server)
        self._tasks.spawn(self._send_all, group, member, orders)

    def _send_all(self, group, member, orders):
        """Send orders one by one until one of them has no response."""
        outcome = None
        for order in orders:
            outcome = self.send(group.name, member, order)
            if outcome is None:
                return
        done = outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS)
        if group.phase == ENDING and done and not isinstance(orders[-1], CloseOrder):
            self.groups_with_retired_head.add(group.name)
        stale = outcome in (OrderOutcome.STALE, OrderOutcome.WRONG_SERVER)
        if group.phase == SERVING and stale:
            self.refusals[group.name] = f"{member.server} refused: {outcome.value}"

    def send(self, group, member, order):
        """Send one order; return its outcome, ``None`` without a response."""
        fields = {
            "peer": member.server,
            "group": group,
            "order": type(order).__name__,
            "epoch": getattr(order, "epoch", None),
        }
        try:
            outcome = self._engine.send_order(member.server, member.address, order)
        except ServerPausedError as exc:
            event("order held", **fields, why=exc.detail)
            return None
        except EngineError as exc:
            event("order unanswered", **fields, why=exc.detail)
            self.unanswered_at[member.server] = self._clock.monotonic()
            self._monitor.probe_server(member)
            return None
        event("order given", **fields, outcome=outcome.value)
        return outcome
