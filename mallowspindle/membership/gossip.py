"""What heartbeats tell of members and of leaving servers."""

import logging
import random
import time
from collections.abc import Hashable
from typing import Generic, TypeVar

from mallowspindle.membership.messages import (
    Heartbeat,
    LostMember,
    MemberInfo,
)
from mallowspindle.membership.signs import LeavingSigns
from mallowspindle.membership.table import Member, MemberTable
from mallowspindle.membership.usage import UsageTable

log = logging.getLogger(__name__)

NewsT = TypeVar('NewsT')

_TOLD_FOR_S = 4.0
_MAX_TOLD = 24


class RecentNews(Generic[NewsT]):
    """News by key, each told for ``_TOLD_FOR_S`` seconds.

    A window of several heartbeats lets news cross the whole mesh, although
    each node sends to a bounded number of peers.
    """

    def __init__(self) -> None:
        self._items: dict[Hashable, tuple[float, NewsT]] = {}

    def add(self, key: Hashable, news: NewsT) -> None:
        """Tell news from now on; older news of the key is dropped."""
        self._items[key] = (time.monotonic() + _TOLD_FOR_S, news)

    def drop(self, key: Hashable) -> None:
        """Tell nothing of a key any longer."""
        self._items.pop(key, None)

    def current(self) -> list[NewsT]:
        """Return what is to be told now, at most ``_MAX_TOLD`` of it."""
        now = time.monotonic()
        self._items = {
            key: (until_s, news)
            for key, (until_s, news) in self._items.items()
            if until_s > now
        }
        told = random.sample(
            list(self._items.values()), min(_MAX_TOLD, len(self._items))
        )
        return [news for _, news in told]


class Gossip:
    """Learns from heartbeats and tells on what is new."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._signs = LeavingSigns()
        self._usage = UsageTable()
        self._news: RecentNews[MemberInfo] = RecentNews()
        self._lost_news: RecentNews[LostMember] = RecentNews()
        self._sign_news: RecentNews[str] = RecentNews()

    @property
    def signs(self) -> LeavingSigns:
        """The backend servers known to be leaving."""
        return self._signs

    @property
    def usage(self) -> UsageTable:
        """What the entry VMs report of the organisations' usage."""
        return self._usage

    def heartbeat(
        self, sender: MemberInfo, *, full: bool, regular: bool
    ) -> Heartbeat:
        """Return a heartbeat with what is new, or with all that is known."""
        return Heartbeat(
            sender=sender,
            regular=regular,
            members=self._table.live() if full else self._news.current(),
            lost=self._lost_news.current(),
            leaving_servers=(
                self._signs.all() if full else self._sign_news.current()
            ),
            usage=self._usage.own,
        )

    def learn(self, heartbeat: Heartbeat) -> bool:
        """Learn from a heartbeat; tell whether others should hear soon."""
        fresh = [info for info in heartbeat.members if self._table.merge(info)]
        if self._table.merge(heartbeat.sender, direct=heartbeat.regular):
            fresh.append(heartbeat.sender)
        for info in fresh:
            self._news.add(info.name, info)
            self._lost_news.drop(info.name)
        self._usage.learn(heartbeat.sender.name, heartbeat.usage)
        lost = [self._learn_lost(member) for member in heartbeat.lost]
        signs = self.tell_signs(heartbeat.leaving_servers)
        return bool(fresh) or any(lost) or signs

    def tell_signs(self, vm_ids: list[str]) -> bool:
        """Take over and spread signs; tell whether any is new."""
        fresh = self._signs.add(vm_ids)
        for vm_id in fresh:
            log.info('backend server %s is leaving', vm_id)
            self._sign_news.add(vm_id, vm_id)
        return bool(fresh)

    def tell_lost(self, member: Member) -> bool:
        """Spread that a member does not answer any longer."""
        info = member.info
        return self._learn_lost(
            LostMember(info.name, info.incarnation, info.beat)
        )

    def _learn_lost(self, lost: LostMember) -> bool:
        if self._table.mark_lost(lost):
            log.info('entry VM %s is lost', lost.name)
            self._lost_news.add(lost.name, lost)
            self._news.drop(lost.name)
            return True
        return self._refute(lost)

    def _refute(self, lost: LostMember) -> bool:
        """Tell newer news of a member that this node hears."""
        known = self._table.heard(lost.name)
        if known is None or known.info.beat <= lost.beat:
            return False
        self._news.add(lost.name, known.info)
        return False
