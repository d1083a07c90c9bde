"""Moves streams away from servers that are about to be taken away."""

import asyncio
import logging
from typing import Self

from mallowspindle.adapter import (
    AdapterService,
    MigrationClient,
    MigrationError,
    NoSuchRun,
    TargetFull,
)
from mallowspindle.backends.service import BackendsService
from mallowspindle.backends.view import BackendView, InFlightRequest, Relocation
from mallowspindle.catalog.service import CatalogService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)

# Time before the server's end at which moves begin: streams that end by then
# need none, and the memory of the others still passes the server's link.
_LEAD_S = 1.6
# Servers that are asked to take a stream; each answers within a transfer.
_MOST_TARGETS = 3
# Reports that are asked for until one names the end, and the pause between two:
# a report is as of some hundred milliseconds ago.
_MOST_REPORTS = 4
_REPORT_PAUSE_S = 0.3
# Pause before the streams that are still there are looked at again.
_ROUND_S = 0.2


@service('evacuation', requires=('border', 'backends', 'catalog'))
class EvacuationService(Service):
    """Watches reclaim notices and moves this node's streams in time."""

    def __init__(
        self,
        migration: MigrationClient,
        backends: BackendsService,
        catalog: CatalogService,
    ) -> None:
        self._migration = migration
        self._backends = backends
        self._catalog = catalog
        self._leaving: set[str] = set()
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service on the border's moves."""
        return cls(
            kernel.find('border', AdapterService).migration,
            kernel.find('backends', BackendsService),
            kernel.find('catalog', CatalogService),
        )

    async def start(self) -> None:
        """Begin to watch."""
        self._catalog.watch(self._look)

    async def stop(self) -> None:
        """Stop all moves."""
        await self._tasks.cancel()

    def _look(self) -> None:
        for server in self._catalog.servers.values():
            if not server.draining:
                continue
            if server.server_id not in self._leaving:
                self._leaving.add(server.server_id)
                self._tasks.spawn(
                    self._evacuate(server.service, server.server_id),
                    'evacuation',
                )
        self._leaving.intersection_update(self._catalog.servers)

    async def _evacuate(self, service_name: str, server_id: str) -> None:
        view = self._backends.find(service_name, server_id)
        if view is None or not view.work:
            return
        left_s = await self._time_left_s(view)
        if left_s is None:
            return
        log.info(
            'backend server is reclaimed',
            extra={'server': server_id, 'left_s': left_s},
        )
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + left_s
        await asyncio.sleep(max(0, left_s - _LEAD_S))
        while loop.time() < ends_at_s:
            await self._move_all(view)
            await asyncio.sleep(_ROUND_S)

    async def _time_left_s(self, view: BackendView) -> float | None:
        """Return when a server is taken away; None if nothing says so.

        Reports are late, and one may be lost: the first is no proof.
        """
        for _ in range(_MOST_REPORTS):
            try:
                left_s = await self._migration.time_left_s(view.server.address)
            except MigrationError as error:
                log.info('reclaim not confirmed', extra={'error': str(error)})
                left_s = None
            if left_s is not None or not view.work:
                return left_s
            await asyncio.sleep(_REPORT_PAUSE_S)
        return None

    async def _move_all(self, view: BackendView) -> None:
        streams = [work for work in view.work if work.streaming]
        # Short memories first: they hold up the others least.
        streams.sort(key=lambda work: work.request.prompt_tokens or 0)
        for work in streams:
            if work in view.work and _runs_on(work):
                await self._move(view, work)

    async def _move(self, view: BackendView, work: InFlightRequest) -> None:
        """Move a stream to the first server that has room for a copy."""
        avoid = {view.server.server_id}
        for _ in range(_MOST_TARGETS):
            pick = self._backends.pick(view.server.service, work.request, avoid)
            if pick is None:
                return
            try:
                await self._move_to(pick.view, view, work)
            except TargetFull as error:
                _log_not_moved(view, pick.view, work, error)
                avoid.add(pick.view.server.server_id)
            except MigrationError as error:
                _log_not_moved(view, pick.view, work, error)
                return
            else:
                return

    async def _move_to(
        self, target: BackendView, source: BackendView, work: InFlightRequest
    ) -> None:
        """Copy while the stream runs, then stop it and copy the rest."""
        address = source.server.address
        request_id = work.request.request_id
        copy = await self._migration.copy(
            address, request_id, target.server.address
        )
        work.move = asyncio.get_running_loop().create_future()
        try:
            run = await self._migration.move(
                address, request_id, target.server.address
            )
        except TargetFull as error:
            if error.source_copy is None:
                _settle(work, None)
                raise
            _settle(work, Relocation(source, error.source_copy))
            _log_not_moved(source, target, work, error)
        except MigrationError as error:
            if isinstance(error, NoSuchRun):
                _settle(work, None)
            else:
                work.move.cancel()
            await self._migration.drop(copy)
            raise
        else:
            _settle(work, Relocation(target, run, Relocation(source, run)))
            log.info('stream moved', extra=_fields(source, target, work))


def _runs_on(work: InFlightRequest) -> bool:
    """Tell whether a stream is still at its server, and is not moving."""
    if work.move is None:
        return True
    done = work.move.done() and not work.move.cancelled()
    return done and work.move.result() is None


def _settle(work: InFlightRequest, relocation: Relocation | None) -> None:
    """Tell the exchange where its stream goes on; None if it was not stopped."""
    if work.move is not None and not work.move.done():
        work.move.set_result(relocation)


def _log_not_moved(
    source: BackendView,
    target: BackendView,
    work: InFlightRequest,
    error: MigrationError,
) -> None:
    fields = _fields(source, target, work)
    log.info('stream not moved', extra={**fields, 'error': str(error)})


def _fields(
    source: BackendView, target: BackendView, work: InFlightRequest
) -> dict[str, str]:
    return {
        'request': work.request.request_id,
        'source': source.server.server_id,
        'target': target.server.server_id,
    }
