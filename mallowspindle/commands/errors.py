"""Errors and exit codes of the commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What the tool's exit code means."""

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
        """The exit code of the tool."""
        return self._exit_code
