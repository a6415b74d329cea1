"""The ``auburnwalld`` command."""

from auburnwall.base.startup import handle_signals_while_starting

handle_signals_while_starting()

from gevent import monkey  # noqa: E402

monkey.patch_all()

import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from contextlib import ExitStack  # noqa: E402

import gevent  # noqa: E402
from cleo.application import Application  # noqa: E402
from cleo.commands.command import Command  # noqa: E402
from cleo.helpers import option  # noqa: E402

from auburnwall.base import logs, memory  # noqa: E402
from auburnwall.base.exceptions import SettingsError  # noqa: E402
from auburnwall.base.settings import describe, flag_name, load  # noqa: E402
from auburnwall.base.tasks import TaskGroup  # noqa: E402
from auburnwall.wire.server import PeerServer  # noqa: E402

from .components import NodeComponents, new_external_deps  # noqa: E402
from .http import HttpServer  # noqa: E402
from .peer_handler import PeerHandler  # noqa: E402
from .settings import CHECKS, SETTING_SPECS, NodeSettings  # noqa: E402

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
# Maximum time to write out the remaining log lines at exit, in seconds.
LOG_DRAIN_TIMEOUT_S = 0.5


def run_node(cfg):
    """Run a node until its graceful shutdown, started by a signal or request, ends."""
    writer = logs.set_up(cfg.log_format, cfg.log_level, cfg.node)
    memory.budget.limit_to(cfg.memory_mb * 2**20)
    with ExitStack() as stack:
        tasks = stack.enter_context(TaskGroup())
        components = NodeComponents(cfg, new_external_deps(cfg, stack), tasks)
        peer_host, _, peer_port = cfg.peer_address.rpartition(":")
        peer_server = PeerServer(peer_host, int(peer_port), PeerHandler(components))
        http_server = HttpServer(components)
        for server in (peer_server, http_server):
            server.start()
            stack.callback(server.stop)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, components.drain.begin)
        components.start()
        logs.event("started", address=cfg.address, peer_address=cfg.peer_address)
        components.drain.finished.wait()
    logs.event("stopped")
    writer.drain(LOG_DRAIN_TIMEOUT_S)


class RunCommand(Command):
    """Run one node."""

    name = "run"
    description = "Run one node of auburnwall."
    options = [
        option(
            flag_name(field),
            None,
            f"{row['meaning']} [{row['variable']}, default {row['default']!r}"
            + (f", {row['allowed']}]" if row["allowed"] else "]"),
            flag=False,
        )
        for field, row in zip(
            NodeSettings._fields, describe(NodeSettings, SETTING_SPECS), strict=True
        )
    ]

    def handle(self):
        """Run the node; return 2 if a setting is missing or not valid."""
        flags = {field: self.option(flag_name(field)) for field in NodeSettings._fields}
        try:
            cfg = load(NodeSettings, SETTING_SPECS, flags, os.environ, CHECKS)
        except SettingsError as exc:
            for problem in exc.problems:
                text = f"{problem.setting}: {problem.problem}. {problem.remedy}"
                self.line_error(f"<error>{text}</error>")
            return EXIT_BAD_SETTINGS
        run_node(cfg)
        return EXIT_OK


def main():
    """Run the application whose only command is ``run``."""
    application = Application("auburnwalld", "0.1.0")
    command = RunCommand()
    application.add(command)
    application._default_command = command.name
    application._single_command = True
    sys.exit(application.run())


if __name__ == "__main__":
    main()
