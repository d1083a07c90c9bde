"""Distributes the usage counts of each node to the nodes that may log them.

Load pattern: the holder of the duties is lost, and another node has to log
the usage of windows that have ended. In a small venture every node keeps all
counts; in a large one only the holder and the next nodes in claim order do.
"""

import asyncio

from mallowspindle.duties.messages import UsageNews, WindowCounts
from mallowspindle.duties.usage import UsageTotals
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.peers.codec import OkReply
from mallowspindle.sharing.messages import LeaseUpdate
from mallowspindle.sharing.service import SharingService
from mallowspindle.usage import UsageCounter
from mallowspindle.utils.identifiers import rendezvous_order

# Time between two reports of a node's counts. It is shorter in a small venture
# (a full mesh), where a lost node loses a larger share of all counts.
_FULL_MESH_INTERVAL_S = 0.35
_LARGE_VENTURE_INTERVAL_S = 1.05
# Windows in each report: the current one and those not logged yet.
_REPORTED_WINDOWS = 3
# Nodes next in claim order that keep all counts besides the holder, in a large
# venture.
_SUCCESSORS = 2


class UsageExchange:
    """Sends this node's usage counts to peers and adds up all nodes' counts."""

    def __init__(self, sharing: SharingService, usage: UsageCounter) -> None:
        self._sharing = sharing
        self._usage = usage
        self._totals = UsageTotals()
        self._lease_news: LeaseUpdate | None = None

    @property
    def _own(self) -> MemberInfo:
        return self._sharing.membership.own

    def start(self) -> None:
        """Register the handler for the counts of other nodes."""
        self._sharing.membership.server.handle(UsageNews, self._receive)

    def note_holder(self, news: LeaseUpdate) -> None:
        """Record who holds the duties; ignore updates of an earlier tenure."""
        known = self._lease_news
        if known is None or news.fencing_number >= known.fencing_number:
            self._lease_news = news

    def claim_order(self) -> list[str]:
        """Return all nodes in the order in which they claim the lease."""
        names = [info.name for info in self._sharing.peers()]
        return rendezvous_order('duties', [self._own.name, *names])

    async def send_forever(self) -> None:
        """Send this node's counts periodically."""
        while True:
            self.send()
            await asyncio.sleep(
                _FULL_MESH_INTERVAL_S
                if self._sharing.is_full_mesh
                else _LARGE_VENTURE_INTERVAL_S
            )

    def send(self) -> None:
        """Send this node's counts to the nodes that may have to log them."""
        news = UsageNews(
            self._own.name,
            self._own.incarnation,
            self._own_counts()[-_REPORTED_WINDOWS:],
            self._totals.passed_on(),
        )
        self._sharing.send_to(self._recipients(), news)

    def ended_windows(self, before_s: float) -> dict[int, dict[str, int]]:
        """Return the total counts of the windows that ended by ``before_s``."""
        self._totals.merge_counts(
            self._own.name, self._own.incarnation, self._own_counts()
        )
        return {
            window: self._totals.total(window)
            for window in self._totals.windows()
            if (window + 1) * self._usage.window_s <= before_s
        }

    def _recipients(self) -> list[MemberInfo]:
        peers = self._sharing.peers()
        if self._sharing.is_full_mesh:
            return peers
        news = self._lease_news
        holder = None if news is None or news.released else news.holder
        successors = [name for name in self.claim_order() if name != holder]
        names = {*successors[:_SUCCESSORS], holder}
        return [info for info in peers if info.name in names]

    def _own_counts(self) -> list[WindowCounts]:
        return [
            WindowCounts(window, counts)
            for window, counts in sorted(self._usage.windows().items())
        ]

    async def _receive(self, news: UsageNews) -> OkReply:
        self._totals.merge_news(news)
        return OkReply()
