"""Service times of a group of model servers, from its engine's specification.

A decode step yields one token for each running request. It takes a fixed time, plus a
time per request, plus a time per token of each request's context. Between steps the
group prefills prompts: every prompt token takes a fixed time, and so does every pair of
a token with an earlier one.
"""

from typing import NamedTuple


class Work(NamedTuple):
    """The work of one request: the lengths of its prompt and response in tokens."""

    prompt_tokens: int
    response_tokens: int


def step_time_s(engine, model, running, context_tokens):
    """Return the seconds of one step of ``running`` requests.

    Each of them has a context of ``context_tokens``.
    """
    per_request = engine.step_per_request_s + context_tokens * engine.step_per_token_s
    return model.pace * (engine.step_s + running * per_request)


def prefill_time_s(engine, model, prompt_tokens):
    """Return the seconds for which prefilling a prompt occupies the whole group."""
    token_pairs = prompt_tokens * prompt_tokens / 2
    return model.pace * (
        prompt_tokens * engine.prefill_per_token_s
        + token_pairs * engine.prefill_per_pair_s
    )


def service_time_s(engine, model, work, running):
    """Return the seconds from the start of a request's prefill to its last token.

    ``running`` requests, this one included, share the group meanwhile.
    """
    context_tokens = work.prompt_tokens + work.response_tokens / 2
    return prefill_time_s(
        engine, model, work.prompt_tokens
    ) + work.response_tokens * step_time_s(engine, model, running, context_tokens)


def group_seconds_per_request(engine, model, work):
    """Return the seconds of a fully loaded group's time that one request uses.

    The sum over all requests that arrive in one second is the number of groups that
    they keep busy.
    """
    all_slots = engine.slots
    context_tokens = work.prompt_tokens + work.response_tokens / 2
    decode_s = (
        work.response_tokens
        * step_time_s(engine, model, all_slots, context_tokens)
        / all_slots
    )
    return prefill_time_s(engine, model, work.prompt_tokens) + decode_s
