"""What loads that come late say of a suspicion."""

import unittest

from auburnwall.node.routed.peers import REPORT_PERIOD_S
from auburnwall.node.routed.suspect_reports import SuspectReports
from auburnwall.node.routed.views import SUSPECT_S
from auburnwall.wire.peer.ttypes import Load
from tests.state.test_table import FakeClock

NODE = "n1"


class LateLoadTests(unittest.TestCase):
    """Guards against a suspicion that seems to have ended before its time.

    A node suspects a group for ``SUSPECT_S`` at least unless its requests there go on.
    """

    def setUp(self):
        self.clock = FakeClock()
        self.reports = SuspectReports(self.clock, 2 * REPORT_PERIOD_S, REPORT_PERIOD_S)
        for _ in range(3):
            self.hear(0)
            self.clock.now += REPORT_PERIOD_S

    def hear(self, count, running=0):
        load = Load(
            running={"g1": running} if running else {},
            nodes_with_traffic=3,
            suspects={"g1": count} if count else {},
        )
        return self.reports.update(NODE, load)

    def suspect_for(self, silent_s, heard_s):
        """Return what is refuted by a suspicion after loads were lost.

        It is heard ``silent_s`` after the last load, for ``heard_s``.
        """
        self.clock.now += silent_s - REPORT_PERIOD_S
        end_at = self.clock.now + heard_s
        while self.clock.now < end_at - REPORT_PERIOD_S / 2:
            self.assertEqual(self.hear(2, running=2), set())
            self.clock.now += REPORT_PERIOD_S
        self.clock.now = end_at
        return self.hear(0)

    def test_suspicion_that_is_heard_late_is_not_refuted_by_its_end(self):
        for lost_loads in (1, 2, 3):
            with self.subTest(lost_loads=lost_loads):
                self.setUp()
                # It began just after the last load that was heard.
                silent_s = (lost_loads + 1) * REPORT_PERIOD_S
                refuted = self.suspect_for(silent_s, SUSPECT_S + 0.1 - silent_s)
                self.assertEqual(refuted, set())

    def test_suspicion_that_is_heard_in_time_is_refuted_by_an_early_end(self):
        self.assertEqual(self.suspect_for(REPORT_PERIOD_S, 0.8), {"g1"})

    def test_suspicion_that_is_heard_late_is_refuted_by_requests_that_go_on(self):
        self.suspect_for(4 * REPORT_PERIOD_S, 0.0)
        self.hear(2, running=2)
        self.clock.now += REPORT_PERIOD_S
        self.assertEqual(self.hear(0, running=2), {"g1"})


if __name__ == "__main__":
    unittest.main()
