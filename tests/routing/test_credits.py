"""Credits: all routers together stay under the limit, whatever is lost or late."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnwall.routing.credits import Grant, Ledger, RouterCredits

TERM_S = 2.0
ROUTERS = ("r1", "r2", "r3")

# A router and what happens: it asks and hears, asks and the answer is lost, makes a
# report that arrives later, requests of it start or end, or time passes.
events = st.lists(
    st.tuples(
        st.sampled_from(ROUTERS),
        st.sampled_from(["ask", "lost", "delayed", "arrives", "start", "end", "wait"]),
        st.integers(1, 8),
    ),
    max_size=120,
)


def ask(ledger, name, router_credits, limit, now, want=None):
    """Ask as a router does, and take the grant."""
    router_credits.waiting = (
        limit if want is None else max(0, want - router_credits.in_use)
    )
    grant = ledger.request(router_credits.report(name, now), limit, now)
    router_credits.put(grant, now, TERM_S)
    return grant.slots


class CreditTests(unittest.TestCase):
    @settings(max_examples=1_000, derandomize=True, deadline=None, database=None)
    @given(events, st.integers(1, 6))
    def test_together_they_never_use_more_than_the_limit(self, history, limit):
        now, ledger, late = 100.0, Ledger(TERM_S), []
        all_credits = {name: RouterCredits() for name in ROUTERS}
        for name, what, number in history:
            router_credits = all_credits[name]
            router_credits.waiting = number
            if what == "ask":
                grant = ledger.request(router_credits.report(name, now), limit, now)
                router_credits.put(grant, now - 0.01, TERM_S)
            elif what == "lost":
                ledger.request(router_credits.report(name, now), limit, now)
            elif what == "delayed":
                late.append(router_credits.report(name, now))
            elif what == "arrives" and late:
                ledger.request(late.pop(number % len(late)), limit, now)
            elif what == "start":
                for _ in range(number):
                    router_credits.take(limit, now)
            elif what == "end" and router_credits.in_use:
                router_credits.give_back()
            elif what == "wait":
                now += number * 0.4
            self.assertLessEqual(sum(p.in_use for p in all_credits.values()), limit)

    def test_what_was_begun_under_a_grant_counts_after_the_grant_has_run_out(self):
        """A router was paused after it had begun more than it last reported."""
        ledger, one, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        ask(ledger, "r1", one, 4, now=0.0)
        self.assertTrue(all(one.take(bears=4, now=0.5) for _ in range(4)))
        self.assertEqual(ask(ledger, "r2", two, 4, now=9.0), 0)

    def test_report_that_was_long_under_way_is_not_taken_for_the_present(self):
        ledger, one, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        ask(ledger, "r1", one, 4, now=0.0)
        old = one.report("r1", now=0.4)
        self.assertTrue(all(one.take(bears=4, now=0.5) for _ in range(4)))
        ledger.request(old, 4, now=9.0)
        self.assertEqual(ask(ledger, "r2", two, 4, now=9.0), 0)

    def test_term_counts_from_before_asking(self):
        router_credits = RouterCredits()
        router_credits.put(Grant(1, 99.0), asked_at=10.0, term_s=TERM_S)
        self.assertFalse(router_credits.take(bears=1, now=12.0))
        self.assertTrue(router_credits.take(bears=1, now=11.9))

    def test_waiting_router_gets_its_share_once_others_ask_again(self):
        ledger, one, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        self.assertEqual(ask(ledger, "r1", one, 8, now=0.0), 8)
        for _ in range(8):
            one.take(bears=8, now=0.0)
        self.assertEqual(ask(ledger, "r2", two, 8, now=0.1), 0)
        self.assertLessEqual(ask(ledger, "r1", one, 8, now=0.5), 4)
        for _ in range(4):
            one.give_back()
        self.assertLessEqual(ask(ledger, "r1", one, 8, now=1.0), 4)
        self.assertEqual(ask(ledger, "r2", two, 8, now=1.1), 4)

    def test_new_owner_counts_what_runs_there_already(self):
        """Of three that run, the first router says that two are its own."""
        ledger, one, two = Ledger(TERM_S, running=3), RouterCredits(), RouterCredits()
        one.in_use = 2
        self.assertEqual(ask(ledger, "r1", one, 4, now=0.0), 3)
        self.assertEqual(ask(ledger, "r2", two, 4, now=0.1), 0)
        ledger.settle_lapsed(running=0, seen_at=0.0, now=0.2)
        self.assertEqual(ask(ledger, "r2", two, 4, now=0.3), 1)

    def test_router_that_dropped_its_purse_is_heard_again(self):
        ledger, old, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        for now in range(10):
            ask(ledger, "r1", old, 4, now=now / 10)
        new = RouterCredits()
        for now in (9.0, 9.1):
            ask(ledger, "r1", new, 4, now=now, want=1)
        ask(ledger, "r1", new, 4, now=9.2, want=0)
        ask(ledger, "r1", new, 4, now=9.3, want=0)
        self.assertEqual(ask(ledger, "r2", two, 4, now=9.4, want=3), 3)

    def test_room_that_nobody_else_wants_is_granted(self):
        ledger, one, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        ask(ledger, "r1", one, 6, now=0.0, want=1)
        self.assertGreaterEqual(ask(ledger, "r2", two, 6, now=0.1, want=3), 3)

    def test_silent_router_is_counted_until_the_servers_report_disproves_it(self):
        ledger, one, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        ask(ledger, "r1", one, 4, now=0.0)
        for _ in range(4):
            one.take(bears=4, now=0.1)
        self.assertEqual(ask(ledger, "r2", two, 4, now=9.0), 0)
        ledger.settle_lapsed(running=1, seen_at=9.5, now=9.5)
        self.assertEqual(ask(ledger, "r2", two, 4, now=9.6), 3)


if __name__ == "__main__":
    unittest.main()
