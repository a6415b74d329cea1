"""What the platform's messages say, in the product's own types."""

import json
import tempfile
import unittest
from pathlib import Path

from auburnwall.base.settings import load
from auburnwall.fleet.engines.group import CloseOrder, JoinOrder, StageOrder
from auburnwall.fleet.registrations import GroupMembership
from auburnwall.node.routed.settings import SETTING_SPECS, RoutedSettings
from auburnwall.platform.operator import OperatorCodec
from auburnwall.platform.servers import _order_body, decode_registration
from auburnwall.platform.settings import (
    SettingsFileError,
    flags_of,
    read_settings_file,
)

ENTRY = {
    "Service": "assist",
    "Address": "10.9.0.7:8100",
    "Zone": "norte",
    "Version": "v3",
    "BatchSlots": 9,
    "State": "ready",
    "Seqno": 4,
    "WarmupLeftMs": 1500,
    "born": 1790000000123,
    "Stage": "mixed",
    "Models": [{"Name": "big", "Version": 1}],
    "Domain": "norte-d1",
    "Staged": ["small"],
    "group": {"Name": "g7", "epoch": 7, "rank": 1, "State": "ready"},
}
CONFIG = {
    "Version": 12,
    "Routes": [
        {
            "Name": "r1",
            "Host": "shop.example",
            "PathPrefix": "/ask/",
            "Type": "streaming",
            "TimeoutMs": 8000,
            "SloMs": 400,
            "GapSloMs": 300,
            "Priority": 1,
            "Backends": [
                {"Service": "assist", "Weight": 90},
                {"Service": "assist-next", "Weight": 10},
            ],
            "Attempts": 2,
            "Anonymous": False,
            "Affinity": True,
            "Resumable": True,
        },
        {
            "Host": "shop.example",
            "PathPrefix": "/ask/late/",
            "Type": "idempotent",
            "TimeoutMs": 2000,
            "SloMs": 300,
            "Service": "desk",
        },
    ],
    "Services": [
        {
            "Name": "assist",
            "HealthPath": "/healthz",
            "MaxConns": 400,
            "WarmupS": 3.0,
            "WarmupPerS": 36.0,
            "Engine": {
                "BatchSlots": 9,
                "KvCapacity": 900000,
                "Stride": 5,
                "Models": [
                    {
                        "Name": "big",
                        "size": 4,
                        "Share": 0.5,
                        "pace": 1.0,
                        "LoadS": 16.0,
                        "WarmS": 1.6,
                    }
                ],
                "step_ms": 8.0,
                "per_seq_ms": 0.2,
                "context_per_k": 0.02,
                "read_per_s": 50000.0,
                "pairs_per_m": 0.4,
                "LoadsPerS": 5.0,
                "loads_at_once": 7,
                "usual": {"prompt": 979, "answer": 154},
            },
        },
        {"Name": "desk", "HealthPath": "/healthz"},
    ],
    "Limits": {"MaxBodyBytes": 1000, "IdleTimeoutMs": 9000},
    "Tenants": [{"Name": "blue", "ApiKeys": ["k1", "k2"], "Priority": 3}],
}
SETTINGS = """Node=edge-1
Zone=norte
Ip=127.0.0.1
Listen.Front=127.0.0.1:8001
Listen.Ready=127.0.0.1:8002
Listen.Directory=127.0.0.1:8003
PortRange=7340,7355
Bounds.GraceS=8
Bounds.BudgetRatio=0.2
Bounds.BudgetSlack=105
Bounds.BudgetWindowS=10
Platform.Address=127.0.0.1:8223
Something.New=1,2,3
"""


def entry(**changes):
    """Return the entry's bytes with some fields changed; ``None`` removes one."""
    body = {**ENTRY, **changes}
    return json.dumps({k: v for k, v in body.items() if v is not None}).encode()


