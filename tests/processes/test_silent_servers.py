"""A short silence of all servers costs no stream that has begun."""

import signal
import time

from standins.platformconfig import CONFIG_KEY, OPERATOR_TOPIC, routes

from .kept_callers import (
    CUT,
    FAILED,
    UNANSWERED,
    WHOLE,
    WRONG,
    KeptCallers,
    longest_refusal_s,
    outcomes,
)
from .support import PlatformClusterTestCase

SILENCE_S = 1.1
# Duration of a stream: EVENTS * EVENT_S. The routes allow 5 s.
EVENTS, EVENT_S = 30, 0.05
# The groups take 18 streams at once, so that no slots are left over.
STREAM_CALLERS, PLAIN_CALLERS = 18, 10
PATHS = STREAM_CALLERS * ["/ask/"] + PLAIN_CALLERS // 2 * ["/look/", "/book/"]
# Time of load before the silence, and after it.
BEFORE_S, AFTER_S = 3.0, 4.5
# New streams are served from this time after the silence on, in a time of this length.
SERVED_AFTER_S, SERVED_FOR_S = 1.0, 2.0
MIN_SERVED = 0.5
# Time from the silence's begin to what happens beside it.
BESIDE_S = 0.3


def configurations():
    """Return configurations of each kind of change, each with the earlier ones."""
    config = routes()
    config["Version"] += 1
    yield config
    config["Version"] += 1
    config["Limits"] = {"IdleTimeoutMs": 4000}
    yield config
    config["Version"] += 1
    config["Routes"][0]["TimeoutMs"] = 7000
    yield config
    config["Version"] += 1
    config["Routes"].append(
        {**config["Routes"][0], "Name": "more", "PathPrefix": "/more/"}
    )
    yield config


class SilentServerTests(PlatformClusterTestCase):
    """Guards against streams given up while no other place is at hand."""

    def setUp(self):
        super().setUp()
        self.wait_until_served(("/ask/x", "/look/x", "/book/x"))
        self.cluster.set_streams(EVENTS, EVENT_S)

    def silence_all(self):
        """Let servers and store be silent together."""
        self.cluster.signal("platform", signal.SIGSTOP)
        try:
            time.sleep(SILENCE_S)
        finally:
            self.cluster.signal("platform", signal.SIGCONT)

    def silence_servers(self):
        """Let the servers be silent, while the store goes on."""
        self.cluster.silence_servers(SILENCE_S)
        time.sleep(SILENCE_S)

    def run_beside_load(self, silence, nodes=None):
        """Call ``silence``, which returns when the servers are back, under load.

        ``nodes`` are the nodes that have callers, all if ``None``.
        """
        with KeptCallers(self.cluster, PATHS, EVENTS, nodes) as callers:
            time.sleep(BEFORE_S)
            silent_at = time.time()
            silence()
            back_at = time.time()
            time.sleep(AFTER_S)
        self.check(callers, silent_at, back_at)

    def check(self, callers, silent_at, back_at):
        streams = callers.streams()
        plain = [e for e in callers.ended if e not in streams]
        since = back_at + SERVED_AFTER_S
        new = [s for s in streams if since <= s.sent_at < since + SERVED_FOR_S]
        before = [s for s in streams if s.sent_at < silent_at]
        begun = [s for s in before if s.ended_at > silent_at]
        seen = (
            f"before: {outcomes(before)}; under way: {outcomes(begun)}; "
            f"all streams: {outcomes(streams)}; plain: {outcomes(plain)}; "
            f"from {SERVED_AFTER_S} s after the silence: {outcomes(new)}; "
            f"nearly all refused for {longest_refusal_s(streams, back_at):.2f} s"
        )
        print(seen)
        self.assertEqual(callers.errors, [])
        self.assertGreaterEqual(len(begun), STREAM_CALLERS // 2, seen)
        ends = outcomes(callers.ended)
        lost = {name: ends.get(name, 0) for name in (CUT, WRONG, UNANSWERED)}
        with self.subTest("answers are whole and own"):
            self.assertEqual(sum(lost.values()), 0, seen)
        with self.subTest("no stream fails"):
            self.assertNotIn(FAILED, outcomes(streams), seen)
        with self.subTest("new streams are served"):
            whole = sum(s.outcome == WHOLE for s in new)
            self.assertGreater(len(new), 0, seen)
            self.assertGreaterEqual(whole, MIN_SERVED * len(new), seen)

    def test_servers_and_store_are_silent_together(self):
        self.run_beside_load(self.silence_all)

    def test_servers_alone_are_silent(self):
        self.run_beside_load(self.silence_servers)

    def test_new_configurations_beside_silent_servers(self):
        def put_each():
            for number, config in enumerate(configurations()):
                if number:
                    time.sleep(SILENCE_S)
                self.cluster.silence_servers(SILENCE_S)
                time.sleep(BESIDE_S)
                self.cluster.put(OPERATOR_TOPIC, CONFIG_KEY, config)
                time.sleep(SILENCE_S - BESIDE_S)

        self.run_beside_load(put_each)

    def test_stopped_node_beside_silent_servers(self):
        node = self.names[-1]

        def stop_node():
            self.cluster.silence_servers(SILENCE_S)
            time.sleep(BESIDE_S)
            self.cluster.signal(node, signal.SIGTERM)
            time.sleep(SILENCE_S - BESIDE_S)

        self.run_beside_load(stop_node)
        self.cluster.wait(lambda: self.cluster.exit_code(node) == 0, "the node ends")


class RelayedSilentServerTests(SilentServerTests):
    """The same with relays and brokers: two of five nodes are relays."""

    NODES = 5
    NODE_ENV = {"AUBURNWALL_MAX_MESH_NODES": "2"}

    def test_broker_without_streams_of_its_own(self):
        """It learns only from its peers that the groups go on."""
        grants = [
            (entry["time"], name)
            for name in self.names
            for entry in self.cluster.log_events(name)
            if entry["event"] == "slot granted"
        ]
        broker = max(grants)[1]
        others = [name for name in self.names if name != broker]
        self.run_beside_load(self.silence_all, others)
