"""Remember which software version began a stream, at several nodes."""

import logging
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import filterfalse
from typing import Self

from mallowspindle.adapter import AdapterService
from mallowspindle.catalog.service import CatalogService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.peers.codec import OkReply
from mallowspindle.sharing.service import SharingService
from mallowspindle.streams.holders import StreamHolders
from mallowspindle.streams.messages import (
    LogStreams,
    StreamBegun,
    StreamKey,
    StreamQuery,
    StreamsLogged,
)
from mallowspindle.streams.recorders import StreamLogging
from mallowspindle.streams.recording import (
    BATCH_S,
    CALM_BATCH_S,
    RecordedStreams,
)
from mallowspindle.streams.records import StreamOrigin
from mallowspindle.streams.serving import ServingVersions
from mallowspindle.streams.store import StreamStore
from mallowspindle.streams.table import StreamTable
from mallowspindle.streams.unlogged import LoggingPace
from mallowspindle.streams.versions import STREAM_MEMORY_S, RouteHistory
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically

log = logging.getLogger(__name__)

_LOG_TIMEOUT_S = 0.5
_CHECK_INTERVAL_S = 0.5
# How long streams are collected before they are offered to the node that logs
# them, and when it should have logged them.
_PACE = LoggingPace(collect_s=0.02, confirm_s=0.25, batch_s=BATCH_S)
_CALM_PACE = LoggingPace(collect_s=0.2, confirm_s=0.8, batch_s=CALM_BATCH_S)


@dataclass(frozen=True, slots=True)
class OneVersion:
    """All servers that may have begun a stream have the same ``origin``.

    That holds at the moment of the answer: a stream that goes on has to be
    bound to it.
    """

    origin: StreamOrigin


