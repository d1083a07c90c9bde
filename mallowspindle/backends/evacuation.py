"""Moves streams away from servers that are about to be reclaimed."""

import asyncio
import logging
from collections import Counter
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
from mallowspindle.policies.grants import VALIDITY_S
from mallowspindle.retries.service import RetriesService
from mallowspindle.utils.tasks import BackgroundTasks

log = logging.getLogger(__name__)

# Time before the reclaim at which moves begin. Streams that end before need no
# move, and the server's link can still transfer the KV caches of the others.
_MOVE_LEAD_S = 1.6
# Maximum number of servers tried for a stream; each answers within the time of
# one transfer.
_MAX_TARGETS = 3
# Maximum number of times that one stream is stopped for a move. One that its
# targets refuse would go back and forth, and use up the retry budget.
_MAX_MOVES = 3
# Maximum number of reports requested until one contains the reclaim time, and
# the pause between them. A report is some hundred milliseconds old.
_MAX_REPORTS = 4
_REPORT_PAUSE_S = 0.3
# Pause before moving the streams that are still at the server is tried again.
_ROUND_PAUSE_S = 0.2


@service('evacuation', requires=('border', 'backends', 'catalog', 'retries'))
class EvacuationService(Service):
    """Moves this node's streams before their server is reclaimed."""

    def __init__(
        self,
        migration: MigrationClient,
        backends: BackendsService,
        catalog: CatalogService,
        retries: RetriesService,
    ) -> None:
        self._migration = migration
        self._backends = backends
        self._catalog = catalog
        self._retries = retries
        self._evacuating: set[str] = set()
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service with the platform's migration client."""
        return cls(
            kernel.find('border', AdapterService).migration,
            kernel.find('backends', BackendsService),
            kernel.find('catalog', CatalogService),
            kernel.find('retries', RetriesService),
        )

    async def start(self) -> None:
        """Watch the catalog for draining servers."""
        self._catalog.watch(self._start_evacuations)

    async def stop(self) -> None:
        """Stop all moves."""
        await self._tasks.cancel()

    def _start_evacuations(self) -> None:
        for server in self._catalog.servers.values():
            if not server.draining:
                continue
            if server.server_id not in self._evacuating:
                self._evacuating.add(server.server_id)
                self._tasks.spawn(
                    self._evacuate(server.service, server.server_id),
                    'evacuation',
                )
        self._evacuating.intersection_update(self._catalog.servers)

    async def _evacuate(self, service_name: str, server_id: str) -> None:
        view = self._backends.find(service_name, server_id)
        if view is None or not view.in_flight:
            return
        remaining_s = await self._remaining_s(view)
        if remaining_s is None:
            return
        log.info(
            'backend server is reclaimed',
            extra={'server': server_id, 'left_s': remaining_s},
        )
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + remaining_s
        await asyncio.sleep(max(0, remaining_s - _MOVE_LEAD_S))
        moves: Counter[str] = Counter()
        while loop.time() < ends_at_s:
            await self._move_all(view, moves)
            await asyncio.sleep(_ROUND_PAUSE_S)

    async def _remaining_s(self, view: BackendView) -> float | None:
        """Return the time until a server is reclaimed; None if it is unknown.

        A report may be older than the notice, or lost, so a single one without
        a reclaim time is not conclusive.
        """
        for _ in range(_MAX_REPORTS):
            try:
                remaining_s = await self._migration.time_until_reclaim_s(
                    view.server.address
                )
            except MigrationError as error:
                log.info('reclaim not confirmed', extra={'error': str(error)})
                remaining_s = None
            if remaining_s is not None or not view.in_flight:
                return remaining_s
            await asyncio.sleep(_REPORT_PAUSE_S)
        return None

    async def _move_all(self, view: BackendView, moves: Counter[str]) -> None:
        """Move all streams; ``moves`` counts how often each was stopped."""
        streams = [
            stream
            for stream in view.in_flight
            if stream.streaming
            and moves[stream.request.request_id] < _MAX_MOVES
        ]
        # Small KV caches first, since they delay the other streams least.
        streams.sort(key=lambda stream: stream.request.prompt_tokens or 0)
        for stream in streams:
            if stream in view.in_flight and _is_movable(stream):
                if await self._move(view, stream):
                    moves[stream.request.request_id] += 1

    async def _move(self, view: BackendView, stream: InFlightRequest) -> bool:
        """Move a stream to the first server with room for its KV cache.

        Return whether the stream was stopped.
        """
        avoid = {view.server.server_id}
        for _ in range(_MAX_TARGETS):
            # Before the pick, which counts against the limit of the target.
            if not await self._pay(view, stream):
                return False
            pick = self._backends.pick(
                view.server.service,
                stream.request,
                avoid,
                view.server.software_version,
            )
            if pick is None or stream not in view.in_flight:
                return False
            try:
                await self._move_to(pick.view, view, stream)
            except TargetFull as error:
                _log_not_moved(view, pick.view, stream, error)
                avoid.add(pick.view.server.server_id)
            except MigrationError as error:
                _log_not_moved(view, pick.view, stream, error)
                return False
            else:
                return True
        return False

    async def _pay(self, view: BackendView, stream: InFlightRequest) -> bool:
        """Spend the retry budget for a move; return False if it is refused.

        A moved stream arrives at a second server, as a retry does. Like a permit,
        what was spent is valid for a short time only.
        """
        clock = asyncio.get_running_loop().time
        if clock() < stream.move_paid_until_s:
            return True
        if await self._retries.try_spend(view.server.service):
            stream.move_paid_until_s = clock() + VALIDITY_S
            return True
        return False

    async def _move_to(
        self, target: BackendView, source: BackendView, stream: InFlightRequest
    ) -> None:
        """Copy the KV cache during the run, then stop it and copy the rest."""
        address = source.server.address
        request_id = stream.request.request_id
        copy = await self._migration.copy(
            address, request_id, target.server.address
        )
        if not await self._pay(source, stream):
            await self._migration.drop(copy)
            raise MigrationError('the retry budget has no room after the copy')
        stream.move = asyncio.get_running_loop().create_future()
        try:
            run = await self._migration.move(
                address, request_id, target.server.address
            )
        except TargetFull as error:
            if error.source_copy is None:
                _finish_move(stream, None)
                raise
            _finish_move(
                stream, Relocation(source, error.source_copy, paid=True)
            )
            _log_not_moved(source, target, stream, error)
        except MigrationError as error:
            if isinstance(error, NoSuchRun):
                _finish_move(stream, None)
            else:
                stream.move.cancel()
            await self._migration.drop(copy)
            raise
        else:
            _finish_move(
                stream,
                Relocation(
                    target,
                    run,
                    Relocation(source, run),
                    claimed=True,
                    paid=True,
                ),
            )
            log.info('stream moved', extra=_log_fields(source, target, stream))


def _is_movable(stream: InFlightRequest) -> bool:
    """Return whether a stream still runs at its server and is not moving."""
    if stream.move is None:
        return True
    not_cancelled = stream.move.done() and not stream.move.cancelled()
    return not_cancelled and stream.move.result() is None


def _finish_move(
    stream: InFlightRequest, relocation: Relocation | None
) -> None:
    """Set the result of a move, on which the stream's exchange waits.

    ``relocation`` is where the stream continues; None if it was not stopped.
    """
    if stream.move is not None and not stream.move.done():
        stream.move.set_result(relocation)


def _log_not_moved(
    source: BackendView,
    target: BackendView,
    stream: InFlightRequest,
    error: MigrationError,
) -> None:
    fields = _log_fields(source, target, stream)
    log.info('stream not moved', extra={**fields, 'error': str(error)})


def _log_fields(
    source: BackendView, target: BackendView, stream: InFlightRequest
) -> dict[str, str]:
    return {
        'request': stream.request.request_id,
        'source': source.server.server_id,
        'target': target.server.server_id,
    }
