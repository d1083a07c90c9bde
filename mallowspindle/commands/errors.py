"""Errors and exit codes of the commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the tool."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    UNREACHABLE = 3
    UNCERTAIN = 4


class CommandError(Exception):
    """A command failed; its message is for the operator."""

    def __init__(self, exit_code: ExitCode, message: str) -> None:
        super().__init__(message)
        self._exit_code = exit_code

    @property
    def exit_code(self) -> ExitCode:
        """The exit code with which the tool ends."""
        return self._exit_code
