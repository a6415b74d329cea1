"""One request at one candidate, and how long the candidate may be silent."""

import gevent

# Silence after which a stream's group is suspect and gets no more requests: several
# times the longest usual pause, a step in which the engine reads a long prompt.
STALL_TIMEOUT_S = 0.35
# Further silence before a request is sent to another server. Waiting costs little: the
# response is late by then in any case, and a group that is only slow finishes it with
# less work than another group that has to read the prompt again.
REROUTE_DELAY_S = 0.45
# Silence before a request is sent to another server, as a multiple of the usual time
# until an answer. The maximum, a fraction of the time left, leaves another one time if
# the first has failed.
USUAL_TIME_MULTIPLE, MAX_SILENCE_FRACTION = 2.0, 0.5
# Silence before the first event after which a group is suspect, in addition to the
# time for reading the prompt.
FIRST_EVENT_STALL_TIMEOUT_S = 0.6


def reroute_delay_s(stall_timeout_s, usual_s, time_left_s):
    """Return how long after ``stall_timeout_s`` an answer is looked for elsewhere.

    Such answers usually take ``usual_s``, 0 if it is not known. ``time_left_s`` remains
    until the request's deadline. All times are in seconds.
    """
    silence_s = min(USUAL_TIME_MULTIPLE * usual_s, MAX_SILENCE_FRACTION * time_left_s)
    return max(REROUTE_DELAY_S, silence_s - stall_timeout_s)


class Exchange:
    """One request at one candidate.

    ``awaiting_server`` is true while the exchange's task sends to the server or reads
    from it, and ``waits`` counts these times. ``may_reroute`` allows the request to be
    sent to another server. After ``stall_timeout_s`` without progress the candidate
    becomes suspect, and after further ``reroute_delay_s`` the request is sent to
    another server. ``reads`` counts the pieces of a stream that have arrived, each of
    which may hold several events or a part of one. If ``is_lost`` is set, the candidate
    may be silent as long as ``is_lost()`` is false, and is never suspect. With
    ``has_begun``, the caller has a part of the response.

    ``has_unread()`` returns whether bytes of the candidate or its connection's end have
    arrived that its task has not read yet, ``has_unread_bytes()`` whether bytes have.
    ``place_elsewhere()`` returns a ``Placement`` for the request at another candidate,
    for which it may wait, or raises ``RequestError``.
    ``give_back(placement)`` undoes that. ``begin_elsewhere(placement)`` sends the
    request there and returns the attempt once its response has started, or raises
    ``RequestError``. ``end_elsewhere(attempt)`` undoes that unless the request goes on
    there. ``search`` is the task that calls them.

    ``is_past_end`` is set by the first check that finds the exchange past its deadline,
    and ``final_error`` by the check that ends it: the error is raised in its task now,
    or where that next waits for its server.
    ``was_kept_for_bytes`` tells whether bytes that arrived during a search have kept it
    since its last progress. ``timing`` is the ``ResponseTiming``, ``None`` if the
    response is not measured.
    """

    def __init__(self, request, candidate, now):
        self.request = request
        self.candidate = candidate
        self.started_at = now
        self.progress_at = now
        self.reads = 0
        self.awaiting_server = False
        self.waits = 0
        self.timing = None
        self.may_reroute = False
        self.has_begun = False
        self.is_past_end = False
        self.final_error = None
        self.is_lost = None
        self.has_unread = bool
        self.has_unread_bytes = bool
        self.place_elsewhere = None
        self.give_back = None
        self.begin_elsewhere = lambda placement: None
        self.end_elsewhere = None
        self.search = None
        self.next_search_at = 0.0
        self.was_kept_for_bytes = False
        self.stall_timeout_s = FIRST_EVENT_STALL_TIMEOUT_S
        self.reroute_delay_s = REROUTE_DELAY_S
        self.task = gevent.getcurrent()

    def forget(self):
        """Drop what refers to the attempt, which refers to this exchange.

        The request, with its body, would remain until the next garbage collection.
        """
        self.has_unread = self.has_unread_bytes = bool
        self.place_elsewhere = self.begin_elsewhere = self.final_error = None

    def note_bytes(self, now):
        """Record that bytes of an answer have arrived."""
        self.progress_at = now
        self.was_kept_for_bytes = False

    def note_progress(self, now):
        """Record that bytes of a stream have arrived."""
        self.note_bytes(now)
        self.reads += 1
        self.stall_timeout_s = STALL_TIMEOUT_S
