"""Entry point of the ``auburnwall`` program."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from cleo.application import Application  # noqa: E402

from .commands import COMMANDS  # noqa: E402


def main():
    """Run the command given by the arguments and exit with its exit code."""
    application = Application("auburnwall", "0.1.0")
    for command in COMMANDS:
        application.add(command())
    sys.exit(application.run())


if __name__ == "__main__":
    main()
