"""When a candidate is expected to send the first event of a request.

Load pattern: some servers of a model become several times slower than the others for
some seconds. By number of requests they look like the others, so they get the same
share of the requests and keep each of them longer. The pace of a candidate is how much
slower it is than the median of its model. It is measured from the responses of the last
seconds, and it expires: a candidate that gets no requests is soon tried again.
"""

import itertools
from collections import deque
from statistics import median
from typing import NamedTuple

from .pace_reports import (
    EXPIRY_S,
    MAX_PACE,
    MAX_REPORTED,
    MAX_REPORTED_TOGETHER,
    MAX_RESPONSES,
    MAX_RESPONSES_TOGETHER,
    SLOW_PACE,
    PaceReport,
    clean_reports,
    join_reports,
)
from .response_timing import ResponseTiming

# Time after the newest measurement for which the pace holds before it returns to 1, in
# seconds. A slow candidate is tried again every few seconds, at the cost of a few slow
# responses each time.
HOLD_S = 1.5
# Responses that show the pace of a candidate, and time for which one is enough after
# some have shown that it is not the median's, in seconds. The latter makes a trial of a
# slow candidate cheap.
MIN_RESPONSES, KNOWN_UNEVEN_S = 3, 10.0
# Newest requests of a candidate that are measured. The newest have no event yet.
MAX_MEASURED = 8
# Responses from which the median of a model is known.
MIN_MODEL_RESPONSES = 6
# Age up to which responses count for the median if the last ``EXPIRY_S`` have too few,
# in seconds. A node of a large fleet may get a model's requests seconds apart.
MAX_MEDIAN_AGE_S = 60.0
# Multiple of the usual time from which a missing first event shows a candidate as slow
# without other responses, and the fraction of that multiple that its pace counts as.
FAR_TOO_LATE, EARLY_BOUND_FRACTION = 3.0, 0.5
# Time for which the paces are reused, in seconds.
PACES_REUSED_S = 0.2


class _Evidence(NamedTuple):
    """The pace that ``responses`` show, the newest of them at the time ``newest_at``.

    ``is_bound`` tells that one is far too late, which shows a pace by itself.
    """

    pace: float
    responses: int
    newest_at: float
    is_bound: bool

    def report(self, now):
        """Return this as a ``PaceReport``."""
        return PaceReport(self.pace, self.responses, now - self.newest_at)


class _Reports(NamedTuple):
    """The reports of one source; see ``CandidatePaces.note_reports``."""

    received_at: float
    by_name: dict
    includes_own: bool


