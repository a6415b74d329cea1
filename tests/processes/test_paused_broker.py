"""A broker that was paused does not give out again the slots that are in use."""

import signal
import time

from .kept_callers import WHOLE, KeptCallers, outcomes
from .support import PlatformClusterTestCase

CALLERS = 6
# Duration of a stream: EVENTS * EVENT_S. The routes allow 5 s.
EVENTS, EVENT_S = 84, 0.05
# The pause is longer than the 2.5 s after which a silent node counts as lost, and ends
# while the streams go on.
BEFORE_S, PAUSE_S, AFTER_S = 0.6, 2.9, 0.6


class PausedBrokerTests(PlatformClusterTestCase):
    """Two of five nodes are relays, one of which is the broker."""

    NODES = 5
    NODE_ENV = {"AUBURNWALL_MAX_MESH_NODES": "2"}

    def setUp(self):
        super().setUp()
        self.wait_until_served(("/ask/x",))
        self.cluster.set_streams(EVENTS, EVENT_S)

    def broker_events(self, broker, name):
        return [e for e in self.cluster.log_events(broker) if e["event"] == name]

    def broker(self):
        """Return the node that has granted the last slot."""
        grants = [
            (entry["time"], name)
            for name in self.names
            for entry in self.broker_events(name, "slot granted")
        ]
        return max(grants)[1]

    def test_slots_in_use_are_not_freed(self):
        broker = self.broker()
        others = [name for name in self.names if name != broker]
        granted = len(self.broker_events(broker, "slot granted"))
        with KeptCallers(self.cluster, CALLERS * ["/ask/"], EVENTS, others) as callers:
            time.sleep(BEFORE_S)
            self.cluster.signal(broker, signal.SIGSTOP)
            time.sleep(PAUSE_S)
            self.cluster.signal(broker, signal.SIGCONT)
            time.sleep(AFTER_S)
        granted = len(self.broker_events(broker, "slot granted")) - granted
        self.assertGreaterEqual(granted, CALLERS)
        freed = self.broker_events(broker, "slot freed")
        self.assertEqual([e for e in freed if e["why"] == "node lost"], [])
        self.assertEqual(set(outcomes(callers.streams())), {WHOLE})
