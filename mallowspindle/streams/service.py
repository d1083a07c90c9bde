"""Remember which software version began a stream, at several nodes."""

import asyncio
import logging
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import filterfalse
from typing import Self

from mallowspindle.adapter import AdapterService
from mallowspindle.catalog.service import CatalogService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.log.errors import LogError
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.peers.codec import OkReply
from mallowspindle.sharing.service import SharingService
from mallowspindle.streams.messages import (
    StreamBegun,
    StreamKey,
    StreamQuery,
)
from mallowspindle.streams.recording import RecordedStreams, StreamRecorder
from mallowspindle.streams.records import StreamOrigin
from mallowspindle.streams.serving import ServingVersions
from mallowspindle.streams.store import StreamStore
from mallowspindle.streams.versions import STREAM_MEMORY_S, RouteHistory
from mallowspindle.utils.identifiers import bucket_of, rendezvous_order
from mallowspindle.utils.tasks import BackgroundTasks, run_periodically

log = logging.getLogger(__name__)

# Number of peers that are told of a stream. They answer within a millisecond,
# and while the log is away.
_HOLDERS = 3
# Number of nodes that log streams.
_RECORDERS = 2
# A member that has joined or left since moves the order by one.
_ASKED = _HOLDERS + 1
_QUERY_TIMEOUT_S = 0.5
_TELL_TIMEOUT_S = 1.0
_LOG_TIMEOUT_S = 0.5
_CHECK_INTERVAL_S = 0.5
# About 60 s of the streams of a node at its share of the largest load, with
# those that peers have told it.
_MAX_STREAMS = 20_000


@dataclass(frozen=True, slots=True)
class OneVersion:
    """All servers that may have begun a stream have the same ``origin``.

    That holds at the moment of the answer: a stream that goes on has to be
    bound to it.
    """

    origin: StreamOrigin


