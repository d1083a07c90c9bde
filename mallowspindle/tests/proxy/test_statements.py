"""What servers say of themselves in their responses."""

import asyncio
from collections.abc import AsyncIterator

import pytest_asyncio

from mallowspindle.tests.proxy.nodes import CutVenture

# From the operators' documentation: the time after which a leaving server gets
# no new request, and the time from which a pause counts.
_DRAIN_S = 2.0
_PAUSE_COUNTS_FROM_S = 0.5
_TOLERATED_REQUESTS = 2
_PAUSE_S = 1.5


@pytest_asyncio.fixture
async def venture() -> AsyncIterator[CutVenture]:
    """Start four nodes that reach all servers."""
    async with CutVenture(4) as venture:
        yield venture


async def _send_for(venture: CutVenture, duration_s: float) -> list[int]:
    """Send lookups to all nodes in turn; return their statuses."""
    ends_at_s = asyncio.get_running_loop().time() + duration_s
    statuses = []
    while asyncio.get_running_loop().time() < ends_at_s:
        for node in venture.nodes:
            statuses.append(await venture.send(node, '/status/1'))
    return statuses


async def _runs_at(venture: CutVenture, server: str) -> int:
    return len(
        [
            run
            for run in await venture.runs()
            if run['headers']['Expect-Instance'] == server
        ]
    )


async def test_a_server_that_says_it_leaves_gets_no_new_requests(
    venture: CutVenture,
) -> None:
    """Its entry never says so, and only some nodes hear it from the server."""
    await venture.set_server_faults('shop-0', says_leaving=True)
    await venture.send(venture.nodes[0], '/status/1')
    await _send_for(venture, _DRAIN_S)
    before = await _runs_at(venture, 'shop-0')
    assert before
    statuses = await _send_for(venture, 1)
    assert set(statuses) == {200}
    assert await _runs_at(venture, 'shop-0') == before


async def test_a_server_that_asks_for_a_pause_gets_it(
    venture: CutVenture,
) -> None:
    await venture.set_server_faults('shop-0', turn_away=str(_PAUSE_S))
    statuses = await _send_for(venture, _PAUSE_S * 0.9)
    assert set(statuses) == {200}
    times_s = sorted(await venture.turned_away_at_s('shop-0'))
    counted = [
        at_s
        for at_s in times_s
        if _PAUSE_COUNTS_FROM_S <= at_s - times_s[0] < _PAUSE_S
    ]
    assert times_s
    assert len(counted) <= _TOLERATED_REQUESTS


async def test_callers_are_refused_while_all_servers_want_a_pause(
    venture: CutVenture,
) -> None:
    for name, pause_s in (('shop-0', 1.0), ('shop-1', 60.0)):
        await venture.set_server_faults(name, turn_away=str(pause_s))
    node = venture.nodes[0]
    await venture.send(node, '/status/1')
    await venture.send(node, '/status/1')
    assert await venture.send(node, '/status/1') == 503
    assert 0 < (node.backends.limit_retry_after_s('shop') or 0) <= 1
    for name in ('shop-0', 'shop-1'):
        await venture.set_server_faults(name, turn_away='')
    await asyncio.sleep(1)
    assert await venture.send(node, '/status/1') == 200
