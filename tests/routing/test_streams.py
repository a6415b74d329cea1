"""Streams are sent in complete events, end once and are resumed after a failure."""

import json
import time
import unittest
from contextlib import contextmanager
from types import SimpleNamespace

import gevent
from gevent.event import Event

from auburnwall.base.clock import SystemClock
from auburnwall.fleet.directory import GroupView
from auburnwall.routing.completions import Completions
from auburnwall.routing.exceptions import ExchangeError, RequestError
from auburnwall.routing.request import CallerRequest
from auburnwall.routing.retries import RetryBudget
from auburnwall.routing.sse import DONE, TruncatedStreamError, split_events, text_of
from auburnwall.routing.stop_time import StopTime


def text_event(text):
    event = {"choices": [{"delta": {"content": text}}]}
    return b"data: " + json.dumps(event).encode() + b"\n\n"


class SplitTests(unittest.TestCase):
    def test_events_are_complete_for_every_chunk_size(self):
        stream = text_event("a") + text_event("b") + DONE
        for size in range(1, len(stream) + 1):
            chunks = [stream[i : i + size] for i in range(0, len(stream), size)]
            events = list(split_events(chunks))
            self.assertEqual(b"".join(events), stream)
            self.assertTrue(all(event.endswith(b"\n\n") for event in events))

    def test_stream_without_an_end_marker_is_truncated(self):
        with self.assertRaises(TruncatedStreamError):
            list(split_events([text_event("a"), b"data: [DO"]))

    def test_text_that_is_no_event_ends_the_stream(self):
        """Guards against an error's text in the middle of a stream."""
        head = b"HTTP/1.1 503 Busy\r\nX-A: 1\r\n\r\nfailed\n\n"
        for text in (b'{"error": "busy"}\n\n', b"<html>\n\n", head, b"no server\n\n"):
            got = []
            with self.subTest(text=text), self.assertRaises(TruncatedStreamError):
                got.extend(split_events([text_event("a"), text, DONE]))
            for events in (got, list(split_events([b": ping\n\n", DONE]))):
                self.assertNotIn(text, events)

    def test_text_and_number_of_pieces(self):
        self.assertEqual(
            text_of([text_event("a ") + text_event("b"), DONE]), ("a b", 2)
        )


class FakeExchanges:
    """Fake exchanges: each sends the next script's chunks and then may fail.

    A script is a pair of the chunks and whether the exchange fails after them.
    """

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self.headers = {}
        self.bodies = []

    @contextmanager
    def open(self, request, address, headers, read_timeout_s, body=None):
        self.bodies.append(json.loads(body or request.body))
        chunks, fails = self._scripts.pop(0)
        yield SimpleNamespace(
            status=200,
            headers=self.headers,
            stream=lambda size: self._send_chunks(chunks, fails),
        )

    def _send_chunks(self, chunks, fails):
        yield from chunks
        if fails:
            raise ExchangeError("cut", step="read answer", peer="g", sent=True)


class FakeDispatcher:
    """A fake dispatcher that always has a free slot."""

    @contextmanager
    def slot(self, request, excluded=frozenset()):
        group_view = GroupView("g", 1, "s", "m", "dc", "a:1", 1, 0, "b")
        yield SimpleNamespace(group_view=group_view)


def new_stream(exchanges, engine=None):
    """Return the events that a caller gets by these exchanges."""
    budget = RetryBudget(share=0.1, reserve=10.0)
    completions = Completions(exchanges, engine, budget, SystemClock())
    deadline = SystemClock().monotonic() + 10.0
    request = CallerRequest(
        "r", "t", 1.0, "m", deadline, 5, "POST", "/", {}, b'{"stream": true}'
    )
    return completions.stream(request, FakeDispatcher())


class ResumeTests(unittest.TestCase):
    def stream(self, exchanges):
        return b"".join(new_stream(exchanges))

    def test_broken_stream_is_resumed_after_the_events_sent(self):
        exchanges = FakeExchanges(
            ([text_event("a "), text_event("b ") + b"data: {"], True),
            ([text_event("c"), DONE], False),
        )
        self.assertEqual(text_of([self.stream(exchanges)])[0], "a b c")
        self.assertEqual(
            exchanges.bodies[1]["auburnwall_resume"], {"text": "a b ", "pieces": 2}
        )

    def test_response_that_is_no_stream_is_not_passed_on(self):
        exchanges = FakeExchanges(*[([text_event("a"), DONE], False)] * 4)
        exchanges.headers = {"Content-Type": "text/html"}
        with self.assertRaises(RequestError):
            self.stream(exchanges)

    def test_failure_after_the_end_marker_is_not_retried(self):
        exchanges = FakeExchanges(
            ([text_event("a"), DONE], True), ([text_event("a"), DONE], False)
        )
        self.assertEqual(self.stream(exchanges), text_event("a") + DONE)
        self.assertEqual(len(exchanges.bodies), 1)

    def test_stream_that_cannot_be_resumed_ends_with_an_error_and_no_end_marker(self):
        exchanges = FakeExchanges(*[([text_event("a")], True)] * 4)
        answer = self.stream(exchanges)
        self.assertIn(b'"ran": "unknown"', answer)
        self.assertNotIn(DONE, answer)


class StopTests(unittest.TestCase):
    """A stop of the node ends a wait for the first event."""

    def setUp(self):
        self.stop_time = StopTime(SystemClock())
        self.cancelled = []

    def cancel(self, address, request_id):
        """Cancel a request at an engine that answers late."""
        gevent.sleep(0.3)
        self.cancelled.append(request_id)

    def first_event(self):
        """Return the error that ends the wait for a silent engine's first event."""
        exchanges = FakeExchanges(([], False))
        exchanges._send_chunks = lambda chunks, fails: iter(Event().wait, None)
        engine = SimpleNamespace(cancel=self.cancel)
        stream = new_stream(exchanges, engine)
        with (
            self.assertRaises(RequestError) as caught,
            self.stop_time.limit_answer("r"),
        ):
            next(stream)
        return caught.exception

    def test_run_of_a_request_that_a_stop_ends_is_cancelled(self):
        """Guards against work for nobody, and an answer that waits for its end."""
        task = gevent.spawn(self.first_event)
        gevent.sleep(0.02)
        now = time.monotonic()
        self.stop_time.begin(now, now + 1.0)
        self.stop_time.end_late_waits()
        error = task.get(timeout=0.2)
        self.assertEqual((error.status, error.step), (504, "stop"))
        gevent.sleep(0.4)
        self.assertEqual(self.cancelled, ["r"])


if __name__ == "__main__":
    unittest.main()
