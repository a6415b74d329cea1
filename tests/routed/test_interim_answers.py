"""Answers behind interim ones, such as 103 with early hints."""

import gevent.monkey

gevent.monkey.patch_all()

import unittest  # noqa: E402

from .support import FrontWithServers, send_call  # noqa: E402
from .test_broken_heads import BreakingServer, only, response  # noqa: E402

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n"


class InterimAnswerTests(unittest.TestCase):
    """Guards against an interim answer that is taken for the answer."""

    def setUp(self):
        self.server = BreakingServer()
        self.addCleanup(self.server.stop)
        self.front = self.enterContext(FrontWithServers())
        only(self.front.desks, self.server)

    def call(self, answer):
        self.server.answer = answer
        status, _, body = send_call(self.front.address, "POST", "/book/x", "r")
        return status, body

    def test_interim_answers_are_skipped(self):
        for before in (
            CONTINUE, HINTS, CONTINUE + HINTS, HINTS + CONTINUE, 9 * HINTS,
            b"HTTP/1.1 102 Processing\r\n\r\n",
        ):  # fmt: skip
            for framing in ("sized", "chunked", "none"):
                with self.subTest(before=before, framing=framing):
                    answer = before + response(framing, b"body")
                    self.assertEqual(self.call(answer), (200, b"body"))

    def test_other_protocol_is_no_answer(self):
        switch = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
        self.assertEqual(self.call(switch + response("sized", b"body"))[0], 502)

    def test_interim_answer_that_breaks_off(self):
        """The head behind it isn't taken for its fields, and a body for an answer."""
        within = response("sized", b"in the body")
        for interim in (CONTINUE, HINTS):
            for cut in range(len(interim) - 2):
                with self.subTest(cut=interim[:cut]):
                    answer = interim[:cut] + response("sized", within)
                    status, body = self.call(answer)
                    self.assertNotEqual(body, b"in the body")
                    if status != 502:
                        self.assertEqual((status, body), (200, within))

    def test_interim_answers_without_end(self):
        answer = 10_000 * HINTS + response("sized", b"body")
        self.assertEqual(self.call(answer)[0], 502)


if __name__ == "__main__":
    unittest.main()
