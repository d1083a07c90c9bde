"""Deciding nodes that fail, or lose the lease, between two records."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from mallowspindle.catalog.orders import RolloutOrder
from mallowspindle.log.errors import AppendRefused
from mallowspindle.log.records import KeyedState, LogRecord
from mallowspindle.platform.rollouts import PlatformOrderCodec
from mallowspindle.policies.rollout import Phase, RolloutTerms
from mallowspindle.rollouts.controller import RolloutController, Tenure
from mallowspindle.rollouts.observing import RolloutObserver
from mallowspindle.rollouts.records import rollouts_codec
from mallowspindle.rollouts.service import RolloutsService
from mallowspindle.rollouts.store import RolloutStore
from mallowspindle.tests.catalog.fakes import (
    FakeLog,
    decode_keyed,
    encode_keyed,
)
from mallowspindle.tests.catalog.venture import layout
from mallowspindle.tests.sharing.fakes import FakeMesh

ORDER = RolloutOrder('shop', 'v2', 12, 7)
RUNNING = b'{"state": "running", "to": "v2"}'
_TIMEOUT_S = 5


class _Log(FakeLog):
    """A log whose appended records are keyed, and that may refuse a stream."""

    def __init__(self) -> None:
        super().__init__()
        self.refused = ''

    async def append(
        self,
        stream: str,
        payloads: Sequence[bytes],
        expected_end: int | None = None,
    ) -> int:
        """Append records unless the stream is refused."""
        if stream == self.refused:
            raise AppendRefused(stream)
        return await super().append(stream, payloads, expected_end)

    async def read_latest(self, stream: str) -> KeyedState:
        """Return the newest record of each key."""
        page = await self.read(stream, 0)
        newest = {
            record.key: record for record in map(decode_keyed, page.records)
        }
        return KeyedState(list(newest.values()), page.end_offset)

    async def newest(self, stream: str) -> list[bytes | None]:
        """Return the newest values of a stream."""
        state = await self.read_latest(stream)
        return [record.value for record in state.records]

    async def count(self, stream: str) -> int:
        """Return the number of records."""
        records: list[LogRecord] = (await self.read(stream, 0)).records
        return len(records)


class _Holder:
    """One node with the duties."""

    def __init__(self, mesh: FakeMesh, log: _Log, number: int) -> None:
        catalog: Any = SimpleNamespace(
            orders={'shop': ORDER},
            servers={},
            configuration=SimpleNamespace(services={'shop': None}),
            restored_at_s=0,
        )
        sharing = next(iter(mesh.nodes.values()))
        terms = RolloutTerms(0.1, 50)
        streams = replace(
            layout(),
            encode_keyed=encode_keyed,
            rollouts_stream='rollouts',
            status_stream='status',
        )
        store = RolloutStore(log, streams, PlatformOrderCodec())
        self.rollouts = RolloutsService(catalog, sharing, terms, store)
        observer = RolloutObserver(
            self.rollouts.accounts, catalog, sharing, terms
        )
        self.may_write = True
        self.controller = RolloutController(
            self.rollouts,
            catalog,
            observer,
            store,
            Tenure(number, lambda: self.may_write),
        )

    async def run_until(self, condition: Callable[[], Any]) -> None:
        """Take steps until an awaited condition holds."""
        async with asyncio.timeout(_TIMEOUT_S):
            while not await condition():
                self.controller.step()
                await asyncio.sleep(0.01)

    async def run_for(self, seconds: float) -> None:
        """Take steps for a while."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + seconds
        while loop.time() < ends_at_s:
            self.controller.step()
            await asyncio.sleep(0.01)


async def test_the_next_holder_writes_a_missing_status() -> None:
    """Guards against a status that is lost with the node that decided."""
    async with FakeMesh(1, 1) as mesh:
        log = _Log()
        log.refused = 'status'
        former = _Holder(mesh, log, 1)
        await former.run_until(lambda: log.count('rollouts'))
        await former.run_for(0.1)
        await former.controller.stop()
        assert not await log.count('status')
        log.refused = ''
        following = _Holder(mesh, log, 2)
        await following.run_until(lambda: log.count('status'))
        await following.run_for(0.1)
        await following.controller.stop()
        assert await log.newest('status') == [RUNNING]
        # Neither the state nor the status is written twice.
        assert await log.count('rollouts') == await log.count('status') == 1


async def test_nothing_is_told_before_it_is_logged() -> None:
    """Guards against nodes that go on with what no later holder knows."""
    async with FakeMesh(1, 1) as mesh:
        log = _Log()
        log.refused = 'rollouts'
        holder = _Holder(mesh, log, 1)
        await holder.run_for(0.2)
        assert not holder.rollouts.book.states
        assert holder.rollouts.book.pending('shop') == ORDER
        await holder.controller.stop()


async def test_a_former_holder_writes_nothing() -> None:
    """Guards against two nodes that decide on one rollout."""
    async with FakeMesh(1, 1) as mesh:
        log = _Log()
        former = _Holder(mesh, log, 1)
        former.may_write = False
        await former.run_for(0.2)
        assert not await log.count('rollouts')
        former.may_write = True
        following = _Holder(mesh, log, 2)
        await following.run_until(lambda: log.count('status'))
        # It has read the log before the other one has written.
        await former.run_for(0.8)
        assert await log.count('rollouts') == 1
        assert await log.newest('status') == [RUNNING]
        (value,) = await log.newest('rollouts')
        assert rollouts_codec.decode(value or b'').phase is Phase.HOLD
        await former.controller.stop()
        await following.controller.stop()
