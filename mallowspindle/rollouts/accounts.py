"""Counts of this node and of all nodes for the rollouts under way."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.outcomes import Unknown
from mallowspindle.policies.versions import responses_by_measure
from mallowspindle.proxy.outcomes import Answered, AttemptOutcome
from mallowspindle.rollouts.book import RolloutBook
from mallowspindle.rollouts.counting import (
    AttemptWatch,
    VersionCounts,
    cells_of,
    versions_in,
)
from mallowspindle.rollouts.records import (
    RolloutNews,
    RolloutReport,
    VersionReport,
)
from mallowspindle.sharing.aggregation import total
from mallowspindle.sharing.messages import RolloutSum, WorkSum
from mallowspindle.sharing.service import SharingService
from mallowspindle.utils.connections import accepts_connections
from mallowspindle.utils.tasks import BackgroundTasks
from mallowspindle.utils.telemetry import meter

# Time after which a crashed server accepts no connection any more.
_CRASH_CHECK_S = 0.3

new_version_total = meter.create_counter('rollout_requests')


class RolloutAccounts:
    """Measures attempts at servers, and sums what all nodes have measured."""

    def __init__(
        self,
        book: RolloutBook,
        catalog: CatalogService,
        sharing: SharingService,
        is_listening: Callable[[str], Awaitable[bool]] = accepts_connections,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._book = book
        self._catalog = catalog
        self._sharing = sharing
        self._is_listening = is_listening
        self._clock = clock
        self._counts: dict[str, VersionCounts] = {}
        self._tasks = BackgroundTasks()

    async def stop(self) -> None:
        """Stop checks of lost servers."""
        await self._tasks.cancel()

    @contextmanager
    def watch(
        self,
        server: BackendServer,
        route: str,
        *,
        streams: bool,
        predicted_s: float,
    ) -> Iterator[AttemptWatch | None]:
        """Measure an attempt; yield None if no rollout is under way."""
        counts = self._counts_of(server.service)
        if counts is None:
            yield None
            return
        watch = AttemptWatch(
            counts, server, route, streams, predicted_s, self._clock
        )
        if server.software_version == self._target(server.service):
            new_version_total.add(1, {'service': server.service})
        try:
            yield watch
        except (asyncio.CancelledError, TimeoutError):
            watch.note_late()
            raise
        finally:
            watch.end()

    def record(self, watch: AttemptWatch, outcome: AttemptOutcome) -> None:
        """Count the outcome of an attempt; a crash of its server is none."""
        match outcome:
            case Answered():
                watch.note_answer(failed=outcome.is_server_error)
            case Unknown():
                self._tasks.spawn(self._check_lost(watch), 'lost response')

    def counted(self, service_name: str) -> RolloutSum | None:
        """Return what all nodes have counted for the rollout of a service."""
        own = self.own_work()
        whole = total([own, self._sharing.peer_work()])
        counted = whole.rollouts.get(service_name)
        if counted and counted.order == self._book.counted_order(service_name):
            return counted
        return None

    def _target(self, service_name: str) -> str | None:
        order = self._book.pending(service_name)
        state = self._book.states.get(service_name)
        if order is not None:
            return order.target
        return state.target if state else None

    def _counts_of(self, service_name: str) -> VersionCounts | None:
        order = self._book.counted_order(service_name)
        if order is None:
            return None
        counts = self._counts.get(service_name)
        if counts is None or counts.order != order:
            counts = VersionCounts(order)
            self._counts[service_name] = counts
        return counts

    def own_work(self) -> WorkSum:
        """Return what this node has counted, for peers."""
        return WorkSum(
            rollouts={
                name: counts.sums()
                for name, counts in self._counts.items()
                if counts.order == self._book.counted_order(name)
            }
        )

    async def _check_lost(self, watch: AttemptWatch) -> None:
        await asyncio.sleep(_CRASH_CHECK_S)
        known = self._catalog.servers.get(watch.server.server_id)
        if known is None or known.draining:
            return
        if known.started_at_ms != watch.server.started_at_ms:
            return
        if await self._is_listening(watch.server.address):
            watch.note_lost()

    def report(self, news: RolloutNews) -> RolloutReport:
        """Return a rollout with its counts, for operators."""
        counted = self.counted(news.state.service)
        return RolloutReport(
            news.state,
            news.plan.share if news.plan else 0,
            news.plan.stream_share if news.plan else 0,
            news.finding,
            {
                version: VersionReport(
                    counted.sent.get(version, 0),
                    responses_by_measure(cells_of(counted, version.__eq__)),
                )
                for version in versions_in(counted)
            }
            if counted
            else {},
        )
