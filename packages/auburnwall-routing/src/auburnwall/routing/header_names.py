"""Names of the headers that callers, nodes and backend servers exchange."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """The header names of one deployment.

    ``seal`` is the server's proof that an answer is its own. ``not_run`` states that
    the server did not run the request. ``expected_server`` lets any other server at
    the address refuse the request; ``server_at_fault`` names the server for which a
    group's head refuses. ``tokens`` holds the prompt's tokens and the most that the
    answer may have, ``answer_hint`` the caller's guess of the latter.
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
