"""How long a response takes, as a multiple of what the step model expects."""

from collections import deque

from .step_model import Work, prefill_time_s, service_time_s, step_time_s

# Newest pauses of a response that count, and how many show its pace. A pause in which
# the engine reads another prompt is up to twice as long as the others.
MAX_PAUSES, MIN_PAUSES = 8, 3
# Factor by which a prompt counts as longer or shorter than the mean at most. A caller
# that states an absurd length must not make a group seem busy or slow.
MAX_MEAN_FACTOR = 5
# Maximum delay between an event and the next read, in seconds. After a longer one, for
# example for a caller that reads slowly, the next event may have been there already.
MAX_READ_DELAY_S = 0.01


class StepTimes:
    """The times that a candidate of pace 1 takes, by its engine's specification.

    ``engine`` and ``model`` are an ``EngineSpec`` and a ``ModelSpec``. Of a request
    whose lengths are not known, the means of the engine are assumed.
    """

    def __init__(self, engine, model):
        self._engine, self._model = engine, model
        mean = Work(engine.mean_prompt_tokens, engine.mean_response_tokens)
        self._mean_context = mean.prompt_tokens + mean.response_tokens / 2
        mean_prefill_s = self.prefill_s(mean.prompt_tokens)
        slot_time_s = service_time_s(engine, model, mean, engine.slots)
        # Reading that a request of unknown progress has left, in seconds: the fraction
        # of its time in which it reads, times the time for reading.
        self.mean_reading_s = mean_prefill_s * mean_prefill_s / slot_time_s

    def prefill_s(self, prompt_tokens):
        """Return the seconds for reading a prompt.

        The number of tokens is what the caller states, so it is bounded.
        """
        mean = self._engine.mean_prompt_tokens
        tokens = max(mean / MAX_MEAN_FACTOR, min(prompt_tokens, MAX_MEAN_FACTOR * mean))
        return prefill_time_s(self._engine, self._model, tokens)

    def event_s(self, running):
        """Return the seconds between two events, with ``running`` requests."""
        step_s = step_time_s(self._engine, self._model, running, self._mean_context)
        return self._engine.tokens_per_event * step_s

    def first_event_s(self, prompt_tokens, load, reading_s):
        """Return the seconds until a new request's first event.

        There are ``load`` other requests, whose prompts take ``reading_s`` more.
        """
        return reading_s + self.prefill_s(prompt_tokens) + self.event_s(load + 1)


class ResponseTiming:
    """The times of one response, as multiples of those of a candidate of pace 1.

    ``paces`` are the ``CandidatePaces`` that it is part of. ``first_event_s`` is the
    expected time to the first event. ``updated_at`` is the time of the newest
    measurement.
    """

    def __init__(self, paces, candidate, times, prompt_tokens, first_event_s):
        now = paces.clock.monotonic()
        self.candidate = candidate
        self.first_ratio = None
        self.updated_at = now
        self._paces = paces
        self._times = times
        self._prefill_s = times.prefill_s(prompt_tokens)
        self._first_event_s = first_event_s
        self._pause_ratios = deque(maxlen=MAX_PAUSES)
        self._awaits_first = True
        self._began_at = self._wait_began_at = self._last_at = now

    def note_wait(self):
        """Record that the next event is awaited from now on."""
        self._wait_began_at = self._paces.clock.monotonic()

    def note_event(self):
        """Record that an event has arrived.

        Nothing is measured if the node has been late, as any server seems slow then.
        """
        now = self._paces.clock.monotonic()
        is_measured = not self._paces.was_late(self._last_at)
        if self._awaits_first:
            self.end()
            if is_measured:
                self.first_ratio = self._ratio_at(now)
                self.updated_at = now
        elif is_measured and self._wait_began_at - self._last_at <= MAX_READ_DELAY_S:
            expected_s = self._times.event_s(self._paces.load_of(self.candidate))
            self._pause_ratios.append((now - self._last_at) / expected_s)
            self.updated_at = now
        self._last_at = now

    def end(self):
        """Record that no first event is awaited any more."""
        if self._awaits_first:
            self._awaits_first = False
            self._paces.note_read(self)

    def pause_ratio(self):
        """Return the mean of the last pauses, ``None`` if there are too few."""
        if len(self._pause_ratios) < MIN_PAUSES:
            return None
        return sum(self._pause_ratios) / len(self._pause_ratios)

    def overdue_ratio(self, now):
        """Return how late the first event is, ``None`` if none is awaited."""
        if not self._awaits_first or self._paces.was_late(self._began_at):
            return None
        return self._ratio_at(now)

    def reading_left_s(self, now):
        """Return the seconds for reading the prompt that are left, at the pace 1."""
        return max(0.0, self._prefill_s - (now - self._began_at))

    def _ratio_at(self, now):
        return (now - self._began_at) / self._first_event_s
