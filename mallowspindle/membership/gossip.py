"""Spreads updates of members and of leaving servers in heartbeats."""

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

_NEWS_LIFETIME_S = 4.0
_MAX_NEWS_ITEMS = 24


@dataclass(slots=True)
class _Item(Generic[NewsT]):
    """An update and the peers that know it already."""

    news: NewsT
    expires_at_s: float
    informed_peers: set[str]


class RecentNews(Generic[NewsT]):
    """Updates by key, sent once to each peer in ``_NEWS_LIFETIME_S`` seconds.

    The lifetime of several heartbeats lets updates reach the whole mesh,
    although each node sends to a bounded number of peers.
    """

    def __init__(self) -> None:
        self._items: dict[Hashable, _Item[NewsT]] = {}

    def add(self, key: Hashable, news: NewsT, source: str = '') -> None:
        """Send an update from now on, except to ``source``, where it came from.

        It replaces an older update of the key.
        """
        expires_at_s = time.monotonic() + _NEWS_LIFETIME_S
        self._items[key] = _Item(
            news, expires_at_s, {source} if source else set()
        )

    def drop(self, key: Hashable) -> None:
        """Stop sending the update of a key."""
        self._items.pop(key, None)

    def take(self, peer: str) -> list[NewsT]:
        """Return at most ``_MAX_NEWS_ITEMS`` updates to send to a peer.

        They count as sent. A peer without a name gets the same ones each time.
        """
        if not self._items:
            return []
        now = time.monotonic()
        self._items = {
            key: item
            for key, item in self._items.items()
            if item.expires_at_s > now
        }
        items = [
            item
            for item in self._items.values()
            if peer not in item.informed_peers
        ]
        selected = random.sample(items, min(_MAX_NEWS_ITEMS, len(items)))
        if peer:
            for chosen in selected:
                chosen.informed_peers.add(peer)
        return [item.news for item in selected]

    def mark_undelivered(self, peer: str, undelivered: Iterable[NewsT]) -> None:
        """Send updates that did not reach a peer to it again."""
        missed = list(undelivered)
        for item in self._items.values():
            if any(item.news is news for news in missed):
                item.informed_peers.discard(peer)


class Gossip:
    """Updates the member table from heartbeats and passes on what is new."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._departures = Departures()
        self._usage = UsageTable()
        self._member_news: RecentNews[MemberInfo] = RecentNews()
        self._lost_news: RecentNews[LostMember] = RecentNews()
        self._departure_news: RecentNews[str] = RecentNews()

    @property
    def departures(self) -> Departures:
        """The backend servers known to be leaving."""
        return self._departures

    @property
    def usage(self) -> UsageTable:
        """The organisations' usage as reported by the entry VMs."""
        return self._usage

    def heartbeat(
        self, sender: MemberInfo, peer: str, *, send_all: bool, regular: bool
    ) -> Heartbeat:
        """Return a heartbeat with the updates for a peer, or all members."""
        news = self._member_news.take(peer)
        departures = self._departure_news.take(peer)
        return Heartbeat(
            sender=sender,
            regular=regular,
            known=len(self._table),
            members=self._table.live() if send_all else news,
            # Sent every time: a peer ignores it while the member sends to it.
            lost=self._lost_news.take(''),
            leaving_servers=self._departures.all() if send_all else departures,
            usage=self._usage.own,
        )

    def mark_undelivered(self, peer: str, heartbeat: Heartbeat) -> None:
        """Send the updates of a heartbeat that did not reach a peer again."""
        self._member_news.mark_undelivered(peer, heartbeat.members)
        self._departure_news.mark_undelivered(peer, heartbeat.leaving_servers)

    def process(self, heartbeat: Heartbeat) -> bool:
        """Apply a heartbeat; return whether to spread its updates soon."""
        changed = [
            info for info in heartbeat.members if self._table.merge(info)
        ]
        if self._table.merge(heartbeat.sender, direct=heartbeat.regular):
            changed.append(heartbeat.sender)
        source = heartbeat.sender.name
        for info in changed:
            self._member_news.add(info.name, info, source)
            self._lost_news.drop(info.name)
        self._usage.replace_reports(source, heartbeat.usage)
        lost = [self._mark_lost(member, source) for member in heartbeat.lost]
        departures = self.spread_departures(heartbeat.leaving_servers, source)
        return bool(changed) or any(lost) or departures

    def spread_departures(self, vm_ids: list[str], source: str = '') -> bool:
        """Add and spread leaving servers; return whether any is new."""
        new_ids = self._departures.add(vm_ids)
        for vm_id in new_ids:
            log.info('backend server %s is leaving', vm_id)
            self._departure_news.add(vm_id, vm_id, source)
        return bool(new_ids)

    def report_lost(self, member: Member) -> bool:
        """Spread the loss of a member that no longer answers."""
        info = member.info
        return self._mark_lost(
            LostMember(info.name, info.incarnation, info.beat)
        )

    def _mark_lost(self, lost: LostMember, source: str = '') -> bool:
        if self._table.mark_lost(lost):
            log.info('entry VM %s is lost', lost.name)
            self._lost_news.add(lost.name, lost, source)
            self._member_news.drop(lost.name)
            return True
        return self._spread_newer_news(lost)

    def _spread_newer_news(self, lost: LostMember) -> bool:
        """Spread a newer update of a member that still sends to this node."""
        known = self._table.find_heard(lost.name)
        if known is None or known.info.beat <= lost.beat:
            return False
        self._member_news.add(lost.name, known.info)
        return False
