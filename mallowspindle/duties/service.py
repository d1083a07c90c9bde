"""Holds the duties while this node has their lease."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Self

from mallowspindle.adapter import (
    AdapterService,
    Duties,
    DutyError,
    StaleFencingNumber,
)
from mallowspindle.backends.service import BackendsService
from mallowspindle.catalog.service import CatalogService
from mallowspindle.config.platform import DutiesSection, PlatformSettings
from mallowspindle.duties.counting import UsageCounts
from mallowspindle.duties.fleet import FleetKeeper
from mallowspindle.duties.lease import Lease
from mallowspindle.duties.records import UsageReport
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.log.errors import LogError
from mallowspindle.log.interface import Log
from mallowspindle.proxy.service import ProxyService
from mallowspindle.sharing.messages import LeaseNews
from mallowspindle.sharing.service import SharingService
from mallowspindle.usage import UsageCounter
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)

_TICK_S = 0.2
# Time in which the counts of all nodes arrive: after a window's end, and at a
# node that has just started.
_COUNTS_ARRIVE_S = 1.2
# Lead that each node in the order has over the next when the lease is free.
_CLAIM_STEP_S = 0.4
_FAILURE_PAUSE_S = 0.5
# Windows that a new holder sends again, as their sender may have died.
_REPEATED_WINDOWS = 2
# The same in a large venture, whose nodes send their counts each 1.05 s; those
# that hear of a new holder first take three pauses of the states more.
_COUNTS_FOLLOW_S = 2.5


@service('duties', requires=('border', 'catalog', 'proxy', 'sharing'))
class DutiesService(Service):
    """Claims the lease, reports usage and keeps the fleet."""

    def __init__(
        self,
        section: DutiesSection,
        duties: Duties,
        source: Log,
        backends: BackendsService,
        catalog: CatalogService,
        sharing: SharingService,
        usage: UsageCounter,
    ) -> None:
        own = sharing.membership.own
        self._section = section
        self._duties = duties
        self._sharing = sharing
        self._own = own
        self._counts = UsageCounts(sharing, usage)
        self._lease = Lease(source, own.name, own.incarnation, section.lease_s)
        self._fleet = FleetKeeper(catalog, duties, backends.demand)
        self._fleet_number: int | None = None
        self._claimed_at_s = 0.0
        self._started_at_s = 0.0
        self._sent: set[int] = set()
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service on the border's log and duties."""
        adapter = kernel.find('border', AdapterService)
        if adapter.duties is None:
            return NoDuties.from_config(kernel)  # type: ignore[return-value]
        return cls(
            kernel.settings(PlatformSettings).duties,
            adapter.duties,
            adapter.log,
            kernel.find('backends', BackendsService),
            kernel.find('catalog', CatalogService),
            kernel.find('sharing', SharingService),
            kernel.find('proxy', ProxyService).context.usage,
        )

    async def start(self) -> None:
        """Begin to tell usage and to look at the lease."""
        self._started_at_s = time.monotonic()
        self._sharing.register_lease_source(self._lease.news)
        self._sharing.watch_lease(self._learn)
        self._counts.start()
        # Separate tasks, since the platform may leave calls unanswered for
        # longer than the lease lasts without being renewed.
        self._tasks.spawn(self._repeat(self._keep_lease), 'lease')
        self._tasks.spawn(self._repeat(self._send_usage), 'usage reports')
        self._tasks.spawn(self._counts.tell_forever(), 'usage counts')
        if 'autoscale' in self._section.kinds:
            self._tasks.spawn(self._repeat(self._keep_fleet), 'fleet')

    async def prepare_drain(self) -> None:
        """Let another node take over at once."""
        await self._tasks.cancel()
        await self._lease.release()
        self._counts.tell()
        self._sharing.send_soon()

    async def stop(self) -> None:
        """Stop."""
        await self._tasks.cancel()

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
            except LogError as error:
                log.info('lease not renewed', extra={'error': str(error)})
                await asyncio.sleep(_FAILURE_PAUSE_S)
            except DutyError as error:
                log.warning('duty failed', extra={'error': str(error)})
            except Exception:
                log.exception('duties failed')
                await asyncio.sleep(_FAILURE_PAUSE_S)
            await asyncio.sleep(_TICK_S)

    async def _keep_lease(self) -> None:
        self._note_restarts()
        if not self._lease.holds:
            if not self._lease.may_claim(self._rank() * _CLAIM_STEP_S):
                return
            if not await self._lease.claim():
                return
            self._claimed_at_s = time.monotonic()
            self._sent = set(
                sorted(self._lease.ledger.reports)[:-_REPEATED_WINDOWS]
            )
        await self._lease.renew()
        await self._log_usage()

    async def _keep_fleet(self) -> None:
        tenure = self._lease.held
        if tenure is None:
            return
        number = tenure.fencing_number
        if number != self._fleet_number:
            self._fleet_number = number
            self._fleet.forget()
        try:
            await self._fleet.step(number)
        except StaleFencingNumber as error:
            self._lease.give_up(str(error), number)

    async def _log_usage(self) -> None:
        """Log the counts of windows that are over, before they are sent."""
        tenure = self._lease.held
        if tenure is None or not self._counts_are_here():
            return
        logged = self._lease.ledger.reports
        arrive_s = (
            _COUNTS_ARRIVE_S if self._sharing.is_full_mesh else _COUNTS_FOLLOW_S
        )
        over = self._counts.over(time.time() - arrive_s)
        for window, counts in over.items():
            if window in logged:
                continue
            record = UsageReport(tenure.fencing_number, window, counts)
            if await self._lease.append(record):
                log.info(
                    'usage logged', extra={'window': window, 'counts': counts}
                )

    async def _send_usage(self) -> None:
        for window, counts in sorted(self._lease.ledger.reports.items()):
            tenure = self._lease.held
            if window in self._sent or tenure is None:
                continue
            number = tenure.fencing_number
            try:
                await self._duties.report_usage(number, window, counts)
            except StaleFencingNumber as error:
                self._lease.give_up(str(error), number)
                return
            self._sent.add(window)
            log.info('usage reported', extra={'window': window})

    def _counts_are_here(self) -> bool:
        """Tell whether all nodes have had the time to send their counts."""
        now_s = time.monotonic()
        if now_s - self._started_at_s < _COUNTS_ARRIVE_S:
            return False
        followed = now_s - self._claimed_at_s >= _COUNTS_FOLLOW_S
        return followed or self._sharing.is_full_mesh

    def _rank(self) -> int:
        return self._counts.claim_order().index(self._own.name)

    def _note_restarts(self) -> None:
        """Take in that the holder was restarted, and so has let go."""
        for info in self._sharing.peers():
            self._lease.note_alive(info.name, info.incarnation)

    def _learn(self, news: LeaseNews) -> None:
        if news.holder == self._own.name:
            return
        self._counts.note_holder(news)
        if news.released:
            self._lease.note_released(news.fencing_number)
        else:
            self._lease.note_shown(news.fencing_number, news.age_s)


class NoDuties(Service):
    """Stands in where the platform has no duties."""

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct nothing."""
        return cls()
