"""The members that this node knows, and the times of their last updates."""

import time
from dataclasses import dataclass

from mallowspindle.membership.messages import LostMember, MemberInfo
from mallowspindle.utils.running_clock import RunningClock

# The list of live members is made anew after this time, and after each change.
_LIVE_CACHE_S = 0.05
# Largest time between two readings that counts as running, as a fraction of the
# silence after which a member is suspected: 0.6 of 1.5 s, a heartbeat interval.
_MAX_STEP_FRACTION = 0.4


@dataclass(slots=True)
class Member:
    """The latest update of a member.

    ``direct`` members send heartbeats to this node, which suspects them when
    they are silent; for the others it relies on the updates of their watchers.
    ``heard_at_running_s`` is the time of the last update on the running clock.
    """

    info: MemberInfo
    heard_at_s: float
    heard_at_running_s: float
    direct: bool = False
    lost: bool = False
    lost_beat: int = -1

    def age_s(self) -> float:
        """Seconds since the last update."""
        return time.monotonic() - self.heard_at_s


class MemberTable:
    """The other members by name, each with its newest update."""

    def __init__(self, own_name: str, suspect_after_s: float) -> None:
        self._own_name = own_name
        self._suspect_after_s = suspect_after_s
        self._clock = RunningClock(suspect_after_s * _MAX_STEP_FRACTION)
        self._members: dict[str, Member] = {}
        self._live: list[MemberInfo] | None = None
        self._listed_at_s = 0.0

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, name: str) -> bool:
        return name in self._members

    def merge(self, info: MemberInfo, *, direct: bool = False) -> bool:
        """Merge an update of a member; return whether it should be spread."""
        if info.name == self._own_name:
            return False
        known = self._members.get(info.name)
        if known is None:
            self._live = None
            self._members[info.name] = Member(
                info, time.monotonic(), self._clock.now_s(), direct
            )
            return True
        if not info.is_newer_than(known.info):
            return False
        self._live = None
        is_change = known.lost or info.is_notable_change_from(known.info)
        known.info = info
        known.heard_at_s = time.monotonic()
        known.heard_at_running_s = self._clock.now_s()
        known.direct = known.direct or direct
        known.lost = False
        return is_change

    def mark_lost(self, lost: LostMember) -> bool:
        """Mark a member as lost; return False if this node knows better."""
        known = self._members.get(lost.name)
        if known is None or self._hears(known):
            return False
        if known.lost and lost.beat <= known.lost_beat:
            return False
        if known.info.version > (lost.incarnation, lost.beat):
            return False
        self._live = None
        known.lost = True
        known.lost_beat = lost.beat
        return True

    def silent(self) -> list[Member]:
        """Return the direct members that have been silent for too long."""
        return [
            member
            for member in self._members.values()
            if member.direct and not member.lost and not self._hears(member)
        ]

    def find_heard(self, name: str) -> Member | None:
        """Return a member if this node receives its heartbeats directly."""
        member = self._members.get(name)
        return member if member and self._hears(member) else None

    def forget(self, age_s: float) -> None:
        """Remove members that have been lost for ``age_s`` seconds."""
        self._live = None
        self._members = {
            name: member
            for name, member in self._members.items()
            if not member.lost or member.age_s() < age_s
        }

    def known(self) -> list[Member]:
        """Return all members that are not forgotten."""
        return list(self._members.values())

    def live(self) -> list[MemberInfo]:
        """Return the members that are not lost, leaving ones included.

        Most decisions about a request ask for them.
        """
        now_s = self._clock.now_s()
        if self._live is None or now_s - self._listed_at_s > _LIVE_CACHE_S:
            self._listed_at_s = now_s
            self._live = [
                member.info
                for member in self._members.values()
                if self._is_live(member)
            ]
        return list(self._live)

    def find(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._members.get(name)

    def has_quorum(self) -> bool:
        """Return whether a majority of the direct members was updated lately.

        This node counts itself; at least one other must have been updated.
        """
        direct = [member for member in self._members.values() if member.direct]
        heard = sum(member.age_s() < self._suspect_after_s for member in direct)
        return heard > 0 and 2 * (heard + 1) > len(direct) + 1

    def _hears(self, member: Member) -> bool:
        silent_s = self._clock.now_s() - member.heard_at_running_s
        return member.direct and silent_s < self._suspect_after_s

    def _is_live(self, member: Member) -> bool:
        return self._hears(member) if member.direct else not member.lost
