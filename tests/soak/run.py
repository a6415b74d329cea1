"""One run: troubles drawn from a seed, callers at the same time, and the checks."""

import math
import os
import random
import shutil
import time
from pathlib import Path

import gevent

from tests.processes.configuration_day import Day

from .callers import DEADLINE_S, NOT_RUN, RESPONSE_MARGIN_S, Callers
from .plan import NODE_KINDS, NODES, draw
from .world import SoakCluster

# The time after the last trouble in which every node must serve again. In it, nodes
# start, servers register, and a group loads and forms.
RECOVERY_TIMEOUT_S = 15.0
# The grace period in which a stopped process must end, and the extra time that it may
# take, as a busy machine delays it.
STOP_GRACE_S, STOP_MARGIN_S = 4.0, 2.0
CHECK_INTERVAL_S = 0.05
# Routes that each version has besides those that change.
EARLIER_ROUTES = 20
# Status of the answers by which a node serves a request.
SERVED = (200,)
# Answers by an older configuration that are reported for a run.
MAX_BREACHES = 3
# Directory in which the logs of runs that found a violation are retained.
FAILED_RUNS = Path(__file__).parents[2] / "out" / "soak"


class Soak:
    """One run: its cluster, its troubles and the violations found so far."""

    def __init__(self, seed, out):
        self.seed = seed
        self.violations = []
        self.cluster = SoakCluster(out)
        self.troubles = draw(seed)
        self._pauses = []
        self._day = Day(self.cluster, seed, ("desk",), EARLIER_ROUTES)
        self._end_out_of_touch = {}

    def run(self):
        """Return the violations, as lines, and the callers' outcomes."""
        with self.cluster:
            self._wait_until_served("start")
            callers = Callers(self.cluster, random.Random(self.seed))
            watch = gevent.spawn(self._watch_groups)
            with self._day:
                versions = gevent.spawn(self._day.write_until, math.inf)
                self._inject_troubles()
                self._wait_until_served("recovery")
                versions.kill()
            callers.stop()
            watch.kill()
            self._check(callers.outcomes)
            self.violations += map(str, self._day.breaches()[:MAX_BREACHES])
        return self.violations, callers.outcomes

    def _inject_troubles(self):
        started_at = time.monotonic()
        steps = [(t.at_s, self._begin_trouble, t) for t in self.troubles]
        steps += [(t.until_s, self._end_trouble, t) for t in self.troubles if t.for_s]
        tasks = []
        for at_s, action, trouble in sorted(steps, key=lambda step: step[0]):
            gevent.sleep(max(0.0, started_at + at_s - time.monotonic()))
            tasks.append(gevent.spawn(action, trouble))
        gevent.joinall(tasks, timeout=30.0)

    def _begin_trouble(self, trouble):
        if trouble.kind == "lost records":
            self._day.lose()
            return
        if trouble.kind == "late version":
            self._day.write_late()
            return
        self._end_out_of_touch[trouble] = self._excuse(trouble)
        self.cluster.begin(trouble)
        if trouble.kind == "term":
            gevent.spawn(self._watch_stop, trouble)
        if trouble.kind == "pause":
            now = time.monotonic()
            self._pauses.append((trouble.target, now, now + trouble.for_s))

    def _end_trouble(self, trouble):
        self.cluster.end(trouble)
        for end in self._end_out_of_touch.pop(trouble, ()):
            end()

    def _excuse(self, trouble):
        """Excuse the answers of nodes that are not in touch; return how that ends.

        While a node has no store, it serves by what it knows; a final refusal needs a
        copy that is in time also then.
        """
        excuse = self._day.begin_out_of_touch
        if trouble.kind in NODE_KINDS:
            return [excuse(trouble.target)]
        if trouble.kind == "store":
            return [excuse(name, SERVED) for name in NODES]
        if trouble.kind == "store way":
            return [excuse(trouble.target, SERVED)]
        return []

    def _watch_stop(self, trouble):
        """Check that a node exits with status 0 in its grace period after SIGTERM."""
        process = self.cluster.process(trouble.target)
        deadline = time.monotonic() + STOP_GRACE_S + STOP_MARGIN_S
        while process.poll() is None and time.monotonic() < deadline:
            gevent.sleep(CHECK_INTERVAL_S)
        if process.poll() != 0:
            self.violations.append(f"{trouble.target} ended with {process.poll()}")

    def _watch_groups(self):
        """Check that no running member of an open group is in a later epoch's group."""
        while True:
            servers = {n: s for n, s in self.cluster.servers.items() if s.up}
            for head in servers.values():
                if head.group is not None and head.group["State"] == "open":
                    members = [servers[n] for n in head.members if n in servers]
                    self.violations += _find_members_of_later_groups(head, members)
            gevent.sleep(CHECK_INTERVAL_S)

    def _wait_until_served(self, phase):
        try:
            for node in NODES:
                self.cluster.wait(
                    lambda n=node: self._is_serving(n, phase), phase, RECOVERY_TIMEOUT_S
                )
        except TimeoutError:
            self.violations.append(
                f"{phase}: {node} does not serve after {RECOVERY_TIMEOUT_S} s"
            )

    def _is_serving(self, node, phase):
        number = random.random()
        try:
            asked = self.cluster.send_request(node, f"{phase}-{number}")[0]
            booked = self.cluster.send_request(node, f"{phase}-b-{number}", "/book/x")[
                0
            ]
        except Exception:  # noqa: BLE001 - whatever fails, the node does not serve yet
            return False
        return (asked, booked) == (200, 200)

    def _check(self, outcomes):
        for outcome in outcomes:
            run_count = self.cluster.run_count(outcome.request_id)
            if outcome.defect:
                self.violations.append(f"{outcome}")
            if outcome.kind == "book" and run_count > 1:
                self.violations.append(f"a booking ran {run_count} times: {outcome}")
            if outcome.status in NOT_RUN and run_count:
                self.violations.append(f"refused as not run, and ran: {outcome}")
            if outcome.status and outcome.took_s > self._max_duration_s(outcome):
                self.violations.append(f"held past its deadline: {outcome}")
        if sum(outcome.status == 200 for outcome in outcomes) < len(outcomes) / 4:
            self.violations.append("less than a quarter of the requests were served")

    def _max_duration_s(self, outcome):
        """Return how long a request may take, in seconds.

        The time for which its node was paused meanwhile is added.
        """
        paused_s = sum(
            ended_at - paused_at
            for node, paused_at, ended_at in self._pauses
            if node == outcome.node
            and paused_at < outcome.started_at + outcome.took_s
            and outcome.started_at < ended_at
        )
        return DEADLINE_S + RESPONSE_MARGIN_S / 2 + paused_s


def _find_members_of_later_groups(head, members):
    """Yield a line for each member in a group of a later epoch than the head's."""
    for member in members:
        other = member.group
        if other is not None and other["epoch"] > head.group["epoch"]:
            yield (
                f"{head.server} is open at {head.group['epoch']} while "
                f"{member.server} is in a group at {other['epoch']}"
            )


def run_seed(seed, keep=None):
    """Run one seed; return the violations and the number of outcomes by status.

    ``keep`` is a directory in which the logs are retained. Without it, those of a run
    without violations are removed, and the last line of the violations tells where the
    others are.
    """
    path = Path(keep) / str(seed) if keep else FAILED_RUNS / f"{seed}-{os.getpid()}"
    path.mkdir(parents=True, exist_ok=True)
    violations, outcomes = Soak(seed, path).run()
    if violations:
        violations.append(f"the logs of seed {seed} are in {path}")
    elif not keep:
        shutil.rmtree(path)
    counts = {}
    for outcome in outcomes:
        counts[outcome.status] = counts.get(outcome.status, 0) + 1
    return violations, counts
