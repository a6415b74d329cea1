"""A process that sends bytes without end does not occupy the node that reads them."""

import gevent.monkey

gevent.monkey.patch_all()

import http.client  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from contextlib import contextmanager, suppress  # noqa: E402
from pathlib import Path  # noqa: E402
from types import SimpleNamespace  # noqa: E402

import gevent  # noqa: E402

from auburnwall.base.clock import SystemClock  # noqa: E402
from auburnwall.fleet.engines.group import StageOrder  # noqa: E402
from auburnwall.fleet.exceptions import EngineError  # noqa: E402
from auburnwall.platform.servers import ORDER_TIMEOUT_S, ServerClient  # noqa: E402
from auburnwall.platform.store import StoreTables  # noqa: E402
from auburnwall.routing.exceptions import ExchangeError  # noqa: E402
from auburnwall.routing.exchange import Exchanges  # noqa: E402
from auburnwall.routing.request import CallerRequest  # noqa: E402
from auburnwall.state.exceptions import LogUnavailableError  # noqa: E402

from .endless_server import FORMS, REQUEST_FORMS  # noqa: E402
from .support import KEY, FrontWithServers, send_call  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent.parent
# Time beyond its route's timeout in which a request must have its answer, in seconds.
ANSWER_SLACK_S = 0.5
TIMEOUT_S = 3.0
DEADLINE_MS = "6000"
TICK_S = 0.01


@contextmanager
def sender(*args):
    """Run a sender and yield its process."""
    command = [sys.executable, "-m", "tests.routed.endless_server", *args]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as process:
        try:
            yield process
        finally:
            process.kill()


@contextmanager
def endless_server(form):
    """Run an endless server and yield its address."""
    with sender(form) as process:
        yield f"127.0.0.1:{int(process.stdout.readline())}"


class LongestPause:
    """Measures for how long at most the other tasks of this process did not run."""

    def __init__(self):
        self.longest_s = 0.0

    def __enter__(self):
        self._task = gevent.spawn(self._tick)
        gevent.sleep(0)
        return self

    def __exit__(self, *exc_info):
        gevent.sleep(2 * TICK_S)
        self._task.kill()

    def _tick(self):
        last_at = time.monotonic()
        while True:
            gevent.sleep(TICK_S)
            now = time.monotonic()
            self.longest_s, last_at = max(self.longest_s, now - last_at), now


class EndlessSenderTests(unittest.TestCase):
    """Guards against a node that serves nothing while one peer sends without end."""

    def test_requests_at_endless_servers(self):
        for form in FORMS:
            for path in ("/book/x", "/ask/x", "/once/x"):
                with self.subTest(form=form, path=path), endless_server(form) as at:
                    self.check_request(at, path)

    def check_request(self, address, path):
        """Check that one request ends in time and that the node serves meanwhile."""
        with FrontWithServers() as front:
            servers = front.desks if path == "/book/x" else front.engines
            for server in servers[:]:
                servers.remove(server)
                servers.append(SimpleNamespace(server=server.server, address=address))
            with LongestPause() as pause:
                started_at = time.monotonic()
                endless = gevent.spawn(self.read, front.address, path)
                gevent.sleep(0.2)
                other = "/ask/y" if path == "/book/x" else "/look/y"
                status, _, _ = send_call(front.address, "POST", other, "r-2")
                self.assertEqual(status, 200)
                self.assertLess(time.monotonic() - started_at, 1.5)
                endless.get()
                took_s = time.monotonic() - started_at
            self.assertLess(took_s, TIMEOUT_S + ANSWER_SLACK_S)
            self.assertLess(pause.longest_s, ANSWER_SLACK_S)
            self.assertEqual(front.in_flight.slots_in_use, {})

    def read(self, address, path):
        headers = {
            "Host": "shop.example",
            "X-Attempt-Id": "r-1",
            "X-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Bearer {KEY}",
        }
        conn = http.client.HTTPConnection(address, timeout=20.0)
        self.addCleanup(conn.close)
        conn.request("POST", path, headers=headers)
        with suppress(OSError, http.client.HTTPException):
            resp = conn.getresponse()
            while resp.read1(1 << 20):
                pass

    def test_probes_and_orders(self):
        client = ServerClient()
        probe = lambda at: client.fetch_report("m-1", at)  # noqa: E731
        order = lambda at: client.send_order("m-1", at, StageOrder("big"))  # noqa: E731
        self.check_calls(probe, EngineError, 2.5)
        self.check_calls(order, EngineError, 4 * ORDER_TIMEOUT_S)

    def test_reads_of_the_store(self):
        read = lambda at: StoreTables(at).read("fleet", 0, wait_s=0.0)  # noqa: E731
        self.check_calls(read, LogUnavailableError, 4.0)

    def test_answers_of_model_engines_and_services(self):
        clock = SystemClock()
        request = CallerRequest(
            "r-1",
            "blue",
            1.0,
            "desk",
            clock.monotonic() + 1.0,
            0,
            "POST",
            "/x",
            {},
            b"{}",
        )
        exchanges = Exchanges(clock)
        self.check_calls(
            lambda at: exchanges.exchange_complete(request, at, {}, 1.0),
            ExchangeError,
            2.5,
        )

    def check_calls(self, call, error, max_s):
        """Check that a call of each form of endless server ends in time."""
        for form in FORMS:
            with (
                self.subTest(form=form),
                endless_server(form) as address,
                LongestPause() as pause,
            ):
                started_at = time.monotonic()
                with self.assertRaises(error):
                    call(address)
                self.assertLess(time.monotonic() - started_at, max_s)
                self.assertLess(pause.longest_s, ANSWER_SLACK_S)

    def test_callers(self):
        """A caller whose request has no end is refused, and the others are served."""
        for form in REQUEST_FORMS:
            with self.subTest(form=form), FrontWithServers() as front:
                with LongestPause() as pause, sender(form, front.address) as process:
                    started_at = time.monotonic()
                    process.wait()
                    self.assertLess(time.monotonic() - started_at, TIMEOUT_S)
                self.assertLess(pause.longest_s, ANSWER_SLACK_S)
                self.assertEqual([], [r for s in front.desks for r in s.seen])


if __name__ == "__main__":
    unittest.main()
