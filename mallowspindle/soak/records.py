"""What callers, servers and the platform saw in one run."""

from dataclasses import dataclass, field
from typing import Any

# Responses that promise that the request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))


@dataclass(slots=True)
class Try:
    """One request of a caller; status 0 means that there was no answer.

    ``stream`` is the id of the try that a stream began with, and ``last_event``
    the number of the event after which this one takes it up.
    """

    request_id: str
    kind: str
    node: str
    sent_at_s: float
    status: int = 0
    ended_at_s: float = 0
    text: str = ''
    is_whole: bool = False
    stream: str = ''
    last_event: int = 0


@dataclass(frozen=True, slots=True)
class Run:
    """One run at a server, with the server's software version."""

    server: str
    version: str
    request_id: str
    began_at_s: float
    headers: dict[str, str]


@dataclass(slots=True)
class Observations:
    """All that was seen in one run; times are on the steady clock.

    ``troubled_at_s`` has by node when it was last disturbed, ``left_at_s`` by
    server when its entry was removed, and ``stopped_at_s`` by node when it was
    told to stop.
    """

    tries: list[Try] = field(default_factory=list)
    last_tries: list[Try] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    duty_calls: list[dict[str, Any]] = field(default_factory=list)
    ended_by_themselves: list[str] = field(default_factory=list)
    troubled_at_s: dict[str, float] = field(default_factory=dict)
    left_at_s: dict[str, float] = field(default_factory=dict)
    stopped_at_s: dict[str, list[float]] = field(default_factory=dict)
    only_planned: bool = False
