"""All routers together stay within the limit, whatever is lost or delayed."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnwall.routing.credits import Grant, Ledger, RouterCredits

TERM_S = 2.0
ROUTERS = ("r1", "r2", "r3")

# A router and what happens: it requests a grant and gets it ("ask"), the response is
# lost ("lost"), it makes a report ("delayed") that arrives later ("arrives"), some of
# its requests start or one ends, or time passes ("wait").
histories = st.lists(
    st.tuples(
        st.sampled_from(ROUTERS),
        st.sampled_from(["ask", "lost", "delayed", "arrives", "start", "end", "wait"]),
        st.integers(1, 8),
    ),
    max_size=120,
)


def request_grant(ledger, name, router_credits, limit, now, want=None):
    """Request a grant as a router does, store it and return its slots."""
    router_credits.more_wanted = (
        limit if want is None else max(0, want - router_credits.in_use)
    )
    grant = ledger.grant_slots(router_credits.report(name, now), limit, now)
    router_credits.set_grant(grant, now, TERM_S)
    return grant.slots


class CreditTests(unittest.TestCase):
    @settings(max_examples=1_000, derandomize=True, deadline=None, database=None)
    @given(histories, st.integers(1, 6))
    def test_all_routers_together_never_use_more_than_the_limit(self, history, limit):
        now, ledger, delayed = 100.0, Ledger(TERM_S), []
        credits_by_name = {name: RouterCredits() for name in ROUTERS}
        for name, action, number in history:
            router_credits = credits_by_name[name]
            router_credits.more_wanted = number
            if action == "ask":
                grant = ledger.grant_slots(router_credits.report(name, now), limit, now)
                router_credits.set_grant(grant, now - 0.01, TERM_S)
            elif action == "lost":
                ledger.grant_slots(router_credits.report(name, now), limit, now)
            elif action == "delayed":
                delayed.append(router_credits.report(name, now))
            elif action == "arrives" and delayed:
                ledger.grant_slots(delayed.pop(number % len(delayed)), limit, now)
            elif action == "start":
                for _ in range(number):
                    router_credits.take(limit, now)
            elif action == "end" and router_credits.in_use:
                router_credits.release()
            elif action == "wait":
                now += number * 0.4
            self.assertLessEqual(sum(c.in_use for c in credits_by_name.values()), limit)

    def test_slots_used_under_a_grant_count_after_it_has_expired(self):
        """A router that is paused has begun more requests than it last reported.

        Its grant expires while those requests still run.
        """
        ledger, one, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        request_grant(ledger, "r1", one, 4, now=0.0)
        self.assertTrue(all(one.take(capacity=4, now=0.5) for _ in range(4)))
        self.assertEqual(request_grant(ledger, "r2", two, 4, now=9.0), 0)

    def test_delayed_report_does_not_free_slots_taken_since(self):
        ledger, one, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        request_grant(ledger, "r1", one, 4, now=0.0)
        delayed_report = one.report("r1", now=0.4)
        self.assertTrue(all(one.take(capacity=4, now=0.5) for _ in range(4)))
        ledger.grant_slots(delayed_report, 4, now=9.0)
        self.assertEqual(request_grant(ledger, "r2", two, 4, now=9.0), 0)

    def test_term_starts_when_the_grant_is_requested(self):
        router_credits = RouterCredits()
        router_credits.set_grant(Grant(1, 99.0), asked_at=10.0, term_s=TERM_S)
        self.assertFalse(router_credits.take(capacity=1, now=12.0))
        self.assertTrue(router_credits.take(capacity=1, now=11.9))

    def test_waiting_router_gets_its_share_when_others_renew(self):
        ledger, one, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        self.assertEqual(request_grant(ledger, "r1", one, 8, now=0.0), 8)
        for _ in range(8):
            one.take(capacity=8, now=0.0)
        self.assertEqual(request_grant(ledger, "r2", two, 8, now=0.1), 0)
        self.assertLessEqual(request_grant(ledger, "r1", one, 8, now=0.5), 4)
        for _ in range(4):
            one.release()
        self.assertLessEqual(request_grant(ledger, "r1", one, 8, now=1.0), 4)
        self.assertEqual(request_grant(ledger, "r2", two, 8, now=1.1), 4)

    def test_new_owner_counts_requests_that_already_run(self):
        """Three requests run, and the first router reports two of them as its own."""
        ledger, one, two = Ledger(TERM_S, running=3), RouterCredits(), RouterCredits()
        one.in_use = 2
        self.assertEqual(request_grant(ledger, "r1", one, 4, now=0.0), 3)
        self.assertEqual(request_grant(ledger, "r2", two, 4, now=0.1), 0)
        ledger.release_expired(running=0, seen_at=0.0, now=0.2)
        self.assertEqual(request_grant(ledger, "r2", two, 4, now=0.3), 1)

    def test_reports_of_new_router_credits_are_not_ignored(self):
        """A router removes its credits for a group and creates them again later."""
        ledger, old, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        for now in range(10):
            request_grant(ledger, "r1", old, 4, now=now / 10)
        new = RouterCredits()
        for now in (9.0, 9.1):
            request_grant(ledger, "r1", new, 4, now=now, want=1)
        request_grant(ledger, "r1", new, 4, now=9.2, want=0)
        request_grant(ledger, "r1", new, 4, now=9.3, want=0)
        self.assertEqual(request_grant(ledger, "r2", two, 4, now=9.4, want=3), 3)

    def test_slots_that_no_other_router_wants_are_granted(self):
        ledger, one, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        request_grant(ledger, "r1", one, 6, now=0.0, want=1)
        self.assertGreaterEqual(request_grant(ledger, "r2", two, 6, now=0.1, want=3), 3)

    def test_unresponsive_router_counts_until_the_server_reports_fewer_running(self):
        ledger, one, two = Ledger(TERM_S), RouterCredits(), RouterCredits()
        request_grant(ledger, "r1", one, 4, now=0.0)
        for _ in range(4):
            one.take(capacity=4, now=0.1)
        self.assertEqual(request_grant(ledger, "r2", two, 4, now=9.0), 0)
        ledger.release_expired(running=1, seen_at=9.5, now=9.5)
        self.assertEqual(request_grant(ledger, "r2", two, 4, now=9.6), 3)


if __name__ == "__main__":
    unittest.main()
