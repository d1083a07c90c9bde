"""The streams service of many nodes in simulated time."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any, cast

from mallowspindle.adapter import LogLayout
from mallowspindle.catalog.configuration import (
    Configuration,
    Route,
    RouteKind,
    TrafficShare,
)
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.log.records import KeyedState
from mallowspindle.streams.messages import StreamKey
from mallowspindle.streams.service import StreamsService
from mallowspindle.streams.store import StreamStore
from mallowspindle.tests.catalog.fakes import FakeLog
from mallowspindle.tests.catalog.venture import layout
from mallowspindle.tests.sharing.fakes import FakeMesh
from mallowspindle.tests.simulation import simulate

SERVICE = 'models'
ROUTE = 'letters'


class CountingLog(FakeLog):
    """A log that counts calls and keeps the newest record of each key."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: Counter[str] = Counter()
        self.reads: Counter[str] = Counter()
        self.sizes: Counter[str] = Counter()

    async def read_latest(self, stream: str) -> KeyedState:
        """Return the newest record of each key."""
        self.reads[stream] += 1
        return await super().read_latest(stream)

    async def append(
        self,
        stream: str,
        payloads: Sequence[bytes],
        expected_end: int | None = None,
    ) -> int:
        """Append records."""
        self.calls[stream] += 1
        self.sizes[stream] += sum(map(len, payloads))
        self._check()
        for payload in payloads:
            key, _, content = payload.partition(b'=')
            self.put(stream, key.decode(), content or None)
        return 0


LAYOUT: LogLayout = layout()


@dataclass
class FakeCatalog:
    """The registered servers, by id, all nodes alike."""

    servers: dict[str, BackendServer] = field(default_factory=dict)
    watchers: list[Callable[[], None]] = field(default_factory=list)
    configuration: Configuration | None = None

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call ``watcher`` after each change."""
        self.watchers.append(watcher)

    @property
    def servers_age_s(self) -> float:
        """The servers are always up to date."""
        return 0

    async def confirm_servers(self, timeout_s: float) -> bool:
        """The servers are always up to date."""
        return True

    def register(self, version: str, service: str = SERVICE) -> None:
        """Register a server of a version."""
        name = f'i-{len(self.servers)}'
        self.servers[name] = BackendServer(
            name, service, f'{name}:80', 'a', 8, software_version=version
        )
        self._tell()

    def lead_to(self, service: str) -> None:
        """Put a configuration in force whose route leads to a service."""
        route = Route(
            ROUTE, '', '/', RouteKind.STREAM, (TrafficShare(service, 1),), 15, 1
        )
        self.configuration = Configuration(1, (route,))
        self._tell()

    def replace_all(self, version: str) -> None:
        """Let servers of one version stand in the place of all others."""
        self.servers.clear()
        self.register(version)

    def _tell(self) -> None:
        for watcher in self.watchers:
            watcher()


class StreamVenture:
    """The streams service of each node of a mesh, with a log or without."""

    def __init__(
        self,
        mesh: FakeMesh,
        log: FakeLog | None = None,
        catalog: FakeCatalog | None = None,
    ) -> None:
        clock = asyncio.get_running_loop().time
        self.mesh = mesh
        self.log = log
        self.catalog = catalog or FakeCatalog()
        self.nodes = {
            name: StreamsService(
                cast(CatalogService, self.catalog),
                sharing,
                clock,
                StreamStore(log, LAYOUT, name) if log else None,
            )
            for name, sharing in mesh.nodes.items()
        }

    async def start(self, *versions: str) -> None:
        """Start all nodes while servers of ``versions`` are registered."""
        for node in self.nodes.values():
            await node.start()
        for version in versions:
            self.catalog.register(version)

    async def kill(self, *names: str) -> None:
        """End nodes at once; nothing that they hold is written any more."""
        self.lose(*names)
        for name in names:
            await self._end(self.nodes[name])

    async def kill_all(self) -> None:
        """End all nodes at once."""
        await self.kill(*self.nodes)

    async def restart(self, *names: str) -> None:
        """Kill nodes and start them again at once, under their names."""
        assert self.log is not None
        for name in names:
            await self._end(self.nodes[name])
            self.nodes[name] = StreamsService(
                cast(CatalogService, self.catalog),
                self.mesh.nodes[name],
                asyncio.get_running_loop().time,
                StreamStore(self.log, LAYOUT, name),
            )
            await self.nodes[name].start()

    def knowing(self, key: StreamKey) -> list[str]:
        """Return the nodes that know of a stream themselves."""
        return [
            name
            for name, node in self.nodes.items()
            if node._table.find(key) is not None  # noqa: SLF001
        ]

    def lose(self, *names: str) -> None:
        """Let nodes vanish, which the others do not know yet."""
        self.mesh.silent.update(names)

    async def _end(self, node: StreamsService) -> None:
        self.catalog.watchers = [
            watcher
            for watcher in self.catalog.watchers
            if getattr(watcher, '__self__', None) is not node
        ]
        await node._tasks.cancel()  # noqa: SLF001
        await node._holders.stop()  # noqa: SLF001
        await node._versions.stop()  # noqa: SLF001

    def recorders(self) -> list[str]:
        """Return the nodes that log streams."""
        stream_log = next(iter(self.nodes.values()))._stream_log  # noqa: SLF001
        assert stream_log is not None
        return stream_log.recorders.names()


def play(
    scenario: Callable[[StreamVenture], Awaitable[None]],
    nodes: int = 8,
    make_log: Callable[[], FakeLog] | None = None,
) -> None:
    """Play a scenario in simulated time."""

    async def run() -> None:
        async with FakeMesh(nodes, 4) as mesh:
            await scenario(StreamVenture(mesh, make_log and make_log()))

    simulate(cast(Coroutine[Any, Any, None], run()))
