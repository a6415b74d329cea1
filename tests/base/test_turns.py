"""Connections that always have bytes to read leave time to the rest of the process.

Guards against an event loop that is late by the turns of all such connections together.
"""

import gevent.monkey

gevent.monkey.patch_all()

import io  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from unittest import mock  # noqa: E402

import gevent  # noqa: E402

from auburnwall.base.http_reader import MessageReader  # noqa: E402
from auburnwall.base.turns import MAX_TURN_S, Turns  # noqa: E402

READERS = 20
CHUNK = b"1\r\nx\r\n"


class EndlessSocket(io.RawIOBase):
    """A socket, and its file object, that always has chunks of one byte."""

    def readable(self):
        return True

    def recv_into(self, buffer):
        data = CHUNK * (len(buffer) // len(CHUNK))
        buffer[: len(data)] = data
        return len(data)

    readinto = recv_into


class ReaderTests(unittest.TestCase):
    """Readers of chunks with one byte each."""

    def setUp(self):
        self.pieces = [0] * READERS
        self.tasks = [gevent.spawn(self.read, number) for number in range(READERS)]
        self.addCleanup(gevent.killall, self.tasks)

    def read(self, number):
        sock = EndlessSocket()
        reader = MessageReader(sock, io.BufferedReader(sock))
        while True:
            self.read_piece(reader)
            self.pieces[number] += 1

    def read_piece(self, reader):
        reader.readline()
        reader.read(3)

    def longest_run_s(self, for_s):
        """Return the longest processor time for which another task has waited."""
        longest_s, end_at = 0.0, time.monotonic() + for_s
        while time.monotonic() < end_at:
            began_at = time.thread_time()
            gevent.sleep(0.001)
            longest_s = max(longest_s, time.thread_time() - began_at)
        return longest_s

    def test_other_tasks_do_not_wait_for_all_readers(self):
        self.assertLess(self.longest_run_s(0.5), READERS * MAX_TURN_S / 2)

    def test_all_readers_go_on(self):
        gevent.sleep(0.5)
        before = self.pieces[:]
        gevent.sleep(1.0)
        read = [now - then for now, then in zip(self.pieces, before, strict=True)]
        self.assertGreater(min(read), 0)

    def test_ended_readers_leave_their_turns_to_others(self):
        gevent.sleep(0.1)
        gevent.killall(self.tasks[1:])
        before = self.pieces[0]
        gevent.sleep(0.5)
        self.assertGreater(self.pieces[0], before)


class ByteReaderTests(ReaderTests):
    """Readers that read byte by byte, as the parser of a caller's chunks does."""

    def read_piece(self, reader):
        reader.read(1)


class TurnsTests(unittest.TestCase):
    def test_tasks_run_in_the_order_in_which_they_came(self):
        turns, order = Turns(), []

        def work(number):
            turns.wait()
            order.append(number)

        gevent.joinall([gevent.spawn(work, number) for number in range(10)])
        self.assertEqual(order, list(range(10)))

    def test_tasks_go_on_where_others_use_up_all_iterations(self):
        turns = Turns()
        with mock.patch.object(turns, "is_over", lambda: True):
            tasks = [gevent.spawn(turns.wait) for _ in range(10)]
            gevent.joinall(tasks, timeout=1.0)
        self.assertTrue(all(task.ready() for task in tasks))

    def test_interrupted_task_is_passed_over(self):
        turns = Turns()

        def work():
            with gevent.Timeout(0.0, False):
                turns.wait()

        tasks = [gevent.spawn(work), gevent.spawn(turns.wait)]
        gevent.joinall(tasks, timeout=1.0)
        self.assertTrue(all(task.ready() for task in tasks))


if __name__ == "__main__":
    unittest.main()
