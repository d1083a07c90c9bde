"""Messages of the duties."""

from dataclasses import dataclass, field

from mallowspindle.peers.codec import peer_codec


@dataclass(frozen=True, slots=True)
class WindowCounts:
    """Number of requests of each organisation that began in a usage window.

    The counts of one node only grow, so a newer report replaces older ones.
    """

    window: int
    counts: dict[str, int]


@dataclass(frozen=True, slots=True)
class PassedOnUsage:
    """Counts of a silent or restarted node, passed on by a peer."""

    node: str
    incarnation: int
    usage: list[WindowCounts]


@peer_codec.register('usage-news')
@dataclass(frozen=True, slots=True)
class UsageNews:
    """Counts of one entry VM, and those that it passes on for others."""

    node: str
    incarnation: int
    usage: list[WindowCounts] = field(default_factory=list)
    passed_on: list[PassedOnUsage] = field(default_factory=list)
