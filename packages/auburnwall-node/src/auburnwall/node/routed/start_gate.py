"""What a node does with the requests that reach it before its first reads have ended.

Load pattern: all nodes were killed at once and are back, and so are all callers. A node
opens its sockets some 20 ms before it has read the tables, and longer before if the
store has to answer all nodes at once. Without the tables it knows neither routes nor
servers. A request waits for them for as long as its response can still be in time;
later ones are refused as not run, with a return time that the caller will honour.
"""

from gevent.event import Event

from auburnwall.routing.exceptions import RequestError

from .table_readers import FLEET_TABLE, OPERATOR_TABLE, SERVER_TABLE

# Time after the sockets have opened in which a request waits for the first reads, as a
# fraction of its caller's time left and in seconds. Where all nodes start at once, the
# store needs about this long to answer them. A caller comes back only once or twice, so
# that a short wait serves it better than a refusal.
WAIT_FRACTION, MAX_WAIT_S = 0.1, 0.6
# Interval between two checks whether the tables were read, in seconds.
CHECK_INTERVAL_S = 0.005
# Shortest deadline of a caller, in seconds, for callers that state none.
DEFAULT_TIME_LEFT_S = 0.6
# Longest Retry-After in the first second and afterwards, in seconds: the rest of the
# first reads, and then the pause between two reads of a store that fails.
FIRST_RETRY_AFTER_S, LATER_RETRY_AFTER_S = 0.8, 0.5
FIRST_S = 1.0
# Part of the time left that a caller waits at most before it comes back.
MAX_RETRY_AFTER_FRACTION = 1 / 3
# Shortest Retry-After, in seconds: about as long as the first reads of one node take.
MIN_RETRY_AFTER_S = 0.05


class StartGate:
    """Lets requests in as far as this node has read the tables that they need.

    ``replicas`` are the copies of the tables, by name. A request needs the operators'
    table to be understood, and that of the servers to be placed. One to a service with
    models also needs the table of the groups.
    """

    def __init__(self, replicas, clock, rng):
        self._replicas = replicas
        self._clock = clock
        self._rng = rng
        self._opened_at = clock.monotonic()
        self._is_complete = False
        self._completed = Event()

    def open(self):
        """Let the requests that arrive from now on wait for the first reads."""
        self._opened_at = self._clock.monotonic()

    def watch(self):
        """Let the waiting requests in when all tables are read; return afterwards."""
        ends_at = self._opened_at + MAX_WAIT_S
        while not self._has_all() and self._clock.monotonic() < ends_at:
            self._clock.sleep(CHECK_INTERVAL_S)
        self._completed.set()

    def wait(self, time_left_s=None):
        """Wait until all tables are read, for a part of the caller's time at most.

        ``time_left_s`` is that time, ``None`` if it is not known.
        """
        if time_left_s is None:
            time_left_s = DEFAULT_TIME_LEFT_S
        wait_s = min(MAX_WAIT_S, WAIT_FRACTION * time_left_s)
        left_s = self._opened_at + wait_s - self._clock.monotonic()
        if left_s > 0 and not self._has_all():
            self._clock.wait(self._completed, left_s)

    def starting_error(self, detail, time_left_s):
        """Return the error for a request that comes too early; it has not run.

        ``time_left_s`` is the caller's, ``None`` if it is not known.
        """
        return RequestError(
            503,
            "Starting",
            detail,
            step="find route",
            retry_after_s=self.retry_after_s(time_left_s),
        )

    def check_servers(self, has_models, time_left_s):
        """Raise ``RequestError`` if the servers of a service are not known yet.

        ``has_models`` is whether it has models, and thus groups.
        """
        needed = [SERVER_TABLE, *([FLEET_TABLE] if has_models else ())]
        if self._has_all() or all(self._has(name) for name in needed):
            return
        raise self.starting_error("this node knows no servers yet", time_left_s)

    def retry_after_s(self, time_left_s):
        """Return when a caller should come back; callers are spread over that time."""
        is_first = self._clock.monotonic() - self._opened_at < FIRST_S
        if time_left_s is None:
            time_left_s = DEFAULT_TIME_LEFT_S
        longest_s = FIRST_RETRY_AFTER_S if is_first else LATER_RETRY_AFTER_S
        longest_s = min(longest_s, MAX_RETRY_AFTER_FRACTION * time_left_s)
        return max(MIN_RETRY_AFTER_S, self._rng.uniform(0.5, 1.0) * longest_s)

    def _has_all(self):
        if not self._is_complete:
            names = OPERATOR_TABLE, SERVER_TABLE, FLEET_TABLE
            self._is_complete = all(map(self._has, names))
        return self._is_complete

    def _has(self, name):
        return name not in self._replicas or self._replicas[name].end >= 0
