"""Messages of the membership service."""

from dataclasses import dataclass, field, replace
from typing import Self

from mallowspindle.peers.codec import peer_codec
from mallowspindle.peers.transit import DatedMessage
from mallowspindle.utils.clock import MAX_ERROR_S


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """What one entry VM reports about itself.

    ``beat`` is a counter that grows while the daemon runs; ``incarnation`` is
    the start time of the daemon in milliseconds.
    """

    name: str
    region: str
    zone: str
    peer_address: str
    http_address: str
    incarnation: int
    beat: int
    leaving: bool = False
    settings_through: int = -1
    in_progress: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """The order of updates of the same member."""
        return self.incarnation, self.beat

    def is_newer_than(self, other: 'MemberInfo') -> bool:
        """Return whether this is a later update of the same member."""
        return self.version > other.version

    def is_notable_change_from(self, other: 'MemberInfo') -> bool:
        """Return whether the difference should be spread soon."""
        return (
            self.incarnation != other.incarnation
            or self.leaving != other.leaving
            or self.http_address != other.http_address
        )


@dataclass(frozen=True, slots=True)
class LostMember:
    """A member that no longer answers; ``beat`` is the last one known."""

    name: str
    incarnation: int
    beat: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Requests that one entry VM admitted for an organisation."""

    node: str
    organisation: str
    rate_per_s: float
    in_progress: int


@peer_codec.register('heartbeat')
@dataclass(frozen=True, slots=True)
class Heartbeat(DatedMessage):
    """Updates of the sender, of other members and of leaving servers.

    With ``regular``, the sender sends again within its heartbeat interval, so
    the receiver may suspect it when it is silent. ``known`` is the number of
    members that the sender knows; the reply to one that knows few lists all.
    ``clock`` is the sender's time of day and the seconds since its start; nodes
    that have just started send it, and so do the replies to them.
    """

    sender: MemberInfo
    regular: bool = False
    known: int = 0
    members: list[MemberInfo] = field(default_factory=list)
    lost: list[LostMember] = field(default_factory=list)
    leaving_servers: list[str] = field(default_factory=list)
    usage: list[UsageReport] = field(default_factory=list)
    clock: tuple[float, float] | None = None

    @property
    def is_dated(self) -> bool:
        """Whether it has a time of day."""
        return self.clock is not None

    def older_by(self, delay_s: float) -> Self:
        """Return the heartbeat without a time of day that may be wrong."""
        return replace(self, clock=None) if delay_s > MAX_ERROR_S else self


@peer_codec.register('member_question')
@dataclass(frozen=True, slots=True)
class MemberQuestion:
    """Requests a member's info from a peer that may receive its heartbeats.

    The reply is a heartbeat, which lists the member if the peer does.
    """

    name: str
