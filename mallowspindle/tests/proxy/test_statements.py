"""What servers say of themselves in their responses."""

import asyncio
from collections.abc import AsyncIterator

import pytest_asyncio

from mallowspindle.tests.proxy.nodes import CutVenture

# From the operators' documentation: the time after which a leaving server gets
# no new request.
_DRAIN_S = 2.0


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
