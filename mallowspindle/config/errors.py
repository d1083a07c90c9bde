"""Errors of process settings."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault in a settings file."""

    section: str
    option: str
    text: str

    def __str__(self) -> str:
        return f'[{self.section}] {self.option}: {self.text}'


class ConfigError(Exception):
    """All problems of one settings file."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__('\n'.join(str(problem) for problem in problems))
        self._problems = problems

    @property
    def problems(self) -> list[Problem]:
        """The problems, in the order of the file."""
        return self._problems
