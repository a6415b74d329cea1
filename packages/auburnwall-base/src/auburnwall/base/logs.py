"""Structured logs through ``absl.logging``.

Each line is an event with named fields. An event has the fields ``request``, ``step``
and ``peer`` if they apply to it.

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
MAX_RECENT_EVENTS = 5_000

_recent = deque(maxlen=MAX_RECENT_EVENTS)


class _StructuredFormatter(std_logging.Formatter):
    """Format a record as one JSON object or as key=value pairs."""

    def __init__(self, line_format, node):
        super().__init__()
        self._line_format = line_format
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
        if self._line_format == "json":
            return json.dumps(line, default=str)
        return " ".join(
            f"{key}={json.dumps(value, default=str)}" for key, value in line.items()
        )


def set_up(line_format, level, node, *, max_recent_events=MAX_RECENT_EVENTS):
    """Write logs of ``level`` and above to standard output; return the ``LineWriter``.

    ``line_format`` is one of ``FORMATS``. Lines go through the bounded buffer of the
    ``LineWriter``, which the caller may ``drain`` at exit. ``recent_events`` returns up
    to ``max_recent_events`` events.
    """
    global _recent
    _recent = deque(_recent, maxlen=max_recent_events)
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    writer = LineWriter(sys.stdout.fileno())
    handler.python_handler.stream = writer
    handler.setFormatter(_StructuredFormatter(line_format, node))
    logging.set_verbosity(level)
    # absl also writes lines of this level and above to standard error.
    logging.set_stderrthreshold("fatal")
    root = std_logging.getLogger()
    root.handlers = [handler]
    return writer


def event(name, /, *, level=logging.INFO, exc_info=None, **fields):
    """Log an event with its fields and add it to the recent events."""
    _recent.append({"time": time.time(), "event": name, **fields})
    logger = logging.get_absl_logger()
    std_level = logging.converter.absl_to_standard(level)
    if logger.isEnabledFor(std_level):
        logger.log(std_level, name, extra={"fields": fields}, exc_info=exc_info)


def warn(name, /, **fields):
    """Log an event that may need an operator's action."""
    event(name, level=logging.WARNING, **fields)


def recent_events():
    """Return the recent events of this process, oldest first."""
    return list(_recent)
