"""Order of waiting requests during a shortage, alone and in a replay of a load."""

import itertools
import random
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from auburnwall.node.routed.metrics import RoutedMetrics
from auburnwall.routing.admission import FairQueue, Waiting
from auburnwall.routing.backlog import Backlog
from auburnwall.routing.load_shedding import (
    MIN_RETRY_AFTER_S,
    SHORTAGE_MIN_MISSES,
    WaitClass,
)
from auburnwall.routing.shortage_order import (
    MAX_RANK,
    MAX_RELATIVE_WORK,
    MIN_RELATIVE_WORK,
    SLOTS_BETWEEN_TURNS,
    UNKNOWN_WORK,
    RankOrder,
    bounded_work,
    deadline_key,
    newest_key,
    rank_of,
)
from auburnwall.routing.step_model import Work
from tests.routing.engine import ENGINE, MODEL
from tests.routing.shortage_replay import (
    BRIEF,
    SUMMARY,
    TEAMS,
    Replay,
    mean,
    served,
    served_of_teams,
)

HUGE = 10**8


def waiting(rank=0, team="a", *, work=1.0, queued_at=0.0, objective_at=1.0, **fields):
    """Return a queued request; ``fields`` are those of ``Waiting``."""
    request = SimpleNamespace(
        team=team,
        weight=1.0,
        priority=-rank,
        deadline=fields.pop("deadline", 6.0),
        objective_at=objective_at,
        route=SimpleNamespace(objective_s=0.5),
    )
    return Waiting(
        request,
        frozenset(),
        None,
        queued_at=queued_at,
        rank=rank,
        relative_work=work,
        **fields,
    )


def queue_of(*entries, key=newest_key, max_size=256):
    """Return a queue in the order of ranks that holds the entries."""
    queue = FairQueue(max_size, RankOrder(key))
    for entry in entries:
        queue.push(entry)
    return queue


def serve(queue):
    """Give a slot to the next request and return it."""
    entry = next(iter(queue.next_per_team()))
    queue.dequeue(entry)
    return entry


