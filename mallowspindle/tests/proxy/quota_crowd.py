"""A simulated crowd of nodes that share the quota of one organisation."""

import asyncio
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import cast

from mallowspindle.catalog.configuration import Organisation, Quota
from mallowspindle.membership.service import MembershipService
from mallowspindle.policies.quota_forecast import QuotaTolerance
from mallowspindle.proxy.quotas import Quotas
from mallowspindle.sharing.service import SharingService
from mallowspindle.tests.sharing.fakes import FakeMesh

WINDOW_S = 8.0
# What the platform grants beyond a quota.
TOLERANCE = QuotaTolerance(fraction=0.1, tokens=140_000)
# Mostly small prompts; those of 12,000 tokens are 65% of all tokens.
COSTS = (800, 800, 2_400, 2_400, 12_000)
LONG_COST = COSTS[-1]
# Prompts that take 0.1 s to prefill are reported to the peers at once.
_SEND_SOON_COST = 6_000
_FULL_MESH_ZONES = 4
_ZONES = 5
_FULL_MESH = 16
_DOWN_S = 1.3
_EVENT_AT_S = 5.0


@dataclass(frozen=True, slots=True)
class Load:
    """What callers ask for, as a multiple of the quota's rate.

    ``before`` applies in the first ``onset_s``. The part ``to_one_node`` comes
    to the same node. Messages of all nodes take ``delay_s``.
    """

    factor: float
    before: float = 0
    onset_s: float = 0
    to_one_node: float = 0
    duration_s: float = 12.0
    delay_s: float = 0
    costs: tuple[int, ...] = COSTS

    def factor_at(self, elapsed_s: float) -> float:
        """Return the multiple at a time after the start."""
        return self.before if elapsed_s < self.onset_s else self.factor


@dataclass(slots=True)
class SlidingSum:
    """Sum of what was admitted in the last window, and its maximum."""

    total: float = 0
    maximum: float = 0
    _entries: deque[tuple[float, float]] = field(default_factory=deque)

    def advance(self, now_s: float) -> None:
        """Remove what has left the window."""
        while self._entries and self._entries[0][0] < now_s - WINDOW_S:
            self.total -= self._entries.popleft()[1]

    def add(self, now_s: float, cost: float) -> None:
        """Count what is admitted."""
        self._entries.append((now_s, cost))
        self.total += cost
        self.maximum = max(self.maximum, self.total)


@dataclass(slots=True)
class CrowdResult:
    """What was asked, admitted, and refused although within the limit.

    ``ideal`` is what one node that sees all requests would admit without any
    tolerance.
    """

    asked: float = 0
    admitted: float = 0
    ideal: float = 0
    long_asked: int = 0
    long_admitted: int = 0
    max_in_window: float = 0
    max_after_lowering: float = 0

    @property
    def refused_fraction(self) -> float:
        """The part of what was asked that was refused."""
        return 1 - self.admitted / self.asked


