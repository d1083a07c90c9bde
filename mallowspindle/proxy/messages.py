"""Requests and answers as the proxy sees them, whatever their spelling."""

from dataclasses import dataclass
from functools import cached_property

from multidict import CIMultiDict


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class CallerRequest:
    """One request of a caller.

    ``headers`` are those to pass on; ``patience_s`` is how long the caller
    waits, or None if it does not say.
    """

    method: str
    target: str
    host: str
    request_id: str
    headers: CIMultiDict[str]
    key: str | None = None
    patience_s: float | None = None
    prompt_tokens: int | None = None
    output_tokens: int = 0
    expected_output_tokens: int | None = None
    prompt: tuple[PromptPart, ...] = ()
    last_event_id: str | None = None

    @cached_property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]

    @property
    def tokens(self) -> int | None:
        """Tokens that count against a quota; None if not stated."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + self.output_tokens

    @property
    def likely_output_tokens(self) -> int:
        """The tokens that the answer probably has."""
        if self.expected_output_tokens is None:
            return self.output_tokens
        return self.expected_output_tokens


@dataclass(frozen=True, slots=True)
class MovedRun:
    """The memory of a run that may go on at another server.

    A copy that a server keeps while the run is elsewhere bears the run's id.
    """

    source_address: str
    handle: str


@dataclass(frozen=True, slots=True)
class Dispatch:
    """What the system adds when it sends a request to a server.

    ``copy_keeper`` is the address of a server that keeps a copy of the run.
    """

    server_id: str
    time_left_s: float
    organisation: str | None = None
    last_event_id: str | None = None
    continues: MovedRun | None = None
    copy_keeper: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What the head of a server's answer says.

    ``not_run`` is true only where the server states it; ``headers`` are
    those to pass on.
    """

    status: int
    request_id: str | None
    not_run: bool
    misdirected: bool
    headers: CIMultiDict[str]
    running: int | None = None
    waiting: int | None = None
