"""Limits on requests that backend servers state in their responses."""

import logging
import math
import time
from collections import defaultdict, deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any

from opentelemetry.metrics import CallbackOptions, Observation

from mallowspindle.backends.view import BackendView
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.policies.limits import (
    MAX_COUNT,
    MIN_LIMIT_PER_S,
    Pace,
    count_senders,
    pace_of_sender,
)
from mallowspindle.sharing.messages import ServerLimit, WorkSum
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.identifiers import rendezvous_order
from mallowspindle.utils.telemetry import meter

log = logging.getLogger(__name__)

# Shortest time after which a refused request may come back.
_MIN_RETRY_AFTER_S = 0.1
# For how long peers are told that a limit has ended.
_ENDED_RETENTION_S = 30.0
# For how long the choice of the nodes that use a limited server is kept. It is
# short compared to the time in which members notice that one is lost.
_SHARE_VALIDITY_S = 0.25
# Pause before a limited server is used again. When it first states its limit,
# it has just got more than that, and the limit counts in windows of seconds.
_FIRST_PAUSE_S = 2.0


@dataclass(slots=True)
class _Statement:
    """The last known limit of a server; ``source`` is who was told."""

    limit_per_s: float | None
    stated_at_s: float
    source: str


_NO_LIMIT = _Statement(None, -math.inf, '')


@dataclass(frozen=True, slots=True)
class _Share:
    """This node's share of a limit; without a pace, other nodes use it all.

    It may send from ``begins_at_s`` on.
    """

    limit_per_s: float
    chosen_at_s: float
    pace: Pace | None = None
    begins_at_s: float = 0

    def is_valid(self, limit_per_s: float, now_s: float) -> bool:
        """Return whether it was chosen lately and for the same limit."""
        return (
            limit_per_s == self.limit_per_s
            and now_s - self.chosen_at_s <= _SHARE_VALIDITY_S
        )


