"""Brings the counts of all nodes to those that may have to log them.

Load pattern: the holder of the duties is lost, and another node has to log
the usage of windows that are over. In a small venture all nodes keep all
counts; in a large one the holder and those that would claim the lease next.
"""

import asyncio

from mallowspindle.duties.messages import UsageNews, WindowCounts
from mallowspindle.duties.usage import UsageTable
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.peers.codec import OkReply
from mallowspindle.sharing.messages import LeaseNews
from mallowspindle.sharing.service import SharingService
from mallowspindle.usage import UsageCounter
from mallowspindle.utils.identifiers import rendezvous_order

# Pauses between two reports of a node's counts: in a small venture, where a
# lost node takes a large part of them along, and in a large one.
_SMALL_PAUSE_S = 0.35
_LARGE_PAUSE_S = 1.05
# Windows that are reported: the present one and those still to be logged.
_TOLD_WINDOWS = 3
# Nodes of a large venture, beside the holder, that keep all counts.
_KEEPERS = 2


class UsageCounts:
    """What this node counted, and what it heard of the others' counts."""

    def __init__(self, sharing: SharingService, usage: UsageCounter) -> None:
        self._sharing = sharing
        self._own = sharing.membership.own
        self._usage = usage
        self._table = UsageTable()
        self._holder: LeaseNews | None = None

    def start(self) -> None:
        """Take in what the others count."""
        self._sharing.membership.server.handle(UsageNews, self._receive)

    def note_holder(self, news: LeaseNews) -> None:
        """Learn who holds the duties; news of an earlier tenure tells nothing."""
        known = self._holder
        if known is None or news.fencing_number >= known.fencing_number:
            self._holder = news

    def claim_order(self) -> list[str]:
        """Return all nodes in the order in which they claim the lease."""
        names = [info.name for info in self._sharing.peers()]
        return rendezvous_order('duties', [self._own.name, *names])

    async def tell_forever(self) -> None:
        """Report this node's counts again and again."""
        while True:
            self.tell()
            await asyncio.sleep(
                _SMALL_PAUSE_S if self._sharing.is_full_mesh else _LARGE_PAUSE_S
            )

    def tell(self) -> None:
        """Send this node's counts to those who may have to log them."""
        news = UsageNews(
            self._own.name,
            self._own.incarnation,
            self._own_counts()[-_TOLD_WINDOWS:],
            self._table.passed_on(),
        )
        self._sharing.send_to(self._keepers(), news)

    def over(self, before_s: float) -> dict[int, dict[str, int]]:
        """Return the counts of the windows that ended ``before_s``."""
        self._table.put(
            self._own.name, self._own.incarnation, self._own_counts()
        )
        return {
            window: self._table.total(window)
            for window in self._table.windows()
            if (window + 1) * self._usage.window_s <= before_s
        }

    def _keepers(self) -> list[MemberInfo]:
        peers = self._sharing.peers()
        if self._sharing.is_full_mesh:
            return peers
        held = self._holder
        holder = None if held is None or held.released else held.holder
        successors = [name for name in self.claim_order() if name != holder]
        names = {*successors[:_KEEPERS], holder}
        return [info for info in peers if info.name in names]

    def _own_counts(self) -> list[WindowCounts]:
        return [
            WindowCounts(window, counts)
            for window, counts in sorted(self._usage.windows().items())
        ]

    async def _receive(self, news: UsageNews) -> OkReply:
        self._table.learn(news)
        return OkReply()
