"""What a node says about the configuration by which it refuses requests.

Guards against answers of 404 and 401 that do not tell whether the node went by an
outdated configuration, and by which.
"""

import json
import unittest
from unittest import mock

from auburnwall.node.routed.metrics import RoutedMetrics, TableAges
from auburnwall.node.routed.source import ConfigSource, PendingVersion
from auburnwall.platform.operator import OperatorDecoder
from auburnwall.state.table.base import TableRecord
from auburnwall.state.table.replica import UNSETTLED, TableReplica
from tests.state.test_table import FakeClock

from .support import FrontWithServers, config, send_call

NOTICE_S = 2.0


class AnswerTests(unittest.TestCase):
    def setUp(self):
        self.front = self.enterContext(FrontWithServers(config()))

    def check(self, expected_status, path, **headers):
        """Check that both the response and its log line name the version."""
        with mock.patch("auburnwall.node.routed.front.event") as event:
            status, _, body = send_call(
                self.front.address, "GET", path, "c-1", **headers
            )
        self.assertEqual(status, expected_status)
        self.assertEqual(json.loads(body)["config_version"], 3)
        event.assert_called_once()
        self.assertEqual(event.call_args.kwargs["config_version"], 3)

    def test_outdated_configuration_is_no_reason_for_a_final_answer(self):
        self.front.gateway._source.current = False
        self.check(503, "/nowhere/x")
        self.check(503, "/look/x", Authorization="Bearer other")
        status, _, _ = send_call(self.front.address, "GET", "/look/x", "c-2")
        self.assertEqual(status, 200)

    def test_unknown_route(self):
        self.check(404, "/nowhere/x")

    def test_unknown_key(self):
        self.check(401, "/look/x", Authorization="Bearer other")


class SourceTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.metrics = FakeClock(), RoutedMetrics()
        self.replica = TableReplica("operator", None, self.clock)
        self.source = ConfigSource(
            self.replica, OperatorDecoder(), NOTICE_S, self.metrics.record_version
        )
        self.event = self.enterContext(
            mock.patch("auburnwall.node.routed.source.event")
        )
        self.warn = self.enterContext(mock.patch("auburnwall.node.routed.source.warn"))

    def put(self, offset, version, peer="store", **changes):
        body = json.dumps({**config(), "Version": version, **changes}).encode()
        records = [TableRecord(offset, "config", body)]
        self.replica.apply_records(records, offset + 1, self.clock.now, peer)

    def outcomes(self):
        return {
            sample.labels["outcome"]: sample.value
            for family in self.metrics.registry.collect()
            for sample in family.samples
            if sample.name == "auburnwall_configurations_total"
        }

    def test_provenance_names_version_offset_age_and_source(self):
        self.assertEqual(self.source.provenance(), {})
        self.put(4, 7, "n2")
        self.clock.now += 1.5
        self.assertEqual(
            self.source.provenance(),
            {
                "config_version": 7,
                "config_offset": 4,
                "config_age_s": 1.5,
                "config_source": "n2",
                "config_pending_version": None,
                "config_pending_why": None,
            },
        )

    def test_version_that_is_held_back_after_a_loss_is_told(self):
        """It is told from a copy that is old: the copy has the version."""
        self.put(4, 7)
        body = json.dumps({**config(), "Version": 9}).encode()
        record = TableRecord(2, "config", body)
        for listener in self.replica.held_listeners:
            listener(record, UNSETTLED)
        provenance = self.source.provenance()
        self.assertEqual(provenance["config_version"], 7)
        self.assertEqual(provenance["config_pending_version"], 9)
        self.assertEqual(provenance["config_pending_why"], "held back")
        self.assertEqual(self.event.call_args.args, ("configuration held back",))
        self.assertEqual(self.outcomes(), {"in force": 1, "held back": 1})
        self.put(5, 9)
        self.assertIsNone(self.source.provenance()["config_pending_why"])

    def test_age_is_none_after_a_pause(self):
        self.put(4, 7)
        self.replica.read_at = None
        self.assertIsNone(self.source.provenance()["config_age_s"])

    def test_version_that_may_be_late_is_counted(self):
        self.put(0, 1)
        self.clock.now += NOTICE_S / 2
        self.put(1, 2)
        self.clock.now += NOTICE_S + 0.1
        self.put(2, 3, "n5")
        self.assertEqual(self.outcomes(), {"in force": 2, "late": 1})
        fields = self.event.call_args.kwargs
        self.assertEqual((fields["source"], fields["late"]), ("n5", True))
        self.assertEqual(fields["at_most_s"], NOTICE_S + 0.1)

    def test_refused_version_is_counted_until_a_later_one_is_in_force(self):
        self.put(0, 1)
        self.put(1, 2, Routes="none")
        self.assertEqual(self.source.pending, PendingVersion(2, 1, "refused"))
        self.assertEqual(self.warn.call_args.args, ("bad configuration",))
        self.assertEqual(self.source.config.version, 1)
        self.put(2, 3)
        self.assertIsNone(self.source.pending)
        self.assertEqual(self.outcomes(), {"in force": 2, "refused": 1})

    def test_skipped_version_is_counted(self):
        self.put(0, 5)
        self.put(1, 4)
        self.assertEqual(self.source.config.version, 5)
        self.assertEqual(self.source.pending, PendingVersion(4, 1, "skipped"))
        self.assertEqual(self.outcomes(), {"in force": 1, "skipped": 1})

    def test_ages_of_copies(self):
        self.put(0, 5)
        self.clock.now += 0.5
        self.metrics.registry.register(TableAges({"operator": self.replica}))
        text = self.metrics.exposition().decode()
        self.assertIn('auburnwall_table_age_seconds{table="operator"} 0.5', text)
        self.assertIn('auburnwall_table_held_back{table="operator"} 0.0', text)


if __name__ == "__main__":
    unittest.main()