class Crowd:
    """Nodes that receive the requests of one organisation."""

    def __init__(
        self,
        size: int,
        quota: Quota,
        *,
        tolerance: QuotaTolerance | None = TOLERANCE,
        seed: int = 1,
    ) -> None:
        self._size = size
        self._quota = quota
        self._tolerance = tolerance
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._mesh = self._new_mesh(incarnation=1)
        self._down: set[str] = set()
        self._nodes: dict[str, Quotas] = {}
        self._event_tasks: list[asyncio.Task[None]] = []
        self._lowered_at_s: float | None = None
        self._hot = ''

    async def run(self, load: Load, event: str = '') -> CrowdResult:
        """Return what comes of a load, with one of the events ``_at_event``."""
        random.seed(self._size)
        self._mesh.delays_s.update(
            dict.fromkeys(self._mesh.nodes, load.delay_s)
        )
        self._nodes = dict(map(self._node, self._mesh.nodes))
        await self._mesh.__aenter__()
        self._hot = min(self._nodes)
        # Each node counts the window before its start as used up.
        await asyncio.sleep(WINDOW_S + 1)
        if event:
            self._event_tasks.append(asyncio.create_task(self._act(event)))
        result = await self._offer(load)
        await asyncio.gather(*self._event_tasks)
        await self._mesh.__aexit__()
        return result

    async def _offer(self, load: Load) -> CrowdResult:
        result = CrowdResult()
        admitted, lowered, ideal = SlidingSum(), SlidingSum(), SlidingSum()
        limit = self._quota.rate_per_s * WINDOW_S + self._quota.burst
        for at_s in self._arrivals(load):
            await asyncio.sleep(max(0, at_s - self._loop.time()))
            cost = self._rng.choice(load.costs)
            for window in (admitted, lowered, ideal):
                window.advance(at_s)
            result.asked += cost
            result.long_asked += cost == LONG_COST
            if ideal.total + cost <= limit:
                ideal.add(at_s, cost)
                result.ideal += cost
            if not self._is_admitted(cost, load):
                continue
            admitted.add(at_s, cost)
            result.admitted += cost
            result.long_admitted += cost == LONG_COST
            if self._is_lowered(at_s):
                result.max_after_lowering = max(
                    result.max_after_lowering, admitted.total
                )
        result.max_in_window = admitted.maximum
        return result

    def _arrivals(self, load: Load) -> Iterator[float]:
        """Yield the times of requests, a Poisson process."""
        mean_cost = sum(load.costs) / len(load.costs)
        rate_per_s = self._quota.rate_per_s
        began_at_s = self._loop.time()
        at_s = began_at_s
        while at_s < began_at_s + load.duration_s:
            factor = load.factor_at(at_s - began_at_s)
            at_s += self._rng.expovariate(rate_per_s * factor / mean_cost)
            yield at_s

    def _is_admitted(self, cost: int, load: Load) -> bool:
        names = sorted(self._nodes)
        if not names:
            return False
        name = self._rng.choice(names)
        if self._rng.random() < load.to_one_node:
            name = self._hot
        if name in self._down:
            return False
        organisation = Organisation('one', frozenset(), quota=self._quota)
        if self._nodes[name].admit_or_retry_after_s(organisation, cost):
            return False
        if cost >= _SEND_SOON_COST:
            self._mesh.nodes[name].send_soon()
        return True

    def _is_lowered(self, at_s: float) -> bool:
        lowered_at_s = self._lowered_at_s
        return lowered_at_s is not None and at_s > lowered_at_s + WINDOW_S

    async def _act(self, event: str) -> None:
        await asyncio.sleep(_EVENT_AT_S)
        match event:
            case 'all nodes restart':
                await self._restart_all()
            case 'the busy node restarts':
                await self._restart_one()
            case 'two halves are cut off':
                self._cut(set(sorted(self._nodes)[::2]))
            case 'the busy node is cut off':
                self._cut({self._hot})
                # Its callers go to the others.
                self._hot = max(self._nodes)
            case 'a lower limit':
                self._quota = replace(
                    self._quota,
                    rate_per_s=self._quota.rate_per_s / 2,
                    burst=self._quota.burst / 2,
                )
                self._lowered_at_s = self._loop.time()
            case _:
                raise ValueError(event)

    async def _restart_all(self) -> None:
        self._nodes = {}
        await self._mesh.__aexit__()
        await asyncio.sleep(_DOWN_S)
        self._mesh = self._new_mesh(incarnation=2)
        self._nodes = dict(map(self._node, self._mesh.nodes))
        await self._mesh.__aenter__()

    async def _restart_one(self) -> None:
        self._down.add(self._hot)
        await self._mesh.nodes[self._hot].stop()
        await asyncio.sleep(_DOWN_S)
        membership = self._mesh.memberships[self._hot]
        membership.own = replace(membership.own, incarnation=2)
        for other in self._mesh.memberships.values():
            other.table.merge(membership.own)
        sharing = SharingService(
            cast(MembershipService, membership), self._loop.time
        )
        self._mesh.nodes[self._hot] = sharing
        self._nodes.update([self._node(self._hot)])
        await sharing.start()
        self._down.clear()

    def _cut(self, part: set[str]) -> None:
        others = self._nodes.keys() - part
        for name in part:
            self._mesh.cut.update((name, other) for other in others)
            self._mesh.cut.update((other, name) for other in others)

    def _new_mesh(self, incarnation: int) -> FakeMesh:
        zones = _FULL_MESH_ZONES if self._size <= _FULL_MESH else _ZONES
        return FakeMesh(self._size, zones, incarnation)

    def _node(self, name: str) -> tuple[str, Quotas]:
        quotas = Quotas(
            self._mesh.nodes[name],
            WINDOW_S,
            self._tolerance,
            clock=self._loop.time,
        )
        return name, quotas
