"""What the attempts at a request show of crashes, and whether it is blocked."""

from auburnwall.base.logs import event

from .call import is_fingerprint
from .crash_evidence import Suspect
from .exceptions import OverloadedError


class CrashChecks:
    """The evidence of one request, and what is known against it.

    ``deps`` are the ``ForwarderDeps``.
    """

    def __init__(self, deps, request):
        self._deps = deps
        self._request = request

    def note_failure(self, attempt):
        """Record the request as evidence if the server of an exchange has crashed.

        A refused connection is no sign of that while this node reaches no server.
        """
        deps, request, candidate = self._deps, self._request, attempt.candidate
        failed_at = deps.clock.monotonic()
        if not deps.channels.has_crashed(candidate.server, candidate.address):
            return
        if not deps.reach.reaches_any_since(failed_at):
            event(
                "crash not counted",
                request=request.request_id,
                peer=candidate.server,
                group=candidate.name,
                why="no server can be reached",
            )
            return
        deps.crash_evidence.note_crash(
            candidate.server,
            candidate.born,
            Suspect(
                request.shared_parts,
                "".join(request.prompt_parts[-1:]),
                request.fingerprint,
            ),
            request.request_id,
            attempt.exchange.started_at,
        )

    def find_blocked(self, *, is_logged=True):
        """Return a title and an ``OverloadedError`` if the request is blocked.

        It is if it or a part of its prompt crashes servers; otherwise returns ``None``.
        A refusal is logged if ``is_logged``.
        """
        found = self._deps.crash_evidence.blocked_cause(self._request.crash_causes)
        if found is None:
            return None
        cause, left_s = found
        if is_fingerprint(cause):
            step, title = "check request", "Request crashes servers"
            detail = f"servers crash at this request, {cause}"
        else:
            step, title = "check prompt", "Prompt crashes servers"
            detail = f"servers crash at prompts with part {cause}"
        if is_logged:
            event(
                "request refused",
                request=self._request.request_id,
                step=step,
                part=cause,
                why=detail,
                retry_after_s=round(left_s, 2),
            )
        return title, OverloadedError(detail, left_s, step=step)

    def note_answer(self, attempt):
        """Record what the complete response of an attempt shows to be sound."""
        self._deps.crash_evidence.note_answered(self._sound_causes(attempt))

    def _sound_causes(self, attempt):
        """Return what a complete response shows to be sound.

        Only the events of a stream show that the server has read the prompt. A peer's
        response may be a failure of its own; what it shows, the peer itself records.
        """
        if attempt.is_detour:
            return ()
        request = self._request
        if attempt.exchange.reads and 200 <= attempt.status < 300:
            return request.crash_causes
        return () if request.route.streams else (request.fingerprint,)