class ServerLimits:
    """The limits of servers, and the requests that this node sent to them.

    Limits hold for all nodes together. Each node tells its peers what servers
    have stated to it.
    """

    def __init__(
        self,
        sharing: SharingService,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._sharing = sharing
        self._clock = clock
        self._own: dict[str, _Statement] = {}
        self._known: dict[str, _Statement] = {}
        self._merged: WorkSum | None = None
        self._shares: dict[str, _Share] = {}
        self._sent_at_s: dict[str, deque[float]] = defaultdict(
            partial(deque, maxlen=MAX_COUNT)
        )

    def start(self) -> None:
        """Tell the peers about limits and serve their number as a metric."""
        self._sharing.register_work_source(self._own_limits)
        meter.create_observable_gauge('limited_servers', [self._observe])

    def forget_gone(self, server_ids: Collection[str]) -> None:
        """Forget all servers but ``server_ids``."""
        tables: tuple[dict[str, Any], ...] = (
            self._own,
            self._known,
            self._shares,
            self._sent_at_s,
        )
        for table in tables:
            for server_id in table.keys() - set(server_ids):
                table.pop(server_id)

    def record(self, server: BackendServer, limit_per_s: float | None) -> None:
        """Record the limit in a server's response; None for no limit."""
        known_per_s = self.limit_per_s(server)
        if limit_per_s is None and known_per_s is None:
            return
        name = self._sharing.membership.own.name
        stated = _Statement(limit_per_s, self._clock(), name)
        self._own[server.server_id] = stated
        self._adopt(server.server_id, stated)
        if known_per_s != limit_per_s:
            self._sharing.send_soon()

    def note_sent(self, server: BackendServer) -> None:
        """Count a request that this node sends to a server."""
        self._sent_at_s[server.server_id].append(self._clock())

    def limit_per_s(self, server: BackendServer) -> float | None:
        """Return the limit of a server; None if it has none."""
        self._merge_peers()
        return self._known.get(server.server_id, _NO_LIMIT).limit_per_s

    def wait_s(self, server: BackendServer) -> float:
        """Return the time until this node may send to a server.

        It is infinite if other nodes use the limit.
        """
        limit_per_s = self.limit_per_s(server)
        if limit_per_s is None:
            self._shares.pop(server.server_id, None)
            return 0
        now_s = self._clock()
        share = self._shares.get(server.server_id)
        if share is None or not share.is_valid(limit_per_s, now_s):
            share = self._choose_share(server.server_id, limit_per_s)
            self._shares[server.server_id] = share
        if share.pace is None:
            return math.inf
        return max(
            share.begins_at_s - now_s,
            share.pace.wait_s(self._sent_at_s[server.server_id], now_s),
        )

    def with_room(self, views: list[BackendView]) -> list[BackendView]:
        """Return the servers that this node may send to now."""
        self._merge_peers()
        if not self._limited_count():
            return views
        return [view for view in views if not self.wait_s(view.server)]

    def retry_after_s(self, servers: Iterable[BackendServer]) -> float:
        """Return when a request may come back that no server may get now."""
        servers = list(servers)
        waits_s = [self.wait_s(server) for server in servers]
        total_per_s = sum(
            max(MIN_LIMIT_PER_S, self.limit_per_s(server) or 0)
            for server in servers
        )
        # The caller may come back to any node, so the mean pause between two
        # requests that the servers accept is as true as this node's own wait.
        wait_s = min([*waits_s, 1 / total_per_s])
        return max(_MIN_RETRY_AFTER_S, wait_s)

    def _choose_share(self, server_id: str, limit_per_s: float) -> _Share:
        """Return how this node uses a limited server from now on.

        A node that begins to use it waits for its place in the order, so that
        the senders do not all begin at the same time.
        """
        now_s = self._clock()
        names = self._staying_names()
        senders = count_senders(limit_per_s, len(names))
        order = rendezvous_order(f'limit {server_id}', names)[:senders]
        own_name = self._sharing.membership.own.name
        if own_name not in order:
            return _Share(limit_per_s, now_s)
        pace = pace_of_sender(limit_per_s, senders)
        former = self._shares.get(server_id)
        if former is not None and former.pace is not None:
            return _Share(limit_per_s, now_s, pace, former.begins_at_s)
        stagger_s = order.index(own_name) / senders * pace.span_s
        return _Share(
            limit_per_s, now_s, pace, now_s + _FIRST_PAUSE_S + stagger_s
        )

    def _staying_names(self) -> list[str]:
        members = [self._sharing.membership.own, *self._sharing.peers()]
        return [member.name for member in members if not member.leaving]

    def _merge_peers(self) -> None:
        work = self._sharing.peer_work()
        if work is self._merged:
            return
        self._merged = work
        now_s = self._clock()
        for server_id, limit in work.limits.items():
            known = self._known.get(server_id, _NO_LIMIT)
            stated_at_s = now_s - limit.age_s
            if known.stated_at_s < stated_at_s:
                self._adopt(
                    server_id,
                    _Statement(limit.per_s, stated_at_s, limit.node),
                )

    def _adopt(self, server_id: str, stated: _Statement) -> None:
        known = self._known.get(server_id, _NO_LIMIT)
        self._known[server_id] = stated
        if stated.limit_per_s == known.limit_per_s:
            return
        if known.limit_per_s is None:
            self._sent_at_s.pop(server_id, None)
        log.info(
            'backend server changed its limit',
            extra={
                'server': server_id,
                'limit_per_s': stated.limit_per_s,
                'stated_to': stated.source,
                'age_s': round(self._clock() - stated.stated_at_s, 2),
            },
        )

    def _own_limits(self) -> WorkSum:
        """Return what servers have stated to this node itself.

        What peers have told is not passed on: its age would lack the time in
        transit, so that it could seem newer than it is.
        """
        now_s = self._clock()
        return WorkSum(
            limits={
                server_id: ServerLimit(
                    stated.limit_per_s,
                    round(now_s - stated.stated_at_s, 2),
                    stated.source,
                )
                for server_id, stated in self._own.items()
                if stated.limit_per_s is not None
                or now_s - stated.stated_at_s < _ENDED_RETENTION_S
            }
        )

    def _observe(self, options: CallbackOptions) -> list[Observation]:
        return [Observation(self._limited_count())]

    def _limited_count(self) -> int:
        limits = [known.limit_per_s for known in self._known.values()]
        return len(limits) - limits.count(None)
