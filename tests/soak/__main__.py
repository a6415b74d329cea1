"""The fault soak: ``python -m tests.soak --seeds 1-50``.

Each run starts real nodes between proxies, lets things go wrong as its seed says and
checks what callers and servers saw.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
from itertools import islice  # noqa: E402

import gevent  # noqa: E402
from absl import logging  # noqa: E402

from .run import run_seed  # noqa: E402

RUN_WITHIN_S = 120.0


def work(seed, keep):
    """Run one seed in this process and print the result as JSON."""
    logging.set_verbosity(logging.FATAL)
    print(json.dumps(run_seed(seed, keep)))


def run_in_process(seed, keep):
    """Return the result of a seed that runs in a process of its own."""
    command = [sys.executable, "-m", "tests.soak", "--one", str(seed)]
    command += ["--keep", keep] if keep else []
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=RUN_WITHIN_S, check=False
    )
    if done.returncode:
        return [[f"ended with {done.returncode}: {done.stderr[-2000:]}"], {}]
    return json.loads(done.stdout.splitlines()[-1])


def seeds_of(text):
    """Return the seeds that ``1-50``, ``7,9`` or ``fresh:10`` means."""
    if text.startswith("fresh:"):
        return [random.randrange(10**9) for _ in range(int(text[6:]))]
    if "-" in text:
        first, last = text.split("-")
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.split(",")]


def main():
    """Run the seeds and print what was broken."""
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--seeds", default="1-50", help="1-50, 7,9 or fresh:10")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--keep", default="", help="directory for logs")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one is not None:
        work(args.one, args.keep)
        return 0
    seeds, failed = iter(seeds_of(args.seeds)), 0
    while batch := list(islice(seeds, args.jobs)):
        runs = [gevent.spawn(run_in_process, seed, args.keep) for seed in batch]
        gevent.joinall(runs)
        for seed, run in zip(batch, runs, strict=True):
            broken, counts = run.get()
            failed += bool(broken)
            print(f"seed {seed}: {'broken' if broken else 'good'} {counts}", flush=True)
            for line in broken[:10]:
                print(f"    {line}", flush=True)
    print(f"{failed} seeds broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
