"""Streams whose connection to their server is lost, with a copy elsewhere."""

import asyncio
from functools import partial
from typing import Any

import pytest

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import (
    has_version,
    is_draining,
    is_registered,
    read_until_cut,
    stream_text,
)

_EVENTS = 60
_CUT_AFTER = 20
# How long a server may work on a run that has gone on at another one.
_ALLOWED_OVERLAP_S = 0.4


async def _play(
    venture: GatewayVenture, **faults: Any
) -> tuple[str, list[dict[str, Any]]]:
    """Return what a caller receives, and the runs of the request in order.

    The server of the stream loses its connection in the middle, and the engines
    of the service support copies and moves.
    """
    engine = {
        'slots': 8,
        'kv_capacity_tokens': 10_000,
        'backups': True,
        'moves': True,
    }
    services = [{'name': 'models', 'max_connections': 100, 'engine': engine}]
    await venture.configure(version=8, services=services)
    await venture.wait_until(lambda: has_version(venture, 8))
    for name in ('model-1', 'model-2'):
        await venture.register(name, 'models', state='draining')
        await venture.wait_until(partial(is_draining, venture, name))
    names = ('model-3', 'model-4')
    for name in names:
        await venture.start_server(
            name, 'models', f'--events={_EVENTS}', '--pause-s=0.05'
        )
        await venture.wait_until(partial(is_registered, venture, name))
        await venture.set_faults(name, **faults)
    headers = venture.request_headers('r1')
    async with venture.session.post(
        venture.url('entry-1', '/questions/x'), headers=headers
    ) as response:
        if faults.get('no_moves') and faults.get('detaches'):
            received = await read_until_cut(response)
        else:
            received = await response.text()
    runs = [run for name in names for run in await venture.runs(name)]
    return received, sorted(runs, key=lambda run: run['began_at_s'])


@pytest.mark.parametrize('no_reports', [True, False])
async def test_a_stream_is_cut_while_its_server_works_on(
    venture: GatewayVenture, no_reports: bool
) -> None:
    """Guards against a run at two servers: a lost connection ends no run."""
    received, runs = await _play(
        venture,
        cuts=1,
        cut_after_tokens=_CUT_AFTER,
        detaches=True,
        no_moves=True,
        no_reports=no_reports,
    )
    assert received == stream_text(_CUT_AFTER)
    assert len(runs) == 1


async def test_a_run_without_its_connection_is_stopped_before_it_goes_on(
    venture: GatewayVenture,
) -> None:
    """Guards against streams that are cut though their run can be stopped."""
    received, runs = await _play(
        venture, cuts=1, cut_after_tokens=_CUT_AFTER, detaches=True
    )
    assert received == stream_text(_EVENTS)
    first, *others = [run for run in runs if run['id'] == 'r1']
    assert others
    for later in others:
        overlap_s = first['ended_at_s'] - later['began_at_s']
        assert overlap_s < _ALLOWED_OVERLAP_S
        first = later


async def test_a_stream_goes_on_once_its_server_reports_that_its_run_ended(
    venture: GatewayVenture,
) -> None:
    """Guards against streams that are cut though their run has ended."""
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    received, runs = await _play(
        venture,
        cuts=1,
        cut_after_tokens=_CUT_AFTER,
        no_moves=True,
        report_lag_s=0.3,
    )
    assert received == stream_text(_EVENTS)
    assert loop.time() - began_at_s < 20
    assert len(runs) >= 2
