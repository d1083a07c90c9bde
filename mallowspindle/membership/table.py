"""The members that this node knows and when it last had news of them."""

import time
from dataclasses import dataclass

from mallowspindle.membership.messages import MemberInfo


@dataclass(frozen=True, slots=True)
class Member:
    """News of a member and its age in seconds."""

    info: MemberInfo
    heard_at_s: float

    def age_s(self) -> float:
        """Seconds since the last news."""
        return time.monotonic() - self.heard_at_s


class MemberTable:
    """Other members by name; the newest news wins."""

    def __init__(self, own_name: str, suspect_after_s: float) -> None:
        self._own_name = own_name
        self._suspect_after_s = suspect_after_s
        self._members: dict[str, Member] = {}

    def merge(self, infos: list[MemberInfo]) -> None:
        """Take over what is newer than the known."""
        now = time.monotonic()
        for info in infos:
            known = self._members.get(info.name)
            newer = known is None or info.is_newer_than(known.info)
            if newer and info.name != self._own_name:
                self._members[info.name] = Member(info, now)

    def forget(self, age_s: float) -> None:
        """Remove members without news for ``age_s`` seconds."""
        self._members = {
            name: member
            for name, member in self._members.items()
            if member.age_s() < age_s
        }

    def known(self) -> list[Member]:
        """Return all members that are not forgotten."""
        return list(self._members.values())

    def live(self) -> list[MemberInfo]:
        """Return the members with recent news, leaving ones included."""
        return [
            member.info
            for member in self._members.values()
            if member.age_s() < self._suspect_after_s
        ]

    def find(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._members.get(name)

    def hears_majority(self) -> bool:
        """Tell whether this node and those it hears are most of the known."""
        return 2 * (len(self.live()) + 1) > len(self._members) + 1
