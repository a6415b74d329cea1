"""Which prompt parts are blocked: replays of servers that crash, by cause."""

import itertools
import random
import unittest
from unittest.mock import patch

from auburnwall.routing.call import Call, fingerprint_of, is_fingerprint
from auburnwall.routing.crash_evidence import (
    BLOCK_S,
    EVIDENCE_S,
    MAX_CRASHES,
    MAX_CRASHES_TOLD,
    MIN_CRASHES,
    Crash,
    CrashEvidence,
    Suspect,
    find_causes,
)
from tests.state.test_table import FakeClock

# Time in which the nodes' reports reach each other, in seconds.
SETTLE_S = 0.4
# The users' rule: the fifth crash is the last that may pass without a consequence.
MAX_CRASHES_BEFORE_BLOCK = 5
# Crashes of the users' record, in seconds, with the prompts in flight at each server.
# Two requests crash two servers each, then the next two; "hot" is a part that most
# requests have in common.
RECORD = (
    (9.41, [("hot", "bad"), ("hot",), ("p3",)]),
    (9.66, [("hot", "bad"), ("hot",)]),
    (9.95, [("hot", "bad"), ("p4",)]),
    (10.16, [("hot", "bad"), ("hot",)]),
    (12.91, [("p5", "bad"), ("hot",)]),
)


def suspect(shared_parts, own):
    return Suspect(tuple(shared_parts), own, f"request:{own}")


class Fleet:
    """The evidence at several nodes, which tell each other in rounds."""

    def __init__(self, count):
        self.clock = FakeClock()
        self.numbers = itertools.count()
        self.nodes = [CrashEvidence(self.clock, lambda: SETTLE_S) for _ in range(count)]

    def exchange(self):
        for teller in self.nodes:
            crashes, sound = teller.crashes_to_tell(), teller.sound_parts_to_tell()
            for node in self.nodes:
                if node is not teller:
                    node.note_peers(crashes, sound, "peer")

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.now += 0.1
            self.exchange()
            for node in self.nodes:
                node.update()

    def crash(self, server, prompts, first_node=0):
        for index, prompt in enumerate(prompts):
            node = self.nodes[(first_node + index) % len(self.nodes)]
            own = f"own-{next(self.numbers)}"
            node.note_crash(server, 1, suspect(prompt, own), "r", 0.0)

    def crash_under(self, server, requests, first_node=0):
        """Crash a server that runs plain requests with these fingerprints."""
        for index, request in enumerate(requests):
            node = self.nodes[(first_node + index) % len(self.nodes)]
            node.note_crash(server, 1, Suspect((), "", request), "r", 0.0)

    def blocked(self):
        return [node.blocked_causes() for node in self.nodes]


class CrashingPartTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(7)

    def test_recorded_crashes_block_the_part_at_all_nodes_before_the_sixth(self):
        before = 0.0
        for number, (at, prompts) in enumerate(RECORD):
            self.fleet.run(at - before)
            self.fleet.nodes[number].note_answered(("hot",))
            self.fleet.crash(f"s{number}", prompts, first_node=number)
            before = at
        self.fleet.run(SETTLE_S + 0.2)
        self.assertEqual(self.fleet.blocked(), [{"bad"}] * 7)

    def test_part_is_blocked_also_if_no_sound_request_has_ended_yet(self):
        """The shared first part must not be taken for the cause."""
        for number in range(MIN_CRASHES):
            self.fleet.crash(f"s{number}", [("hot", "bad")], first_node=number)
        self.fleet.run(SETTLE_S + 0.2)
        self.assertEqual(self.fleet.blocked(), [{"bad"}] * 7)

    def test_crashing_part_may_come_first_in_the_prompt(self):
        for number in range(MAX_CRASHES_BEFORE_BLOCK):
            self.fleet.crash(f"s{number}", [("bad", f"p{number}")], first_node=number)
        self.fleet.run(SETTLE_S + 0.2)
        self.assertEqual(self.fleet.blocked(), [{"bad"}] * 7)

    def test_many_servers_that_crash_at_once_block_no_sound_part(self):
        """Each server has requests with the same parts; other nodes know them."""
        for number in range(5):
            self.fleet.nodes[6].note_answered((f"p{number}",))
        for number in range(15):
            prompts = [(f"p{(number + n) % 5}",) for n in range(4)]
            self.fleet.crash(f"s{number}", prompts, first_node=0)
        for _ in range(20):
            self.assertEqual(self.fleet.blocked(), [set()] * 7)
            self.fleet.run(0.1)

    def test_random_crashes_block_only_the_part_that_causes_them(self):
        for seed in range(20):
            rng = random.Random(seed)
            fleet = Fleet(7)
            parts = [f"p{n}" for n in range(20)]
            for number in range(60):
                fleet.run(0.3)
                for _ in range(6):
                    rng.choice(fleet.nodes).note_answered((rng.choice(parts),))
                prompts = [(rng.choice(parts),) for _ in range(4)]
                if number % 4 == 0:
                    prompts.append((rng.choice(parts), "bad"))
                if number % 2 == 0:
                    fleet.crash(f"s{number}", prompts, rng.randrange(7))
            fleet.run(SETTLE_S + 0.2)
            self.assertEqual(fleet.blocked(), [{"bad"}] * 7, seed)

    def test_one_server_that_crashes_often_with_one_request_is_one_crash(self):
        for _ in range(MIN_CRASHES):
            self.fleet.crash("s1", [("part",)])
        self.fleet.run(2.0)
        self.assertEqual(self.fleet.blocked(), [set()] * 7)

    def test_answer_unblocks_a_part_at_all_nodes(self):
        for number in range(MIN_CRASHES):
            self.fleet.crash(f"s{number}", [("part",)])
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"part"}] * 7)
        self.fleet.nodes[3].note_answered(("part",))
        self.fleet.run(0.2)
        self.assertEqual(self.fleet.blocked(), [set()] * 7)
        self.fleet.run(2.0)
        self.assertEqual(self.fleet.blocked(), [set()] * 7)

    def test_two_crashing_parts_are_both_blocked(self):
        for number in range(2 * MIN_CRASHES):
            self.fleet.nodes[0].note_answered(("hot",))
            part = "bad-1" if number % 2 else "bad-2"
            self.fleet.crash(f"s{number}", [("hot", part)], first_node=number)
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"bad-1", "bad-2"}] * 7)

    def test_after_its_time_one_crash_is_enough_to_block_a_part_again(self):
        for number in range(MIN_CRASHES):
            self.fleet.crash(f"s{number}", [("bad",)])
        self.fleet.run(1.0)
        part, left_s = self.fleet.nodes[2].blocked_cause(("hot", "bad"))
        self.assertEqual(part, "bad")
        self.assertAlmostEqual(left_s, BLOCK_S, delta=1.0)
        self.fleet.clock.now += BLOCK_S
        self.fleet.run(0.2)
        self.assertEqual(self.fleet.blocked(), [set()] * 7)
        self.fleet.crash("s9", [("bad",)])
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"bad"}] * 7)

    def test_crashes_long_ago_do_not_count(self):
        for number in range(MIN_CRASHES):
            self.fleet.crash(f"s{number}", [("part",)])
            self.fleet.clock.now += EVIDENCE_S / 2 + 1.0
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [set()] * 7)

    def test_evidence_and_reports_are_bounded(self):
        node = self.fleet.nodes[0]
        for number in range(10 * MAX_CRASHES):
            node.note_crash(
                f"s{number}", 1, suspect([f"p{number}"], f"own-{number}"), "r", 0.0
            )
        self.assertEqual(len(node.crashes_to_tell()), MAX_CRASHES_TOLD)
        self.assertEqual(len(node._crashes), MAX_CRASHES)

    def test_blocked_part_of_the_table_is_blocked_unless_it_is_sound(self):
        node = self.fleet.nodes[0]
        node.note_answered(("fine",))
        node.block_known("fine")
        node.block_known("bad")
        self.assertEqual(node.blocked_causes(), {"bad"})
        node.unblock("bad", "its record was removed")
        self.assertEqual(node.blocked_causes(), set())

    def test_a_part_is_no_cause_of_crashes_that_another_part_explains(self):
        prompts_by_crash = {
            Crash(f"s{n}", 1): {
                suspect(["hot", "bad"], f"own-{n}"),
                suspect(["cold"], f"cold-{n}"),
            }
            for n in range(5)
        }
        found = find_causes(
            prompts_by_crash, set(), lambda part, crashes, requests: len(crashes) >= 3
        )
        self.assertEqual([causes for causes, _ in found], [["bad"]])

    def test_crashes_under_one_request_block_it_and_no_shared_part(self):
        """The request's own part may be the cause; its retries have the same one."""
        node = self.fleet.nodes[0]
        for number in range(2 * MIN_CRASHES):
            node.note_crash(f"s{number}", 1, suspect(["part"], "own"), "r", 0.0)
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"request:own"}] * 7)

    def test_node_that_starts_or_wakes_later_blocks_the_part_too(self):
        for number in range(MIN_CRASHES):
            self.fleet.crash(f"s{number}", [("bad",)], first_node=number)
        self.fleet.run(EVIDENCE_S / 2)
        late = CrashEvidence(self.fleet.clock, lambda: SETTLE_S)
        self.fleet.nodes.append(late)
        self.fleet.run(1.0)
        self.assertEqual(late.blocked_causes(), {"bad"})

    def test_removed_record_leaves_a_part_that_one_crash_blocks_again(self):
        node = self.fleet.nodes[0]
        node.block_known("bad")
        node.unblock("bad", "its record was removed")
        self.fleet.crash("s1", [("bad",)])
        self.fleet.run(1.0)
        self.assertEqual(node.blocked_causes(), {"bad"})

    def test_part_is_found_among_many_prompts_at_each_server(self):
        """A server has up to twenty slots; its requests come from several nodes."""
        for number in range(MIN_CRASHES):
            prompts = [(f"p{number}-{n}",) for n in range(19)] + [("bad",)]
            self.fleet.crash(f"s{number}", prompts)
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"bad"}] * 7)


