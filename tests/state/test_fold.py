"""The order of records alone decides the state, and all readers compute the same."""

import unittest
from itertools import chain

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnwall.state.fold import State, fold
from auburnwall.state.log.base import LogRecord
from auburnwall.state.records import envelope

CONFIG = {
    "data_centers": {"norte": {"state": "in"}, "palmira": {"state": "in"}},
    "models": {"m": {"version": "1"}},
    "groups": {"pair": {"members": 2}},
    "selectors": {"s": {"model": "m", "group": "pair", "count": 3}},
}
VMS = [f"vm-{number}" for number in range(5)]
WRITERS = ["w1", "w2", "w3"]


def config_patch(value):
    return [{"op": "add", "path": "", "value": value}]


def log_records(payloads):
    """Return the records of a log that holds ``payloads``."""
    return [LogRecord(offset, 0, data) for offset, data in enumerate(payloads)]


def fold_all(records, state=None):
    state = state or State()
    verdicts = [fold(state, record) for record in records]
    return state, verdicts


class LogBuilder:
    """Build a log whose writers number their records without gaps or repeats."""

    def __init__(self):
        self.payloads = []
        self._seq = dict.fromkeys(WRITERS, 0)

    def add(self, kind, writer="w1", **body):
        self._seq[writer] += 1
        self.payloads.append(envelope(kind, writer, self._seq[writer], body))
        return len(self.payloads) - 1

    def run(self):
        return fold_all(log_records(self.payloads))


def log_with_lease(data_center="norte", holder="w1"):
    log = LogBuilder()
    log.add("config", base=-1, patch=config_patch(CONFIG), author="op")
    fence = log.add(
        "lease_take",
        holder,
        name=f"steward/{data_center}",
        holder=holder,
        incarnation=holder,
        after=-1,
    )
    return log, fence


def members(*vms):
    return [{"vm": vm, "address": f"{vm}:1"} for vm in vms]


class ConfigurationTests(unittest.TestCase):
    def test_second_of_two_concurrent_changes_is_rejected_and_names_the_winner(self):
        log = LogBuilder()
        first = log.add("config", "w1", base=-1, patch=config_patch(CONFIG))
        log.add("config", "w2", base=-1, patch=config_patch({}))
        state, verdicts = log.run()
        self.assertEqual([v.accepted for v in verdicts], [True, False])
        self.assertEqual(verdicts[1].winner, first)
        self.assertEqual(state.config, CONFIG)

    def test_invalid_change_leaves_the_version_in_force(self):
        log = LogBuilder()
        first = log.add("config", base=-1, patch=config_patch(CONFIG))
        invalid_patch = [
            {"op": "replace", "path": "/selectors/s/model", "value": "none"}
        ]
        log.add("config", base=first, patch=invalid_patch)
        state, verdicts = log.run()
        self.assertFalse(verdicts[1].accepted)
        self.assertIn("selectors.s.model", verdicts[1].reason)
        self.assertEqual(state.config_offset, first)

    def test_repeated_append_of_a_proposal_takes_effect_once(self):
        log = LogBuilder()
        log.add("config", base=-1, patch=config_patch(CONFIG))
        log.payloads.append(log.payloads[0])
        state, verdicts = log.run()
        self.assertEqual([v.accepted for v in verdicts], [True, False])
        self.assertEqual(state.config_offset, 0)


class LeaseTests(unittest.TestCase):
    def test_take_that_does_not_name_the_last_renewal_is_rejected(self):
        log, fence = log_with_lease()
        renewal_offset = log.add("lease_renew", name="steward/norte", fence=fence)
        log.add(
            "lease_take",
            "w2",
            name="steward/norte",
            holder="w2",
            incarnation="w2",
            after=fence,
        )
        state, verdicts = log.run()
        self.assertFalse(verdicts[-1].accepted)
        self.assertEqual(verdicts[-1].winner, renewal_offset)
        self.assertEqual(state.leases["steward/norte"].holder, "w1")

    def test_renewal_is_rejected_after_another_node_took_the_lease(self):
        log, fence = log_with_lease()
        take_offset = log.add(
            "lease_take",
            "w2",
            name="steward/norte",
            holder="w2",
            incarnation="w2",
            after=fence,
        )
        log.add("lease_renew", name="steward/norte", fence=fence)
        _, verdicts = log.run()
        self.assertEqual(
            (verdicts[-1].accepted, verdicts[-1].winner), (False, take_offset)
        )


