"""The members that this node knows and when it last had news of them."""

import time
from dataclasses import dataclass

from mallowspindle.membership.messages import LostMember, MemberInfo

# Most that one look adds to the time in which this node could hear, as a part
# of the silence after which a member is suspected: 0.6 of 1.5 s, a heartbeat.
_STEP_PART = 0.4


class HearingClock:
    """Counts the time in which this node could hear others.

    A node that was kept from its work, for want of processor time, has heard
    nobody in this time and must not take it for the others' silence.
    """

    def __init__(self, most_step_s: float) -> None:
        self._most_step_s = most_step_s
        self._looked_at_s = time.monotonic()
        self._now_s = 0.0

    def now_s(self) -> float:
        """Return the seconds counted so far."""
        looked_at_s = time.monotonic()
        step_s = looked_at_s - self._looked_at_s
        self._looked_at_s = looked_at_s
        self._now_s += min(step_s, self._most_step_s)
        return self._now_s


@dataclass(slots=True)
class Member:
    """News of a member.

    ``direct`` members exchange heartbeats with this node, which judges them
    by their silence; of others it believes what their watchers say.
    """

    info: MemberInfo
    heard_at_s: float
    heard_on_clock_s: float
    direct: bool = False
    lost: bool = False
    lost_through: int = -1

    def age_s(self) -> float:
        """Seconds since the last news."""
        return time.monotonic() - self.heard_at_s


class MemberTable:
    """Other members by name; the newest news wins."""

    def __init__(self, own_name: str, suspect_after_s: float) -> None:
        self._own_name = own_name
        self._suspect_after_s = suspect_after_s
        self._clock = HearingClock(suspect_after_s * _STEP_PART)
        self._members: dict[str, Member] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, name: str) -> bool:
        return name in self._members

    def merge(self, info: MemberInfo, *, direct: bool = False) -> bool:
        """Take over news of a member; tell whether others should hear it."""
        if info.name == self._own_name:
            return False
        known = self._members.get(info.name)
        if known is None:
            self._members[info.name] = Member(
                info, time.monotonic(), self._clock.now_s(), direct
            )
            return True
        if not info.is_newer_than(known.info):
            return False
        is_news = known.lost or info.is_news_to(known.info)
        known.info = info
        known.heard_at_s = time.monotonic()
        known.heard_on_clock_s = self._clock.now_s()
        known.direct = known.direct or direct
        known.lost = False
        return is_news

    def mark_lost(self, lost: LostMember) -> bool:
        """Believe that a member is lost; False if this node knows better."""
        known = self._members.get(lost.name)
        if known is None or self._hears(known):
            return False
        if known.lost and lost.beat <= known.lost_through:
            return False
        if known.info.age_order > (lost.incarnation, lost.beat):
            return False
        known.lost = True
        known.lost_through = lost.beat
        return True

    def silent(self) -> list[Member]:
        """Return the direct members that were not heard for too long."""
        return [
            member
            for member in self._members.values()
            if member.direct and not member.lost and not self._hears(member)
        ]

    def heard(self, name: str) -> Member | None:
        """Return a member that this node hears itself."""
        member = self._members.get(name)
        return member if member and self._hears(member) else None

    def forget(self, age_s: float) -> None:
        """Remove members that have been lost for ``age_s`` seconds."""
        self._members = {
            name: member
            for name, member in self._members.items()
            if not member.lost or member.age_s() < age_s
        }

    def known(self) -> list[Member]:
        """Return all members that are not forgotten."""
        return list(self._members.values())

    def live(self) -> list[MemberInfo]:
        """Return the members that are not lost, leaving ones included."""
        return [
            member.info
            for member in self._members.values()
            if self._is_live(member)
        ]

    def find(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._members.get(name)

    def has_quorum(self) -> bool:
        """Tell whether most of those who should be heard are heard.

        This node counts itself; at least one other must be heard.
        """
        direct = [member for member in self._members.values() if member.direct]
        heard = sum(member.age_s() < self._suspect_after_s for member in direct)
        return heard > 0 and 2 * (heard + 1) > len(direct) + 1

    def _hears(self, member: Member) -> bool:
        silent_s = self._clock.now_s() - member.heard_on_clock_s
        return member.direct and silent_s < self._suspect_after_s

    def _is_live(self, member: Member) -> bool:
        return self._hears(member) if member.direct else not member.lost