class RepeatedRequestTests(unittest.TestCase):
    """One request that crashes servers and comes again, at any node."""

    def setUp(self):
        self.fleet = Fleet(7)

    def test_third_crash_blocks_the_request_at_all_nodes(self):
        for number in range(MIN_CRASHES):
            self.fleet.run(0.1)
            self.assertEqual(self.fleet.blocked(), [set()] * 7)
            self.fleet.crash_under(f"s{number}", ["request:bad"], first_node=number)
        self.fleet.run(SETTLE_S + 0.2)
        self.assertEqual(self.fleet.blocked(), [{"request:bad"}] * 7)

    def test_requests_that_were_at_some_of_the_servers_are_not_blocked(self):
        for number in range(2 * MIN_CRASHES):
            beside = [f"request:{n}" for n in range(number, number + 2)]
            self.fleet.crash_under(f"s{number}", ["request:bad", *beside], number)
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"request:bad"}] * 7)

    def test_requests_with_the_same_crashes_are_all_blocked_until_one_is_answered(self):
        for number in range(MIN_CRASHES):
            self.fleet.crash_under(f"s{number}", ["request:bad", "request:fine"])
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"request:bad", "request:fine"}] * 7)
        self.fleet.nodes[2].note_answered(["request:fine"])
        self.fleet.run(0.2)
        self.assertEqual(self.fleet.blocked(), [{"request:bad"}] * 7)

    def test_request_that_many_callers_send_is_sound_once_one_is_answered(self):
        """A query that a team polls is at many servers that crash at once."""
        self.fleet.nodes[6].note_answered(["request:rates"])
        for number in range(15):
            self.fleet.crash_under(f"s{number}", ["request:rates", f"request:{number}"])
        for _ in range(20):
            self.assertEqual(self.fleet.blocked(), [set()] * 7)
            self.fleet.run(0.1)

    def test_blocked_request_does_not_hide_a_part_that_crashes_servers(self):
        """The first request with the part comes again until it is blocked itself."""
        for number in range(MIN_CRASHES):
            node = self.fleet.nodes[number]
            crashing = suspect(["hot", "bad"], "own")
            node.note_crash(f"s{number}", 1, crashing, "r", 0.0)
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"request:own"}] * 7)
        self.fleet.nodes[0].note_answered(["hot"])
        for number in range(MIN_CRASHES, MAX_CRASHES_BEFORE_BLOCK):
            self.fleet.crash(f"s{number}", [("hot", "bad")], first_node=number)
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"request:own", "bad"}] * 7)

    def test_server_that_is_back_before_its_registration_crashes_anew(self):
        node, crashing = self.fleet.nodes[0], Suspect((), "", "request:bad")
        for _ in range(MIN_CRASHES):
            self.assertEqual(node.blocked_causes(), set())
            sent_at = self.fleet.clock.now
            # Two requests at once are at the same crash.
            for teller in self.fleet.nodes[:2]:
                teller.note_crash("s1", 1, crashing, "r", sent_at)
            self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"request:bad"}] * 7)

    def test_one_crash_beside_a_blocked_request_blocks_none_of_its_parts(self):
        for number in range(MIN_CRASHES):
            node = self.fleet.nodes[number]
            node.note_crash(f"s{number}", 1, suspect(["part"], "own"), "r", 0.0)
        self.fleet.run(1.0)
        self.fleet.crash("s9", [("part",)])
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.blocked(), [{"request:own"}] * 7)


