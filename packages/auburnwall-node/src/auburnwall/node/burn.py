"""Failures and latencies of requests, for the report on error budget burn.

Failed requests are counted, and times to the first token are recorded in HDR
histograms, by model or service, team and data centre, in buckets of one minute. Past
buckets are stored encoded, which saves memory, as rows of one key and one minute. The
histograms of several nodes can be added up.
"""

from collections import deque
from contextlib import contextmanager
from typing import NamedTuple

from auburnwall.base.metrics import HIGHEST_MS, LOWEST_MS, new_histogram
from auburnwall.routing.exceptions import RequestError

BUCKET_S = 60
# Maximum number of past rows. It is a day of minutes for a single key; with several
# keys the rows go back less far.
MAX_PAST_ROWS = 1_440


class BurnKey(NamedTuple):
    """The dimensions of the report; ``target`` is a model or a service."""

    target: str
    team: str
    data_center: str


class _Tally:
    """The failures and latencies of one key in one bucket."""

    def __init__(self):
        self.failed = 0
        self.first_token_ms = new_histogram()


class RequestOutcome:
    """The outcome and the times of one request.

    The code that serves the request reports them through ``record_first_token`` and
    ``record_complete``.
    """

    def __init__(self, clock):
        self._clock = clock
        self._began_at = clock.monotonic()
        self.first_token_s = None
        self.is_complete = False

    def record_first_token(self):
        """Record the time of the first bytes of the response."""
        if self.first_token_s is None:
            self.first_token_s = self._clock.monotonic() - self._began_at

    def record_complete(self):
        """Record that the response was complete."""
        self.is_complete = True

    def duration_s(self):
        """Return the seconds since the request arrived."""
        return self._clock.monotonic() - self._began_at


class BurnRecord:
    """The current bucket and the newest rows of past ones, one per key and bucket."""

    def __init__(self, clock, metrics):
        self._clock = clock
        self._metrics = metrics
        self._bucket_start = self._current_bucket_start()
        self._tallies = {}
        self._past_rows = deque(maxlen=MAX_PAST_ROWS)

    @contextmanager
    def track(self, request, data_center):
        """Yield a ``RequestOutcome`` and record it at the end.

        A request counts as failed if it ends with status 429 or a status from 500 on,
        or if its response ends before it is complete. All other errors are only in the
        metric of requests by status, not in the rows. Errors of the caller are counted
        there under their own status, exceptions other than ``RequestError`` under 499.
        The latter means a disconnected caller but includes errors in the node's code.
        """
        outcome, status = RequestOutcome(self._clock), "200"
        try:
            yield outcome
        except RequestError as exc:
            status = str(exc.status)
            if exc.status >= 500 or exc.status == 429:
                self._tally(request, data_center).failed += 1
            raise
        except BaseException:
            status = "499"
            raise
        else:
            if outcome.is_complete:
                self._record_success(request, data_center, outcome)
            else:
                self._tally(request, data_center).failed += 1
                status = "broken"
        finally:
            self._metrics.requests.labels(request.target, request.team, status).inc()

    def rows(self, last_s):
        """Return the rows of the last ``last_s`` seconds, oldest first.

        Those of the current bucket come last. They go back less far if there were more
        than ``MAX_PAST_ROWS``.
        """
        self._start_bucket_if_due()
        cutoff = self._clock.time() - last_s
        past_rows = [row for row in self._past_rows if row["began"] >= cutoff]
        return past_rows + [
            _encode_row(self._bucket_start, key, tally)
            for key, tally in self._tallies.items()
        ]

    def _record_success(self, request, data_center, outcome):
        """Record the times of a request that succeeded.

        A response that is not streamed has its first token when it is complete.
        """
        latency_ms = round((outcome.first_token_s or outcome.duration_s()) * 1000)
        value = min(max(LOWEST_MS, latency_ms), HIGHEST_MS)
        self._tally(request, data_center).first_token_ms.record_value(value)
        labels = request.target, request.team
        self._metrics.first_token.observe(value / 1000, *labels)
        self._metrics.duration.observe(outcome.duration_s(), *labels)

    def _tally(self, request, data_center):
        self._start_bucket_if_due()
        key = BurnKey(request.target, request.team, data_center)
        return self._tallies.setdefault(key, _Tally())

    def _start_bucket_if_due(self):
        """Encode the current bucket and start a new one if its minute has passed."""
        bucket_start = self._current_bucket_start()
        if bucket_start != self._bucket_start:
            self._past_rows.extend(
                _encode_row(self._bucket_start, key, tally)
                for key, tally in self._tallies.items()
            )
            self._bucket_start, self._tallies = bucket_start, {}

    def _current_bucket_start(self):
        return int(self._clock.time() // BUCKET_S) * BUCKET_S


def _encode_row(began, key, tally):
    """Return the row of one key and one bucket, as a dictionary of JSON values.

    ``began`` is when the bucket began, in seconds since the epoch. Beside it the row
    holds the fields of the key, the number of failed requests and the encoded HDR
    histogram of the times to the first token in milliseconds. The histogram has one
    value for each request that succeeded.
    """
    return {
        "began": began,
        **key._asdict(),
        "failed": tally.failed,
        "first_token": tally.first_token_ms.encode().decode(),
    }
