"""Errors of the ``auburnwall`` program, with their exit codes."""

from auburnwall.base.exceptions import AuburnwallError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3


class CommandError(AuburnwallError):
    """A command failed; ``exit_code`` is the exit status of the program."""

    exit_code = EXIT_FAILED


class BadInputError(CommandError):
    """A file, flag or setting is invalid."""

    exit_code = EXIT_BAD_INPUT


class UnreachableError(CommandError):
    """The log or a node does not respond."""

    exit_code = EXIT_UNREACHABLE
