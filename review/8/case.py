"""Servers send chunks without end; requests are held past the route's timeout."""

import signal
import sys
import time

from review.lib2.case import has_trouble, run
from review.lib2.deployment import CannotRunError, Deployment
from review.lib2.kept import KeptCaller

NODE = "edge-norte-1"
DESKS, DESK_SLOTS, DESKS_IN_TROUBLE = 5, 6, 3
CALLERS = 30
QUIET_S, TROUBLE_S = 5.0, 25.0
# The callers wait for twice the route's timeout.
TIMEOUT_MS, DEADLINE_MS = 4000, 8000
# Time after the route's timeout in which at least half must have an answer.
MARGIN_S = 0.5


def run_callers(deployment, lines):
    """Run the callers; return the outcomes of all their requests."""
    front = deployment.nodes[NODE]["front"]
    callers = [
        KeptCaller(front, f"d{n:02x}", "/look/x", DEADLINE_MS, method="GET")
        for n in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(QUIET_S)
    for number in range(DESKS_IN_TROUBLE if has_trouble() else 0):
        deployment.signal(f"i-desk-{number}", signal.SIGUSR1)
        lines.append(f"{time.time():.3f} i-desk-{number} sends chunks without end")
    time.sleep(TROUBLE_S)
    for caller in callers:
        caller.stop()
    for caller in callers:
        caller.join(DEADLINE_MS / 1000 + 2.0)
    return [outcome for caller in callers for outcome in caller.outcomes]


def play(lines):
    """Return whether over half of the late requests were held for longer still."""
    with Deployment(TIMEOUT_MS) as deployment:
        for number in range(DESKS):
            deployment.add_server(
                f"i-desk-{number}",
                "desk",
                "",
                slots=DESK_SLOTS,
                answer_s=0.09,
                in_chunks=True,
            )
        deployment.add_node(NODE)
        deployment.wait(lambda: deployment.is_ready(NODE), "node")
        outcomes = run_callers(deployment, lines)
        lines += deployment.runs()
    lines += [outcome.line() for outcome in outcomes]
    if not any(outcome.status == 200 for outcome in outcomes):
        raise CannotRunError("nothing was served")
    timeout_s = TIMEOUT_MS / 1000
    took = [(o.ended_at - o.sent_at, o.status) for o in outcomes]
    late = [entry for entry in took if entry[0] > timeout_s]
    held = [entry for entry in late if entry[0] > timeout_s + MARGIN_S]
    never = [entry for entry in held if not entry[1]]
    lines.append(
        f"{len(outcomes)} requests, {len(late)} unanswered after {timeout_s} s,"
        f" {len(held)} of them {MARGIN_S} s later, and {len(never)} until the caller"
        f" left after {DEADLINE_MS / 1000 + 1} s"
    )
    return len(held) > len(late) / 2


if __name__ == "__main__":
    sys.exit(run(play, __file__))
