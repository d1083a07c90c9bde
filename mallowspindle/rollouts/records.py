"""States of rollouts, as the log and peers have them."""

from dataclasses import dataclass, field

from mallowspindle.catalog.orders import RolloutOrder
from mallowspindle.peers.codec import peer_codec
from mallowspindle.peers.transit import DatedMessage
from mallowspindle.policies.rollout import Phase
from mallowspindle.utils.codec import Codec

rollouts_codec = Codec('rollout record')
_PHASES = list(Phase)


@rollouts_codec.register('rollout')
@dataclass(frozen=True, slots=True)
class RolloutState:
    """How far the rollout of one order has come.

    ``started_at_s`` is the Unix time at which the order was read. ``former`` are
    the versions that served then, ``barred`` those that get no request at all,
    and ``is_trusted`` whether the target served before.
    """

    service: str
    target: str
    duration_s: float
    position: int
    started_at_s: float
    phase: Phase = Phase.HOLD
    reason: str = ''
    former: list[str] = field(default_factory=list)
    barred: list[str] = field(default_factory=list)
    is_trusted: bool = False

    @property
    def order(self) -> RolloutOrder:
        """The order that is carried out."""
        return RolloutOrder(
            self.service, self.target, self.duration_s, self.position
        )

    def is_older_than(self, other: 'RolloutState') -> bool:
        """Return whether another state has replaced this one."""
        if self.order.is_same(other.order):
            return _PHASES.index(self.phase) < _PHASES.index(other.phase)
        return self.position < other.position


@dataclass(frozen=True, slots=True)
class CanaryPlan:
    """Which requests go to the new version while it is not completed.

    ``servers`` are those that may get them; None for all.
    """

    share: float = 0
    stream_share: float = 0
    servers: list[str] | None = None


@dataclass(frozen=True, slots=True)
class RolloutNews:
    """A state, and the plan of the node that decides."""

    state: RolloutState
    plan: CanaryPlan | None = None
    finding: str = ''


@peer_codec.register('rollout-news')
@dataclass(frozen=True, slots=True)
class RolloutMessage(DatedMessage):
    """The rollouts as of ``age_s`` ago, with a fencing number if decided."""

    rollouts: list[RolloutNews]
    fencing_number: int | None = None
    age_s: float = 0


@peer_codec.register('rollout-query')
@dataclass(frozen=True, slots=True)
class RolloutQuery:
    """Question which rollouts a node knows."""


@peer_codec.register('rollout-report-query')
@dataclass(frozen=True, slots=True)
class ReportQuery:
    """Question of operators about rollouts and their counts."""


@dataclass(frozen=True, slots=True)
class VersionReport:
    """What is counted of one version: responses and failures by measure."""

    sent: int
    measures: dict[str, tuple[int, int]]


@dataclass(frozen=True, slots=True)
class RolloutReport:
    """One rollout with its counts, by version."""

    state: RolloutState
    share: float
    stream_share: float
    finding: str
    versions: dict[str, VersionReport]


@peer_codec.register('rollout-reports')
@dataclass(frozen=True, slots=True)
class RolloutReports:
    """All rollouts that a node knows."""

    rollouts: list[RolloutReport]
