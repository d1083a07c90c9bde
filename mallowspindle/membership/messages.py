"""Messages of the membership service."""

from dataclasses import dataclass, field

from mallowspindle.peers.codec import peer_codec


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """What one entry VM says of itself.

    ``beat`` grows while the VM lives; ``incarnation`` is the start time of
    its daemon in milliseconds.
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
    def age_order(self) -> tuple[int, int]:
        """What orders news of the same member."""
        return self.incarnation, self.beat

    def is_newer_than(self, other: 'MemberInfo') -> bool:
        """Tell whether this is later news of the same member."""
        return self.age_order > other.age_order

    def is_news_to(self, other: 'MemberInfo') -> bool:
        """Tell whether others should hear of the difference soon."""
        return (
            self.incarnation != other.incarnation
            or self.leaving != other.leaving
            or self.http_address != other.http_address
        )


@dataclass(frozen=True, slots=True)
class LostMember:
    """A member that its watchers no longer hear, since ``beat``."""

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
class Heartbeat:
    """News of the sender, of other members and of leaving servers.

    With ``regular`` the sender promises to send again within its interval,
    so that its silence tells the receiver something. ``known`` is how many
    members the sender knows; one that knows few is told all.
    """

    sender: MemberInfo
    regular: bool = False
    known: int = 0
    members: list[MemberInfo] = field(default_factory=list)
    lost: list[LostMember] = field(default_factory=list)
    leaving_servers: list[str] = field(default_factory=list)
    usage: list[UsageReport] = field(default_factory=list)


@peer_codec.register('member_question')
@dataclass(frozen=True, slots=True)
class MemberQuestion:
    """Asks whether the receiver hears a member; the answer is a heartbeat."""

    name: str
