"""Odd entries among those of the servers name no server; odd addresses only fail."""

import gevent.monkey

gevent.monkey.patch_all()

import ipaddress  # noqa: E402
import json  # noqa: E402
import unittest  # noqa: E402
from contextlib import closing  # noqa: E402
from types import SimpleNamespace  # noqa: E402

from hypothesis import given, settings  # noqa: E402
from hypothesis import strategies as st  # noqa: E402

from auburnwall.base.clock import SystemClock  # noqa: E402
from auburnwall.fleet.engines.group import StageOrder  # noqa: E402
from auburnwall.fleet.exceptions import EngineError  # noqa: E402
from auburnwall.fleet.registrations import Registry  # noqa: E402
from auburnwall.platform.servers import ServerClient, decode_registration  # noqa: E402
from auburnwall.routing.channels import ChannelPool  # noqa: E402
from auburnwall.state.table.base import TableRecord  # noqa: E402
from auburnwall.state.table.replica import TableReplica  # noqa: E402
from tests.routed.support import FrontWithServers, send_call  # noqa: E402

from .odd_entries import ODD_ADDRESSES, ODD_KEYS, odd_entries  # noqa: E402
from .test_decoding import ENTRY  # noqa: E402

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["Name", "epoch", "State"]), inner)
    ),
    max_leaves=6,
)


class DecodeTests(unittest.TestCase):
    """Guards against entries whose fields fail where they are used."""

    def test_odd_entries_are_refused(self):
        for name, data in odd_entries(ENTRY):
            with self.subTest(name), self.assertRaises(ValueError):
                decode_registration("i-1", data)

    def test_entries_under_odd_keys_are_refused(self):
        for key in ("", *ODD_KEYS, "x" * 300):
            with self.subTest(key=key), self.assertRaises(ValueError):
                decode_registration(key, json.dumps(ENTRY).encode())

    @settings(max_examples=300, deadline=None)
    @given(st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON_VALUES, max_size=3))
    def test_accepted_entries_are_usable(self, changes):
        try:
            entry = decode_registration("i-1", json.dumps(ENTRY | changes).encode())
        except ValueError:
            return
        host, _, port = entry.address.rpartition(":")
        ipaddress.ip_address(host)
        self.assertLess(0, int(port))
        self.assertLess(int(port), 2**16)
        self.assertLess(0, entry.slots)
        self.assertLess(entry.slots, 2**31)
        self.assertLess(entry.born, 2**63)
        self.assertLess(entry.warmup_left_s, float("inf"))
        texts = (entry.service, entry.data_center, entry.domain, entry.model)
        "".join((*texts, *entry.staged)).encode()


class RegistryTests(unittest.TestCase):
    """Guards against one entry that keeps those after it from being read."""

    def test_entries_after_one_whose_decoding_fails_are_read(self):
        def decode(server, data):
            if data == b"odd":
                raise OverflowError("too large")
            return decode_registration(server, data)

        clock = SystemClock()
        replica = TableReplica("servers", None, clock)
        registry = Registry(replica, decode, clock)
        records = [
            TableRecord(0, "i-1", b"odd"),
            TableRecord(1, "i-2", json.dumps(ENTRY).encode()),
        ]
        replica.apply_records(records, 2, clock.monotonic())
        self.assertEqual(list(registry.servers), ["i-2"])


class UnusableAddressTests(unittest.TestCase):
    """Guards against 500s because of an address to which nothing can connect.

    Such an address may come from a node of an older build, by the fleet's table.
    """

    ADDRESSES = [a for a in ODD_ADDRESSES if ":" in a and "no-such" not in a]

    def test_requests_are_served_by_the_other_server(self):
        for address in self.ADDRESSES:
            with self.subTest(address=address), FrontWithServers() as front:
                odd = SimpleNamespace(server="desk-0", address=address)
                front.desks[0] = odd
                for number in range(6):
                    status, _, _ = send_call(
                        front.address, "POST", "/book/x", f"r-{number}"
                    )
                    self.assertEqual(status, 200)

    def test_probes_orders_and_checks_fail(self):
        with closing(ServerClient()) as client, closing(ChannelPool(None)) as pool:
            for address in self.ADDRESSES:
                with self.subTest(address=address):
                    with self.assertRaises(EngineError):
                        client.fetch_report("i-1", address)
                    with self.assertRaises(EngineError):
                        client.send_order("i-1", address, StageOrder("big"))
                    self.assertFalse(pool.can_connect("i-1", address))
                    self.assertFalse(pool.has_crashed("i-1", address))


if __name__ == "__main__":
    unittest.main()