class StreamTable:
    """Streams that servers have begun, the oldest dropped first."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # With the time since which each is known.
        self._streams: OrderedDict[StreamKey, tuple[StreamBegun, float]] = (
            OrderedDict()
        )

    def put(self, begun: StreamBegun) -> None:
        """Record a stream; a later one with the same id replaces it."""
        self._streams.pop(begun.key, None)
        self._streams[begun.key] = begun, self._clock()
        oldest_s = self._clock() - STREAM_MEMORY_S
        while self._streams:
            _, known_since_s = next(iter(self._streams.values()))
            too_many = len(self._streams) > _MAX_STREAMS
            if known_since_s >= oldest_s and not too_many:
                break
            self._streams.popitem(last=False)

    def find(self, key: StreamKey) -> StreamBegun | None:
        """Return a stream; None if it is not known."""
        known = self._streams.get(key)
        return known[0] if known else None


@service('streams', requires=('border', 'catalog', 'sharing'))
class StreamsService(Service):
    """Tells peers and the log of streams while a service has several versions.

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
        self._versions = ServingVersions(catalog, sharing, store, clock)
        self._routes = RouteHistory(clock)
        self._recorder = StreamRecorder(store, clock) if store else None
        self._recorded = RecordedStreams(store, clock) if store else None
        self._told_recorders: list[str] = []
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
        server.handle(StreamQuery, self._answer)
        self._versions.start()
        self._catalog.watch(self._note_servers)
        self._note_servers()
        if self._recorder:
            self._tasks.spawn(self._recorder.run(), 'stream recorder')
            self._tasks.spawn(
                run_periodically(self._check_recorders, _CHECK_INTERVAL_S),
                'stream recorders',
            )

    async def stop(self) -> None:
        """Log what is pending and stop all tasks."""
        await self._tasks.cancel()
        await self._versions.stop()
        if self._recorded:
            await self._recorded.stop()
        if self._recorder:
            try:
                await self._recorder.flush()
            except LogError as error:
                log.info('streams not logged', extra={'error': str(error)})

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
        if self.has_several_versions(begun.service):
            self._tell(begun)
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
        found = self._table.find(key) or await self._ask_holders(key)
        if found is not None:
            return found
        await self._versions.wait_until_complete(_LOG_TIMEOUT_S)
        if not await self._versions.make_certain():
            return None
        origins = self._versions.origins(
            self._routes.lately(route_name).union(services)
        )
        if len(origins) == 1 and self._versions.is_complete:
            return OneVersion(*origins)
        if self._recorded is None:
            return None
        origin = await self._recorded.find(key, _LOG_TIMEOUT_S)
        if origin is None:
            return None
        return StreamBegun(key, origin.service, origin.software_version)

    async def _ask_holders(self, key: StreamKey) -> StreamBegun | None:
        asked = [
            asyncio.create_task(self._ask(info, key))
            for info in self._holders(key)[:_ASKED]
        ]
        try:
            for reply in asyncio.as_completed(asked):
                found = await reply
                if found is not None:
                    return found
        finally:
            for task in asked:
                task.cancel()
        return None

    def _note_servers(self) -> None:
        services = {begun.service for begun in self._running.values()}
        unmixed = set(filterfalse(self.has_several_versions, services))
        self._versions.update(self._catalog.servers.values())
        self._routes.update(self._catalog.configuration)
        mixed = set(filter(self.has_several_versions, unmixed))
        # Streams that began while all servers had one version are told now.
        for begun in self._running.values():
            if begun.service in mixed:
                self._tell(begun)

    def _tell(self, begun: StreamBegun) -> None:
        for info in self._holders(begun.key)[:_HOLDERS]:
            self._tasks.spawn(
                self._sharing.ask(info, begun, _TELL_TIMEOUT_S), 'stream begun'
            )
        if self._recorder:
            self._tasks.spawn(
                self._tell_recorder(self._recorder, begun), 'stream recorded'
            )

    async def _tell_recorder(
        self, own: StreamRecorder, begun: StreamBegun
    ) -> None:
        """Tell the node that logs a stream, or else the other one."""
        recorders = self._recorders()
        first = bucket_of('/'.join(begun.key), len(recorders))
        for name in recorders[first:] + recorders[:first]:
            if name == self._sharing.membership.own.name:
                return own.add(begun)
            for info in self._sharing.peers():
                if info.name == name and await self._sharing.ask(
                    info, begun, _TELL_TIMEOUT_S
                ):
                    return None

    def _recorders(self) -> list[str]:
        """Return the nodes that log streams, at least one."""
        own = self._sharing.membership.own
        names = [
            info.name for info in self._sharing.peers() if not info.leaving
        ]
        if not own.leaving or not names:
            names.append(own.name)
        return rendezvous_order('stream recorders', names)[:_RECORDERS]

    async def _check_recorders(self) -> None:
        """Tell new recorders of the streams that run, and log the versions."""
        recorders = self._recorders()
        if not set(recorders) <= set(self._told_recorders):
            for begun in self._running.values():
                if self.has_several_versions(begun.service):
                    self._tell(begun)
        self._told_recorders = recorders
        if recorders[0] == self._sharing.membership.own.name:
            await self._versions.save_if_due()
        else:
            self._versions.note_other_saves()

    async def _ask(
        self, info: MemberInfo, key: StreamKey
    ) -> StreamBegun | None:
        reply = await self._sharing.ask(
            info, StreamQuery(key), _QUERY_TIMEOUT_S
        )
        return reply if isinstance(reply, StreamBegun) else None

    def _holders(self, key: StreamKey) -> list[MemberInfo]:
        """Return the peers in the order in which they know of a stream."""
        peers = {
            info.name: info
            for info in self._sharing.peers()
            if not info.leaving
        }
        order = rendezvous_order('/'.join(key), peers)
        return [peers[name] for name in order]

    async def _receive(self, begun: StreamBegun) -> OkReply:
        self._table.put(begun)
        own_name = self._sharing.membership.own.name
        if self._recorder and own_name in self._recorders():
            self._recorder.add(begun)
        return OkReply()

    async def _answer(self, query: StreamQuery) -> StreamBegun | OkReply:
        return self._table.find(query.key) or OkReply()
