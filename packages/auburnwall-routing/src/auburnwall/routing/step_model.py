"""How long a group of model servers takes, from its engine's specification.

A step yields one token for each request that is writing. It takes a fixed time, some
for each such request and some for its context; prompts are read in between, each token
once, and each pair of a token with an earlier one costs a little more.
"""

from typing import NamedTuple


class Work(NamedTuple):
    """What a request asks of a group, in tokens."""

    prompt: int
    answer: int


def step_time(engine, model, running, context):
    """Return seconds of one step with ``running`` requests of ``context`` tokens."""
    per_request = engine.step_per_request_s + context * engine.step_per_token_s
    return model.pace * (engine.step_s + running * per_request)


def prefill_time(engine, model, prompt):
    """Return seconds in which a group reads a prompt and does nothing else."""
    pairs = prompt * prompt / 2
    return model.pace * (
        prompt * engine.prefill_per_token_s + pairs * engine.prefill_per_pair_s
    )


def service_time(engine, model, work, running):
    """Return seconds from the first to the last token of a request's work."""
    context = work.prompt + work.answer / 2
    return prefill_time(engine, model, work.prompt) + work.answer * step_time(
        engine, model, running, context
    )


def group_share(engine, model, work):
    """Return the part of a full group's time that one request takes, in seconds.

    The sum of this over the requests of a second is how many groups they keep busy.
    """
    full = engine.slots
    context = work.prompt + work.answer / 2
    decode = work.answer * step_time(engine, model, full, context) / full
    return prefill_time(engine, model, work.prompt) + decode