class RankOrderTests(unittest.TestCase):
    def test_rank_goes_before_the_turns_of_teams(self):
        """Guards against a less urgent request that its team's turn puts first."""
        queue = queue_of(
            *(waiting(1, "busy") for _ in range(3)), waiting(2, "idle"), waiting(1, "c")
        )
        served = [serve(queue) for _ in range(3)]
        self.assertEqual([entry.rank for entry in served], [1, 1, 1])
        self.assertIn("c", [entry.request.team for entry in served[:2]])

    def test_less_urgent_bands_get_a_fixed_share(self):
        """Guards against a kind that is not served at all while others are short."""
        ranks = (0, 1, 2, MAX_RANK)
        queue = queue_of(*(waiting(rank) for rank in ranks for _ in range(60)))
        counts = Counter(serve(queue).rank for _ in range(64))
        self.assertGreaterEqual(counts[0], 32)
        for rank in ranks[1:]:
            self.assertGreaterEqual(counts[rank], 64 / 8)

    def test_one_less_urgent_band_gets_no_more_than_its_share(self):
        queue = queue_of(*(waiting(rank) for rank in (0, 3) for _ in range(60)))
        counts = Counter(serve(queue).rank for _ in range(40))
        self.assertEqual(counts[3], 40 / (SLOTS_BETWEEN_TURNS + 1))

    def test_share_counts_although_waiting_requests_are_replaced(self):
        """Requests that time out before their band's turn must not lose its place."""
        queue, less_urgent = queue_of(*(waiting(0) for _ in range(60))), 0
        for _ in range(40):
            entry = waiting(1)
            queue.push(entry)
            less_urgent += serve(queue).rank
            queue.remove(entry)
        self.assertEqual(less_urgent, 40 / (SLOTS_BETWEEN_TURNS + 1))

    def test_newest_goes_first_and_less_work_among_equal_ages(self):
        old = waiting(work=0.2, queued_at=0.0)
        large, small = (waiting(work=w, queued_at=1.01) for w in (3.0, 0.5))
        queue = queue_of(old, small, large)
        self.assertEqual([serve(queue) for _ in range(3)], [small, large, old])

    def test_caller_that_came_back_goes_before_others_of_its_rank_only(self):
        late = waiting(1, deadline=1.0)
        back = waiting(1, deadline=9.0, has_returned=True)
        urgent = waiting(0, deadline=9.0)
        less_urgent = waiting(2, deadline=1.0, has_returned=True)
        queue = queue_of(less_urgent, late, back, urgent, key=deadline_key)
        order = [serve(queue) for _ in range(4)]
        self.assertEqual(order, [urgent, back, late, less_urgent])

    def test_full_queue_evicts_from_the_least_urgent_band_and_its_largest_team(self):
        """There it is the request with the most work for the least time left."""
        large = waiting(2, "big", work=5.0)
        soon = waiting(2, "big", objective_at=0.1)
        others = [waiting(2, "big"), waiting(2, "small", work=5.0), waiting(0, "huge")]
        queue = queue_of(large, soon, *others, max_size=5)
        self.assertIs(queue.push(waiting(1)), soon)
        self.assertIs(queue.push(waiting(1)), large)
        newcomer = waiting(3)
        self.assertIs(queue.push(newcomer), newcomer)
        self.assertEqual(len(queue), 5)

    def test_limit_of_an_urgent_request_evicts_no_less_urgent_one(self):
        """Its own objective may be nearer than those of the less urgent requests."""
        queue = queue_of(waiting(0))
        for _ in range(6):
            entry = waiting(1)
            queue.push(entry)
            self.assertEqual(list(queue.evict_beyond(entry, 8)), [])
        urgent = waiting(0)
        queue.push(urgent)
        evicted = list(queue.evict_beyond(urgent, 1))
        self.assertEqual([entry.rank for entry in evicted], [0])
        self.assertEqual(len(queue), 7)

    def test_urgent_requests_evict_less_urgent_ones_that_cannot_start_in_time(self):
        queue, evicted = queue_of(), []
        for rank, limit in [(1, 8)] * 8 + [(0, 20)] * 20:
            entry = waiting(rank)
            queue.push(entry)
            evicted += queue.evict_beyond(entry, limit)
        self.assertEqual({entry.rank for entry in evicted}, {1})
        left = Counter(entry.rank for entry in queue.entries())
        self.assertEqual(left, {0: 20, 1: 8 // (SLOTS_BETWEEN_TURNS + 1)})

    def test_late_requests_leave_only_if_their_band_or_a_more_urgent_one_is_short(self):
        """Guards against a shortage of summaries that ends the waits of briefs."""
        backlog = Backlog()
        backlog.set_ranked(True)
        late = {rank: waiting(rank) for rank in (0, 1, 2)}
        for entry in late.values():
            backlog.queues[WaitClass.LATE].push(entry)
        for _ in range(SHORTAGE_MIN_MISSES):
            leaving = backlog.note_missed(1, 10.0)
        self.assertEqual({entry.rank for entry in leaving}, {1, 2})
        self.assertEqual(backlog.queues[WaitClass.LATE].entries(), [late[0]])
        short_s = [backlog.shortage_s(rank, 10.0) > 0 for rank in (0, 1, 2)]
        self.assertEqual(short_s, [False, True, True])

    def test_change_of_the_configuration_keeps_the_waiting_requests(self):
        backlog = Backlog()
        queue = backlog.queues[WaitClass.IN_TIME]
        entries = [waiting(n % 3, f"team-{n % 2}") for n in range(12)]
        for entry in entries:
            queue.push(entry)
        queue.remove(entries.pop())
        for is_ranked in (True, False, True):
            backlog.set_ranked(is_ranked)
            self.assertEqual(len(queue), 11)
            self.assertCountEqual(queue.entries(), entries)
        self.assertCountEqual([serve(queue) for _ in range(11)], entries)
        self.assertEqual(len(queue), 0)


class _CountingKey:
    """A sort key that counts the comparisons of all keys."""

    comparisons = 0

    def __init__(self, value):
        self.value = value

    def __lt__(self, other):
        _CountingKey.comparisons += 1
        return self.value < other.value


class EffortTests(unittest.TestCase):
    """Guards against work per request that grows with the number of waiting ones."""

    def comparisons(self, size, seed=1):
        """Return the comparisons for one push, one eviction and one slot."""
        rng = random.Random(seed)

        def entry():
            return waiting(rng.randrange(3), f"t{rng.randrange(20)}", work=rng.random())

        queue = queue_of(key=lambda w: _CountingKey((rng.random(), w.number)))
        queue._max_size = size
        for _ in range(size):
            queue.push(entry())
        _CountingKey.comparisons = 0
        for _ in range(500):
            queue.push(entry())
            serve(queue)
            queue.push(entry())
        return _CountingKey.comparisons / 500

    def test_effort_grows_like_the_logarithm(self):
        few, many = (self.comparisons(size) for size in (256, 256 * 64))
        # The logarithms differ by a factor of 1.75; allow for the random keys.
        self.assertLess(many, 3.0 * few)

    def test_memory_stays_bounded_while_the_newest_are_served(self):
        """Requests that time out lie below newer ones, which hides them from a heap."""
        queue = queue_of()
        base = [waiting() for _ in range(10)]
        for entry in base:
            queue.push(entry)
        for _ in range(5_000):
            entry = waiting()
            queue.push(entry)
            queue.remove(base.pop(0))
            base.append(entry)
        (band,) = queue._order._bands.values()
        (team,) = band._teams.values()
        self.assertEqual(len(queue), 10)
        self.assertLess(len(team.by_turn) + len(team._by_eviction), 100)
        self.assertLess(len(band._turns), 100)

    def test_order_agrees_with_a_search_of_all_entries(self):
        """Guards against heaps that lose or repeat an entry after random changes."""
        rng, queue, kept = random.Random(7), queue_of(max_size=40), set()
        for _ in range(4_000):
            action = rng.random()
            if action < 0.5:
                entry = waiting(
                    rng.randrange(4), f"t{rng.randrange(5)}", work=rng.random()
                )
                kept.add(entry)
                kept.discard(queue.push(entry))
            elif action < 0.75 and kept:
                entry = rng.choice(sorted(kept, key=lambda w: w.number))
                queue.remove(entry)
                kept.discard(entry)
            elif kept:
                kept.discard(serve(queue))
            self.assertEqual(len(queue), len(kept))
            per_team = list(queue.next_per_team())
            teams = {(w.rank, w.request.team) for w in kept}
            self.assertCountEqual(
                [(w.rank, w.request.team) for w in per_team], sorted(teams)
            )
        self.assertCountEqual(queue.entries(), kept)


class HostileRequestTests(unittest.TestCase):
    """Priorities and numbers of tokens that are absent, absurd or false."""

    def test_work_is_bounded(self):
        for tokens in (0, 1, HUGE):
            work = bounded_work(ENGINE, MODEL, Work(tokens, max(1, tokens)))
            self.assertGreaterEqual(work.relative, MIN_RELATIVE_WORK)
            self.assertLessEqual(work.relative, MAX_RELATIVE_WORK)
        broken = ENGINE._replace(
            step_s=0.0,
            step_per_request_s=0.0,
            step_per_token_s=0.0,
            prefill_per_token_s=0.0,
            prefill_per_pair_s=0.0,
        )
        self.assertEqual(bounded_work(broken, MODEL, Work(1, 1)), UNKNOWN_WORK)

    def test_rank_is_bounded(self):
        for priority, rank in ((HUGE, 0), (1, 0), (-3, 3), (-HUGE, MAX_RANK)):
            request = SimpleNamespace(priority=priority)
            self.assertEqual(rank_of(request), rank)

    def test_false_work_does_not_put_a_team_before_others(self):
        """It is considered only among the requests of one team."""
        queue = queue_of(*(waiting(team="honest") for _ in range(20)))
        for _ in range(20):
            queue.push(waiting(team="liar", work=MIN_RELATIVE_WORK))
        counts = Counter(serve(queue).request.team for _ in range(20))
        self.assertLessEqual(counts["liar"], counts["honest"] + 2)

    def test_absurd_work_does_not_evict_others(self):
        """Guards against a queue that is emptied by one request's expected time."""
        limits = []
        for tokens in (100, HUGE):
            replay = Replay(1)
            request = replay.request(BRIEF, "large", Work(tokens, tokens), 1_000.0, "r")
            backlog = replay.local._backlog(request)
            limits.append(backlog.slot_time_s(replay.view.slot_usage(request)))
        self.assertEqual(limits[0], limits[1])

    def test_callers_with_false_work_are_served_no_more_often(self):
        """The callers of one team state next to nothing, or absurdly much."""
        honest = self.share_of_liars(None)
        for tokens in (0, HUGE):
            self.assertLess(self.share_of_liars(tokens), honest + 0.05)

    def share_of_liars(self, tokens):
        """Return how often the medium team is served, relative to all teams."""
        shares = []
        # The standard error of the mean is then about 0.02.
        for seed in range(1, 17):
            replay = Replay(1, seed=seed)
            if tokens is not None:
                replay.stated_by["medium"] = Work(tokens, max(1, tokens))
            replay.run(15, (BRIEF, SUMMARY))
            shares.append(dict(zip(TEAMS, served_of_teams(replay), strict=True)))
        return mean(share["medium"] for share in shares)


class ObservationTests(unittest.TestCase):
    """What an operator sees of a refusal."""

    def test_refusal_is_logged_with_rank_and_work(self):
        replay = Replay(1, hasty=0.0)
        with mock.patch("auburnwall.routing.placer.event") as logged:
            replay.run(3, (BRIEF, SUMMARY))
        refusals = [
            call.kwargs
            for call in logged.call_args_list
            if call.args == ("request refused",)
        ]
        self.assertEqual({fields["rank"] for fields in refusals}, {1, 2})
        for fields in refusals:
            self.assertGreater(fields["work_s"], 0.0)
            self.assertGreaterEqual(fields["retry_after_s"], MIN_RETRY_AFTER_S)

    def test_refusals_and_evictions_are_metrics(self):
        metrics = RoutedMetrics()
        metrics.record_refusal(2)
        metrics.record_eviction(0)
        text = metrics.exposition().decode()
        self.assertIn('auburnwall_place_refusals_total{rank="2"} 1.0', text)
        self.assertIn('auburnwall_place_evictions_total{rank="0"} 1.0', text)


class ReplayTests(unittest.TestCase):
    """Half of the groups of a model are lost, or the demand doubles."""

    @classmethod
    def setUpClass(cls):
        cls.replays = {
            is_ranked: [cls.replay(is_ranked, seed) for seed in (1, 2, 3)]
            for is_ranked in (True, False)
        }

    @staticmethod
    def replay(is_ranked, seed):
        replay = Replay(1, is_ranked=is_ranked, seed=seed)
        replay.run(20, (BRIEF, SUMMARY))
        return replay

    def outcomes(self, is_ranked, kind=None):
        outcomes = itertools.chain.from_iterable(
            replay.outcomes for replay in self.replays[is_ranked]
        )
        return [o for o in outcomes if kind in (None, o.kind)]

    def in_time(self, is_ranked, kind):
        outcomes = self.outcomes(is_ranked, kind)
        return sum(o.result == "in time" for o in outcomes) / len(outcomes)

    def test_more_urgent_requests_are_in_time_than_without_ranks(self):
        gained = self.in_time(True, BRIEF) - self.in_time(False, BRIEF)
        self.assertGreater(gained, 0.04)

    def test_responses_are_worth_more(self):
        ranked, unranked = (
            sum(replay.worth() for replay in self.replays[is_ranked])
            for is_ranked in (True, False)
        )
        self.assertGreater(ranked, unranked)

    def test_no_kind_is_served_less_often_than_a_less_urgent_one(self):
        brief, summary = (served(self.outcomes(True, k)) for k in (BRIEF, SUMMARY))
        self.assertGreater(brief, summary - 0.05)

    def test_no_kind_or_team_is_served_less_than_a_quarter_as_often_as_all(self):
        all_served = served(self.outcomes(True))
        self.assertGreater(served(self.outcomes(True, SUMMARY)), all_served / 4)
        for replay in self.replays[True]:
            self.assertGreater(min(served_of_teams(replay)), 0.25)

    def test_largest_requests_are_served_at_least_half_as_often(self):
        """The largest tenth of each kind, and the next largest fifth."""
        for kind in (BRIEF, SUMMARY):
            outcomes = sorted(self.outcomes(True, kind), key=lambda o: -o.tokens)
            tenth = len(outcomes) // 10
            for part in (outcomes[:tenth], outcomes[tenth : 3 * tenth]):
                self.assertGreater(served(part), served(outcomes) / 2)

    def test_callers_that_repeat_at_once_gain_nothing(self):
        """They call ten times a second; the others honour the return time."""
        hasty, patient = (
            served([o for o in self.outcomes(True) if o.is_hasty is is_hasty])
            for is_hasty in (True, False)
        )
        self.assertLess(hasty, patient + 0.05)

    def test_refusals_and_evictions_are_counted_by_rank(self):
        for replay in self.replays[True]:
            refused = Counter(kind.rank for _, kind, _ in replay.refusals)
            self.assertEqual(replay.counts.refusals, refused)
            self.assertGreater(replay.counts.evictions.total(), 0)

    def test_refused_callers_do_not_come_back_together(self):
        """Guards against one return time for all that are refused in a second."""
        for replay in self.replays[True]:
            returns = Counter(int(at + after) for at, _, after in replay.refusals)
            times = Counter(round(at + after, 1) for at, _, after in replay.refusals)
            self.assertLess(max(times.values()), 0.5 * max(returns.values()))


if __name__ == "__main__":
    unittest.main()
