"""Run the benchmarks: ``make bench``; writes ``docs/internals/benchmarks.md``."""

import argparse
import json
import sys
import time
from datetime import date
from importlib import import_module
from pathlib import Path

from absl import logging

PAGE = Path(__file__).parent.parent / "docs" / "internals" / "benchmarks.md"
NAMES = ("planners", "leaving", "fairness", "claims", "overhead")


def table(rows):
    """Return the rows, dictionaries with the same keys, as a Markdown table."""
    columns = list(rows[0])
    lines = [
        columns,
        ["---"] * len(columns),
        *([row[column] for column in columns] for row in rows),
    ]
    return "\n".join("| " + " | ".join(map(str, line)) + " |" for line in lines)


def main():
    """Run the benchmarks that the arguments name; without names run all of them.

    Only a run of all benchmarks writes the page.
    """
    parser = argparse.ArgumentParser(prog="benchmarks")
    # argparse checks the default against the choices, so they include the empty list.
    parser.add_argument("names", nargs="*", choices=[[], *NAMES], default=[])
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    sections, results = [], {}
    for name in args.names or NAMES:
        module = import_module(f"benchmarks.{name}")
        started_at = time.monotonic()
        results[name] = rows = module.main()
        duration = f"{time.monotonic() - started_at:.0f} s"
        sections.append(
            f"## {name}\n\n{module.__doc__.strip()}\n\n{table(rows)}\n\n{duration}"
        )
        print(sections[-1], end="\n\n", file=sys.stderr if args.json else sys.stdout)
    if args.json:
        print(json.dumps(results, indent=2))
    if not args.names:
        title = f"# Benchmarks\n\n`make bench`, {date.today()}, seeds in the modules.\n"
        PAGE.write_text("\n\n".join([title.rstrip(), *sections]) + "\n", "utf-8")


if __name__ == "__main__":
    main()
