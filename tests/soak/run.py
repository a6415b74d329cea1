"""One run: troubles from a seed, callers meanwhile, checks of the promises."""

import random
import tempfile
import time
from pathlib import Path

import gevent

from .callers import DEADLINE_S, NOT_RUN, PATIENCE_S, Callers
from .plan import NODES, draw
from .world import SoakWorld

# Time after the last trouble in which everything must serve again, in seconds: nodes
# start, servers register, a group loads and forms.
RECOVERS_S = 15.0
# What a process may take beyond its grace to end, in seconds: it starts late when the
# machine is busy.
GRACE_S, SLACK_S = 4.0, 2.0
WATCH_S = 0.05


class Soak:
    """Own a world and what was found wrong in it."""

    def __init__(self, seed, out):
        self.seed = seed
        self.broken = []
        self.world = SoakWorld(out)
        self.troubles = draw(seed)
        self._paused = []

    def run(self):
        """Return what was broken, as lines, and the callers' outcomes."""
        with self.world:
            self._wait_until_served("start")
            callers = Callers(self.world, random.Random(self.seed))
            watch = gevent.spawn(self._watch_groups)
            self._trouble()
            self._wait_until_served("recovery")
            callers.stop()
            watch.kill()
            self._check(callers.outcomes)
        return self.broken, callers.outcomes

    def _trouble(self):
        began = time.monotonic()
        moments = [(t.at_s, self._begin, t) for t in self.troubles]
        moments += [(t.until_s, self._end, t) for t in self.troubles if t.for_s]
        tasks = []
        for at_s, step, trouble in sorted(moments, key=lambda moment: moment[0]):
            gevent.sleep(max(0.0, began + at_s - time.monotonic()))
            tasks.append(gevent.spawn(step, trouble))
        gevent.joinall(tasks, timeout=30.0)

    def _begin(self, trouble):
        self.world.begin(trouble)
        if trouble.kind == "term":
            gevent.spawn(self._watch_stop, trouble)
        if trouble.kind == "pause":
            now = time.monotonic()
            self._paused.append((trouble.target, now, now + trouble.for_s))

    def _end(self, trouble):
        self.world.end(trouble)

    def _watch_stop(self, trouble):
        """Check that a node that is told to stop ends by itself within its grace."""
        process = self.world.process(trouble.target)
        until = time.monotonic() + GRACE_S + SLACK_S
        while process.poll() is None and time.monotonic() < until:
            gevent.sleep(WATCH_S)
        if process.poll() != 0:
            self.broken.append(f"{trouble.target} ended with {process.poll()}")

    def _watch_groups(self):
        """Check that no group is open while a living member is in another one."""
        while True:
            servers = {n: s for n, s in self.world.servers.items() if s.up}
            for head in servers.values():
                if head.group is not None and head.group["State"] == "open":
                    members = [servers[n] for n in head.members if n in servers]
                    self.broken += _torn(head, members)
            gevent.sleep(WATCH_S)

    def _wait_until_served(self, what):
        try:
            for node in NODES:
                self.world.wait(lambda n=node: self._serves(n, what), what, RECOVERS_S)
        except TimeoutError:
            self.broken.append(f"{what}: {node} does not serve after {RECOVERS_S} s")

    def _serves(self, node, what):
        number = random.random()
        try:
            asked = self.world.ask(node, f"{what}-{number}")[0]
            booked = self.world.ask(node, f"{what}-b-{number}", "/book/x")[0]
        except Exception:  # noqa: BLE001 - whatever fails, the node does not serve yet
            return False
        return (asked, booked) == (200, 200)

    def _check(self, outcomes):
        for outcome in outcomes:
            runs = self.world.runs(outcome.request_id)
            if outcome.fault:
                self.broken.append(f"{outcome}")
            if outcome.kind == "book" and runs > 1:
                self.broken.append(f"a booking ran {runs} times: {outcome}")
            if outcome.status in NOT_RUN and runs:
                self.broken.append(f"refused as not run, and ran: {outcome}")
            if outcome.status and outcome.took_s > self._most_s(outcome):
                self.broken.append(f"held past its deadline: {outcome}")
        if sum(outcome.status == 200 for outcome in outcomes) < len(outcomes) / 4:
            self.broken.append("less than a quarter of the requests were served")

    def _most_s(self, outcome):
        """Return how long a request may take; a node that is paused cannot answer."""
        paused_s = sum(
            until - since
            for node, since, until in self._paused
            if node == outcome.node
            and since < outcome.began_at + outcome.took_s
            and outcome.began_at < until
        )
        return DEADLINE_S + PATIENCE_S / 2 + paused_s


def _torn(head, members):
    """Yield what is wrong with the members of an open group."""
    for member in members:
        other = member.group
        if other is not None and other["epoch"] > head.group["epoch"]:
            yield (
                f"{head.server} is open at {head.group['epoch']} while "
                f"{member.server} is in a group at {other['epoch']}"
            )


def run_seed(seed, keep=None):
    """Run one seed; return what was broken and the number of outcomes by status.

    ``keep`` names a directory in which the logs stay.
    """
    with tempfile.TemporaryDirectory() as out:
        path = Path(keep) / str(seed) if keep else Path(out)
        broken, outcomes = Soak(seed, path).run()
    counts = {}
    for outcome in outcomes:
        counts[outcome.status] = counts.get(outcome.status, 0) + 1
    return broken, counts
