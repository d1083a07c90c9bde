"""Which usage windows a holder of the duties reports."""

import asyncio
import time
from collections.abc import Mapping
from types import SimpleNamespace
from typing import cast

from mallowspindle.adapter import Duties, ScaleRequest
from mallowspindle.backends.service import BackendsService
from mallowspindle.catalog.service import CatalogService
from mallowspindle.config.platform import DutiesSection
from mallowspindle.duties.messages import UsageNews, WindowCounts
from mallowspindle.duties.service import DutiesService
from mallowspindle.tests.catalog.fakes import FakeLog
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.usage import UsageCounter

_WINDOW_S = 0.5
_TIMEOUT_S = 10


class _Reports(Duties):
    """Records the counts that are reported, by window."""

    def __init__(self) -> None:
        self.windows: dict[int, list[dict[str, int]]] = {}

    async def report_usage(
        self, fencing_number: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Record a report."""
        self.windows.setdefault(window, []).append(dict(counts))

    async def scale_service(
        self, fencing_number: int, request: ScaleRequest
    ) -> None:
        """Accept an order."""


async def test_a_new_process_reports_no_window_that_may_be_reported() -> None:
    """Guards against other counts for a window after a restored store.

    The log has lost the reports, and no process that has seen it is left. Peers
    pass on counts of windows that ended before the start.
    """
    async with FakeMesh(2, 1) as mesh:
        own, peer = mesh.nodes
        sharing = mesh.nodes[own]
        usage = UsageCounter(_WINDOW_S, time.time)
        reports = _Reports()
        service = DutiesService(
            DutiesSection.model_validate(
                {'kinds': ['usage'], 'usage_window_s': _WINDOW_S}
            ),
            reports,
            FakeLog(),
            cast(BackendsService, SimpleNamespace(demand=None)),
            cast(CatalogService, SimpleNamespace(restored_at_s=0.0)),
            sharing,
            usage,
        )
        now = int(time.time() / _WINDOW_S)
        former = [WindowCounts(now - age, {'farm': 3}) for age in (4, 3, 2)]
        await service.start()
        await mesh.servers[own].dispatch_message(UsageNews(peer, 1, former))
        async with asyncio.timeout(_TIMEOUT_S):
            while len(reports.windows) < 3:
                usage.count_request('farm')
                await asyncio.sleep(_WINDOW_S / 5)
        await service.stop()
    assert not reports.windows.keys() & {each.window for each in former}
