"""Remember which software version began a stream, at several nodes."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import filterfalse
from typing import Self

from mallowspindle.catalog.service import CatalogService
from mallowspindle.kernel.kernel import Kernel
from mallowspindle.kernel.service import Service, service
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.peers.codec import OkReply
from mallowspindle.sharing.service import SharingService
from mallowspindle.streams.messages import StreamBegun, StreamKey, StreamQuery
from mallowspindle.streams.versions import STREAM_MEMORY_S, VersionHistory
from mallowspindle.utils.identifiers import rendezvous_order
from mallowspindle.utils.tasks import BackgroundTasks

# Number of peers that are told of a stream. With three, a stream is forgotten
# only if its node and these are lost within seconds.
_HOLDERS = 3
# A member that has joined or left since moves the order by one.
_ASKED = _HOLDERS + 1
_QUERY_TIMEOUT_S = 0.5
_TELL_TIMEOUT_S = 1.0
# About 60 s of the streams of a node at its share of the largest load, with
# those that peers have told it.
_MAX_STREAMS = 20_000


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


@service('streams', requires=('catalog', 'sharing'))
class StreamsService(Service):
    """Tells peers of streams while a service has several versions."""

    def __init__(
        self,
        catalog: CatalogService,
        sharing: SharingService,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._catalog = catalog
        self._sharing = sharing
        self._table = StreamTable(clock)
        self._versions = VersionHistory(clock)
        self._running: dict[StreamKey, StreamBegun] = {}
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, kernel: Kernel) -> Self:
        """Construct the service with the catalog and the sharing service."""
        return cls(
            kernel.find('catalog', CatalogService),
            kernel.find('sharing', SharingService),
        )

    async def start(self) -> None:
        """Answer queries of peers and watch the versions of servers."""
        server = self._sharing.membership.server
        server.handle(StreamBegun, self._receive)
        server.handle(StreamQuery, self._answer)
        self._catalog.watch(self._note_servers)
        self._note_servers()

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.cancel()

    def has_several_versions(self, service_name: str) -> bool:
        """Return whether streams of several versions may be in progress."""
        return self._versions.has_several(service_name)

    @contextmanager
    def track(self, begun: StreamBegun) -> Iterator[None]:
        """Remember a stream, and tell peers of it while it runs if needed."""
        self._table.put(begun)
        self._running[begun.key] = begun
        if self.has_several_versions(begun.service):
            self._tell(begun)
        try:
            yield
        finally:
            self._running.pop(begun.key, None)

    async def find(self, key: StreamKey) -> StreamBegun | None:
        """Return a stream that a server has begun.

        None means that neither this node nor those that were told know it.
        """
        found = self._table.find(key)
        if found is not None:
            return found
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
        return OkReply()

    async def _answer(self, query: StreamQuery) -> StreamBegun | OkReply:
        return self._table.find(query.key) or OkReply()