class GroupTests(unittest.TestCase):
    def form(self, log, fence, group, *vms, writer="w1", data_center="norte"):
        return log.add(
            "group_form",
            writer,
            group=group,
            selector="s",
            data_center=data_center,
            members=members(*vms),
            fence=fence,
            cause="test",
        )

    def test_vm_of_another_group_is_refused(self):
        log, fence = log_with_lease()
        first = self.form(log, fence, "g1", "vm-1", "vm-2")
        self.form(log, fence, "g2", "vm-2", "vm-3")
        state, verdicts = log.run()
        self.assertEqual((verdicts[-1].accepted, verdicts[-1].winner), (False, first))
        self.assertEqual(list(state.groups), ["g1"])

    def test_former_controller_cannot_form_a_group(self):
        log, fence = log_with_lease()
        log.add(
            "lease_take",
            "w2",
            name="steward/norte",
            holder="w2",
            incarnation="w2",
            after=fence,
        )
        self.form(log, fence, "g1", "vm-1", "vm-2")
        _, verdicts = log.run()
        self.assertFalse(verdicts[-1].accepted)

    def test_repair_of_an_outdated_generation_is_rejected(self):
        log, fence = log_with_lease()
        first = self.form(log, fence, "g1", "vm-1", "vm-2")
        for new in ("vm-3", "vm-4"):
            log.add(
                "group_repair",
                group="g1",
                generation=first,
                members=members("vm-1", new),
                fence=fence,
                cause="test",
            )
        state, verdicts = log.run()
        self.assertEqual([v.accepted for v in verdicts[-2:]], [True, False])
        self.assertEqual(state.groups["g1"].vms, ("vm-1", "vm-3"))
        self.assertEqual(state.group_of_vm, {"vm-1": "g1", "vm-3": "g1"})

    def test_no_group_forms_in_a_data_centre_out_of_service(self):
        log, fence = log_with_lease()
        out_patch = [
            {"op": "replace", "path": "/data_centers/norte/state", "value": "out"}
        ]
        log.add("config", base=0, patch=out_patch)
        self.form(log, fence, "g1", "vm-1", "vm-2")
        _, verdicts = log.run()
        self.assertEqual(verdicts[-1].reason, "the data centre is out")


# Generated records: any writers in any order, with bodies that may not fit the state.
offsets = st.integers(-1, 30)
vm_lists = st.lists(st.sampled_from(VMS), min_size=1, max_size=3).map(
    lambda vms: members(*vms)
)
data_centers = st.sampled_from(["norte", "palmira"])
leases = data_centers.map("steward/{}".format)
groups = st.sampled_from(["g1", "g2", "g3"])
body_strategies = {
    "config": st.fixed_dictionaries(
        {
            "base": offsets,
            "patch": st.sampled_from(
                [
                    config_patch(CONFIG),
                    [
                        {
                            "op": "replace",
                            "path": "/data_centers/norte/state",
                            "value": "out",
                        }
                    ],
                    [{"op": "remove", "path": "/selectors/s"}],
                    [{"op": "nonsense"}],
                ]
            ),
        }
    ),
    "lease_take": st.fixed_dictionaries(
        {
            "name": leases,
            "holder": st.sampled_from(WRITERS),
            "incarnation": st.sampled_from(WRITERS),
            "after": offsets,
        }
    ),
    "lease_renew": st.fixed_dictionaries({"name": leases, "fence": offsets}),
    "lease_release": st.fixed_dictionaries({"name": leases, "fence": offsets}),
    "node_join": st.fixed_dictionaries(
        {
            "node": st.sampled_from(["n1", "n2"]),
            "incarnation": st.sampled_from(["a", "b"]),
            "after": st.sampled_from(["", "a", "b"]),
            "address": st.just("x:1"),
            "peer_address": st.just("x:2"),
            "data_center": data_centers,
        }
    ),
    "node_leave": st.fixed_dictionaries(
        {
            "node": st.sampled_from(["n1", "n2"]),
            "incarnation": st.sampled_from(["a", "b"]),
        }
    ),
    "group_form": st.fixed_dictionaries(
        {
            "group": groups,
            "selector": st.sampled_from(["s", "none"]),
            "data_center": data_centers,
            "members": vm_lists,
            "fence": offsets,
            "cause": st.just("any"),
        }
    ),
    "group_repair": st.fixed_dictionaries(
        {
            "group": groups,
            "generation": offsets,
            "members": vm_lists,
            "fence": offsets,
        }
    ),
    "group_drain": st.fixed_dictionaries(
        {"group": groups, "generation": offsets, "fence": offsets}
    ),
    "group_drop": st.fixed_dictionaries(
        {"group": groups, "generation": offsets, "fence": offsets}
    ),
    "unknown": st.dictionaries(st.text(max_size=2), st.integers(), max_size=2),
}


