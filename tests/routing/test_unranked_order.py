"""Deployments whose routes have equal priorities are served as before."""

import random
import unittest
from collections import Counter
from types import SimpleNamespace

from auburnwall.node.routed.views import RoutingView
from auburnwall.routing.admission import FairQueue, TeamOrder
from auburnwall.routing.backlog import Backlog
from auburnwall.routing.load_shedding import (
    SHORTAGE_MIN_MISSES,
    WaitClass,
)
from auburnwall.routing.shortage_order import (
    ranked_services,
)
from tests.routing import former_queue
from tests.routing.engine import ENGINE
from tests.routing.test_shortage_order import waiting


class UnrankedTests(unittest.TestCase):
    """Deployments whose routes have equal priorities are served as before."""

    def test_queue_serves_and_evicts_as_before(self):
        """Guards against any difference, over random pushes, slots and time-outs."""
        for newest_first in (True, False):
            rng = random.Random(3)
            queue = FairQueue(30, TeamOrder(newest_first=newest_first))
            former = former_queue.FairQueue(30, newest_first=newest_first)
            number_of, seen = {}, Counter()
            for number in range(6_000):
                # Times of growth and of decline take turns.
                action = rng.random() ** (1.6 if number % 600 < 300 else 0.8)
                if action < 0.45:
                    fields = {"deadline": rng.random(), "work": rng.random()}
                    rank, team = rng.randrange(3), f"t{rng.randrange(5)}"
                    pair = [waiting(rank, team, **fields) for _ in range(2)]
                    number_of.update(dict.fromkeys(pair, number))
                    left = [
                        q.push(w) for q, w in zip((queue, former), pair, strict=True)
                    ]
                elif action < 0.75:
                    heads = [list(q.next_per_team()) for q in (queue, former)]
                    same = [[number_of[w] for w in entries] for entries in heads]
                    self.assertEqual(*same)
                    left = [entries[0] if entries else None for entries in heads]
                    for q, entry in zip((queue, former), left, strict=True):
                        if entry:
                            q.dequeue(entry)
                elif action < 0.9 and len(former):
                    left = [former.oldest_of_largest()]
                    former.remove(left[0])
                    left.append(next(queue.evict_beyond(None, len(queue) - 1)))
                elif len(former):
                    index = rng.randrange(len(former))
                    left = [
                        sorted(q.entries(), key=number_of.get)[index]
                        for q in (queue, former)
                    ]
                    queue.remove(left[0])
                    former.remove(left[1])
                self.assertEqual(*[number_of.get(entry) for entry in left])
                self.assertEqual(len(queue), len(former))
                seen[len(former)] += 1
            self.assertGreater(seen[30], 0)
            self.assertGreater(seen[0], 0)

    def test_limit_evicts_the_oldest_of_the_largest_team(self):
        queue = FairQueue(256, TeamOrder(newest_first=True))
        entries = [waiting(2, "big"), waiting(0, "big"), waiting(1, "small")]
        for entry in entries:
            queue.push(entry)
        self.assertEqual(list(queue.evict_beyond(entries[-1], 2)), entries[:1])

    def test_shortage_is_one_for_all_ranks(self):
        backlog = Backlog()
        entries = [waiting(rank) for rank in (0, 1, 2)]
        for entry in entries:
            backlog.queues[WaitClass.LATE].push(entry)
        for rank in range(SHORTAGE_MIN_MISSES):
            leaving = backlog.note_missed(rank, 10.0)
        self.assertCountEqual(leaving, entries)

    def test_ranks_are_told_apart_only_for_models_whose_routes_differ(self):
        self.assertEqual(self.ranked((1, 2), engine=ENGINE), {"assist"})
        self.assertEqual(self.ranked((1, None), engine=ENGINE), {"assist"})
        self.assertEqual(self.ranked((1, 1), engine=ENGINE), set())
        self.assertEqual(self.ranked((5, None), engine=ENGINE), set())
        self.assertEqual(self.ranked((1, 2), engine=None), set())

    def ranked(self, priorities, engine):
        return ranked_services(self.config(priorities, engine))

    def config(self, priorities, engine=ENGINE):
        routes = [
            SimpleNamespace(
                priority=priority, targets=(SimpleNamespace(service="assist"),)
            )
            for priority in priorities
        ]
        # A route to another service does not count.
        routes.append(
            SimpleNamespace(priority=9, targets=(SimpleNamespace(service="desk"),))
        )
        services = {
            "assist": SimpleNamespace(engine=engine),
            "desk": SimpleNamespace(engine=None),
        }
        return SimpleNamespace(routes=routes, services=services)

    def test_view_follows_the_configuration_in_force(self):
        source = SimpleNamespace(config=self.config((1, 1)))
        view = RoutingView("norte", source, *[None] * 7)
        request = SimpleNamespace(service="assist")
        self.assertFalse(view.is_ranked(request))
        source.config = self.config((1, 2))
        self.assertTrue(view.is_ranked(request))
        self.assertFalse(view.is_ranked(SimpleNamespace(service="desk")))


if __name__ == "__main__":
    unittest.main()
