"""Performs the duties while this node holds their lease."""

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
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.config.platform import DutiesSection, PlatformSettings
from mallowspindle.duties.counting import UsageExchange
from mallowspindle.duties.fleet import FleetController
from mallowspindle.duties.lease import Lease
from mallowspindle.duties.records import UsageReport
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.log.errors import LogError
from mallowspindle.log.interface import Log
from mallowspindle.proxy.service import ProxyService
from mallowspindle.sharing.messages import LeaseUpdate
from mallowspindle.sharing.service import SharingService
from mallowspindle.usage import UsageCounter
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)

_STEP_INTERVAL_S = 0.2
# Time in which the counts of all nodes arrive, after the end of a window and
# after the start of this node.
_COUNTS_DELAY_S = 1.2
# Delay between one node in claim order and the next when the lease is free.
_CLAIM_STAGGER_S = 0.4
_FAILURE_PAUSE_S = 0.5
# Windows that a new holder sends again, as the former one may have died before
# it sent them.
_RESENT_WINDOWS = 2
# Time in which the counts arrive in a large venture, after the end of a window
# and after a claim. Nodes send their counts every 1.05 s; those that first have
# to learn of a new holder take three intervals of the states longer.
_LARGE_COUNTS_DELAY_S = 2.5


@service('duties', requires=('border', 'catalog', 'proxy', 'sharing'))
class DutiesService(Service):
    """Claims the lease, reports usage and keeps the fleet at its size."""

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
        self._catalog = catalog
        self._backends = backends
        # None until the lease's stream was read for the first time.
        self._followed_restore_at_s: float | None = None
        self._sharing = sharing
        self._own = own
        self._usage_exchange = UsageExchange(sharing, usage)
        self._lease = Lease(
            source,
            own.name,
            own.incarnation,
            section.lease_s,
            shared_clock=sharing.membership.clock,
        )
        self._fleet = FleetController(
            catalog,
            duties,
            backends.demand,
            is_capacity=self._is_capacity,
        )
        self._fleet_fencing_number: int | None = None
        self._claimed_at_s = 0.0
        self._started_at_s = 0.0
        self._sent_windows: set[int] = set()
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service with the log and duties of the interface."""
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

    @property
    def fencing_number(self) -> int | None:
        """The number of this node's lease; None if it may not act now."""
        tenure = self._lease.valid_tenure
        return tenure.fencing_number if tenure else None

    async def start(self) -> None:
        """Start to exchange usage counts and to watch the lease."""
        self._started_at_s = time.monotonic()
        self._sharing.register_lease_source(self._lease.news)
        self._sharing.watch_lease(self._handle_lease_news)
        self._usage_exchange.start()
        # Separate tasks, because the platform may leave calls unanswered for
        # longer than the lease lasts without a renewal.
        self._tasks.spawn(self._repeat(self._maintain_lease), 'lease')
        self._tasks.spawn(self._repeat(self._send_usage), 'usage reports')
        self._tasks.spawn(self._usage_exchange.send_forever(), 'usage counts')
        if 'autoscale' in self._section.kinds:
            self._tasks.spawn(self._repeat(self._maintain_fleet), 'fleet')

    async def prepare_drain(self) -> None:
        """Release the lease, so that another node takes over at once."""
        await self._tasks.cancel()
        await self._lease.release()
        self._usage_exchange.send()
        self._sharing.send_soon()

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.cancel()

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
            except LogError as error:
                log.info('lease not renewed', extra={'error': str(error)})
                await asyncio.sleep(_FAILURE_PAUSE_S)
            except DutyError as error:
                log.warning(
                    'duty call to the platform failed',
                    extra={'error': str(error)},
                )
            except Exception:
                log.exception('unexpected error in the duties')
                await asyncio.sleep(_FAILURE_PAUSE_S)
            await asyncio.sleep(_STEP_INTERVAL_S)

    async def _maintain_lease(self) -> None:
        self._note_restarts()
        if self._followed_restore_at_s != self._catalog.restored_at_s:
            # The tenure of a holder ends with the log's former era.
            await self._lease.catch_up()
            self._followed_restore_at_s = self._catalog.restored_at_s
        if not self._lease.is_holder:
            if not self._lease.may_claim(self._claim_rank() * _CLAIM_STAGGER_S):
                return
            if not await self._lease.claim():
                return
            self._claimed_at_s = time.monotonic()
            self._sent_windows = set(
                sorted(self._lease.state.reports)[:-_RESENT_WINDOWS]
            )
            await self._log_again()
        try:
            await self._lease.renew()
        except LogError:
            self._hand_over_if_late()
            raise
        await self._log_usage()

    def _hand_over_if_late(self) -> None:
        """Let another node take over that the store may not turn away."""
        if self._lease.hand_over_if_late():
            self._usage_exchange.send()
            self._sharing.send_soon()

    async def _log_again(self) -> None:
        """Log known reports again that a restored log may have lost."""
        tenure = self._lease.valid_tenure
        if tenure is None or not self._catalog.restored_at_s:
            return
        for window in sorted(self._lease.state.reports)[-_RESENT_WINDOWS:]:
            counts = self._lease.state.reports[window]
            await self._lease.append(
                UsageReport(
                    tenure.fencing_number,
                    window,
                    counts,
                    self._lease.written(),
                )
            )

    async def _maintain_fleet(self) -> None:
        tenure = self._lease.valid_tenure
        if tenure is None:
            return
        number = tenure.fencing_number
        if number != self._fleet_fencing_number:
            self._fleet_fencing_number = number
            self._fleet.forget()
        try:
            await self._fleet.reconcile(number)
        except StaleFencingNumber as error:
            self._lease.give_up(str(error), number)

    async def _log_usage(self) -> None:
        """Log the counts of windows that have ended, before they are sent."""
        tenure = self._lease.valid_tenure
        if tenure is None or not self._counts_have_arrived():
            return
        logged = self._lease.state.reports
        delay_s = (
            _COUNTS_DELAY_S
            if self._sharing.is_full_mesh
            else _LARGE_COUNTS_DELAY_S
        )
        ended_windows = self._usage_exchange.ended_windows(
            self._sharing.membership.clock.now_s() - delay_s
        )
        for window, counts in ended_windows.items():
            if window in logged or self._may_have_lost_report(window):
                continue
            record = UsageReport(
                tenure.fencing_number, window, counts, self._lease.written()
            )
            if await self._lease.append(record):
                log.info(
                    'usage logged', extra={'window': window, 'counts': counts}
                )

    def _may_have_lost_report(self, window: int) -> bool:
        """Return whether the log may have lost a report of the window.

        A former holder may have sent it, and other counts must not follow.
        """
        ended_at_s = (window + 1) * self._section.usage_window_s
        return ended_at_s <= max(
            self._catalog.restored_at_s, self._lease.has_lost_nothing_since_s
        )

    async def _send_usage(self) -> None:
        for window, counts in sorted(self._lease.state.reports.items()):
            tenure = self._lease.valid_tenure
            if window in self._sent_windows or tenure is None:
                continue
            number = tenure.fencing_number
            try:
                await self._duties.report_usage(number, window, counts)
            except StaleFencingNumber as error:
                self._lease.give_up(str(error), number)
                return
            self._sent_windows.add(window)
            log.info('usage reported', extra={'window': window})

    def _counts_have_arrived(self) -> bool:
        """Return whether all nodes have had time to send their counts."""
        now_s = time.monotonic()
        if now_s - self._started_at_s < _COUNTS_DELAY_S:
            return False
        delay_is_over = now_s - self._claimed_at_s >= _LARGE_COUNTS_DELAY_S
        return delay_is_over or self._sharing.is_full_mesh

    def _is_capacity(self, server: BackendServer) -> bool:
        """Return whether a server counts for the fleet's planning."""
        return self._backends.rollouts.is_capacity(server)

    def _claim_rank(self) -> int:
        return self._usage_exchange.claim_order().index(self._own.name)

    def _note_restarts(self) -> None:
        """Record incarnations: a restarted holder has lost the lease."""
        self._lease.note_own_incarnation(
            self._sharing.membership.own.incarnation
        )
        for info in self._sharing.peers():
            self._lease.note_incarnation(info.name, info.incarnation)

    def _handle_lease_news(self, news: LeaseUpdate) -> None:
        if news.holder == self._own.name:
            return
        self._usage_exchange.note_holder(news)
        if news.released:
            self._lease.note_released(news.fencing_number)
        else:
            self._lease.note_renewal(news.fencing_number, news.age_s)


class NoDuties(Service):
    """Replaces the service where the platform has no duties."""

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct a service that does nothing."""
        return cls()