class CandidatePaces:
    """The paces of all candidates, as this node and its peers measure them.

    Each response shows a pace: its last pauses, or before these the time to its first
    event, relative to the median of all responses of its service and model. The pace of
    a candidate is the median of its newest responses. A few responses are needed, or
    one whose first event is far too late; the latter counts less.

    ``load_of(candidate)`` returns the number of requests at a candidate, and
    ``was_late(since)`` whether this node has been late since a time.
    """

    def __init__(self, clock, load_of, was_late=lambda since: False):
        self.clock = clock
        self.load_of = load_of
        self.was_late = was_late
        self._timings = {}
        self._reading = {}
        self._reports = {}
        self._uneven, self._uneven_at = set(), {}
        self._computed_at, self._paces, self._own = None, {}, {}

    def begin(self, key, candidate, times, prompt_tokens):
        """Return the ``ResponseTiming`` of a request that is sent to a candidate now.

        ``key`` is its service and model, ``times`` the ``StepTimes`` of these.
        """
        name, load = candidate.name, max(0, self.load_of(candidate) - 1)
        reading_s = self.reading_s(name, times, load)
        first_event_s = times.first_event_s(prompt_tokens, load, reading_s)
        timing = ResponseTiming(self, candidate, times, prompt_tokens, first_event_s)
        of_model = self._timings.setdefault(key, {})
        if name not in of_model:
            of_model[name] = deque(maxlen=MAX_MEASURED)
        of_model[name].append(timing)
        self._reading.setdefault(name, set()).add(timing)
        return timing

    def reading_s(self, name, times, load):
        """Return the seconds for the prompts that a candidate of pace 1 has to read.

        Of its ``load`` requests, this node knows the progress of its own.
        """
        own = self._reading.get(name, ())
        unknown_s = max(0.0, load - len(own)) * times.mean_reading_s
        if not own:
            return unknown_s
        now = self.clock.monotonic()
        return unknown_s + sum(timing.reading_left_s(now) for timing in own)

    def note_reports(self, source, reports, *, includes_own=False):
        """Replace what a source has reported: ``PaceReport`` by candidate.

        Implausible reports are ignored, and values that are too large are limited.
        ``includes_own`` tells that the reports are those of all nodes, this one
        included.
        """
        count, responses = (
            (MAX_REPORTED_TOGETHER, MAX_RESPONSES_TOGETHER)
            if includes_own
            else (MAX_REPORTED, MAX_RESPONSES)
        )
        if plausible := clean_reports(reports, count, responses):
            now = self.clock.monotonic()
            self._reports[source] = _Reports(now, plausible, includes_own)
        else:
            self._reports.pop(source, None)

    def own_reports(self):
        """Return the ``PaceReport`` by candidate for this node's peers.

        A single response is reported as well: in a large fleet, no node has more of a
        candidate, and the peers add up what they hear.
        """
        self.paces()
        now = self.clock.monotonic()
        reports = {
            name: evidence.report(now)
            for name, evidence in self._own.items()
            if evidence.pace >= SLOW_PACE or name in self._uneven_at
        }
        return clean_reports(reports, MAX_REPORTED, MAX_RESPONSES)

    def paces(self):
        """Return the paces of the candidates of which one is known; others have 1."""
        now = self.clock.monotonic()
        if self._computed_at is None or now - self._computed_at >= PACES_REUSED_S:
            self._forget(now)
            self._own = self._measure(now)
            self._paces = self._combine(now)
            self._uneven = {n for n, pace in self._paces.items() if _is_uneven(pace)}
            self._uneven_at.update(dict.fromkeys(self._uneven, now))
            self._computed_at = now
        return self._paces

    def uneven(self):
        """Return the names of the candidates whose pace is not that of the median."""
        self.paces()
        return self._uneven

    def responses(self, name):
        """Return how many responses show a pace: this node's, and reported ones."""
        own = self._own.get(name)
        reports = [source.by_name.get(name) for source in self._reports.values()]
        return own.responses if own else 0, sum(r.responses for r in reports if r)

    def note_read(self, timing):
        """Record that a prompt has been read, or that its request has ended."""
        name = timing.candidate.name
        self._reading[name].discard(timing)
        if not self._reading[name]:
            del self._reading[name]

    def _forget(self, now):
        for key, of_model in list(self._timings.items()):
            for name, timings in list(of_model.items()):
                while timings and now - timings[0].updated_at >= MAX_MEDIAN_AGE_S:
                    timings.popleft()
                if not timings:
                    del of_model[name]
            if not of_model:
                del self._timings[key]
        self._reports = {
            source: reports
            for source, reports in self._reports.items()
            if now - reports.received_at < EXPIRY_S
        }
        self._uneven_at = {
            name: at
            for name, at in self._uneven_at.items()
            if now - at < KNOWN_UNEVEN_S
        }

    def _measure(self, now):
        """Return the ``_Evidence`` of this node's own responses, by candidate."""
        shown = {}
        for of_model in self._timings.values():
            timings = itertools.chain.from_iterable(of_model.values())
            for name, at, pace, is_overdue in _shown_paces(timings, now):
                shown.setdefault(name, []).append((at, pace, is_overdue))
        return {name: _evidence_of(responses) for name, responses in shown.items()}

    def _combine(self, now):
        """Return the paces that this node's evidence and the reports show together."""
        reports = {name: [] for name in self._own}
        counted = set()
        for source in self._reports.values():
            passed_s = now - source.received_at
            for name, report in source.by_name.items():
                report = report._replace(age_s=report.age_s + passed_s)
                if report.age_s < EXPIRY_S:
                    reports.setdefault(name, []).append(report)
                    counted.update([name] if source.includes_own else ())
        paces = {}
        for name, of_candidate in reports.items():
            own = self._own.get(name)
            if own is not None and name not in counted:
                of_candidate.append(own.report(now))
            needed = 1 if name in self._uneven_at else MIN_RESPONSES
            known = join_reports(of_candidate) if of_candidate else None
            if known is not None and known.responses >= needed:
                paces[name] = _aged_pace(known)
            elif own is not None and own.is_bound:
                paces[name] = _aged_pace(own.report(now))
        return paces