class FingerprintTests(unittest.TestCase):
    def fingerprint(self, team="blue", path="/a?b=1", body=b"x", **headers):
        headers = {"Host": "shop.example", **headers}
        call = Call("POST", path, tuple(headers.items()), body, 0.0)
        return fingerprint_of(call, team)

    def test_repeats_of_a_request_share_it(self):
        first = self.fingerprint(**{"X-Attempt-Id": "1", "X-Deadline-Ms": "900"})
        again = self.fingerprint(**{"X-Attempt-Id": "2", "X-Deadline-Ms": "300"})
        self.assertEqual(first, again)
        self.assertTrue(is_fingerprint(first))

    def test_other_requests_have_another(self):
        others = {
            self.fingerprint(),
            self.fingerprint(team="green"),
            self.fingerprint(path="/a?b=2"),
            self.fingerprint(body=b"y"),
            self.fingerprint(Host="other.example"),
            # Fields do not run into each other.
            self.fingerprint(team="blueshop.example", Host=""),
        }
        self.assertEqual(len(others), 6)

    def test_suspect_is_the_same_after_it_was_told_to_a_peer(self):
        for told in (
            suspect(["a", "b"], "own"),
            suspect([], "own"),
            Suspect((), "", self.fingerprint()),
        ):
            self.assertEqual(Suspect.decode(told.encode()), told)


class MechanismTests(unittest.TestCase):
    """The failures that come back if a part of the mechanism is switched off."""

    def setUp(self):
        self.fleet = Fleet(7)

    def crash_servers_under_different_parts(self):
        for number in range(MIN_CRASHES):
            self.fleet.nodes[6].note_answered(("hot",))
            self.fleet.crash(f"s{number}", [("hot", f"p{number}")], number)
        self.fleet.run(1.0)

    def test_without_answers_the_part_that_most_prompts_share_is_blocked(self):
        self.crash_servers_under_different_parts()
        self.assertEqual(self.fleet.blocked(), [set()] * 7)
        self.fleet = Fleet(7)
        with patch.object(CrashEvidence, "note_answered"):
            self.crash_servers_under_different_parts()
        self.assertEqual(self.fleet.blocked(), [{"hot"}] * 7)

    def test_without_reports_no_node_sees_enough_crashes(self):
        with patch.object(CrashEvidence, "note_peers"):
            for number in range(MAX_CRASHES_BEFORE_BLOCK):
                self.fleet.crash(f"s{number}", [("bad",)], first_node=number)
            self.fleet.run(5.0)
        self.assertEqual(self.fleet.blocked(), [set()] * 7)
