"""Structured logs through ``absl.logging``.

Every line is an event with named fields, among them ``request``, ``step`` and
``peer`` where they apply.

    >>> event("lease granted", name="steward/norte-cali", offset=17)
"""

import json
import logging as std_logging
import sys
import time
from collections import deque

from absl import flags, logging

from .line_writer import LineWriter

FORMATS = ("json", "keyvalue")
RECENT_EVENTS = 5_000

_recent = deque(maxlen=RECENT_EVENTS)


class _StructuredFormatter(std_logging.Formatter):
    """Write a record as one JSON object or as key=value pairs."""

    def __init__(self, style, node):
        super().__init__()
        self._style = style
        self._node = node

    def format(self, record):
        line = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "node": self._node,
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        if self._style == "json":
            return json.dumps(line, default=str)
        return " ".join(
            f"{key}={json.dumps(value, default=str)}" for key, value in line.items()
        )


def set_up(style, level, node, *, recent=RECENT_EVENTS):
    """Send all logs to standard output in ``style``, from ``level`` upwards.

    Lines go through a bounded buffer, which the caller may ``drain`` at the end. The
    last ``recent`` events are kept for ``recent_events``.
    """
    global _recent
    _recent = deque(_recent, maxlen=recent)
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    writer = LineWriter(sys.stdout.fileno())
    handler.python_handler.stream = writer
    handler.setFormatter(_StructuredFormatter(style, node))
    logging.set_verbosity(level)
    # Lines from this level upwards would go to standard error as well.
    logging.set_stderrthreshold("fatal")
    root = std_logging.getLogger()
    root.handlers = [handler]
    return writer


def event(name, /, *, level=logging.INFO, exc_info=None, **fields):
    """Log one event with its fields, and keep it among the recent ones."""
    _recent.append({"time": time.time(), "event": name, **fields})
    logger = logging.get_absl_logger()
    std_level = logging.converter.absl_to_standard(level)
    if logger.isEnabledFor(std_level):
        logger.log(std_level, name, extra={"fields": fields}, exc_info=exc_info)


def warn(name, /, **fields):
    """Log one event that an operator may have to act upon."""
    event(name, level=logging.WARNING, **fields)


def recent_events():
    """Return the last events of this process, the oldest first."""
    return list(_recent)