@service('streams', requires=('border', 'catalog', 'sharing'))
class StreamsService(Service):
    """Tells the log of streams, and peers while a service has several versions.

    Without a ``store``, streams are known as long as the nodes that know them
    live.
    """

    def __init__(
        self,
        catalog: CatalogService,
        sharing: SharingService,
        clock: Callable[[], float] = time.monotonic,
        store: StreamStore | None = None,
    ) -> None:
        self._catalog = catalog
        self._sharing = sharing
        self._table = StreamTable(clock)
        self._holders = StreamHolders(sharing)
        self._versions = ServingVersions(catalog, sharing, store, clock)
        self._routes = RouteHistory(clock)
        self._clock = clock
        self._started_at_s = clock()
        self._recorded = RecordedStreams(store, clock) if store else None
        self._stream_log = (
            StreamLogging.build(sharing, store, self._pace, clock)
            if store
            else None
        )
        self._running: dict[StreamKey, StreamBegun] = {}
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service with the catalog, the peers and the log."""
        adapter = kernel.find('border', AdapterService)
        sharing = kernel.find('sharing', SharingService)
        own_name = sharing.membership.own.name
        return cls(
            kernel.find('catalog', CatalogService),
            sharing,
            store=StreamStore(adapter.log, adapter.layout, own_name),
        )

    async def start(self) -> None:
        """Answer queries of peers and watch the versions of servers."""
        server = self._sharing.membership.server
        server.handle(StreamBegun, self._receive)
        server.handle(LogStreams, self._log_for_peer)
        server.handle(StreamQuery, self._answer)
        self._versions.start()
        self._catalog.watch(self._note_servers)
        self._note_servers()
        if self._stream_log:
            self._tasks.spawn(
                self._stream_log.recorder.run(), 'stream recorder'
            )
            self._tasks.spawn(
                self._stream_log.unlogged.run(), 'unlogged streams'
            )
            self._tasks.spawn(
                run_periodically(self._save_versions, _CHECK_INTERVAL_S),
                'served versions',
            )

    async def stop(self) -> None:
        """Log what is pending and stop all tasks."""
        await self._tasks.cancel()
        await self._holders.stop()
        await self._versions.stop()
        if self._recorded:
            await self._recorded.stop()
        if self._stream_log:
            await self._stream_log.log_rest()

    def has_several_versions(self, service_name: str) -> bool:
        """Return whether streams of several versions may be in progress.

        That is so too as long as it is not known which versions there were
        before this node started.
        """
        return self._versions.has_several(service_name)

    @contextmanager
    def track(self, begun: StreamBegun) -> Iterator[None]:
        """Remember a stream, and tell others of it while it runs if needed."""
        self._table.put(begun)
        self._running[begun.key] = begun
        if self._stream_log:
            self._stream_log.unlogged.add(begun)
        if self.has_several_versions(begun.service):
            self._holders.tell(begun)
        try:
            yield
        finally:
            self._running.pop(begun.key, None)

    async def find(
        self, key: StreamKey, *services: str, route_name: str = ''
    ) -> StreamBegun | OneVersion | None:
        """Return a stream that a server has begun.

        ``services`` are those of its route, to which those are added that the
        route has had lately. ``OneVersion`` means that servers of only one of
        them have served, all of the same version. None means that neither this
        node nor those that were told know it, and that the log has no record of
        it or did not answer.
        """
        found = self._table.find(key) or await self._ask(key)
        if found is not None:
            return found
        await self._versions.wait_until_complete(_LOG_TIMEOUT_S)
        if not await self._versions.make_certain():
            return None
        origins = self._versions.origins(
            self._routes.lately(route_name).union(services)
        )
        is_only = len(origins) == 1 and self._versions.is_complete
        if is_only and not self._is_young:
            return OneVersion(*origins)
        recorded = await self._find_recorded(key)
        if recorded is None and is_only:
            return OneVersion(*origins)
        return recorded

    async def _ask(self, key: StreamKey) -> StreamBegun | None:
        others = self._stream_log.recorders.peers() if self._stream_log else ()
        return await self._holders.ask(key, others)

    @property
    def _is_young(self) -> bool:
        """Whether this node does not know what routes have led to lately."""
        return self._clock() - self._started_at_s < STREAM_MEMORY_S

    async def _find_recorded(self, key: StreamKey) -> StreamBegun | None:
        if self._recorded is None:
            return None
        origin = await self._recorded.find(key, _LOG_TIMEOUT_S)
        if origin is None:
            return None
        return StreamBegun(key, origin.service, origin.software_version)

    def _note_servers(self) -> None:
        services = {begun.service for begun in self._running.values()}
        unmixed = set(filterfalse(self.has_several_versions, services))
        self._versions.update(self._catalog.servers.values())
        self._routes.update(self._catalog.configuration)
        mixed = set(filter(self.has_several_versions, unmixed))
        # Streams that began while all servers had one version are told now.
        for begun in self._running.values():
            if begun.service in mixed:
                self._holders.tell(begun)

    def _pace(self) -> LoggingPace:
        if self._versions.any_has_several():
            return _PACE
        return _CALM_PACE

    async def _save_versions(self) -> None:
        """Log which versions serve, if this node does that for all."""
        if self._stream_log is None:
            return
        names = self._stream_log.recorders.names()
        if names[0] == self._sharing.membership.own.name:
            await self._versions.save_if_due(names)
        else:
            self._versions.note_other_saves()

    async def _receive(self, begun: StreamBegun) -> OkReply:
        self._table.put(begun)
        own_name = self._sharing.membership.own.name
        # Nodes of older builds ask for the log in this way.
        if self._stream_log and own_name in self._stream_log.recorders.names():
            self._stream_log.recorder.add([begun])
        return OkReply()

    async def _log_for_peer(self, request: LogStreams) -> StreamsLogged:
        for begun in request.streams:
            self._table.put(begun)
        if self._stream_log is None:
            return StreamsLogged([False for _ in request.streams])
        return StreamsLogged(self._stream_log.recorder.add(request.streams))

    async def _answer(self, query: StreamQuery) -> StreamBegun | OkReply:
        return self._table.find(query.key) or OkReply()
