"""A fake log without a cluster, for tests of writing to and reading from the log."""

import random

import gevent

from auburnwall.base.backoff import Backoff
from auburnwall.state.follower import Follower
from auburnwall.state.proposer import Proposer
from tests.faults.fakes import FakeLog, FakeLogStore
from tests.faults.virtual_time import VirtualClock, VirtualTime


class LogSimulation:
    """A fake log, virtual time and the tasks of the processes that use the log."""

    def __init__(self):
        self.time = VirtualTime()
        self.log = FakeLogStore(self.time)
        self.cuts = set()
        self.steps = {}
        self.tasks = []

    def step(self, name, process):
        action = self.steps.pop(name, None)
        if action:
            action(process)

    def record_append(self, stream, payloads, offset):
        pass

    def is_cut(self, source, target):
        return (source, target) in self.cuts

    def run(self, seconds):
        self.time.run_until(self.time.now + seconds)

    def spawn(self, function, *args):
        task = gevent.spawn(function, *args)
        self.tasks.append(task)
        return task

    def close(self):
        gevent.killall(self.tasks)


class Process:
    """The follower and the proposer of one process."""

    def __init__(self, simulation, name):
        self.clock = VirtualClock(simulation.time)
        self.log = FakeLog(simulation, name, self.clock)
        backoff = Backoff(random.Random(name), 0.1, 1.0)
        self.follower = Follower(self.log, self.clock, backoff)
        self.proposer = Proposer(
            self.log, self.follower, self.clock, backoff, f"{name}-incarnation"
        )
        simulation.spawn(self.follower.run)
