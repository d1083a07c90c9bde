"""The only outcomes of a request that any layer reports."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Done:
    """The request ran; this is its complete answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class NotRun:
    """No byte of the request reached a backend server.

    After ``retry_after_s`` seconds a retry by the caller may succeed.
    """

    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; the system never repeats it."""

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and failed, or can never run in this form."""

    status: int
    reason: str


Outcome = Done | NotRun | Unknown | Failed
