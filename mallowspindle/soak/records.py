"""What callers, servers and the platform saw in one run."""

from dataclasses import dataclass, field
from typing import Any

from mallowspindle.soak.bounds import RetryBounds

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


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server, which may have refused it.

    ``continues`` is whether it goes on from the memory of another server.
    """

    server: str
    service: str
    request_id: str
    at_s: float
    ran: bool
    port: int
    continues: bool


@dataclass(slots=True)
class Observations:
    """All that was seen in one run; times are on the steady clock.

    ``route_tries`` are for routes that were added long enough before.
    ``troubled_at_s`` has by node when it was last disturbed, ``left_at_s`` by
    server when its entry was removed, and ``stopped_at_s`` by node when it was
    told to stop. ``stalls`` has the begins and ends of the times in which the
    process of the callers itself stood still.
    """

    tries: list[Try] = field(default_factory=list)
    last_tries: list[Try] = field(default_factory=list)
    route_tries: list[Try] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    retry_bounds: RetryBounds = field(default_factory=RetryBounds)
    duty_calls: list[dict[str, Any]] = field(default_factory=list)
    ended_by_themselves: list[str] = field(default_factory=list)
    troubled_at_s: dict[str, float] = field(default_factory=dict)
    left_at_s: dict[str, float] = field(default_factory=dict)
    stopped_at_s: dict[str, list[float]] = field(default_factory=dict)
    stalls: list[tuple[float, float]] = field(default_factory=list)
    only_planned: bool = False

    def waited_s(self, attempt: Try) -> float:
        """Return how long a caller waited, while its own process ran."""
        stalled_s = sum(
            max(
                0,
                min(end_s, attempt.ended_at_s)
                - max(begin_s, attempt.sent_at_s),
            )
            for begin_s, end_s in self.stalls
        )
        return attempt.ended_at_s - attempt.sent_at_s - stalled_s
