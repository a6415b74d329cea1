"""Run the demo on a stand-in of the users' platform: ``make demo-platform``."""

import signal
import sys
import tempfile

from .platform_cluster import KEY, PlatformCluster

NODES = 3


def steps(cluster):
    """Run the steps and yield a description of each after it has succeeded.

    Raises ``AssertionError`` or ``TimeoutError`` if a step fails.
    """
    names = sorted(cluster.nodes)
    cluster.wait(lambda: all(map(cluster.is_ready, names)), "all nodes are ready")
    yield "three nodes are ready"
    cluster.wait(
        lambda: len(cluster.directory_addresses(names[0])) == NODES,
        "all nodes are listed",
    )
    yield "the directory lists all of them"
    cluster.wait(
        lambda: cluster.send_request(names[1], "a-1")[0] == 200, "a group is open"
    )
    status, body = cluster.send_request(names[2], "a-2")
    assert (status, body.count(b"data: piece-")) == (200, 10)
    yield "a stream of ten events arrives complete from a group of two servers"
    assert cluster.send_request(names[0], "a-3", key="other")[0] == 401
    assert cluster.send_request(names[0], "a-4", path="/nowhere/")[0] == 404
    yield "an unknown key and an unknown route are refused"
    assert cluster.send_request(names[0], "a-5", path="/book/x", key=KEY)[0] == 200
    yield "a booking succeeds"
    cluster.stop_server("i-engine-0")
    responses = [cluster.send_request(names[i % NODES], f"b-{i}") for i in range(30)]
    assert all(body.count(b"data: piece-") == 10 for _, body in responses)
    yield "a server disappears and 30 streams arrive complete"
    cluster.set_store_fault("busy")
    assert cluster.send_request(names[1], "c-1")[0] == 200
    cluster.set_store_fault("")
    yield "requests are served while the store refuses all calls"
    cluster.signal(names[0], signal.SIGTERM)
    address = cluster.nodes[names[0]]["front"]
    cluster.wait(
        lambda: address not in cluster.directory_addresses(names[1]),
        "the node is not listed",
    )
    cluster.wait(lambda: cluster.exit_code(names[0]) == 0, "the node ends")
    yield "a stopped node is removed from the directory and exits with 0"


def main():
    """Run the demo; return 0 if all steps succeed, else 1."""
    with tempfile.TemporaryDirectory() as out, PlatformCluster(NODES, out) as cluster:
        try:
            for number, step in enumerate(steps(cluster), 1):
                print(f"{number}. {step}", flush=True)
        except (AssertionError, TimeoutError) as exc:
            print(f"step failed: {exc!r}", file=sys.stderr)
            return 1
    print("all steps succeeded")
    return 0


if __name__ == "__main__":
    sys.exit(main())
