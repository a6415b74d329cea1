"""Slow groups in a fleet: what nodes tell each other, log and count."""

import copy
import unittest
from types import SimpleNamespace

from thrift.protocol.TBinaryProtocol import (
    TBinaryProtocol,
    TBinaryProtocolAccelerated,
)
from thrift.transport.TTransport import TMemoryBuffer

from auburnwall.base.lateness import LoopLateness
from auburnwall.node.routed.fleet_load import load_of_pulse, sum_loads
from auburnwall.node.routed.start_times import StartTimes
from auburnwall.routing.pace_reports import MAX_REPORTED_TOGETHER
from auburnwall.wire.peer.ttypes import Load, Pulse, SlowPace
from tests.routed.test_peers import Network
from tests.routing.uneven_load import CONFIG
from tests.state.test_table import FakeClock


def new_start_times(clock):
    source = SimpleNamespace(config=CONFIG)
    return StartTimes(source, lambda candidate: 1, clock, LoopLateness(clock))


class PacesInFleetTests(unittest.TestCase):
    """Single slow responses at some nodes become known to all."""

    def check_told_to_all(self, count, max_mesh_nodes):
        network = Network(count, max_mesh_nodes)
        starts = {}
        told = {"n01", "n04", "n07"}
        for name, node in network.nodes.items():
            starts[name] = new_start_times(network.clock)
            node.peers.news.on_paces = starts[name].note_peer_paces
            if name in told:
                own_pulse = node.pulse

                def pulse(own_pulse=own_pulse):
                    pulse = own_pulse()
                    if told:
                        pulse.slow_paces = {"g1": SlowPace(3.0, 1, 0)}
                    return pulse

                node.peers._own_pulse = pulse
        network.run(4.0)
        others = set(starts) - told
        for name in others:
            pace = starts[name].paces.paces()["g1"]
            self.assertAlmostEqual(pace, 3.0, delta=0.1, msg=name)
        told.clear()
        network.run(5.2)
        for start_times in starts.values():
            self.assertEqual(start_times.paces.paces().get("g1", 1.0), 1.0)

    def test_in_a_mesh(self):
        self.check_told_to_all(8, 24)

    def test_with_relays(self):
        self.check_told_to_all(60, 24)

    def test_absurd_paces_of_a_peer_harm_no_sum(self):
        paces = {
            "g1": SlowPace(float("nan"), 5, 0),
            "g2": SlowPace(float("inf"), 5, 0),
            "g3": SlowPace(-1.0, 5, 0),
            "g4": SlowPace(2.0, None, 0),
            "g5": SlowPace(2.0, 1, 0),
        }
        paces.update({f"x{n}": SlowPace(1.5, 1, 0) for n in range(1000)})
        load = sum_loads([load_of_pulse(new_pulse(paces)) for _ in range(3)])
        self.assertEqual(len(load.slow_paces), MAX_REPORTED_TOGETHER)
        self.assertFalse({"g1", "g2", "g3", "g4"} & set(load.slow_paces))
        self.assertEqual(load.slow_paces["g5"], SlowPace(2.0, 3, 0))


def new_pulse(slow_paces):
    return Pulse(
        node="n1",
        running={"g1": 2},
        demand={},
        suspects=[],
        has_traffic=True,
        member_load=Load(running={"g2": 1}, slow_paces=slow_paces),
        cut_off=False,
        lost_services=["assist"],
        slow_paces=slow_paces,
    )


def earlier_class(cls, last):
    """Return a struct as an earlier build has it, with fields up to ``last``."""
    attributes = {"thrift_spec": copy.copy(cls.thrift_spec[: last + 1])}
    return type(cls.__name__, (cls,), attributes)


def transfer(struct, cls, protocol_class=TBinaryProtocolAccelerated):
    """Return a struct as it is read as ``cls``."""
    sent = TMemoryBuffer()
    struct.write(protocol_class(sent))
    received = cls()
    received.read(protocol_class(TMemoryBuffer(sent.getvalue())))
    return received


class WireTests(unittest.TestCase):
    def test_paces_arrive(self):
        pulse = new_pulse({"g1": SlowPace(2.5, 3, 700)})
        for protocol_class in (TBinaryProtocol, TBinaryProtocolAccelerated):
            self.assertEqual(transfer(pulse, Pulse, protocol_class), pulse)

    def test_build_before_reads_a_pulse_with_paces(self):
        """Guards against heartbeats that nodes of the build before cannot read."""
        earlier = earlier_class(Pulse, 18)
        pulse = new_pulse({"g1": SlowPace(2.5, 3, 700)})
        received = transfer(pulse, earlier)
        self.assertEqual(received.lost_services, ["assist"])
        self.assertEqual(received.member_load.running, {"g2": 1})
        self.assertIsNone(received.slow_paces)

    def test_pulse_of_the_build_before_has_no_paces(self):
        received = transfer(new_pulse(None), Pulse)
        load = sum_loads([load_of_pulse(received)])
        self.assertIsNone(load.slow_paces)


class ChangeLogTests(unittest.TestCase):
    def test_each_change_is_logged_once_and_counted(self):
        clock = FakeClock()
        start_times = new_start_times(clock)

        def tell(pace):
            start_times.note_peer_paces({"g1": SlowPace(pace, 5, 0)}, "n2", False)
            with self.assertLogs("absl", "INFO") as logs:
                for _ in range(6):
                    clock.now += 0.25
                    start_times.log_changes()
            (record,) = logs.records
            return record.msg, record.fields

        name, fields = tell(3.0)
        self.assertEqual(name, "candidate slow")
        expected = {"group": "g1", "pace": 3.0, "responses": 0, "reported": 5}
        self.assertEqual(fields, expected)
        self.assertEqual(start_times.slow_count(), 1)
        name, fields = tell(1.0)
        self.assertEqual((name, fields["pace"]), ("candidate normal again", 1.0))
        self.assertEqual(start_times.slow_count(), 0)

    def test_pace_near_the_limit_is_not_logged_again(self):
        clock = FakeClock()
        start_times = new_start_times(clock)
        start_times.note_peer_paces({"g1": SlowPace(1.6, 5, 0)}, "n2", False)
        clock.now += 0.25
        start_times.log_changes()
        for pace in (1.45, 1.55, 1.4, 1.6):
            start_times.note_peer_paces({"g1": SlowPace(pace, 5, 0)}, "n2", False)
            clock.now += 0.25
            with self.assertNoLogs("absl", "INFO"):
                start_times.log_changes()
        self.assertEqual(start_times.slow_count(), 1)