@st.composite
def payload(draw):
    kind = draw(st.sampled_from(sorted(body_strategies)))
    body = draw(body_strategies[kind])
    if draw(st.integers(0, 19)) == 0:
        body = draw(st.sampled_from([None, [], "x", {"group": []}, {"base": {}}]))
    writer, seq = draw(st.sampled_from(WRITERS)), draw(st.integers(1, 40))
    return {"kind": kind, "writer": writer, "seq": seq, "body": body}


initial_payloads = [
    envelope("config", "w0", 1, {"base": -1, "patch": config_patch(CONFIG)}),
    *(
        envelope(
            "lease_take",
            "w0",
            2 + number,
            {
                "name": f"steward/{data_center}",
                "holder": "w0",
                "incarnation": "w0",
                "after": -1,
            },
        )
        for number, data_center in enumerate(("norte", "palmira"))
    ),
]
histories = st.lists(payload(), max_size=40).map(
    lambda tail: log_records(initial_payloads + tail)
)


def deterministic(examples):
    return settings(
        max_examples=examples, derandomize=True, deadline=None, database=None
    )


class PropertyTests(unittest.TestCase):
    @deterministic(300)
    @given(histories)
    def test_no_vm_is_ever_in_two_groups(self, records):
        state = State()
        for record in records:
            fold(state, record)
            vms = list(chain.from_iterable(g.vms for g in state.groups.values()))
            self.assertEqual(len(vms), len(set(vms)))
            self.assertEqual(sorted(vms), sorted(state.group_of_vm))

    @deterministic(200)
    @given(histories)
    def test_accepted_configuration_is_never_undone(self, records):
        state, version = State(), -1
        for record in records:
            verdict = fold(state, record)
            self.assertGreaterEqual(state.config_offset, version)
            if state.config_offset != version:
                self.assertTrue(verdict.accepted)
                self.assertEqual(record.data["body"]["base"], version)
            version = state.config_offset

    @deterministic(200)
    @given(histories, st.data())
    def test_reader_that_starts_from_any_snapshot_reaches_the_same_state(
        self, records, data
    ):
        expected, _ = fold_all(records)
        split = data.draw(st.integers(0, len(records)))
        snapshot_state, _ = fold_all(records[:split])
        restored, _ = fold_all(
            records[split:], State.from_dict(snapshot_state.to_dict())
        )
        self.assertEqual(restored.digest(), expected.digest())

    @deterministic(200)
    @given(histories, st.data())
    def test_reader_that_receives_records_repeatedly_reaches_the_same_state(
        self, records, data
    ):
        expected, _ = fold_all(records)
        state, offset = State(), 0
        while offset < len(records):
            repeated = data.draw(st.integers(0, min(3, offset)))
            for record in records[offset - repeated : offset + 1]:
                fold(state, record)
            offset += 1
        self.assertEqual(state.digest(), expected.digest())

    @deterministic(200)
    @given(histories, st.data())
    def test_repeated_append_of_a_record_changes_only_the_offset(self, records, data):
        """A writer appends a proposal a second time after the response was lost."""
        original = data.draw(st.integers(0, len(records) - 1))
        latest = data.draw(st.integers(original, len(records) - 1))
        state, _ = fold_all(records[: latest + 1])
        before = state.to_dict()
        fold(state, LogRecord(latest + 1, 0, records[original].data))
        after = state.to_dict()
        for name in ("config", "leases", "nodes", "groups"):
            self.assertEqual(after[name], before[name])


if __name__ == "__main__":
    unittest.main()
