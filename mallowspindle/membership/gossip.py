"""What heartbeats tell of members and of leaving servers."""

import logging
import random
import time
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from mallowspindle.membership.departures import Departures
from mallowspindle.membership.messages import (
    Heartbeat,
    LostMember,
    MemberInfo,
)
from mallowspindle.membership.table import Member, MemberTable
from mallowspindle.membership.usage import UsageTable

log = logging.getLogger(__name__)

NewsT = TypeVar('NewsT')

_TOLD_FOR_S = 4.0
_MAX_TOLD = 24


@dataclass(slots=True)
class _Item(Generic[NewsT]):
    """One piece of news, and the peers that need not be told."""

    news: NewsT
    until_s: float
    knowing: set[str]


class RecentNews(Generic[NewsT]):
    """News by key, each told once to each peer for ``_TOLD_FOR_S`` seconds.

    A window of several heartbeats lets news cross the whole mesh, although
    each node sends to a bounded number of peers.
    """

    def __init__(self) -> None:
        self._items: dict[Hashable, _Item[NewsT]] = {}

    def add(self, key: Hashable, news: NewsT, source: str = '') -> None:
        """Tell news from now on, but not to the peer that told it.

        Older news of the key is dropped.
        """
        until_s = time.monotonic() + _TOLD_FOR_S
        self._items[key] = _Item(news, until_s, {source} if source else set())

    def drop(self, key: Hashable) -> None:
        """Tell nothing of a key any longer."""
        self._items.pop(key, None)

    def take(self, peer: str) -> list[NewsT]:
        """Return what a peer is to be told now, at most ``_MAX_TOLD`` of it.

        It counts as told. A peer without a name is told all again and again.
        """
        if not self._items:
            return []
        now = time.monotonic()
        self._items = {
            key: item for key, item in self._items.items() if item.until_s > now
        }
        items = [
            item for item in self._items.values() if peer not in item.knowing
        ]
        told = random.sample(items, min(_MAX_TOLD, len(items)))
        if peer:
            for shown in told:
                shown.knowing.add(peer)
        return [item.news for item in told]

    def put_back(self, peer: str, told: Iterable[NewsT]) -> None:
        """Tell a peer again what did not reach it."""
        missed = list(told)
        for item in self._items.values():
            if any(item.news is news for news in missed):
                item.knowing.discard(peer)


class Gossip:
    """Learns from heartbeats and tells on what is new."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._departures = Departures()
        self._usage = UsageTable()
        self._news: RecentNews[MemberInfo] = RecentNews()
        self._lost_news: RecentNews[LostMember] = RecentNews()
        self._departure_news: RecentNews[str] = RecentNews()

    @property
    def departures(self) -> Departures:
        """The backend servers known to be leaving."""
        return self._departures

    @property
    def usage(self) -> UsageTable:
        """What the entry VMs report of the organisations' usage."""
        return self._usage

    def heartbeat(
        self, sender: MemberInfo, peer: str, *, full: bool, regular: bool
    ) -> Heartbeat:
        """Return what is new to a peer, or all that is known."""
        news = self._news.take(peer)
        departures = self._departure_news.take(peer)
        return Heartbeat(
            sender=sender,
            regular=regular,
            known=len(self._table),
            members=self._table.live() if full else news,
            # Repeated, since a peer that still hears the member ignores it.
            lost=self._lost_news.take(''),
            leaving_servers=self._departures.all() if full else departures,
            usage=self._usage.own,
        )

    def put_back(self, peer: str, heartbeat: Heartbeat) -> None:
        """Tell a peer the news again of a heartbeat that did not reach it."""
        self._news.put_back(peer, heartbeat.members)
        self._departure_news.put_back(peer, heartbeat.leaving_servers)

    def learn(self, heartbeat: Heartbeat) -> bool:
        """Learn from a heartbeat; tell whether others should hear soon."""
        fresh = [info for info in heartbeat.members if self._table.merge(info)]
        if self._table.merge(heartbeat.sender, direct=heartbeat.regular):
            fresh.append(heartbeat.sender)
        source = heartbeat.sender.name
        for info in fresh:
            self._news.add(info.name, info, source)
            self._lost_news.drop(info.name)
        self._usage.learn(source, heartbeat.usage)
        lost = [self._learn_lost(member, source) for member in heartbeat.lost]
        departures = self.spread_departures(heartbeat.leaving_servers, source)
        return bool(fresh) or any(lost) or departures

    def spread_departures(self, vm_ids: list[str], source: str = '') -> bool:
        """Take over and spread signs; tell whether any is new."""
        fresh = self._departures.add(vm_ids)
        for vm_id in fresh:
            log.info('backend server %s is leaving', vm_id)
            self._departure_news.add(vm_id, vm_id, source)
        return bool(fresh)

    def tell_lost(self, member: Member) -> bool:
        """Spread that a member does not answer any longer."""
        info = member.info
        return self._learn_lost(
            LostMember(info.name, info.incarnation, info.beat)
        )

    def _learn_lost(self, lost: LostMember, source: str = '') -> bool:
        if self._table.mark_lost(lost):
            log.info('entry VM %s is lost', lost.name)
            self._lost_news.add(lost.name, lost, source)
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
