"""A server is cut off, and crashes behind the cut, while its streams are continued."""

import signal
import sys
import threading
import time

from review.lib2.case import has_trouble, run
from review.lib2.deployment import CannotRunError, Deployment
from review.lib2.proxy import HoldingProxy
from review.lib2.streams import StreamCaller

ENGINES, DOMAINS, NODES = 8, 2, 2
# Time from a request to the first event, within the route's objective of 0.4 s.
ANSWER_S = 0.35
EVENTS, EVENT_S = 100, 0.04
STREAMS = 12
# How long each cut lasts, and when in it the server crashes, in seconds.
CUTS_S, CRASH_S = (1.0, 1.1, 1.05, 1.15), 0.4
# Time until the crashed server has started again, and the pause between two cuts.
RESTART_S, PAUSE_S = 1.0, 6.0


def host_port(address):
    """Return a pair of host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def start(deployment):
    """Start servers, each behind a proxy, and nodes; return the proxies by server."""
    proxies = {}
    for number in range(ENGINES):
        name, registered = f"i-engine-{number}", deployment.free_address()
        address = deployment.add_server(
            name,
            "assist",
            f"norte-d{number % DOMAINS}",
            registered,
            answer_s=ANSWER_S,
            events=EVENTS,
            event_s=EVENT_S,
        )
        proxies[name] = HoldingProxy(host_port(registered), host_port(address))
    for number in range(NODES):
        deployment.add_node(f"edge-norte-{number + 1}")
    deployment.wait(lambda: all(map(deployment.is_ready, deployment.nodes)), "nodes")
    return proxies


def run_streams(deployment, prefix, during=None):
    """Run streams at all nodes; return their callers. ``during()`` is called once."""
    fronts = [node["front"] for node in deployment.nodes.values()]
    callers = [
        StreamCaller(fronts[n % len(fronts)], f"{prefix}{n:02x}")
        for n in range(STREAMS)
    ]
    for caller in callers:
        caller.start()
        time.sleep(0.03)
    if during:
        deployment.wait(
            lambda: all(len(caller.ids) >= 5 for caller in callers), "streams", 8.0
        )
        during()
    for caller in callers:
        caller.join(15.0)
    return callers


def busiest_server(deployment, prefix):
    """Return the server that runs most of these requests."""
    runs = [line.split() for line in deployment.runs()]
    servers = [words[4] for words in runs if words[2].startswith(prefix)]
    return max(sorted(set(servers)), key=servers.count)


def cut_and_crash(deployment, proxies, prefix, cut_s, lines):
    """Cut one server off for a time; it crashes meanwhile and starts again later."""
    server = busiest_server(deployment, prefix)
    proxies[server].cut()
    lines.append(f"{time.time():.3f} {server} is cut off for {cut_s} s")
    time.sleep(CRASH_S)
    deployment.signal(server, signal.SIGKILL)
    lines.append(f"{time.time():.3f} {server} crashes behind the cut")
    time.sleep(cut_s - CRASH_S)
    proxies[server].heal()
    lines.append(f"{time.time():.3f} the cut of {server} ends")
    threading.Timer(RESTART_S, deployment.start_server, (server,)).start()


def play(lines):
    """Return whether a stream had an event twice."""
    callers = []
    with Deployment() as deployment:
        proxies = start(deployment)
        deployment.wait(
            lambda: all(c.is_whole for c in run_streams(deployment, "a0")),
            "groups",
            30.0,
        )
        for number, cut_s in enumerate(CUTS_S):
            prefix = f"b{number}"

            def cut(prefix=prefix, cut_s=cut_s):
                cut_and_crash(deployment, proxies, prefix, cut_s, lines)

            callers += run_streams(deployment, prefix, cut if has_trouble() else None)
            time.sleep(PAUSE_S if has_trouble() else 0.0)
        lines += deployment.runs()
    lines += [caller.line() for caller in callers]
    whole = [caller for caller in callers if caller.is_whole]
    if not whole:
        raise CannotRunError("no stream was served")
    broken = [c for c in callers if c.status == 200 and c.repeated]
    lines.append(
        f"{len(callers)} streams, {len(whole)} of them whole; {len(broken)} had an"
        " event twice"
    )
    return bool(broken)


if __name__ == "__main__":
    sys.exit(run(play, __file__))
