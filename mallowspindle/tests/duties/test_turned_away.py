"""Usage reports while the store turns only the holder of the duties away."""

import asyncio
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest

from mallowspindle.adapter import Duties, ScaleRequest
from mallowspindle.backends.service import BackendsService
from mallowspindle.catalog.service import CatalogService
from mallowspindle.config.platform import DutiesSection
from mallowspindle.duties.service import DutiesService
from mallowspindle.log.errors import AppendRefused
from mallowspindle.log.interface import Log
from mallowspindle.log.records import KeyedState, LogPage
from mallowspindle.tests.catalog.fakes import FakeLog
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.tests.simulation import simulated
from mallowspindle.usage import UsageCounter
from mallowspindle.utils.clock import SharedClock

# More than the nodes of a full mesh.
_NODES = 20
_ZONES = 4
_WINDOW_S = 5.0
_DUE_S = 10.0
_TURNED_AWAY_S = 7.0
# Until the nodes' times of day are certain and some windows are reported.
_SETTLED_S = 22.0
_CALLS_PER_S = 10
_STORE_TIMEOUT_S = 1.5


class _NodeLog(Log):
    """The log as one node sees it.

    Calls of nodes in ``turned_away`` are refused after the given time.
    """

    def __init__(
        self, source: Log, name: str, turned_away: Mapping[str, float]
    ) -> None:
        self._source = source
        self._name = name
        self._turned_away = turned_away

    async def append(self, *args: Any, **kwargs: Any) -> int:
        """Append records."""
        await self._check()
        return await self._source.append(*args, **kwargs)

    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        """Read records."""
        await self._check()
        return await self._source.read(stream, offset, wait_s)

    async def read_latest(self, stream: str) -> KeyedState:
        """Return the newest record of each key."""
        await self._check()
        return await self._source.read_latest(stream)

    async def _check(self) -> None:
        refused_after_s = self._turned_away.get(self._name)
        if refused_after_s is not None:
            await asyncio.sleep(refused_after_s)
            raise AppendRefused('turned away')


@dataclass(slots=True)
class _Platform:
    """What the nodes reported: counts by window, and who used a number."""

    mesh: FakeMesh
    counts: dict[int, list[dict[str, int]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    first_at_s: dict[int, float] = field(default_factory=dict)
    holders: dict[int, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )

    def now_s(self) -> float:
        """Return the time of day of the nodes."""
        return next(iter(self.mesh.memberships.values())).clock.now_s()


class _NodeDuties(Duties):
    """The platform's calls as one node makes them."""

    def __init__(self, platform: _Platform, name: str) -> None:
        self._platform = platform
        self._name = name

    async def report_usage(
        self, fencing_number: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Record a report."""
        platform = self._platform
        platform.counts[window].append(dict(counts))
        platform.first_at_s.setdefault(window, platform.now_s())
        platform.holders[fencing_number].add(self._name)

    async def scale_service(
        self, fencing_number: int, request: ScaleRequest
    ) -> None:
        """Accept an order."""


class _Venture:
    """Nodes that count requests and report usage."""

    def __init__(self, mesh: FakeMesh) -> None:
        self.turned_away: dict[str, float] = {}
        self.platform = _Platform(mesh)
        clock = asyncio.get_running_loop().time
        for membership in mesh.memberships.values():
            membership.clock = SharedClock(clock, clock)
        source = FakeLog()
        self._usage = {
            name: UsageCounter(_WINDOW_S, mesh.memberships[name].clock.now_s)
            for name in mesh.nodes
        }
        self._services = {
            name: DutiesService(
                DutiesSection.model_validate({'kinds': ['usage']}),
                _NodeDuties(self.platform, name),
                _NodeLog(source, name, self.turned_away),
                cast(BackendsService, SimpleNamespace(demand=None)),
                cast(CatalogService, SimpleNamespace(restored_at_s=0.0)),
                sharing,
                self._usage[name],
            )
            for name, sharing in mesh.nodes.items()
        }

    async def start(self) -> None:
        """Start all nodes."""
        for each in self._services.values():
            await each.start()

    async def stop(self) -> None:
        """Stop all nodes."""
        for each in self._services.values():
            await each.stop()

    async def serve(self, for_s: float) -> None:
        """Count requests at all nodes."""
        for _ in range(int(for_s * _CALLS_PER_S)):
            for usage in self._usage.values():
                usage.count_request('farm')
            await asyncio.sleep(1 / _CALLS_PER_S)

    def holder(self) -> str:
        """Return the node that last took over the duties."""
        (holder,) = self.platform.holders[max(self.platform.holders)]
        return holder


@pytest.mark.parametrize('refused_after_s', [0, _STORE_TIMEOUT_S])
@pytest.mark.parametrize('offset_s', [0.2, 1.2, 2.2, 3.2, 4.2])
@simulated
async def test_usage_is_reported_while_the_holder_is_turned_away(
    offset_s: float, refused_after_s: float
) -> None:
    """Guards against a window that nobody reports in time.

    The holder must hand over early, and the next one take over at once.
    """
    async with FakeMesh(_NODES, _ZONES) as mesh:
        venture = _Venture(mesh)
        platform = venture.platform
        await venture.start()
        await venture.serve(_SETTLED_S)
        into_window_s = platform.now_s() % _WINDOW_S
        await venture.serve(_WINDOW_S - into_window_s + offset_s)
        former = venture.holder()
        venture.turned_away[former] = refused_after_s
        began_at_s = platform.now_s()
        await venture.serve(_TURNED_AWAY_S)
        venture.turned_away.clear()
        await venture.serve(_DUE_S)
        now_s = platform.now_s()
        await venture.stop()
    first = min(platform.counts)
    due = range(first, int((now_s - _DUE_S) // _WINDOW_S))
    late_s = {
        window: round(
            platform.first_at_s.get(window, now_s) - (window + 1) * _WINDOW_S, 1
        )
        for window in due
    }
    assert max(late_s.values()) <= _DUE_S, (late_s, began_at_s)
    assert len(due) >= 4
    for reported in platform.counts.values():
        assert all(counts == reported[0] for counts in reported)
    assert all(len(holders) == 1 for holders in platform.holders.values())
    assert venture.holder() != former
