"""Bodies of callers wait for memory, also where each of them is small.

Guards against bodies that no single limit stops and that the process is killed for.
"""

import gevent.monkey

gevent.monkey.patch_all()

import unittest  # noqa: E402
from unittest import mock  # noqa: E402

import gevent  # noqa: E402

from auburnwall.base import memory  # noqa: E402
from auburnwall.base.memory import MemoryBudget, NoMemoryError  # noqa: E402

LIMIT_BYTES, BODY_BYTES = 1_000_000, 60_000
# Small bodies that fit.
BODIES = LIMIT_BYTES // BODY_BYTES


class SmallBodyTests(unittest.TestCase):
    def setUp(self):
        self.enterContext(mock.patch.object(memory, "BODY_WAIT_S", 0.2))
        self.budget = MemoryBudget(LIMIT_BYTES)
        self.accounts = [self.budget.open() for _ in range(BODIES)]
        for account in self.accounts:
            account.add_body(BODY_BYTES)

    def test_one_more_is_refused_if_no_memory_becomes_free(self):
        with self.assertRaises(NoMemoryError):
            self.budget.open().add_body(BODY_BYTES)
        self.assertEqual(self.budget.bodies_bytes, BODIES * BODY_BYTES)

    def test_one_more_waits_until_another_is_released(self):
        task = gevent.spawn(self.budget.open().add_body, BODY_BYTES)
        gevent.sleep(0.05)
        self.assertFalse(task.ready())
        self.accounts[0].close()
        task.get(timeout=0.1)
        self.assertEqual(self.budget.bodies_bytes, BODIES * BODY_BYTES)


if __name__ == "__main__":
    unittest.main()
