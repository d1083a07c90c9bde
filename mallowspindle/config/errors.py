"""Errors of process settings."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem in a settings file, and where it is."""

    section: str
    option: str
    text: str

    def __str__(self) -> str:
        return f'[{self.section}] {self.option}: {self.text}'


class ConfigError(Exception):
    """A settings file is invalid; lists all of its problems."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__('\n'.join(str(problem) for problem in problems))
        self._problems = problems

    @property
    def problems(self) -> list[Problem]:
        """The problems, in the order of the file."""
        return self._problems
