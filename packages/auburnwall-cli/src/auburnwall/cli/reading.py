"""Read the log and query the nodes."""

import random
from itertools import chain

import gevent
from urllib3.exceptions import HTTPError

from auburnwall.base.backoff import Backoff
from auburnwall.base.clock import SystemClock
from auburnwall.base.http import exchange_json, new_pool
from auburnwall.state.follower import Follower
from auburnwall.state.log.backends.http import HttpLog
from auburnwall.state.proposer import Proposer, new_incarnation

from .exceptions import UnreachableError


class LogReader:
    """Replay the log and hold the resulting state.

    ``verdicts`` holds a pair of record and verdict for each record read. ``configs``
    holds the accepted configurations by offset; offset -1 stands for the empty
    configuration.
    """

    def __init__(self, log_url):
        self.clock = SystemClock()
        self.log = HttpLog(log_url)
        self.verdicts = []
        self.configs = {-1: {}}
        self.follower = Follower(self.log, self.clock, self._backoff())
        self.follower.listeners.append(self._store_verdict)

    @property
    def state(self):
        """Return the state after the records read so far."""
        return self.follower.state

    def catch_up(self):
        """Read to the end of the log and return the state."""
        while True:
            self.follower.read_or_restore(0.0)
            if self.follower.log_end_age_s() is not None:
                return self.state

    def propose(self, kind, body, timeout_s):
        """Append a proposal under a new incarnation and return its verdict."""
        proposer = Proposer(
            self.log, self.follower, self.clock, self._backoff(), new_incarnation()
        )
        reader_task = gevent.spawn(self.follower.run)
        try:
            return proposer.propose(kind, body, timeout_s)
        finally:
            reader_task.kill()

    def _store_verdict(self, record, verdict):
        if record is not None:
            self.verdicts.append((record, verdict))
            if record.data.get("kind") == "config" and verdict.accepted:
                self.configs[record.offset] = self.state.config

    @staticmethod
    def _backoff():
        return Backoff(random.Random(), 0.1, 1.0)


class NodeClient:
    """Send HTTP requests to the nodes that have joined."""

    def __init__(self, state):
        self.addresses = {node.name: node.address for node in state.nodes.values()}
        self._pool = new_pool()

    def request_all(self, path, method="GET"):
        """Return the response body of each node by name, ``None`` if it failed."""
        tasks = {
            name: gevent.spawn(self._request, address, path, method)
            for name, address in sorted(self.addresses.items())
        }
        gevent.joinall(list(tasks.values()))
        return {name: task.value for name, task in tasks.items()}

    def request_one(self, name, path, method="GET"):
        """Return one node's response body; raise ``UnreachableError``."""
        if name not in self.addresses:
            joined = ", ".join(sorted(self.addresses)) or "none"
            raise UnreachableError(
                f"no node {name!r} has joined; joined nodes: {joined}"
            )
        body = self._request(self.addresses[name], path, method)
        if body is None:
            raise UnreachableError(
                "the node does not respond", step=path, peer=self.addresses[name]
            )
        return body

    def _request(self, address, path, method):
        try:
            status, body = exchange_json(self._pool, method, f"http://{address}{path}")
        except (HTTPError, ValueError):
            return None
        return body if status == 200 else None


def merge_rows(bodies, key):
    """Return the rows under ``key`` of all responses; skip nodes without one."""
    return list(chain.from_iterable(body[key] for body in bodies.values() if body))