class StartEstimate:
    """The expected times to the first event of one request, at its candidates.

    ``paces`` are ``CandidatePaces``, ``times`` the ``StepTimes`` of the model.
    """

    def __init__(self, paces, times, prompt_tokens):
        self._reading_s = paces.reading_s
        self._pace_by_name = paces.paces()
        self._times = times
        self._prompt_tokens = prompt_tokens

    def is_slow(self, candidate):
        """Return whether a candidate is slow by its pace."""
        return self._pace_by_name.get(candidate.name, 1.0) >= SLOW_PACE

    def expected_s(self, candidate, load):
        """Return the seconds to the first event, with ``load`` other requests there.

        ``load`` may be a fraction.
        """
        reading_s = self._reading_s(candidate.name, self._times, load)
        seconds = self._times.first_event_s(self._prompt_tokens, load, reading_s)
        return self._pace_by_name.get(candidate.name, 1.0) * seconds


def _is_uneven(pace):
    """Return whether a pace differs from the median by the factor ``SLOW_PACE``."""
    return not 1 / SLOW_PACE < pace < SLOW_PACE


def _aged_pace(report):
    """Return the pace of a report; it returns to 1 at the age of ``EXPIRY_S``."""
    pace = min(max(report.pace, 1 / MAX_PACE), MAX_PACE)
    left = min(1.0, (EXPIRY_S - report.age_s) / (EXPIRY_S - HOLD_S))
    return 1.0 + (pace - 1.0) * max(0.0, left)


def _evidence_of(responses):
    """Return the ``_Evidence`` of a candidate's responses, as ``_measure`` has them."""
    newest = sorted(responses, reverse=True)[:MAX_RESPONSES]
    pace, newest_at = median(pace for _, pace, _ in newest), newest[0][0]
    overdue = max((pace for _, pace, is_overdue in newest if is_overdue), default=0.0)
    is_bound = len(newest) < MIN_RESPONSES and overdue >= FAR_TOO_LATE
    if is_bound:
        pace = EARLY_BOUND_FRACTION * overdue
    return _Evidence(pace, len(newest), newest_at, is_bound)


def _median_of(recent, earlier):
    """Return the median of a model, ``None`` if it has too few responses.

    ``recent`` are the ratios of the last seconds. The earlier ones count if these are
    too few.
    """
    ratios = recent if len(recent) >= MIN_MODEL_RESPONSES else recent + earlier
    return median(ratios) if len(ratios) >= MIN_MODEL_RESPONSES else None


def _shown_paces(timings, now):
    """Return what the last responses of a model show.

    Each is a tuple of the candidate's name, the time, the pace and whether the first
    event is overdue.
    """
    recent, firsts, pauses = [], ([], []), ([], [])
    for timing in timings:
        is_earlier = now - timing.updated_at >= EXPIRY_S
        pause_ratio = timing.pause_ratio()
        if timing.first_ratio is not None:
            firsts[is_earlier].append(timing.first_ratio)
        if pause_ratio is not None:
            pauses[is_earlier].append(pause_ratio)
        if not is_earlier:
            recent.append((timing, pause_ratio))
    first_median, pause_median = _median_of(*firsts), _median_of(*pauses)
    shown = []
    for timing, pause_ratio in recent:
        name, at = timing.candidate.name, timing.updated_at
        overdue = timing.overdue_ratio(now)
        if pause_ratio is not None and pause_median:
            shown.append((name, at, pause_ratio / pause_median, False))
        elif timing.first_ratio is not None and first_median:
            shown.append((name, at, timing.first_ratio / first_median, False))
        elif overdue and first_median and overdue >= SLOW_PACE * first_median:
            # An event that is not late yet shows nothing.
            shown.append((name, now, overdue / first_median, True))
    return shown
