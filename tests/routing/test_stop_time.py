"""What a stopping node may still begin, and how it ends what waits."""

import gevent.monkey

gevent.monkey.patch_all()

import unittest  # noqa: E402
from functools import partial  # noqa: E402
from types import SimpleNamespace  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from auburnwall.routing.exceptions import (  # noqa: E402
    NOT_RUN,
    OverloadedError,
    RequestError,
)
from auburnwall.routing.stop_time import StopTime, can_end  # noqa: E402
from tests.state.test_table import FakeClock  # noqa: E402


class CanEndTests(unittest.TestCase):
    def test_requests_that_end_in_time(self):
        """Guards against refusals of what would have its answer before the exit."""
        for left_s, limit_s, expected_s in (
            (2.5, 2.5, 0.0),
            (2.5, 0.2, 4.0),
            (2.5, 30.0, 0.1),
            (3.0, 30.0, 2.0),
        ):
            with self.subTest(left_s=left_s, limit_s=limit_s, expected_s=expected_s):
                self.assertTrue(can_end(left_s, limit_s, expected_s))

    def test_requests_that_may_be_cut_off(self):
        """Guards against requests that run when the node exits."""
        for left_s, limit_s, expected_s in (
            (2.5, 2.6, 0.0),
            (2.5, 3.0, 2.0),
            (0.0, 3.0, 0.01),
            (-1.0, 3.0, 0.0),
        ):
            with self.subTest(left_s=left_s, limit_s=limit_s, expected_s=expected_s):
                self.assertFalse(can_end(left_s, limit_s, expected_s))


class StopTimeTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.expected_s = FakeClock(), 1.0
        self.stop_time = StopTime(self.clock, lambda request: self.expected_s)

    def request(self, streams=False, deadline_s=30.0):
        return SimpleNamespace(
            request_id="r",
            route=SimpleNamespace(streams=streams),
            deadline=self.clock.now + deadline_s,
        )

    def begin(self, answer_s=2.0, exit_s=2.2):
        self.stop_time.begin(self.clock.now + answer_s, self.clock.now + exit_s)

    def test_nothing_is_refused_before_the_stop(self):
        self.expected_s = 1_000.0
        request = self.request()
        self.assertEqual(self.stop_time.refusal(request), "")
        ends_at = self.stop_time.ends_at(request, has_begun=False)
        self.assertEqual(ends_at, request.deadline)

    def test_refusal_tells_the_time_left(self):
        self.begin()
        self.assertEqual(self.stop_time.refusal(self.request()), "")
        self.clock.now += 1.0
        why = self.stop_time.refusal(self.request())
        self.assertIn("1.00 s left, 1.00 s expected", why)
        with self.assertRaises(OverloadedError) as caught:
            self.stop_time.check(self.request())
        self.assertEqual(
            (caught.exception.status, caught.exception.ran), (503, NOT_RUN)
        )

    def test_stream_may_last_until_the_exit(self):
        """Any other response must be written before it."""
        self.begin(answer_s=1.4, exit_s=1.6)
        self.assertEqual(self.stop_time.refusal(self.request(streams=True)), "")
        self.assertTrue(self.stop_time.refusal(self.request()))

    def test_nothing_begins_after_the_last_answers(self):
        self.begin()
        self.clock.now += 2.1
        self.expected_s = 0.01
        self.assertTrue(self.stop_time.refusal(self.request(streams=True)))
        self.assertTrue(self.stop_time.refusal(self.request(deadline_s=0.01)))

    def test_deadline_is_never_extended(self):
        self.begin()
        short, long = self.request(deadline_s=0.5), self.request()
        for has_begun in (False, True):
            self.assertEqual(
                self.stop_time.ends_at(short, has_begun=has_begun), short.deadline
            )
        self.assertEqual(
            self.stop_time.ends_at(long, has_begun=False), self.clock.now + 2.0
        )
        self.assertEqual(self.stop_time.ends_at(long, has_begun=True), long.deadline)

    def wait(self, request, ended, ready):
        """Wait for ``ready`` as a request does for a slot; append how it ended."""
        refusal = partial(self.stop_time.refusal, request)
        try:
            with self.stop_time.limit_wait("r", refusal):
                ready.wait()
            gevent.sleep(0)
            ended.append("placed")
        except OverloadedError as exc:
            ended.append(exc.step)

    def test_wait_ends_when_an_attempt_no_longer_fits(self):
        ended, request = [], self.request()
        task = gevent.spawn(self.wait, request, ended, Event())
        gevent.sleep(0)
        self.begin()
        self.stop_time.end_late_waits()
        gevent.sleep(0.01)
        self.assertEqual(ended, [])
        self.clock.now += 1.0
        self.stop_time.end_late_waits()
        task.join(1.0)
        self.assertEqual(ended, ["stop"])

    def test_error_is_raised_once(self):
        """Guards against one that breaks off the clean-up after the first."""
        ended = []

        def wait():
            try:
                with self.stop_time.limit_answer("r"):
                    try:
                        Event().wait()
                    finally:
                        gevent.sleep(0.02)
                        ended.append("cleaned up")
            except RequestError as exc:
                ended.append(exc.step)

        task = gevent.spawn(wait)
        gevent.sleep(0)
        self.begin(answer_s=0.0)
        for _ in range(2):
            self.stop_time.end_late_waits()
            gevent.sleep(0.005)
        task.join(1.0)
        self.assertEqual(ended, ["cleaned up", "stop"])

    def test_wait_that_has_just_succeeded_is_left_alone(self):
        """Guards against an error that is raised after the wait, in what follows."""
        ended, ready = [], Event()
        task = gevent.spawn(self.wait, self.request(), ended, ready)
        gevent.sleep(0)
        self.begin()
        self.clock.now += 1.0
        ready.set()
        self.stop_time.end_late_waits()
        task.join(1.0)
        self.assertEqual(ended, ["placed"])
