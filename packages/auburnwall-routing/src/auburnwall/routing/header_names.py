"""Names of the headers that callers, nodes and backend servers exchange."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """The header names of one deployment.

    ``seal`` is the server's proof that a response is its own. ``not_run`` states that
    the server did not run the request. ``expected_server`` names the server that the
    request is for, so that another server at the same address refuses it.
    ``server_at_fault`` names the member because of which the head of a group refuses.
    ``tokens`` holds the number of prompt tokens and the largest number of response
    tokens; ``answer_hint`` is the caller's estimate of the response tokens.
    ``prompt_parts`` lists the parts of the prompt. ``leaving`` states that the server
    leaves, ``pause`` for how long a refusing server wants no request, and ``limit`` how
    many requests per second the server takes. ``urgency`` is that of a request,
    from 0 (first) to 9.
    """

    request_id: str
    deadline_ms: str
    last_event_id: str
    seal: str
    team: str
    expected_server: str
    server_at_fault: str
    not_run: str
    model: str
    tokens: str
    answer_hint: str
    prompt_parts: str
    leaving: str
    pause: str
    limit: str
    urgency: str
