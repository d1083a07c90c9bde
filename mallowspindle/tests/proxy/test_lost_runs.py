"""Where streams go on whose connection was lost."""

import asyncio
from typing import Any
from unittest.mock import create_autospec

import pytest

from mallowspindle.adapter import (
    MigrationClient,
    MigrationError,
    NobodyListens,
    NoConnection,
    NoSuchRun,
    RunsReport,
    TargetFull,
)
from mallowspindle.backends.prefixes import PrefixCacheIndex
from mallowspindle.backends.view import BackendView, Relocation
from mallowspindle.catalog.servers import BackendServer
from mallowspindle.policies.lost_runs import LostRun
from mallowspindle.proxy.lost_runs import LostRuns
from mallowspindle.proxy.messages import MovedRun
from mallowspindle.tests.simulation import simulated

_LISTED = RunsReport(frozenset(('r1', 'other')))
_UNLISTED = RunsReport(frozenset(('other',)))
_FAILURE = MigrationError('status 404')
_SILENCE = NoConnection('silent')
_COPY = MovedRun('keeper:80', 'r1')
_MOVED = MovedRun('source:80', 'h1')
# The wait at which callers still read the stream.
_MAX_WAIT_S = 1.6


def _view(name: str) -> BackendView:
    server = BackendServer(name, 'models', f'{name}:80', 'a', 8, False, 7)
    return BackendView(server, PrefixCacheIndex(1000))


def _migration(*reports: RunsReport | MigrationError) -> Any:
    """Return a client that gets these reports; the last one again and again."""
    migration = create_autospec(MigrationClient, instance=True)
    rest = list(reports)

    async def report_runs(address: str) -> RunsReport:
        found = rest.pop(0) if len(rest) > 1 else rest[0]
        await asyncio.sleep(0.01)
        if isinstance(found, MigrationError):
            raise found
        return found

    migration.report_runs.side_effect = report_runs
    migration.move.side_effect = MigrationError('status 400')
    return migration


async def _relocate(
    migration: Any,
    *,
    age_s: float | None = 5.0,
    can_move: bool = True,
    runs: LostRuns | None = None,
) -> tuple[Relocation | None, float]:
    """Return where a stream goes on, and the time that it took.

    ``age_s`` is how long it ran before its connection was lost.
    """
    now_s = asyncio.get_running_loop().time()
    began_at_s = None if age_s is None else now_s - age_s
    relocation = await (runs or LostRuns(migration)).relocate(
        LostRun('r1', 'source', 7, began_at_s, now_s),
        _view('source'),
        _view('keeper'),
        can_move=can_move,
    )
    return relocation, asyncio.get_running_loop().time() - now_s


@pytest.mark.parametrize(
    ('reports', 'max_wait_s'),
    [
        ([NobodyListens('refused')], 0.1),
        ([_FAILURE, NobodyListens('refused')], 0.2),
        ([_SILENCE], 0.4),
        ([_UNLISTED], 0.1),
        ([_LISTED, _LISTED, _UNLISTED], 0.4),
        ([RunsReport(frozenset(('r1',)), 'another')], 0.1),
        ([RunsReport(frozenset(('r1',)), 'source', 8)], 0.1),
    ],
)
@simulated
async def test_a_stream_goes_on_from_its_copy_once_its_run_has_ended(
    reports: list[RunsReport | MigrationError], max_wait_s: float
) -> None:
    """Guards against streams that are cut, or wait, though nothing runs."""
    relocation, wait_s = await _relocate(_migration(*reports))
    assert relocation is not None
    assert relocation.run == _COPY
    assert wait_s <= max_wait_s


@pytest.mark.parametrize(
    'reports',
    [[_FAILURE], [_LISTED], [_SILENCE, _FAILURE], [_FAILURE, _LISTED]],
)
@simulated
async def test_a_stream_whose_run_may_go_on_is_given_up(
    reports: list[RunsReport | MigrationError],
) -> None:
    """Guards against a second run, and against a caller that waits in vain."""
    relocation, wait_s = await _relocate(_migration(*reports))
    assert relocation is None
    assert wait_s <= _MAX_WAIT_S


@pytest.mark.parametrize('age_s', [0.1, None])
@simulated
async def test_a_young_run_may_not_be_reported_yet(age_s: float | None) -> None:
    """Guards against a report from before the run began."""
    migration = _migration(_UNLISTED, _LISTED)
    relocation, _ = await _relocate(migration, age_s=age_s, can_move=False)
    assert relocation is None


@pytest.mark.parametrize(
    ('answer', 'run'),
    [
        (_MOVED, _MOVED),
        (NoSuchRun('ended'), _COPY),
        (TargetFull('full', _MOVED), _MOVED),
    ],
)
@simulated
async def test_a_run_that_goes_on_is_stopped_first(
    answer: MovedRun | MigrationError, run: MovedRun
) -> None:
    """Guards against a run that goes on at two servers."""
    migration = _migration(_LISTED)
    migration.move.side_effect = [answer]
    relocation, _ = await _relocate(migration)
    assert relocation is not None
    assert relocation.run == run


@simulated
async def test_a_request_without_an_event_may_wait_at_its_server() -> None:
    """Guards against "no such run" of a request that begins later."""
    migration = _migration(_LISTED)
    migration.move.side_effect = NoSuchRun('')
    relocation, _ = await _relocate(migration, age_s=None)
    assert relocation is None


async def _hang(*address: str) -> MovedRun:
    await asyncio.sleep(60)
    raise MigrationError('late')


@simulated
async def test_an_answer_to_a_move_is_not_waited_for_in_vain() -> None:
    """Guards against a stream that stands still until its caller leaves."""
    migration = _migration(_LISTED)
    migration.move.side_effect = _hang
    relocation, wait_s = await _relocate(migration)
    assert relocation is None
    assert wait_s <= _MAX_WAIT_S


@pytest.mark.parametrize('answer', [NobodyListens('refused'), _LISTED])
@simulated
async def test_a_server_is_asked_once_for_all_its_streams(
    answer: RunsReport | MigrationError,
) -> None:
    """Guards against a storm of queries when a zone is lost at once."""
    migration = _migration(answer)
    runs = LostRuns(migration)
    began_at_s = asyncio.get_running_loop().time()
    await asyncio.gather(
        *(_relocate(migration, can_move=False, runs=runs) for _ in range(200))
    )
    lasted_s = asyncio.get_running_loop().time() - began_at_s
    assert migration.report_runs.call_count <= 1 + lasted_s / 0.1
