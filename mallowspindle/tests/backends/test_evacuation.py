"""Where streams go while their server is reclaimed."""

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
    TargetFull,
)
from mallowspindle.backends.evacuation import EvacuationService
from mallowspindle.backends.prefixes import PrefixCacheIndex
from mallowspindle.backends.service import Pick
from mallowspindle.backends.view import BackendView, InFlightRequest, Relocation
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.proxy.messages import CallerRequest, MovedRun

LEFT_S = 0.5


def _view(name: str, *, draining: bool = False) -> BackendView:
    server = BackendServer(
        name, 'models', f'{name}:80', 'a', 8, draining=draining
    )
    return BackendView(server, PrefixCacheIndex(1000))


def _work(request_id: str = 'r1') -> InFlightRequest:
    request = CallerRequest(
        'POST', '/', 'shop.example', request_id, CIMultiDict()
    )
    return InFlightRequest(request, 0, 0, streaming=True)


def _relocation(work: InFlightRequest) -> Relocation:
    """Return where a moved stream goes on."""
    assert work.move is not None
    moved = work.move.result()
    assert moved is not None
    return moved


class FakeMigration(MigrationClient):
    """Servers of which some have no room for a copy, or for the rest."""

    def __init__(self) -> None:
        self.full: set[str] = set()
        self.full_at_last: set[str] = set()
        self.error: MigrationError | None = None
        self.calls: list[tuple[str, str]] = []

    async def time_left_s(self, address: str) -> float | None:
        """Return the time up to the reclaim."""
        return LEFT_S

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
        if target_address in self.full_at_last:
            raise TargetFull('full', MovedRun(source_address, 'h2'))
        return MovedRun(source_address, 'h1')

    async def drop(self, run: MovedRun) -> None:
        """Note what is freed."""
        self.calls.append(('drop', run.handle))


class FakeBackends:
    """Picks the first server that is not to be avoided."""

    def __init__(self, source: BackendView) -> None:
        self._source = source
        self.targets = [_view(name) for name in ('two', 'three', 'four')]

    def find(self, service_name: str, server_id: str) -> BackendView:
        """Return the server that leaves."""
        return self._source

    def pick(
        self, service_name: str, request: CallerRequest, avoid: set[str]
    ) -> Pick | None:
        """Return the next server."""
        left = [
            view for view in self.targets if view.server.server_id not in avoid
        ]
        return Pick(left[0], 0) if left else None


def _is_settled(work: InFlightRequest) -> bool:
    return bool(work.move and work.move.done())


async def _evacuate(
    migration: FakeMigration,
    is_over: Callable[[InFlightRequest], bool] = _is_settled,
) -> tuple[InFlightRequest, BackendView]:
    """Run the evacuation of a server with one stream up to its move."""
    source = _view('one', draining=True)
    work = _work()
    source.work.add(work)
    watchers: list[Any] = []
    catalog = SimpleNamespace(
        watch=watchers.append, servers={'one': source.server}
    )
    evacuation = EvacuationService(
        migration,
        FakeBackends(source),  # type: ignore[arg-type]
        catalog,  # type: ignore[arg-type]
    )
    await evacuation.start()
    watchers[0]()
    async with asyncio.timeout(20):
        while not is_over(work):
            if is_over is _is_settled and len(migration.calls) >= 3:
                break
            await asyncio.sleep(0.01)
    await evacuation.stop()
    return work, source


async def test_a_stream_is_copied_before_it_is_stopped() -> None:
    migration = FakeMigration()
    work, _ = await _evacuate(migration)
    assert migration.calls == [('copy', 'two:80'), ('move', 'two:80')]
    assert _relocation(work).target.server.server_id == 'two'


async def test_a_full_server_is_passed_over_before_the_stream_stops() -> None:
    migration = FakeMigration()
    migration.full = {'two:80'}
    work, _ = await _evacuate(migration)
    assert migration.calls[:3] == [
        ('copy', 'two:80'),
        ('copy', 'three:80'),
        ('move', 'three:80'),
    ]
    assert _relocation(work).target.server.server_id == 'three'


async def test_a_refused_target_leads_back_to_the_source() -> None:
    work, source = await _evacuate(FakeMigration())
    moved = _relocation(work)
    assert moved.fallback is not None
    assert moved.fallback.target is source
    assert moved.fallback.run == moved.run


async def test_a_stopped_stream_without_room_stays_at_its_source() -> None:
    migration = FakeMigration()
    migration.full_at_last = {'two:80'}
    work, source = await _evacuate(migration)
    moved = _relocation(work)
    assert moved.target is source
    assert moved.run.handle == 'h2'


async def test_the_copy_of_a_stream_that_has_ended_is_freed() -> None:
    migration = FakeMigration()
    migration.error = NoSuchRun('ended')
    work, _ = await _evacuate(migration)
    assert migration.calls[:3] == [
        ('copy', 'two:80'),
        ('move', 'two:80'),
        ('drop', 'h1'),
    ]
    assert not await work.was_stopped()


async def test_a_move_without_an_answer_may_have_stopped_the_stream() -> None:
    migration = FakeMigration()
    migration.error = MigrationError('no answer')
    work, _ = await _evacuate(migration)
    assert work.move is not None
    assert work.move.cancelled()
    assert await work.was_stopped()


async def test_a_target_that_is_full_at_last_may_leave_the_stream() -> None:
    migration = FakeMigration()
    migration.error = TargetFull('full')
    work, _ = await _evacuate(migration)
    assert not await work.was_stopped()


class LateReports(FakeMigration):
    """The first report says nothing of the end, or is lost."""

    def __init__(self, *, lost: bool) -> None:
        super().__init__()
        self._lost = lost
        self._asked = 0

    async def time_left_s(self, address: str) -> float | None:
        """Return the time up to the reclaim from the second report on."""
        self._asked += 1
        if self._asked > 1:
            return LEFT_S
        if self._lost:
            raise MigrationError('the connection was reset')
        return None


@pytest.mark.parametrize('lost', [False, True])
async def test_one_report_that_names_no_end_is_no_proof(lost: bool) -> None:
    """Replays a report that is older than the notice, and one that is lost."""
    migration = LateReports(lost=lost)
    work, _ = await _evacuate(migration)
    assert _relocation(work).target.server.server_id == 'two'


class FullAtFirst(FakeMigration):
    """Has no room at the last of a first move, and names no memory then."""

    async def move(
        self, source_address: str, request_id: str, target_address: str
    ) -> MovedRun:
        """Refuse the first three moves."""
        self.calls.append(('move', target_address))
        if len([call for call in self.calls if call[0] == 'move']) <= 3:
            raise TargetFull('full')
        return MovedRun(source_address, 'h1')


async def test_a_stream_that_was_not_stopped_is_moved_in_a_later_round() -> (
    None
):
    migration = FullAtFirst()
    work, _ = await _evacuate(migration, _is_moved)
    assert _relocation(work).run == MovedRun('one:80', 'h1')


def _is_moved(work: InFlightRequest) -> bool:
    return bool(work.move and work.move.done() and work.move.result())
