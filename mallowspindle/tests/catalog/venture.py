"""A venture's catalogs in one process, on one in-memory log."""

import asyncio
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

from mallowspindle.adapter import AdapterService, LogLayout
from mallowspindle.catalog.configuration import Configuration
from mallowspindle.catalog.errors import UnusableRecord
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.catalog.service import CatalogService
from mallowspindle.log.interface import Log
from mallowspindle.log.records import KeyedState, LogPage
from mallowspindle.tests.catalog.fakes import (
    FakeLog,
    decode_keyed,
    encode_keyed,
)
from mallowspindle.tests.sharing.fakes import FakeMesh

CONFIGURATIONS = 'configurations'
SERVERS = 'servers'
KEY = 'config'
READ_INTERVAL_S = 0.5
_ZONES = 5
_POLL_S = 0.02
_TIMEOUT_S = 10.0


class NodeLog(Log):
    """The log as seen by one node of a venture."""

    def __init__(self, venture: 'Venture', name: str) -> None:
        self._venture = venture
        self._name = name

    async def append(self, *args: Any, **kwargs: Any) -> int:
        """Fail: nodes only read these streams."""
        raise NotImplementedError

    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        """Read records."""
        await self._reach_log()
        return await self._venture.log.read(stream, offset, wait_s)

    async def read_latest(self, stream: str) -> KeyedState:
        """Return the newest record of each key."""
        await self._reach_log()
        return await self._venture.log.read_latest(stream)

    async def _reach_log(self) -> None:
        self._venture.calls[self._name] += 1
        await self._venture.reach_log(self._name)


class Venture:
    """Catalogs that read one log; calls of ``cut_off`` nodes time out."""

    def __init__(self, size: int, apply_s: float | None = None) -> None:
        self.log = FakeLog()
        self.calls: Counter[str] = Counter()
        self.cut_off: set[str] = set()
        # Time after which a call of a node in ``cut_off`` fails.
        self.read_timeout_s = 1.5
        self.mesh = FakeMesh(size, _ZONES)
        self.catalogs = {
            name: CatalogService(
                cast(
                    AdapterService,
                    SimpleNamespace(log=NodeLog(self, name), layout=layout()),
                ),
                sharing,
                READ_INTERVAL_S,
                apply_s,
            )
            for name, sharing in self.mesh.nodes.items()
        }

    async def __aenter__(self) -> 'Venture':
        await self.mesh.__aenter__()
        await asyncio.gather(
            *(catalog.start() for catalog in self.catalogs.values())
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        await asyncio.gather(
            *(catalog.stop() for catalog in self.catalogs.values())
        )
        await self.mesh.__aexit__(*error)

    @property
    def names(self) -> list[str]:
        """The nodes' names."""
        return list(self.catalogs)

    async def reach_log(self, name: str) -> None:
        """Let a call of a node pass or time out."""
        if name in self.cut_off:
            await asyncio.sleep(self.read_timeout_s)
            self.log.fail()
        await asyncio.sleep(0)

    def configure(self, version: int, size: int = 0) -> None:
        """Append a configuration of at least ``size`` bytes."""
        text = str(version).encode().ljust(size, b' ')
        self.log.put(CONFIGURATIONS, KEY, text)

    def put_server(self, server_id: str, *, draining: bool = False) -> None:
        """Append the entry of a server."""
        text = b'draining' if draining else b'ready'
        self.log.put(SERVERS, server_id, text)

    def version_at(self, name: str) -> int | None:
        """Return the version in force at a node."""
        configuration = self.catalogs[name].configuration
        return configuration.version if configuration else None

    async def seconds_until_version(
        self, version: int, names: list[str] | None = None
    ) -> float:
        """Wait until a version is in force at all of the named nodes."""
        wanted = self.names if names is None else names
        return await seconds_until(
            lambda: all(self.version_at(name) == version for name in wanted)
        )


async def seconds_until(condition: Callable[[], bool]) -> float:
    """Wait for a condition and return how long that took."""
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(_POLL_S)
    return loop.time() - started_at_s


def layout() -> LogLayout:
    """Return the layout of the streams in the fake log."""
    return LogLayout(
        CONFIGURATIONS,
        KEY,
        SERVERS,
        'quarantine',
        'versions',
        'streams',
        decode_keyed,
        encode_keyed,
        _decode_configuration,
        _decode_server,
    )


def _decode_configuration(text: bytes) -> Configuration:
    return Configuration(int(text))


def _decode_server(server_id: str, text: bytes) -> BackendServer:
    if text not in {b'ready', b'draining'}:
        raise UnusableRecord(server_id)
    draining = text == b'draining'
    return BackendServer(
        server_id, 'models', '10.0.0.1:80', 'zone-0', 8, draining
    )