class RegistrationTests(unittest.TestCase):
    def test_entry_of_a_model_server(self):
        found = decode_registration("i-1", entry())
        self.assertEqual(found.group_membership, GroupMembership("g7", 7, 1, "ready"))
        self.assertEqual((found.model, found.staged), ("big", ("small",)))
        self.assertEqual((found.domain, found.born), ("norte-d1", 1790000000123))
        self.assertEqual((found.cold_s, found.slots), (1.5, 9))

    def test_entry_of_a_plain_server_has_no_group(self):
        found = decode_registration(
            "i-1", entry(group=None, Domain=None, Models=None, Staged=None)
        )
        self.assertIsNone(found.group_membership)
        self.assertEqual((found.model, found.staged, found.domain), ("", (), ""))

    def test_null_stands_for_what_is_not_there(self):
        data = json.dumps({**ENTRY, "group": None}).encode()
        self.assertIsNone(decode_registration("i-1", data).group_membership)

    def test_entries_that_name_no_server(self):
        bad = [
            b"\xff\xfe",
            b"[]",
            b"17",
            entry(Service=None),
            entry(Service=5),
            entry(Address="nowhere"),
            entry(Address=7),
            entry(State="resting"),
            entry(State=None),
            entry(BatchSlots="9"),
            entry(BatchSlots=True),
            entry(born="yesterday"),
            entry(group={"Name": "g7"}),
            entry(group="g7"),
            entry(Models=["big"]),
            entry(Staged="big"),
        ]
        for data in bad:
            with self.subTest(data), self.assertRaises(ValueError):
                decode_registration("i-1", data)


class ConfigTests(unittest.TestCase):
    def setUp(self):
        self.config = OperatorCodec().config(json.dumps(CONFIG).encode())

    def test_routes(self):
        ask, late = self.config.routes
        self.assertTrue(ask.streams and ask.resumable and ask.may_run_again)
        self.assertEqual((ask.timeout_s, ask.objective_s), (8.0, 0.4))
        self.assertEqual([t.service for t in ask.targets], ["assist", "assist-next"])
        self.assertTrue(late.repeatable)
        self.assertEqual(late.most_servers, 1)
        self.assertEqual(late.targets[0].service, "desk")

    def test_times_of_the_engine_are_seconds_for_one_token(self):
        engine = self.config.services["assist"].engine
        self.assertAlmostEqual(engine.step_s, 0.008)
        self.assertAlmostEqual(engine.step_per_token_s, 0.02 / 1000 / 1000)
        self.assertAlmostEqual(engine.prefill_per_token_s, 1 / 50000)
        self.assertAlmostEqual(engine.prefill_per_pair_s, 0.4e-9)
        self.assertEqual(engine.models["big"].members, 4)

    def test_limits_and_keys(self):
        self.assertEqual(self.config.limits.body_bytes, 1000)
        self.assertEqual(self.config.limits.idle_s, 9.0)
        self.assertEqual(self.config.team_of("k2").priority, 3)
        self.assertIsNone(self.config.team_of("k3"))

    def test_without_tenants_no_key_is_asked_for(self):
        body = {k: v for k, v in CONFIG.items() if k != "Tenants"}
        config = OperatorCodec().config(json.dumps(body).encode())
        self.assertIsNone(config.teams_by_key)

    def test_bad_configurations(self):
        for body in ({}, {**CONFIG, "Routes": [{"Host": "x"}]}, {"Version": "1"}):
            with self.subTest(body), self.assertRaises(ValueError):
                OperatorCodec().config(json.dumps(body).encode())

    def test_evacuated_data_centre(self):
        codec = OperatorCodec()
        self.assertEqual(codec.evacuated("evacuate/norte"), "norte")
        self.assertIsNone(codec.evacuated("config"))


class OrderTests(unittest.TestCase):
    def test_bodies(self):
        self.assertEqual(
            _order_body(JoinOrder("g7", 7, "big", ("i-1", "i-2"))),
            {
                "Op": "join",
                "group": "g7",
                "epoch": 7,
                "Model": "big",
                "Members": ["i-1", "i-2"],
            },
        )
        self.assertEqual(
            _order_body(CloseOrder("g7", 7, True))["CloseMode"], "truncate"
        )
        self.assertEqual(_order_body(CloseOrder("g7", 7, False))["CloseMode"], "queue")
        self.assertEqual(
            _order_body(StageOrder("big")), {"Op": "Stage", "Model": "big"}
        )


class SettingsFileTests(unittest.TestCase):
    def write(self, text):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = Path(folder) / "local.conf"
        path.write_text(text, "utf-8")
        return str(path)

    def test_fields_become_the_node_s_own_settings(self):
        flags = flags_of(read_settings_file(self.write(SETTINGS)))
        cfg = load(RoutedSettings, SETTING_SPECS, flags, {})
        self.assertEqual(cfg.peer_address, "127.0.0.1:7340")
        self.assertEqual(cfg.front_address, "127.0.0.1:8001")
        self.assertEqual((cfg.repeat_share, cfg.repeat_reserve), (0.2, 105.0))

    def test_missing_file(self):
        with self.assertRaises(SettingsFileError):
            read_settings_file("/nowhere/local.conf")
