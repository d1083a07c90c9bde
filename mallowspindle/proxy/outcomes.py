"""Outcomes of one attempt at a server."""

from dataclasses import dataclass

from mallowspindle.outcomes import NotRun, Unknown
from mallowspindle.proxy.messages import ResponseHead

# Retry-After if servers are full or unreachable: how long they usually stay so.
UNAVAILABLE_RETRY_AFTER_S = 0.4
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Answered:
    """The request has run; its response is complete but not yet forwarded."""

    head: ResponseHead
    body: bytes

    @property
    def is_server_error(self) -> bool:
        """Whether the server says that it has failed."""
        return self.head.status >= _SERVER_ERROR

    @property
    def has_not_run_status(self) -> bool:
        """Whether callers take its status as a promise of "not run"."""
        return self.head.status in _NOT_RUN_STATUSES


@dataclass(frozen=True, slots=True)
class PeerAnswered(Answered):
    """A peer has answered for this node; its answer is final."""

    @property
    def promises_not_run(self) -> bool:
        """Whether the peer states that the request has not run."""
        return self.has_not_run_status


@dataclass(frozen=True, slots=True)
class Relayed:
    """The complete response has been forwarded to the caller."""


@dataclass(frozen=True, slots=True)
class Unreachable(NotRun):
    """The server accepts no connections, or another one has its address."""


@dataclass(frozen=True, slots=True)
class OverBudget(NotRun):
    """The retry budget has no room, so that no server was asked."""


@dataclass(frozen=True, slots=True)
class Diverged(Unknown):
    """The server's events do not continue those sent to the caller."""


def outcome_of_error(error: Exception, *, sent: bool) -> Unknown | Unreachable:
    """Return the outcome of an attempt whose connection failed.

    ``sent`` is whether any byte of the request may have been sent.
    """
    reason = f'{type(error).__name__}: {error}'
    if sent:
        return Unknown(reason)
    return Unreachable(reason, UNAVAILABLE_RETRY_AFTER_S)


AttemptOutcome = Answered | Relayed | NotRun | Unknown
