"""Fakes of the log, a plain service and the clock, controlled by a test."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from mallowspindle.log.errors import (
    AppendRefused,
    AppendUncertain,
    LogError,
    RecordsExpired,
)
from mallowspindle.membership.messages import MemberInfo
from mallowspindle.native.log import LogPage, LogRecord
from mallowspindle.outcomes import Done, NotRun, Outcome, Unknown
from mallowspindle.routing.errors import NoServer

_SERVERS = 2
_SETTLE_ROUNDS = 12


class SteppedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock moves only when it is advanced."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1000.0

    def time(self) -> float:
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock and run the callbacks that are due."""
        self._now_s += seconds
        self.run_until_complete(self._run_ready_callbacks())

    async def _run_ready_callbacks(self) -> None:
        for _ in range(_SETTLE_ROUNDS):
            await asyncio.sleep(0)


@dataclass
class PendingOperation:
    """An operation that waits until the test sets its ending."""

    node: str
    kind: str
    ending: asyncio.Future[str] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class World:
    """What the nodes share: the log, the service and pending operations."""

    def __init__(self, loop: SteppedLoop) -> None:
        self.loop = loop
        self.streams: dict[str, list[LogRecord]] = defaultdict(list)
        self.expired: dict[str, int] = defaultdict(int)
        self.late_appends: list[tuple[str, bytes]] = []
        self.runs: list[tuple[str, str]] = []
        self.gates: list[PendingOperation] = []
        self.log_down = False
        self.frozen: set[str] = set()
        self.thawed = asyncio.Condition()

    async def run_operation(self, node: str, kind: str) -> str:
        """Wait until the test ends the operation and the node isn't frozen."""
        operation = PendingOperation(node, kind)
        self.gates.append(operation)
        ending = await operation.ending
        await self.wait_while_frozen(node)
        return ending

    async def wait_while_frozen(self, node: str) -> None:
        async with self.thawed:
            await self.thawed.wait_for(lambda: node not in self.frozen)

    def store(self, stream: str, payload: bytes) -> int:
        records = self.streams[stream]
        offset = len(records)
        records.append(LogRecord(offset, self.loop.time(), payload))
        return offset

    def land_late(self) -> None:
        """Store the records of all late appends."""
        for stream, payload in self.late_appends:
            self.store(stream, payload)
        self.late_appends.clear()


class NodeLog:
    """The log client of one node."""

    def __init__(self, world: World, node: str) -> None:
        self._world = world
        self._node = node

    async def append(self, stream: str, payload: bytes) -> int:
        ending = await self._world.run_operation(self._node, 'append')
        if ending == 'refused' or self._world.log_down:
            raise AppendRefused('down')
        if ending == 'late':
            self._world.late_appends.append((stream, payload))
            raise AppendUncertain('no answer')
        offset = self._world.store(stream, payload)
        if ending == 'lost':
            raise AppendUncertain('answer lost')
        return offset

    async def read(
        self, stream: str, offset: int, wait_s: float = 0
    ) -> LogPage:
        await self._world.wait_while_frozen(self._node)
        if self._world.log_down:
            raise LogError('down')
        first = self._world.expired[stream]
        if offset < first:
            raise RecordsExpired(stream, first)
        if wait_s and offset >= len(self._world.streams[stream]):
            await asyncio.sleep(wait_s)
            await self._world.wait_while_frozen(self._node)
        records = self._world.streams[stream][offset:]
        return LogPage(first, offset + len(records), records)


class NodeClient:
    """The client of one node for the plain service."""

    def __init__(self, world: World, node: str) -> None:
        self._world = world
        self._node = node

    async def send(
        self, call: Any, address: str, attempt_id: str, **options: bool
    ) -> Outcome:
        await self._world.wait_while_frozen(self._node)
        ending = await self._world.run_operation(self._node, 'send')
        if ending == 'refused':
            return NotRun('not connected', 1)
        number = call.body.decode()
        self._world.runs.append((call.key, number))
        if ending == 'lost':
            return Unknown('answer lost')
        return Done(200, 'text/plain', number.encode())

    async def close(self) -> None:
        """Do nothing: no connection is open."""


class TwoServers:
    """A router with two plain servers."""

    def pick_plain(self, name: str, avoid: set[str]) -> Any:
        if len(avoid) >= _SERVERS:
            raise NoServer(name, 1)
        return SimpleNamespace(
            vm=SimpleNamespace(vm_id=f'vm-{len(avoid)}', address='vm:1'),
            record_failure=lambda: None,
        )

    def record_dispatch(self, *about: object) -> None:
        """Nothing is counted."""

    def record_completion(self, *about: object) -> None:
        """Nothing is counted."""


class KnownMembers:
    """The membership of one node: all live nodes except itself."""

    def __init__(self, own: MemberInfo, alive: dict[str, MemberInfo]) -> None:
        self.own = own
        self.table = SimpleNamespace(
            live=lambda: [
                info for info in alive.values() if info.name != own.name
            ]
        )


def member(name: str, incarnation: int) -> MemberInfo:
    """Return the membership entry of a node."""
    return MemberInfo(name, 'r', 'z', 'peer:1', 'http:1', incarnation, 1)
