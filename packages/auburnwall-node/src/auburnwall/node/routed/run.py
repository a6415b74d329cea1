"""Run a routed node as a process, from its start to the end of its shutdown."""

import gc
import signal
from contextlib import ExitStack

import gevent

from auburnwall.base import logs, memory
from auburnwall.base.tasks import TaskGroup

from .node import RoutedNode

# Time allowed for writing out the remaining log lines at exit, in seconds.
LOG_DRAIN_TIMEOUT_S = 0.2


def run_routed_node(cfg, new_platform, load_settings, stages):
    """Run a node until it receives SIGTERM or SIGINT and its shutdown has finished.

    ``new_platform(stack)`` returns the ``Platform``. ``load_settings()`` reads the
    settings again and raises ``AuburnwallError`` if they are invalid. ``stages`` are
    the ``StartStages`` of this start.
    """
    writer = logs.set_up(cfg.log_format, cfg.log_level, cfg.node, max_recent_events=0)
    memory.budget.limit_to(cfg.memory_mb * 2**20)
    with ExitStack() as stack:
        tasks = stack.enter_context(TaskGroup())
        platform = new_platform(stack)
        node = RoutedNode(cfg, platform, tasks, stack, load_settings, stages=stages)
        gevent.signal_handler(signal.SIGTERM, node.shutdown.begin)
        gevent.signal_handler(signal.SIGINT, node.shutdown.begin)
        gevent.signal_handler(signal.SIGHUP, node.reload)
        node.start()
        # What the start has created lives as long as the process. Later collections
        # need not look through it.
        gc.freeze()
        gc.enable()
        node.shutdown.finished.wait()
    logs.event("stopped")
    writer.drain(LOG_DRAIN_TIMEOUT_S)
    # The interpreter collects garbage once more at its end, which takes most of the
    # time between the stop and the end of the process; nothing is left to release.
    gc.freeze()
