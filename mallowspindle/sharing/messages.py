"""Messages of the sharing service."""

from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from mallowspindle.peers.codec import peer_codec
from mallowspindle.peers.transit import DatedMessage


class ServerLoad(NamedTuple):
    """Load on one backend server.

    ``backlog_ms`` is the prefill time of the prompts for which no first event
    has arrived.
    """

    running: int
    backlog_ms: int


class PrefillDemand(NamedTuple):
    """Prefill time that callers request of a service, in ms per second."""

    reading_ms: int


class QuotaUse(NamedTuple):
    """Use of an organisation's quota by recently admitted requests.

    ``used`` counts the last window, ``lately_used`` its most recent part.
    """

    used: int
    lately_used: int
    rate_per_s: int


class QuotaTrend(NamedTuple):
    """Use of an organisation's quota in three spans, and where it is going.

    It is as of the nodes' states, not projected. The middle fields say how
    much leaves each span in the second after; ``asked_per_s`` counts admitted
    and refused requests.
    """

    short_used: int
    middle_used: int
    used: int
    short_expiring: int
    middle_expiring: int
    expiring: int
    rate_per_s: int
    asked_per_s: int


class ServerLimit(NamedTuple):
    """The limit that a backend server stated to ``node`` ``age_s`` ago.

    ``per_s`` is in requests per second, and None if the limit has ended.
    """

    per_s: float | None
    age_s: float
    node: str


class ServerReport(NamedTuple):
    """The load that a backend server reported ``age_ms`` ago.

    ``requests`` are those running and waiting there, of all nodes.
    """

    requests: int
    slowdown_percent: int
    age_ms: int


class ServerTime(NamedTuple):
    """Time that recent responses of a backend server took.

    ``work`` is what was expected of them, in thousandths of a unit of work.
    """

    taken_ms: int
    work: int


class PartEvidence(NamedTuple):
    """Crashes of servers that had a part of a prompt, or a request.

    ``crashes`` holds the Unix time in ms by crash. ``cleared`` holds those
    after which a prompt with the part, or the request, was answered.
    """

    crashes: dict[str, int]
    cleared: dict[str, int]


class RolloutSum(NamedTuple):
    """Counts of a service since the order at position ``order``.

    ``sent`` counts requests by software version, ``running`` those that have not
    ended. ``cells`` holds what came back, by version, zone of the server and
    measure. ``longest_ms`` holds the longest plain request and the longest stream.
    """

    order: int
    sent: dict[str, int]
    running: dict[str, int]
    cells: dict[str, list[int]]
    longest_ms: list[int]


@dataclass(frozen=True, slots=True)
class WorkSum:
    """Sum of the work of some entry VMs at one moment.

    ``loads`` are by backend server, ``demands`` by service and ``quota_use``
    by organisation. ``young_s`` holds the uptimes of recently started nodes;
    ``ages_s`` is the sum of the ages of all nodes' states. ``unreachable``
    counts, by zone of the nodes and by backend server, the nodes whose recent
    connections to the server failed. ``limits`` holds the newest limit that
    each backend server has stated, and ``evidence`` what speaks for and against
    parts of prompts and requests. ``not_reached`` holds, by node, the services
    of which the node reaches no server. ``leaving`` holds the servers that say
    in their responses that they are leaving, with their start as Unix time in
    ms. ``reports`` holds the newest load that each backend server has reported
    with its slowdown, and ``times`` what its responses took.
    ``rollouts`` holds, by service, what is counted for rollouts under way.
    ``quota_trends`` is by organisation, from ``trending_nodes`` of the nodes:
    those of older builds have none.
    """

    nodes: int = 0
    loads: dict[str, ServerLoad] = field(default_factory=dict)
    demands: dict[str, PrefillDemand] = field(default_factory=dict)
    quota_use: dict[str, QuotaUse] = field(default_factory=dict)
    young_s: list[float] = field(default_factory=list)
    ages_s: float = 0
    unreachable: dict[str, dict[str, int]] = field(default_factory=dict)
    limits: dict[str, ServerLimit] = field(default_factory=dict)
    evidence: dict[str, PartEvidence] = field(default_factory=dict)
    not_reached: dict[str, list[str]] = field(default_factory=dict)
    leaving: dict[str, int] = field(default_factory=dict)
    reports: dict[str, ServerReport] = field(default_factory=dict)
    times: dict[str, ServerTime] = field(default_factory=dict)
    rollouts: dict[str, RolloutSum] = field(default_factory=dict)
    quota_trends: dict[str, QuotaTrend] = field(default_factory=dict)
    trending_nodes: int = 0


@dataclass(frozen=True, slots=True)
class LeaseUpdate:
    """Who held the duties ``age_s`` ago, and under which fencing number.

    ``released`` is set if the holder has given up the lease since.
    """

    holder: str
    fencing_number: int
    age_s: float
    released: bool = False


class WorkState(DatedMessage):
    """A state of work ``age_s`` ago, with a lease update of that moment."""

    __slots__ = ()

    lease: LeaseUpdate | None
    age_s: float

    @property
    def lease_by_now(self) -> LeaseUpdate | None:
        """The lease update with its present age."""
        if self.lease is None:
            return None
        return replace(self.lease, age_s=self.lease.age_s + self.age_s)


@peer_codec.register('node-state')
@dataclass(frozen=True, slots=True)
class NodeState(WorkState):
    """The work of one entry VM ``age_s`` ago.

    ``number`` increases with each state.
    """

    node: str
    incarnation: int
    zone: str
    number: int
    work: WorkSum
    lease: LeaseUpdate | None = None
    age_s: float = 0


@peer_codec.register('zone-state')
@dataclass(frozen=True, slots=True)
class ZoneState(WorkState):
    """The work of the entry VMs of a zone ``age_s`` ago, summed by its relay."""

    zone: str
    relay: str
    work: WorkSum
    lease: LeaseUpdate | None = None
    age_s: float = 0


@peer_codec.register('venture-state')
@dataclass(frozen=True, slots=True)
class VentureState(WorkState):
    """The work of all entry VMs ``age_s`` ago, as a relay tells its zone.

    ``included`` holds the number of the state of each node that is part of the
    sum, so that the node can subtract its own part.
    """

    relay: str
    work: WorkSum
    included: dict[str, int]
    lease: LeaseUpdate | None = None
    age_s: float = 0


@peer_codec.register('pass-on')
@dataclass(frozen=True, slots=True)
class ForwardMessage(DatedMessage):
    """Request to a relay to send an encoded message to its zone's nodes.

    The message was encoded ``age_s`` ago.
    """

    message: list[Any]
    age_s: float = 0
