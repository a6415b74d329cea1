"""Show the system on a stand-in of the users' platform: ``make demo-platform``."""

import signal
import sys
import tempfile

from .platform_cluster import KEY, PlatformCluster

NODES = 3


def steps(cluster):
    """Yield what is done and whether it went as it should."""
    names = sorted(cluster.nodes)
    cluster.wait(lambda: all(map(cluster.ready, names)), "all nodes are ready")
    yield "three nodes are ready"
    cluster.wait(lambda: len(cluster.named(names[0])) == NODES, "all are named")
    yield "the directory names all of them"
    cluster.wait(lambda: cluster.ask(names[1], "a-1")[0] == 200, "a group is open")
    status, body = cluster.ask(names[2], "a-2")
    assert (status, body.count(b"data: piece-")) == (200, 10)
    yield "a stream of ten events comes whole from a group of two servers"
    assert cluster.ask(names[0], "a-3", key="other")[0] == 401
    assert cluster.ask(names[0], "a-4", path="/nowhere/")[0] == 404
    yield "an unknown key and an unknown route are refused"
    assert cluster.ask(names[0], "a-5", path="/book/x", key=KEY)[0] == 200
    yield "a booking is answered"
    cluster.stop_server("i-engine-0")
    answers = [cluster.ask(names[i % NODES], f"b-{i}") for i in range(30)]
    assert all(body.count(b"data: piece-") == 10 for _, body in answers)
    yield "a server vanishes and 30 streams come whole"
    cluster.set_trouble("busy")
    assert cluster.ask(names[1], "c-1")[0] == 200
    cluster.set_trouble("")
    yield "requests are served while the store refuses all calls"
    cluster.signal(names[0], signal.SIGTERM)
    gone = cluster.nodes[names[0]]["front"]
    cluster.wait(lambda: gone not in cluster.named(names[1]), "the node is not named")
    cluster.wait(lambda: cluster.exit_code(names[0]) == 0, "the node ends")
    yield "a node that is stopped is named no more and ends by itself"


def main():
    """Run the demo; return 1 if a step fails."""
    with tempfile.TemporaryDirectory() as out, PlatformCluster(NODES, out) as cluster:
        try:
            for number, done in enumerate(steps(cluster), 1):
                print(f"{number}. {done}", flush=True)
        except (AssertionError, TimeoutError) as exc:
            print(f"not as it should be: {exc!r}", file=sys.stderr)
            return 1
    print("all steps went as they should")
    return 0


if __name__ == "__main__":
    sys.exit(main())
