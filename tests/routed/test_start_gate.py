"""Requests that reach a node between the opening of its sockets and its first reads.

Guards against refusals with a Retry-After that a caller does not honour, as it is more
than a third of its time left: 0.5 s for the shortest deadlines, and 3 s, which a node
without servers used to tell, for most.
"""

import random
import time
import unittest
from types import SimpleNamespace
from unittest.mock import patch

import gevent

from auburnwall.base.clock import SystemClock
from auburnwall.node.routed import start_stages
from auburnwall.node.routed.start_gate import (
    FIRST_S,
    LATER_RETRY_AFTER_S,
    MAX_WAIT_S,
    WAIT_FRACTION,
    StartGate,
)
from auburnwall.node.routed.start_stages import (
    FIRST_RESPONSE,
    SETTINGS_READ,
    StartStages,
)
from auburnwall.node.routed.table_readers import (
    FLEET_TABLE,
    OPERATOR_TABLE,
    SERVER_TABLE,
)
from auburnwall.routing.exceptions import NOT_RUN, RequestError
from tests.state.test_table import FakeClock

# Shortest deadline of a caller, which is 610 ms, and the part of it that is waited.
SHORTEST_DEADLINE_S, MAX_FRACTION = 0.61, 1 / 3
# Margin for a busy machine, in seconds.
MARGIN_S = 0.5


class StartGateTests(unittest.TestCase):
    def setUp(self):
        names = OPERATOR_TABLE, SERVER_TABLE, FLEET_TABLE
        self.replicas = {name: SimpleNamespace(end=-1) for name in names}
        self.gate = self.new_gate(SystemClock())

    def new_gate(self, clock):
        return StartGate(self.replicas, clock, random.Random(1))

    def read(self, *names):
        for name in names:
            self.replicas[name].end = 0

    def refusal(self, has_models, time_left_s=5.0):
        with self.assertRaises(RequestError) as caught:
            self.gate.check_servers(has_models, time_left_s)
        return caught.exception

    def test_request_waits_until_all_tables_are_read(self):
        self.gate.open()
        watch = gevent.spawn(self.gate.watch)
        waiting = gevent.spawn(self.gate.wait, 6.0)
        self.read(OPERATOR_TABLE, SERVER_TABLE)
        gevent.sleep(0.02)
        self.assertFalse(waiting.ready())
        self.read(FLEET_TABLE)
        gevent.joinall([watch, waiting], timeout=MARGIN_S, raise_error=True)
        self.assertTrue(waiting.ready())

    def test_no_request_waits_longer_than_shortly_after_the_start(self):
        """The store may be away for long; a refusal is to be told at once then."""
        self.gate.open()
        watch = gevent.spawn(self.gate.watch)
        began_at = time.monotonic()
        self.gate.wait(100.0)
        self.assertLess(time.monotonic() - began_at, MAX_WAIT_S + MARGIN_S)
        watch.get(timeout=MARGIN_S)
        began_at = time.monotonic()
        self.gate.wait(100.0)
        self.assertLess(time.monotonic() - began_at, MAX_WAIT_S / 2)

    def test_caller_with_little_time_waits_for_a_small_part_of_it(self):
        self.gate = self.new_gate(clock := FakeClock())
        for time_left_s in (None, SHORTEST_DEADLINE_S):
            began_at = clock.now
            self.gate.open()
            self.gate.wait(time_left_s)
            waited_s = clock.now - began_at
            self.assertLessEqual(waited_s, WAIT_FRACTION * SHORTEST_DEADLINE_S + 1e-9)

    def test_plain_services_do_not_need_the_groups(self):
        self.read(OPERATOR_TABLE, SERVER_TABLE)
        self.gate.check_servers(False, 5.0)
        self.assertEqual(self.refusal(True).ran, NOT_RUN)
        self.read(FLEET_TABLE)
        self.gate.check_servers(True, 5.0)

    def test_services_with_models_need_the_servers(self):
        self.read(OPERATOR_TABLE, FLEET_TABLE)
        for has_models in (False, True):
            self.assertEqual(self.refusal(has_models).status, 503)

    def test_callers_honour_the_return_time(self):
        for time_left_s in (None, 6.0, 1.2, SHORTEST_DEADLINE_S):
            longest_s = (time_left_s or SHORTEST_DEADLINE_S) * MAX_FRACTION
            for _ in range(20):
                retry_after_s = self.refusal(True, time_left_s).retry_after_s
                self.assertTrue(0 < retry_after_s <= longest_s, retry_after_s)

    def test_return_time_after_the_first_second_is_of_a_store_that_fails(self):
        clock = FakeClock()
        self.gate = self.new_gate(clock)
        clock.now += FIRST_S
        for _ in range(20):
            plain_s = self.refusal(False, SHORTEST_DEADLINE_S).retry_after_s
            self.assertLessEqual(plain_s, SHORTEST_DEADLINE_S * MAX_FRACTION)
            stream_s = self.refusal(True, 6.0).retry_after_s
            self.assertTrue(LATER_RETRY_AFTER_S / 2 <= stream_s <= LATER_RETRY_AFTER_S)

    def test_callers_do_not_all_come_back_at_once(self):
        times = {round(self.refusal(True).retry_after_s, 2) for _ in range(50)}
        self.assertGreater(len(times), 5)


class StartStagesTests(unittest.TestCase):
    def test_each_stage_is_logged_once_and_only_after_the_first_line(self):
        clock, logged = FakeClock(), []
        self.enterContext(
            patch.object(
                start_stages, "event", lambda name, **fields: logged.append(fields)
            )
        )
        stages = StartStages(clock, clock.now - 0.5)
        stages.note(SETTINGS_READ)
        stages.note(SETTINGS_READ)
        self.assertEqual(logged, [])
        clock.now += 1.0
        stages.begin_logging()
        stages.note(SETTINGS_READ)
        stages.note(FIRST_RESPONSE)
        stages.note(FIRST_RESPONSE)
        self.assertEqual(
            logged,
            [
                {"stage": SETTINGS_READ, "since_start_s": 0.5},
                {"stage": FIRST_RESPONSE, "since_start_s": 1.5},
            ],
        )

    def test_watched_stage_is_not_recorded_after_one_that_follows_it(self):
        """The checks are 10 ms apart, in which a whole request may be served."""
        clock, facts, logged = FakeClock(), [], []
        self.enterContext(
            patch.object(
                start_stages, "event", lambda name, **f: logged.append(f["stage"])
            )
        )
        stages = StartStages(clock)
        stages.begin_logging()
        sleep = clock.sleep

        def serve_request(seconds):
            facts.append("read")
            stages.note(FIRST_RESPONSE)
            sleep(seconds)

        clock.sleep = serve_request
        stages.watch({SETTINGS_READ: lambda: "read" in facts})
        self.assertEqual(logged, [SETTINGS_READ, FIRST_RESPONSE])

    def test_stages_that_are_never_reached_are_not_watched_for_ever(self):
        """A node that is alone hears no heartbeats, and one in a mesh has no broker."""
        clock = FakeClock()
        began_at = clock.now
        StartStages(clock).watch({"broker chosen": lambda: False})
        self.assertLess(clock.now - began_at, 60.0)


if __name__ == "__main__":
    unittest.main()
