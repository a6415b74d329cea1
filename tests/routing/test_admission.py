"""The fair queue: shares of teams, limits, and the order within a team."""

import unittest

from auburnwall.routing.admission import FairQueue, Waiting
from auburnwall.routing.request import CallerRequest
from auburnwall.routing.retries import RetryBudget


def waiting(name, team="a", weight=1.0, priority=5, deadline=10.0):
    request = CallerRequest(
        name, team, weight, "m", deadline, priority, "POST", "/", {}, b""
    )
    return Waiting(request, frozenset(), None)


def serve(queue, count):
    """Dequeue ``count`` requests in the order of the queue; return their names."""
    names = []
    for _ in range(count):
        head = queue.next_per_team()[0]
        queue.dequeue(head)
        names.append(head.request.request_id)
    return names


class FairQueueTests(unittest.TestCase):
    def test_burst_of_one_team_does_not_delay_another(self):
        queue = FairQueue(100)
        for number in range(50):
            queue.push(waiting(f"big-{number}", team="big"))
        serve(queue, 10)
        queue.push(waiting("small", team="small"))
        self.assertIn("small", serve(queue, 2))

    def test_teams_are_served_by_weight(self):
        queue = FairQueue(200)
        for number in range(60):
            queue.push(waiting(f"x-{number}", team="x", weight=2.0))
            queue.push(waiting(f"y-{number}", team="y", weight=1.0))
        names = serve(queue, 30)
        self.assertEqual(sum(name.startswith("x") for name in names), 20)

    def test_idle_team_gains_only_limited_credit(self):
        queue = FairQueue(200)
        for number in range(40):
            queue.push(waiting(f"x-{number}", team="x"))
        serve(queue, 30)
        for number in range(10):
            queue.push(waiting(f"y-{number}", team="y"))
        names = serve(queue, 10)
        self.assertLessEqual(sum(name.startswith("y") for name in names), 6)

    def test_priority_goes_before_the_nearer_deadline(self):
        queue = FairQueue(10)
        queue.push(waiting("late", deadline=9.0))
        queue.push(waiting("soon", deadline=3.0))
        queue.push(waiting("urgent", priority=9, deadline=20.0))
        self.assertEqual(serve(queue, 3), ["urgent", "soon", "late"])

    def test_full_queue_evicts_the_lowest_priority(self):
        queue = FairQueue(2)
        low, high = waiting("low", priority=1), waiting("high", priority=7)
        queue.push(low)
        queue.push(waiting("mid"))
        self.assertIs(queue.push(high), low)
        newcomer = waiting("lowest", priority=0)
        self.assertIs(queue.push(newcomer), newcomer)
        queue.remove(newcomer)
        self.assertEqual(len(queue), 2)
        self.assertEqual(serve(queue, 2), ["high", "mid"])
        self.assertEqual(len(queue), 0)


class RetryBudgetTests(unittest.TestCase):
    def test_retries_are_limited_to_a_share_of_requests(self):
        budget, sent = RetryBudget(share=0.1, reserve=5.0), 0
        for _ in range(1_000):
            budget.note_request()
            sent += sum(budget.take() for _ in range(3))
        self.assertLessEqual(sent, 0.1 * 1_000 + 5)


if __name__ == "__main__":
    unittest.main()
