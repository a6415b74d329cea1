"""Runs a case: its record and its exit status."""

import os
import traceback
from pathlib import Path

from .deployment import CannotRunError

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def has_trouble():
    """Return whether the case plays its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE") != "0"


def run(play, case_file):
    """Return the exit status of a case, and write its record beside its file.

    ``play(lines)`` adds lines to the record, the last of which is the result, and
    returns whether the rule was broken. Any error of it means that nothing is shown.
    """
    lines = []
    try:
        status = BROKEN if play(lines) else HELD
    except CannotRunError as exc:
        lines.append(f"could not run: {exc}")
        status = CANNOT_RUN
    except Exception:
        lines.append(f"could not run: {traceback.format_exc()}")
        status = CANNOT_RUN
    text = "\n".join(lines) + "\n"
    Path(case_file).with_name("record.txt").write_text(text, "utf-8")
    print(lines[-1])
    return status
