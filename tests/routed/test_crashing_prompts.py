"""Requests with prompt parts that crash servers, at one node's front."""

import gevent.monkey

gevent.monkey.patch_all()

import http.client  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402
from contextlib import suppress  # noqa: E402

import gevent  # noqa: E402

from auburnwall.routing.call import MAX_PROMPT_PARTS  # noqa: E402
from auburnwall.routing.crash_evidence import BLOCK_S, MIN_CRASHES  # noqa: E402
from tests.routing.test_crash_evidence import suspect  # noqa: E402

from .support import KEY, FrontWithServers, send_call, wait_until  # noqa: E402


class CrashingPromptTests(unittest.TestCase):
    def setUp(self):
        self.front = self.enterContext(FrontWithServers())
        self.evidence = self.front.crash_evidence

    def call(self, number, prompt):
        headers = {"X-Prompt-Prefix": f"{prompt},{number:08x}:9"}
        return send_call(self.front.address, "POST", "/ask/x", f"r-{number}", **headers)

    def block(self, part):
        for number in range(MIN_CRASHES):
            self.evidence.note_crash(
                f"s{number}", 1, suspect([part], f"own-{number}"), "r", 0.0
            )
        self.evidence.update()

    def test_request_with_a_blocked_part_is_refused_at_once_and_not_sent(self):
        self.block("bad")
        status, headers, body = self.call(1, "aa:4,bad:40")
        self.assertEqual(status, 503)
        self.assertIn(b"not run", body)
        self.assertAlmostEqual(float(headers["Retry-After"]), BLOCK_S, delta=5.0)
        self.assertFalse([s for engine in self.front.engines for s in engine.seen])
        self.assertEqual(self.call(2, "aa:4")[0], 200)

    def test_last_part_is_the_requests_own_and_not_blocked(self):
        self.block("00000007")
        self.assertEqual(self.call(7, "aa:4")[0], 200)

    def test_malformed_list_with_a_blocked_part_is_refused(self):
        """A server may read the list, and crash at the part."""
        self.block("bad")
        for number, prompt in enumerate(
            ("bad", "bad:x", "b@d:4,bad:9", " bad :1,", f"{'a' * 99}:1,bad:")
        ):
            self.assertEqual(self.call(number, prompt)[0], 503, prompt)
        for number, prompt in enumerate(("aa", "aa:x", "b@d:4", f"{'a' * 99}:1", ",")):
            self.assertEqual(self.call(number, prompt)[0], 200, prompt)

    def test_part_in_the_second_of_two_headers_is_known(self):
        self.block("bad")
        with socket.create_connection(self.front.address.split(":"), 3.0) as sock:
            sock.sendall(
                b"POST /ask/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r-1\r\n"
                b"Authorization: Bearer " + KEY.encode() + b"\r\n"
                b"X-Prompt-Prefix: aa:4\r\nX-Prompt-Prefix: bad:4,0001:9\r\n\r\n"
            )
            self.assertIn(b" 503 ", sock.recv(4096).split(b"\r\n")[0])

    def test_list_with_too_many_parts_is_a_bad_request(self):
        prompt = ",".join(f"{number:04x}:4" for number in range(MAX_PROMPT_PARTS - 1))
        self.assertEqual(self.call(1, prompt)[0], 200)
        status, _, body = self.call(2, f"{prompt},bad:4")
        self.assertEqual(status, 400)
        self.assertIn(f"at most {MAX_PROMPT_PARTS}".encode(), body)

    def test_request_under_which_servers_crash_is_told_that_it_may_have_run(self):
        for engine in self.front.engines:
            engine.crash_part = "bad"
        status, headers, body = self.call(1, "aa:4,bad:40")
        self.assertEqual(status, 502)
        self.assertIn(b"unknown", body)
        self.assertNotIn("Retry-After", headers)

    def test_request_is_not_sent_again_once_its_part_is_blocked(self):
        for number in range(MIN_CRASHES - 1):
            self.evidence.note_crash(
                f"s{number}", 1, suspect(["bad"], f"own-{number}"), "r", 0.0
            )
        for engine in self.front.engines:
            engine.crash_part = "bad"
        note_crash = self.evidence.note_crash

        def note_and_update(*args):
            note_crash(*args)
            self.evidence.update()

        self.evidence.note_crash = note_and_update
        status, _, body = self.call(1, "aa:4,bad:40")
        self.assertEqual(status, 502)
        self.assertIn(b"unknown", body)
        crashes = [at for engine in self.front.engines for at in engine.crashes]
        self.assertEqual(len(crashes), 1)

    def test_lost_answer_of_a_server_that_lives_is_no_crash(self):
        for engine in self.front.engines:
            engine.faults.add("cut")
        for number in range(6):
            # The second server loses the answer too.
            with suppress(http.client.IncompleteRead):
                self.call(number, "aa:4,fine:40")
        self.assertEqual(self.evidence.crashes_to_tell(), {})

    def test_refused_connection_of_a_node_without_links_is_no_crash(self):
        """Its connections are reset and new ones refused, as by crashed servers."""
        self.front.reach.cut_off = True
        for engine in self.front.engines:
            engine.crash_part = "bad"
        self.assertEqual(self.call(1, "aa:4,bad:40")[0], 502)
        self.assertTrue([at for engine in self.front.engines for at in engine.crashes])
        self.assertEqual(self.evidence.crashes_to_tell(), {})

    def test_sound_request_that_was_at_a_crashed_server_goes_on_elsewhere(self):
        first, second = self.front.engines
        for engine in (first, second):
            engine.event_s = 0.05
        caller = gevent.spawn(self.call, 1, "aa:4")
        wait_until(lambda: first.running or second.running)
        crashed = first if first.running else second
        gevent.spawn(crashed.crash)
        status, _, body = caller.get(timeout=5.0)
        self.assertEqual((status, body.count(b"data: piece-")), (200, 10))
        self.evidence.update()
        self.assertEqual(self.evidence.blocked_causes(), set())
