"""Decoding of the platform's messages, configuration and settings file."""

import json
import tempfile
import unittest
from pathlib import Path

from auburnwall.base.settings import load
from auburnwall.fleet.engines.group import CloseOrder, JoinOrder, StageOrder
from auburnwall.fleet.registrations import GroupMembership
from auburnwall.node.routed.settings import SETTING_SPECS, RoutedSettings
from auburnwall.platform.operator import OperatorDecoder
from auburnwall.platform.servers import _order_body, decode_registration
from auburnwall.platform.settings import (
    SettingsFileError,
    flags_from_file,
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
SETTINGS_TEXT = """Node=edge-1
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
    """Return ``ENTRY`` with ``changes`` as JSON; ``None`` removes a field."""
    body = {**ENTRY, **changes}
    return json.dumps(
        {key: value for key, value in body.items() if value is not None}
    ).encode()


class RegistrationTests(unittest.TestCase):
    def test_entry_of_a_backend_server_in_a_group(self):
        registration = decode_registration("i-1", entry())
        self.assertEqual(
            registration.group_membership, GroupMembership("g7", 7, 1, "ready")
        )
        self.assertEqual((registration.model, registration.staged), ("big", ("small",)))
        self.assertEqual(
            (registration.domain, registration.born), ("norte-d1", 1790000000123)
        )
        self.assertEqual((registration.warmup_left_s, registration.slots), (1.5, 9))

    def test_entry_of_a_server_without_group_or_model(self):
        registration = decode_registration(
            "i-1", entry(group=None, Domain=None, Models=None, Staged=None)
        )
        self.assertIsNone(registration.group_membership)
        self.assertEqual(
            (registration.model, registration.staged, registration.domain), ("", (), "")
        )

    def test_null_is_treated_as_a_missing_field(self):
        data = json.dumps({**ENTRY, "group": None}).encode()
        self.assertIsNone(decode_registration("i-1", data).group_membership)

    def test_unusable_entries_are_rejected(self):
        invalid_entries = [
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
        for data in invalid_entries:
            with self.subTest(data), self.assertRaises(ValueError):
                decode_registration("i-1", data)


class ConfigTests(unittest.TestCase):
    def setUp(self):
        self.config = OperatorDecoder().decode_config(json.dumps(CONFIG).encode())

    def test_routes(self):
        ask, late = self.config.routes
        self.assertTrue(ask.streams and ask.resumable and ask.may_run_again)
        self.assertEqual((ask.timeout_s, ask.objective_s), (8.0, 0.4))
        self.assertEqual(
            [target.service for target in ask.targets], ["assist", "assist-next"]
        )
        self.assertTrue(late.repeatable)
        self.assertEqual(late.max_servers, 1)
        self.assertEqual(late.targets[0].service, "desk")

    def test_engine_times_are_in_seconds_per_token_or_pair(self):
        engine = self.config.services["assist"].engine
        self.assertAlmostEqual(engine.step_s, 0.008)
        self.assertAlmostEqual(engine.step_per_token_s, 0.02 / 1000 / 1000)
        self.assertAlmostEqual(engine.prefill_per_token_s, 1 / 50000)
        self.assertAlmostEqual(engine.prefill_per_pair_s, 0.4e-9)
        self.assertEqual(engine.models["big"].members, 4)

    def test_limits_and_api_keys(self):
        self.assertEqual(self.config.limits.body_bytes, 1000)
        self.assertEqual(self.config.limits.idle_s, 9.0)
        self.assertEqual(self.config.team_of("k2").priority, 3)
        self.assertIsNone(self.config.team_of("k3"))

    def test_without_tenants_callers_need_no_key(self):
        body = {key: value for key, value in CONFIG.items() if key != "Tenants"}
        config = OperatorDecoder().decode_config(json.dumps(body).encode())
        self.assertIsNone(config.teams_by_key)

    def test_unusable_configurations_are_rejected(self):
        for body in ({}, {**CONFIG, "Routes": [{"Host": "x"}]}, {"Version": "1"}):
            with self.subTest(body), self.assertRaises(ValueError):
                OperatorDecoder().decode_config(json.dumps(body).encode())

    def test_evacuated_data_center(self):
        decoder = OperatorDecoder()
        self.assertEqual(decoder.evacuated_data_center("evacuate/norte"), "norte")
        self.assertIsNone(decoder.evacuated_data_center("config"))


class OrderTests(unittest.TestCase):
    def test_order_bodies(self):
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

    def test_file_provides_the_settings_of_a_node(self):
        flags = flags_from_file(read_settings_file(self.write(SETTINGS_TEXT)))
        cfg = load(RoutedSettings, SETTING_SPECS, flags, {})
        self.assertEqual(cfg.peer_address, "127.0.0.1:7340")
        self.assertEqual(cfg.front_address, "127.0.0.1:8001")
        self.assertEqual((cfg.repeat_share, cfg.repeat_reserve), (0.2, 105.0))

    def test_missing_file_raises_an_error(self):
        with self.assertRaises(SettingsFileError):
            read_settings_file("/nowhere/local.conf")
