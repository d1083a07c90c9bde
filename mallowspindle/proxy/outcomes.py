"""How one attempt at a server ended."""

from dataclasses import dataclass

from mallowspindle.outcomes import NotRun, Unknown
from mallowspindle.proxy.messages import AnswerHead


@dataclass(frozen=True, slots=True)
class Answered:
    """The server's whole answer, not yet passed on; the request has run."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Relayed:
    """The whole answer has been passed on to the caller."""


@dataclass(frozen=True, slots=True)
class Unreachable(NotRun):
    """The server takes no connections, or another one has its address."""


@dataclass(frozen=True, slots=True)
class Diverged(Unknown):
    """The server's events do not follow those that the caller has."""


AttemptOutcome = Answered | Relayed | NotRun | Unknown
