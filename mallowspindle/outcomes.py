"""The closed set of outcomes that every layer reports."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Done:
    """The work ran and this is its whole answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """No byte of the work reached a backend server.

    ``retry_after_s`` tells the caller when a new try may be served.
    """

    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """The work may have run; the system never repeats it."""

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The work ran and failed, or can never run as asked."""

    status: int
    reason: str


Outcome = Done | NotRun | Unknown | Failed
