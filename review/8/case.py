"""Servers send chunks without end; requests are held past the route's timeout."""

import os
import signal
import sys
import time
from pathlib import Path

from review.lib2.deployment import LOOK_TIMEOUT_MS, CannotRunError, Deployment
from review.lib2.kept import KeptCaller

NODE = "edge-norte-1"
DESKS, DESK_SLOTS, DESKS_IN_TROUBLE = 5, 6, 3
CALLERS = 30
QUIET_S, TROUBLE_S = 5.0, 25.0
# The callers wait for twice the route's timeout.
DEADLINE_MS = 2 * LOOK_TIMEOUT_MS
# Time after the route's timeout in which at least half must have an answer.
MARGIN_S = 0.5


def play(deployment, has_trouble, lines):
    """Run the callers; return the outcomes of all their requests."""
    front = deployment.nodes[NODE]["front"]
    callers = [
        KeptCaller(front, f"d{n:02x}", "/look/x", DEADLINE_MS, method="GET")
        for n in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(QUIET_S)
    for number in range(DESKS_IN_TROUBLE if has_trouble else 0):
        deployment.signal(f"i-desk-{number}", signal.SIGUSR1)
        lines.append(f"{time.time():.3f} i-desk-{number} sends chunks without end")
    time.sleep(TROUBLE_S)
    for caller in callers:
        caller.stop()
    for caller in callers:
        caller.join(DEADLINE_MS / 1000 + 2.0)
    return [outcome for caller in callers for outcome in caller.outcomes]


def main():
    """Return 1 if the rule was broken, 0 if it held, 2 if nothing is shown."""
    lines = []
    try:
        with Deployment() as deployment:
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
            has_trouble = os.environ.get("TROUBLE") != "0"
            outcomes = play(deployment, has_trouble, lines)
            lines += deployment.runs()
    except CannotRunError as exc:
        lines.append(f"could not run: {exc}")
        code = 2
    else:
        timeout_s = LOOK_TIMEOUT_MS / 1000
        took = [(o.ended_at - o.sent_at, o.status) for o in outcomes]
        open_ones = [entry for entry in took if entry[0] > timeout_s]
        held = [entry for entry in open_ones if entry[0] > timeout_s + MARGIN_S]
        never = [entry for entry in held if not entry[1]]
        code = 1 if len(held) > len(open_ones) / 2 else 0
        lines += [outcome.line() for outcome in outcomes]
        lines.append(
            f"{len(outcomes)} requests, {len(open_ones)} unanswered after"
            f" {timeout_s} s, {len(held)} of them {MARGIN_S} s later, and {len(never)}"
            f" until the caller left after {DEADLINE_MS / 1000 + 1} s"
        )
    Path(__file__).with_name("record.txt").write_text("\n".join(lines) + "\n")
    print(lines[-1])
    return code


if __name__ == "__main__":
    sys.exit(main())
