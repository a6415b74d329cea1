"""The fault soak: ``python -m tests.soak --seeds 1-50``.

Each run starts real nodes between proxies, injects the faults that its seed selects and
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

RUN_TIMEOUT_S = 120.0


def run_one_seed(seed, keep):
    """Run one seed in this process and print the result as JSON."""
    logging.set_verbosity(logging.FATAL)
    print(json.dumps(run_seed(seed, keep)))


def run_in_subprocess(seed, keep):
    """Run one seed in its own process; return the violations and outcome counts."""
    command = [sys.executable, "-m", "tests.soak", "--one", str(seed)]
    command += ["--keep", keep] if keep else []
    process = subprocess.run(
        command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False
    )
    if process.returncode:
        return [[f"ended with {process.returncode}: {process.stderr[-2000:]}"], {}]
    return json.loads(process.stdout.splitlines()[-1])


def parse_seeds(text):
    """Return the seeds of ``1-50``, ``7,9`` or ``fresh:10`` (ten random seeds)."""
    if text.startswith("fresh:"):
        return [random.randrange(10**9) for _ in range(int(text[6:]))]
    if "-" in text:
        first, last = text.split("-")
        return list(range(int(first), int(last) + 1))
    return [int(part) for part in text.split(",")]


def main():
    """Run the seeds and print their violations; return the exit status."""
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--seeds", default="1-50", help="1-50, 7,9 or fresh:10")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--keep", default="", help="directory for logs")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one is not None:
        run_one_seed(args.one, args.keep)
        return 0
    seeds, failed = iter(parse_seeds(args.seeds)), 0
    while batch := list(islice(seeds, args.jobs)):
        runs = [gevent.spawn(run_in_subprocess, seed, args.keep) for seed in batch]
        gevent.joinall(runs)
        for seed, run in zip(batch, runs, strict=True):
            violations, counts = run.get()
            failed += bool(violations)
            print(
                f"seed {seed}: {'broken' if violations else 'good'} {counts}",
                flush=True,
            )
            for line in violations[:10]:
                print(f"    {line}", flush=True)
    print(f"{failed} seeds broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
