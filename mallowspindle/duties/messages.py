"""Messages of the duties."""

from dataclasses import dataclass, field

from mallowspindle.peers.codec import peer_codec


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


@peer_codec.register('usage-news')
@dataclass(frozen=True, slots=True)
class UsageNews:
    """What one entry VM counted, and what it passes on for others."""

    node: str
    incarnation: int
    usage: list[WindowCounts] = field(default_factory=list)
    passed_on: list[PassedOnUsage] = field(default_factory=list)
