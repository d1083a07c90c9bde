"""Hedged requests at a gateway with servers of which one slows down."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from mallowspindle.standins.gateways import GatewayVenture

_SLOW_S = 1.2
_REQUESTS = 80


@asynccontextmanager
async def _venture(folder: Path, share: float) -> AsyncIterator[GatewayVenture]:
    """Start a gateway that knows the usual times of two servers."""
    async with GatewayVenture(folder) as venture:
        await venture.start_platform()
        await venture.configure()
        await asyncio.gather(
            venture.start_server('shop-1', 'shop'),
            venture.start_server('shop-2', 'shop'),
        )
        for name, load in (('shop-1', '0,0,8,100'), ('shop-2', '0,0,8,250')):
            url = f'{venture.process(name).url}/faults'
            async with venture.session.post(url, json={'load': load}) as done:
                done.raise_for_status()
        await venture.start_gateway('entry-1', hedging_share=share)
        for number in range(_REQUESTS):
            await venture.call('entry-1', 'GET', '/status/1', f'early-{number}')
        # The delay of hedges is computed once a second.
        await asyncio.sleep(1.1)
        yield venture


async def _slow_down(venture: GatewayVenture, name: str) -> None:
    url = f'{venture.process(name).url}/faults'
    async with venture.session.post(url, json={'slow_s': _SLOW_S}) as done:
        done.raise_for_status()


async def test_second_server_answers_alone_and_the_first_is_left(
    tmp_path: Path,
) -> None:
    """Guards against two answers in one, and against work for no one."""
    async with _venture(tmp_path, share=0.5) as venture:
        await _slow_down(venture, 'shop-1')
        status, headers, text = await venture.call(
            'entry-1', 'GET', '/status/1', 'late'
        )
        assert (status, text) == (200, 'answer of shop-2')
        assert headers['Response-Signature'] == 'shop-2-signature'
        await asyncio.sleep(_SLOW_S)
        lost = [run for run in await venture.runs('shop-1') if run['left']]
        lines = {
            message: [
                line['request']
                for line in venture.log_lines('entry-1', message)
            ]
            for message in ('hedge sent', 'hedge won', 'attempt lost')
        }
    assert [run['id'] for run in lost] == ['late']
    assert 'late' in lines['hedge sent']
    assert 'late' in lines['hedge won']
    assert not lines['attempt lost']


async def test_nothing_is_hedged_by_default(tmp_path: Path) -> None:
    async with _venture(tmp_path, share=0) as venture:
        await _slow_down(venture, 'shop-1')
        await venture.call('entry-1', 'GET', '/status/1', 'late')
        runs = [*await venture.runs('shop-1'), *await venture.runs('shop-2')]
        assert [run['id'] for run in runs].count('late') == 1
        assert not venture.log_lines('entry-1', 'hedge sent')
