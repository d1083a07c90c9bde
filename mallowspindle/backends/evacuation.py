"""Moves streams away from servers that are about to be taken away."""

import asyncio
import logging
from typing import Self

from mallowspindle.backends.service import BackendsService
from mallowspindle.backends.view import BackendView, Relocation, Work
from mallowspindle.border import BorderService, MoveError, Moves
from mallowspindle.catalog.service import CatalogService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.utils.tasks import TaskGroup

log = logging.getLogger(__name__)

# Time before the server's end at which moves begin: streams that end by then
# need none, and the memory of the others still passes the server's link.
_LEAD_S = 1.6


@service('evacuation', requires=('border', 'backends', 'catalog'))
class EvacuationService(Service):
    """Watches reclaim notices and moves this node's streams in time."""

    def __init__(
        self, moves: Moves, backends: BackendsService, catalog: CatalogService
    ) -> None:
        self._moves = moves
        self._backends = backends
        self._catalog = catalog
        self._leaving: set[str] = set()
        self._tasks = TaskGroup()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service on the border's moves."""
        return cls(
            kernel.find('border', BorderService).moves,
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
            if not (server.reclaimable and server.draining):
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
        try:
            left_s = await self._moves.time_left_s(view.server.address)
        except MoveError as error:
            log.info('reclaim not confirmed', extra={'error': str(error)})
            return
        if left_s is None:
            return
        log.info(
            'backend server is reclaimed',
            extra={'server': server_id, 'left_s': left_s},
        )
        await asyncio.sleep(max(0, left_s - _LEAD_S))
        streams = [work for work in view.work if work.streaming]
        # Short memories first: they hold up the others least.
        streams.sort(key=lambda work: work.request.prompt_tokens or 0)
        for work in streams:
            if work in view.work:
                await self._move(view, work)

    async def _move(self, view: BackendView, work: Work) -> None:
        request = work.request
        pick = self._backends.pick(
            view.server.service, request, {view.server.server_id}
        )
        if pick is None:
            return
        work.move = asyncio.get_running_loop().create_future()
        target = pick.view.server
        fields = {
            'request': request.request_id,
            'source': view.server.server_id,
            'target': target.server_id,
        }
        try:
            run = await self._moves.move(
                view.server.address, request.request_id, target.address
            )
        except MoveError as error:
            log.info('stream not moved', extra={**fields, 'error': str(error)})
            work.move.cancel()
            return
        log.info('stream moved', extra=fields)
        if not work.move.done():
            work.move.set_result(Relocation(pick.view, run))
