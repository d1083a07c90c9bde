"""Moves of streams from a server that is reclaimed."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from multidict import CIMultiDict

from mallowspindle.adapter import (
    MigrationClient,
    MigrationError,
    NoSuchRun,
    RunsReport,
    TargetFull,
)
from mallowspindle.backends.evacuation import EvacuationService
from mallowspindle.backends.prefixes import PrefixCacheIndex
from mallowspindle.backends.service import Pick
from mallowspindle.backends.view import BackendView, InFlightRequest, Relocation
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.policies.grants import VALIDITY_S
from mallowspindle.proxy.messages import CallerRequest, MovedRun

REMAINING_S = 0.5


def _view(name: str, *, draining: bool = False) -> BackendView:
    server = BackendServer(
        name, 'models', f'{name}:80', 'a', 8, draining=draining
    )
    return BackendView(server, PrefixCacheIndex(1000))


def _stream(request_id: str = 'r1') -> InFlightRequest:
    request = CallerRequest(
        'POST', '/', 'shop.example', request_id, CIMultiDict()
    )
    return InFlightRequest(request, 0, 0, streaming=True)


def _relocation(stream: InFlightRequest) -> Relocation:
    """Return where a moved stream continues."""
    assert stream.move is not None
    moved = stream.move.result()
    assert moved is not None
    return moved


class FakeMigration(MigrationClient):
    """Fakes moves to servers that may refuse the copy or the final move."""

    def __init__(self) -> None:
        self.full: set[str] = set()
        self.full_at_move: set[str] = set()
        self.error: MigrationError | None = None
        self.calls: list[tuple[str, str]] = []

    async def time_until_reclaim_s(self, address: str) -> float | None:
        """Return the time until the reclaim."""
        return REMAINING_S

    async def report_runs(self, address: str) -> RunsReport:
        """Report no runs."""
        return RunsReport(frozenset())

    async def copy(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Copy unless the target is full."""
        self.calls.append(('copy', target_address))
        if target_address in self.full:
            raise TargetFull('full')
        return MovedRun(source_address, 'h1')

    async def move(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Move unless there is an error or the target is full."""
        self.calls.append(('move', target_address))
        if self.error is not None:
            raise self.error
        if target_address in self.full_at_move:
            raise TargetFull('full', MovedRun(source_address, 'h2'))
        return MovedRun(source_address, 'h1')

    async def drop(self, run: MovedRun) -> None:
        """Record the copy that is freed."""
        self.calls.append(('drop', run.handle))


class FakeBackends:
    """Picks the first target that is not to be avoided."""

    def __init__(self, source: BackendView) -> None:
        self._source = source
        self.targets = [_view(name) for name in ('two', 'three', 'four')]

    def find(self, service_name: str, server_id: str) -> BackendView:
        """Return the server that is reclaimed."""
        return self._source

    def pick(
        self,
        service_name: str,
        request: CallerRequest,
        avoid: set[str],
        software_version: str | None = None,
    ) -> Pick | None:
        """Return the next target of the version that is asked for."""
        assert software_version == self._source.server.software_version
        available = [
            view for view in self.targets if view.server.server_id not in avoid
        ]
        return Pick(available[0], 0) if available else None


def _is_settled(stream: InFlightRequest) -> bool:
    return bool(stream.move and stream.move.done())


class FakeRetries:
    """A retry budget that allows some retries; counts what is asked."""

    def __init__(self, allowed: int = 1) -> None:
        self.allowed = allowed
        self.asked = 0

    async def try_spend(self, service_name: str) -> bool:
        """Allow a retry if any is left."""
        assert service_name == 'models'
        self.asked += 1
        self.allowed -= 1
        return self.allowed >= 0


async def _evacuate(
    migration: FakeMigration,
    is_done: Callable[[InFlightRequest], bool] = _is_settled,
    retries: FakeRetries | None = None,
) -> tuple[InFlightRequest, BackendView]:
    """Evacuate a server with one stream until the stream's move is done."""
    source = _view('one', draining=True)
    stream = _stream()
    source.in_flight.add(stream)
    watchers: list[Any] = []
    catalog = SimpleNamespace(
        watch=watchers.append, servers={'one': source.server}
    )
    evacuation = EvacuationService(
        migration,
        FakeBackends(source),  # type: ignore[arg-type]
        catalog,  # type: ignore[arg-type]
        retries or FakeRetries(),  # type: ignore[arg-type]
    )
    await evacuation.start()
    watchers[0]()
    async with asyncio.timeout(20):
        while not is_done(stream):
            if is_done is _is_settled and len(migration.calls) >= 3:
                break
            await asyncio.sleep(0.01)
    await evacuation.stop()
    return stream, source


async def test_stream_is_copied_before_it_is_stopped() -> None:
    migration = FakeMigration()
    stream, _ = await _evacuate(migration)
    assert migration.calls == [('copy', 'two:80'), ('move', 'two:80')]
    assert _relocation(stream).target.server.server_id == 'two'


async def test_stream_stays_while_the_retry_budget_has_no_room() -> None:
    """Guards against moves that no budget counts."""
    migration = FakeMigration()
    retries = FakeRetries(0)
    stream, _ = await _evacuate(migration, lambda _: retries.asked > 1, retries)
    assert not migration.calls
    assert stream.move is None


async def test_move_that_is_tried_again_is_paid_once() -> None:
    """Guards against a budget that is used up by moves that failed."""
    retries = FakeRetries()
    stream, _ = await _evacuate(FullForFirstMoves(), _is_moved, retries)
    assert retries.asked == 1
    moved = _relocation(stream)
    assert moved.paid
    assert moved.fallback is not None
    assert not moved.fallback.paid


class SlowCopies(FakeMigration):
    """Copies last longer than what was paid for a move is valid."""

    async def copy(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Copy late."""
        await asyncio.sleep(VALIDITY_S + 0.1)
        return await super().copy(source_address, request_id, target_address)


@pytest.mark.parametrize(
    ('allowed', 'calls'), [(1, ['copy', 'drop']), (2, ['copy', 'move'])]
)
async def test_move_after_a_long_copy_is_paid_again(
    allowed: int, calls: list[str]
) -> None:
    """Guards against arrivals long after they were counted."""
    migration = SlowCopies()
    await _evacuate(
        migration,
        lambda _: len(migration.calls) == 2,
        FakeRetries(allowed),
    )
    assert [name for name, _ in migration.calls] == calls


async def test_full_target_is_skipped_before_stream_is_stopped() -> None:
    migration = FakeMigration()
    migration.full = {'two:80'}
    stream, _ = await _evacuate(migration)
    assert migration.calls[:3] == [
        ('copy', 'two:80'),
        ('copy', 'three:80'),
        ('move', 'three:80'),
    ]
    assert _relocation(stream).target.server.server_id == 'three'


async def test_relocation_falls_back_to_source() -> None:
    stream, source = await _evacuate(FakeMigration())
    moved = _relocation(stream)
    assert moved.fallback is not None
    assert moved.fallback.target is source
    assert moved.fallback.run == moved.run


async def test_stopped_stream_without_room_stays_at_source() -> None:
    migration = FakeMigration()
    migration.full_at_move = {'two:80'}
    stream, source = await _evacuate(migration)
    moved = _relocation(stream)
    assert moved.target is source
    assert moved.run.handle == 'h2'


async def test_copy_of_ended_stream_is_freed() -> None:
    migration = FakeMigration()
    migration.error = NoSuchRun('ended')
    stream, _ = await _evacuate(migration)
    assert migration.calls[:3] == [
        ('copy', 'two:80'),
        ('move', 'two:80'),
        ('drop', 'h1'),
    ]
    assert not await stream.was_stopped_for_move()


async def test_unanswered_move_may_have_stopped_stream() -> None:
    migration = FakeMigration()
    migration.error = MigrationError('no answer')
    stream, _ = await _evacuate(migration)
    assert stream.move is not None
    assert stream.move.cancelled()
    assert await stream.was_stopped_for_move()


async def test_stream_is_not_stopped_if_move_finds_target_full() -> None:
    migration = FakeMigration()
    migration.error = TargetFull('full')
    stream, _ = await _evacuate(migration)
    assert not await stream.was_stopped_for_move()


class LateReclaimReports(FakeMigration):
    """The first report has no reclaim time, or is lost."""

    def __init__(self, *, lost: bool) -> None:
        super().__init__()
        self._lost = lost
        self._reports = 0

    async def time_until_reclaim_s(self, address: str) -> float | None:
        """Return the time until the reclaim from the second report on."""
        self._reports += 1
        if self._reports > 1:
            return REMAINING_S
        if self._lost:
            raise MigrationError('the connection was reset')
        return None


@pytest.mark.parametrize('lost', [False, True])
async def test_one_report_without_reclaim_time_is_not_conclusive(
    lost: bool,
) -> None:
    """Guards against skipping an evacuation because of a single report.

    The first report is older than the reclaim notice, or is lost.
    """
    migration = LateReclaimReports(lost=lost)
    stream, _ = await _evacuate(migration)
    assert _relocation(stream).target.server.server_id == 'two'


class FullForFirstMoves(FakeMigration):
    """The target is full in the first three moves; the stream runs on."""

    async def move(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Refuse the first three moves."""
        self.calls.append(('move', target_address))
        if len([call for call in self.calls if call[0] == 'move']) <= 3:
            raise TargetFull('full')
        return MovedRun(source_address, 'h1')


async def test_stream_that_was_not_stopped_is_moved_later() -> None:
    migration = FullForFirstMoves()
    stream, _ = await _evacuate(migration, _is_moved)
    assert _relocation(stream).run == MovedRun('one:80', 'h1')


def _is_moved(stream: InFlightRequest) -> bool:
    return bool(stream.move and stream.move.done() and stream.move.result())
