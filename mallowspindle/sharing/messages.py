"""Messages of the sharing service."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from mallowspindle.peers.codec import peer_codec


class ServerLoad(NamedTuple):
    """Work at one backend server.

    ``backlog_ms`` is the time that reading the prompts takes for which no
    first event has come.
    """

    running: int
    backlog_ms: int


class PrefillDemand(NamedTuple):
    """Milliseconds of reading that callers ask of a service a second."""

    reading_ms: int


class QuotaSpent(NamedTuple):
    """What was admitted for an organisation lately.

    ``used`` counts the last window, ``lately_used`` its shorter span.
    """

    used: int
    lately_used: int
    rate_per_s: int


@dataclass(frozen=True, slots=True)
class WorkSum:
    """What some entry VMs do, added up as of one moment.

    ``loads`` are by backend server, ``demands`` by service and ``quota_use``
    by organisation. ``young_s`` is how long those nodes have run that
    started lately; ``ages_s`` is how long ago each told its work, added up.
    ``unreachable`` counts, by the nodes' zone and by backend server, the nodes
    that lately found the server to take no connections.
    """

    nodes: int = 0
    loads: dict[str, ServerLoad] = field(default_factory=dict)
    demands: dict[str, PrefillDemand] = field(default_factory=dict)
    quota_use: dict[str, QuotaSpent] = field(default_factory=dict)
    young_s: list[float] = field(default_factory=list)
    ages_s: float = 0
    unreachable: dict[str, dict[str, int]] = field(default_factory=dict)


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
    """What one entry VM says of its work; ``number`` grows with each."""

    node: str
    incarnation: int
    zone: str
    number: int
    work: WorkSum
    lease: LeaseNews | None = None


@peer_codec.register('zone-state')
@dataclass(frozen=True, slots=True)
class ZoneState:
    """What the entry VMs of a zone do, as its relay heard it."""

    zone: str
    relay: str
    work: WorkSum
    lease: LeaseNews | None = None


@peer_codec.register('venture-state')
@dataclass(frozen=True, slots=True)
class VentureState:
    """What all entry VMs do, as a relay tells the nodes of its zone.

    ``included`` holds the number of each node's state that was added, so that
    the node can take its own part off.
    """

    relay: str
    work: WorkSum
    included: dict[str, int]
    lease: LeaseNews | None = None


@peer_codec.register('pass-on')
@dataclass(frozen=True, slots=True)
class PassOn:
    """Asks a relay to tell the nodes of its zone an encoded message."""

    message: list[Any]
