"""The store client against a stand-in: reads, conditional writes and lost responses."""

import struct
import unittest
import unittest.mock

import gevent

from auburnwall.base.http import Response
from auburnwall.platform import store as store_module
from auburnwall.platform.store import StoreTables
from auburnwall.state.exceptions import (
    LogTruncatedError,
    LogUnavailableError,
    TableChangedError,
)
from standins.store import StoreStandin


class StoreTests(unittest.TestCase):
    def setUp(self):
        self.standin = StoreStandin()
        self.standin.server.start()
        self.addCleanup(self.standin.server.shut_down)
        self.client = StoreTables(self.standin.server.address)
        self.addCleanup(self.client.close)

    def test_read_returns_writes_and_removals(self):
        first = self.client.append("fleet", [("a", b"1"), ("b", b"2")]).offset
        self.client.append("fleet", [("a", None)])
        batch = self.client.read("fleet", first, wait_s=0.0)
        rows = [(r.offset, r.key, r.value) for r in batch.records]
        self.assertEqual(rows, [(0, "a", b"1"), (1, "b", b"2"), (2, "a", None)])
        self.assertEqual(batch.end, 3)

    def test_newest_reads_all_pages(self):
        for number in range(1_203):
            self.standin.put("keyed.servers", f"i-{number:04}", b"{}")
        batch = self.client.newest("servers")
        self.assertEqual(len({record.key for record in batch.records}), 1_203)
        self.assertEqual(batch.end, 1_203)

    def test_conditional_write_fails_if_the_table_has_changed(self):
        self.client.append("fleet", [("a", b"1")], at=0)
        with self.assertRaises(TableChangedError) as caught:
            self.client.append("fleet", [("a", b"2")], at=0)
        self.assertEqual(caught.exception.end, 1)
        self.assertEqual(self.standin.newest("keyed.auburnwall")["a"], (0, b"1"))

    def test_read_of_expired_records_fails_and_newest_still_works(self):
        self.client.append("fleet", [("a", b"1"), ("b", b"2")])
        self.standin.expire_history("keyed.auburnwall")
        with self.assertRaises(LogTruncatedError):
            self.client.read("fleet", 0, wait_s=0.0)
        self.assertEqual(len(self.client.newest("fleet").records), 2)

    def test_waiting_read_returns_at_the_first_record(self):
        gevent.spawn_later(0.1, self.standin.put, "keyed.op", "config", b"{}")
        with gevent.Timeout(2.0):
            batch = self.client.read("operator", 0, wait_s=5.0)
        self.assertEqual(len(batch.records), 1)

    def test_refused_append_cannot_have_taken_effect(self):
        self.standin.trouble = "busy"
        with self.assertRaises(LogUnavailableError) as caught:
            self.client.append("fleet", [("a", b"1")])
        self.assertFalse(caught.exception.effect_possible)

    def test_append_without_response_may_have_taken_effect(self):
        self.enterContext(
            unittest.mock.patch.object(store_module, "RESPONSE_TIMEOUT_S", 0.2)
        )
        self.standin.trouble = "lost"
        with self.assertRaises(LogUnavailableError) as caught:
            self.client.append("fleet", [("a", b"1")])
        self.assertTrue(caught.exception.effect_possible)
        self.assertIn("a", self.standin.newest("keyed.auburnwall"))


class OddResponseTests(unittest.TestCase):
    """Guards against readers that end, or stop, at what they cannot read."""

    def answer(self, data):
        """Return a client whose calls all get a response with this body."""
        resp = Response(200, {}, data)
        self.enterContext(
            unittest.mock.patch.object(store_module, "exchange", return_value=resp)
        )
        return StoreTables("127.0.0.1:9")

    def test_record_without_a_key_is_left_out(self):
        contents = [b"\x01a1", b"", b"\x05ab", b"\x01b2"]
        frames = b"".join(struct.pack(">I", len(c)) + c for c in contents)
        client = self.answer(struct.pack(">QQ", 24, 0) + frames)
        batch = client.read("servers", 20, wait_s=0.0)
        rows = [(r.offset, r.key, r.value) for r in batch.records]
        self.assertEqual(rows, [(20, "a", b"1"), (23, "b", b"2")])
        self.assertEqual(batch.end, 24)

    def test_unreadable_responses_count_as_none(self):
        bodies = [b"", b"x", b"[]", b"{}", b"[" * 5_000, b'{"End": 1, "Entries": 2}']
        bodies.append(b'{"End": 1, "Entries": [{"Key": "a", "Offset": 0}]}')
        bodies.append(struct.pack(">QQI", 1, 0, 9) + b"\x01")
        for body in bodies:
            client = self.answer(body)
            with self.subTest(body=body[:40]):
                with self.assertRaises(LogUnavailableError):
                    client.newest("servers")
                with self.assertRaises(LogUnavailableError):
                    client.append("fleet", [("a", b"1")])
                with self.assertRaises(LogUnavailableError):
                    client.read("servers", 0, wait_s=0.0)
