"""Streams that are cut, moved, drained or left."""

import asyncio
import signal

import pytest
from aiohttp import ClientError

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import (
    WHOLE_STREAM,
    all_runs,
    has_run,
    registered,
)


async def test_streams_events(venture: GatewayVenture) -> None:
    status, _, text = await venture.call('entry-1', 'POST', '/letters/x', 'r1')
    assert status == 200
    assert text == WHOLE_STREAM


async def test_resumes_cut_streams(venture: GatewayVenture) -> None:
    await venture.set_faults('model-1', cuts=1, cut_after_tokens=2)
    texts = [
        (await venture.call('entry-1', 'POST', '/letters/x', f'r{number}'))[2]
        for number in range(8)
    ]
    assert set(texts) == {WHOLE_STREAM}
    runs = await venture.runs('model-1') + await venture.runs('model-2')
    resumed = [
        text
        for run in runs
        for name, text in run['headers'].items()
        if name.lower() == 'last-event-id'
    ]
    assert resumed == ['2']


async def test_cuts_streams_that_must_not_run_again(
    venture: GatewayVenture,
) -> None:
    for name in ('model-1', 'model-2'):
        await venture.set_faults(name, cuts=1, cut_after_tokens=2)
    with pytest.raises(ClientError):
        await venture.call('entry-1', 'POST', '/questions/x', 'r1')
    assert len(await all_runs(venture, 'r1')) == 1


async def test_sigterm_finishes_streams(venture: GatewayVenture) -> None:
    await venture.start_server(
        'model-3', 'models', '--events=20', '--pause-s=0.1'
    )
    await venture.register('model-1', 'models', state='draining')
    await venture.register('model-2', 'models', state='draining')

    async def only_slow() -> bool:
        lines = venture.log_lines('entry-1', 'backend server registered')
        return {'model-1', 'model-2'} <= {
            line['server'] for line in lines if line['draining']
        }

    await venture.wait_until(only_slow)
    stream = asyncio.create_task(
        venture.call('entry-1', 'POST', '/letters/x', 'r1')
    )
    await venture.wait_until(lambda: has_run(venture, 'r1'))
    venture.process('entry-1').send_signal(signal.SIGTERM)

    async def left() -> bool:
        callers = venture.process('entry-1').endpoint('callers')
        return callers not in await venture.addresses('entry-2')

    await venture.wait_until(left)
    status, _, text = await stream
    assert status == 200
    assert text.endswith('id: 20\ndata: t20\n\n')
    assert await venture.process('entry-1').wait() == 0


async def test_streams_move_off_a_reclaimed_server(
    venture: GatewayVenture,
) -> None:
    """A stream that must not run again survives its server's reclaim."""
    await venture.register('model-1', 'models', state='draining')
    await venture.register('model-2', 'models', state='draining')
    await venture.start_server(
        'model-3', 'models', '--events=200', '--pause-s=0.05'
    )
    await venture.wait_until(lambda: registered(venture, 'model-3'))
    stream = asyncio.create_task(
        venture.call('entry-1', 'POST', '/questions/x', 'r1')
    )
    await venture.wait_until(lambda: has_run(venture, 'r1'))
    await venture.start_server('model-4', 'models', '--events=200')
    await venture.wait_until(lambda: registered(venture, 'model-4'))
    await venture.set_faults('model-3', leaving=True)
    await venture.register('model-3', 'models', state='draining', spot=True)
    status, _, text = await stream
    assert status == 200
    assert text == ''.join(
        f'id: {number}\ndata: t{number}\n\n' for number in range(1, 201)
    )
    (run,) = await venture.runs('model-4')
    address = venture.process('model-3').address
    assert run['headers']['Kv-From'] == f'{address}/h1'


async def test_leaving_callers_end_the_work(venture: GatewayVenture) -> None:
    await venture.start_server(
        'model-3', 'models', '--events=1000', '--pause-s=0.05'
    )
    await venture.register('model-1', 'models', state='draining')
    await venture.register('model-2', 'models', state='draining')
    headers = venture.request_headers('r1')
    url = venture.url('entry-1', '/letters/x')

    async def on_slow_server() -> bool:
        async with venture.session.post(url, headers=headers) as response:
            await response.content.readline()
        return bool(await venture.runs('model-3'))

    await venture.wait_until(on_slow_server)
    report_url = f'{venture.process("model-3").url}/report'

    async def ended() -> bool:
        report = await venture.get(report_url)
        return bool(report['running'] == 0)

    await venture.wait_until(ended)
