"""Messages of the sharing service."""

from dataclasses import dataclass, field

from mallowspindle.peers.codec import peer_codec


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Work that one entry VM has at a backend server.

    ``backlog_s`` is the time that reading the prompts takes for which no
    first event has come.
    """

    server_id: str
    running: int
    backlog_s: float


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Requests of each organisation that began in a window of usage.

    The counts of one node only grow, so the newest report replaces others.
    """

    window: int
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class PassedOnUsage:
    """What a silent or restarted node counted, as a peer heard it."""

    node: str
    incarnation: int
    usage: list[WindowCounts]


@dataclass(frozen=True, slots=True)
class QuotaUse:
    """What one node admitted for an organisation lately.

    ``used`` counts the last window, ``lately_used`` its shorter span.
    """

    organisation: str
    used: float
    lately_used: float
    rate_per_s: float


@dataclass(frozen=True, slots=True)
class ServiceDemand:
    """Seconds of reading that a node's callers ask of a service a second."""

    service: str
    reading: float


@dataclass(frozen=True, slots=True)
class LeaseNews:
    """Who held the duties ``age_s`` ago, under which fencing number.

    ``released`` tells that the holder has let them go since.
    """

    holder: str
    fencing_number: int
    age_s: float
    released: bool = False


@peer_codec.register('node-state')
@dataclass(frozen=True, slots=True)
class NodeState:
    """What one entry VM says of its work."""

    node: str
    incarnation: int
    loads: list[ServerLoad] = field(default_factory=list)
    usage: list[WindowCounts] = field(default_factory=list)
    passed_on_usage: list[PassedOnUsage] = field(default_factory=list)
    demands: list[ServiceDemand] = field(default_factory=list)
    quota_use: list[QuotaUse] = field(default_factory=list)
    lease: LeaseNews | None = None
