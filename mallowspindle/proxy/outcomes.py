"""Outcomes of one attempt at a server."""

from dataclasses import dataclass

from mallowspindle.outcomes import NotRun, Unknown
from mallowspindle.proxy.messages import ResponseHead

# Retry-After if servers are full or unreachable: how long they usually stay so.
UNAVAILABLE_RETRY_AFTER_S = 0.4


@dataclass(frozen=True, slots=True)
class Answered:
    """The request has run; its response is complete but not yet forwarded."""

    head: ResponseHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Relayed:
    """The complete response has been forwarded to the caller."""


@dataclass(frozen=True, slots=True)
class Unreachable(NotRun):
    """The server accepts no connections, or another one has its address."""


@dataclass(frozen=True, slots=True)
class Diverged(Unknown):
    """The server's events do not continue those sent to the caller."""


AttemptOutcome = Answered | Relayed | NotRun | Unknown
