"""Streams that move to another server, and whose address passes on."""

import asyncio
from functools import partial
from typing import Any

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import (
    has_run,
    has_version,
    read_until_cut,
    registered,
    text_of_events,
)

_MANY = 70


async def _start_slow_server(venture: GatewayVenture) -> None:
    """Start the server whose streams last long enough to be moved."""
    await venture.start_server(
        'model-3', 'models', f'--events={_MANY}', '--pause-s=0.05'
    )


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
    assert text == text_of_events(200)
    (run,) = await venture.runs('model-4')
    address = venture.process('model-3').address
    assert run['headers']['Kv-From'] == f'{address}/h1'


async def _stream_off_a_reclaimed_server(
    venture: GatewayVenture,
) -> tuple[str, list[dict[str, Any]]]:
    """Return the text of such a stream, and the runs of its request."""
    for name in ('model-1', 'model-2'):
        await venture.register(name, 'models', state='draining')
    await venture.wait_until(lambda: registered(venture, 'model-3'))
    stream = asyncio.create_task(
        venture.call('entry-1', 'POST', '/questions/x', 'r1')
    )
    await venture.wait_until(lambda: has_run(venture, 'r1'))
    for name in ('model-4', 'model-5'):
        await venture.start_server(name, 'models', f'--events={_MANY}')
        await venture.set_faults(name, refuse=100)
        await venture.wait_until(partial(registered, venture, name))
    await venture.register('model-3', 'models', state='draining', spot=True)
    status, _, text = await stream
    assert status == 200
    runs = await asyncio.gather(
        *(venture.runs(f'model-{number}') for number in (3, 4, 5))
    )
    return text, [run for part in runs for run in part]


async def test_a_moved_stream_that_is_refused_goes_on_where_it_was(
    venture: GatewayVenture,
) -> None:
    """It has run: a server that refuses it must not start it anew."""
    await _start_slow_server(venture)
    await venture.set_faults('model-3', leaving=True)
    text, runs = await _stream_off_a_reclaimed_server(venture)
    assert text == text_of_events(_MANY)
    address = venture.process('model-3').address
    handles = [run['headers'].get('Kv-From') for run in runs]
    assert handles[0] is None
    assert set(handles[1:]) == {f'{address}/h1'}


async def test_a_stream_without_room_elsewhere_stays(
    venture: GatewayVenture,
) -> None:
    """Replays a full fleet: copies are refused before a run is stopped."""
    await _start_slow_server(venture)
    await venture.set_faults('model-3', leaving=True, no_room=1000)
    text, runs = await _stream_off_a_reclaimed_server(venture)
    assert text == text_of_events(_MANY)
    assert len(runs) == 1


async def test_a_stopped_stream_without_room_goes_on_at_its_source(
    venture: GatewayVenture,
) -> None:
    await _start_slow_server(venture)
    await venture.set_faults('model-3', leaving=True, no_room_at_last=1)
    text, runs = await _stream_off_a_reclaimed_server(venture)
    assert text == text_of_events(_MANY)
    assert {run['id'] for run in runs} == {'r1'}


async def _pass_address_on(venture: GatewayVenture) -> None:
    """End the fourth server without notice; a fifth gets its address."""
    died = venture.process('model-4')
    await died.kill()
    port = died.address.rpartition(':')[2]
    await venture.start_standin(
        'model-5',
        'platform_server',
        '--server-id=model-5',
        f'--events={_MANY}',
        f'--port={port}',
        '--no-resume',
    )
    await venture.register('model-5', 'models', zone='b')
    await venture.wait_until(lambda: registered(venture, 'model-5'))


async def _is_misdirected(venture: GatewayVenture, server: str) -> bool:
    return any(
        line['server'] == server and line['reason'].endswith('421')
        for line in venture.log_lines('entry-1', 'attempt not run')
    )


async def test_a_moved_stream_never_begins_anew_where_an_address_passed_on(
    venture: GatewayVenture,
) -> None:
    """The 421 is true of the move's target only: the stream has run."""
    for name in ('model-1', 'model-2'):
        await venture.register(name, 'models', state='draining')
    await _start_slow_server(venture)
    await venture.wait_until(lambda: registered(venture, 'model-3'))
    stream = asyncio.create_task(
        venture.call('entry-1', 'POST', '/questions/x', 'r1')
    )
    await venture.wait_until(lambda: has_run(venture, 'r1'))
    await venture.start_standin(
        'model-4', 'platform_server', '--server-id=model-4'
    )
    # The clock of its machine is ahead, so that it seems to be the later one.
    await venture.register('model-4', 'models', born=2)
    await venture.wait_until(lambda: registered(venture, 'model-4'))
    await _pass_address_on(venture)
    await venture.set_faults('model-3', leaving=True)
    await venture.register('model-3', 'models', state='draining', spot=True)
    status, _, text = await stream
    await venture.wait_until(lambda: _is_misdirected(venture, 'model-4'))
    assert status == 200
    assert text == text_of_events(_MANY)
    runs = await venture.runs('model-3') + await venture.runs('model-5')
    begun = [run for run in runs if 'Kv-From' not in run['headers']]
    assert len(begun) == 1


async def test_a_lost_stream_never_begins_anew_where_its_copy_was(
    venture: GatewayVenture,
) -> None:
    """The server that kept the copy died too; its address passed on."""
    engine = {'slots': 8, 'kv_capacity_tokens': 10_000, 'backups': True}
    services = [{'name': 'models', 'max_connections': 100, 'engine': engine}]
    await venture.configure(version=8, services=services)
    await venture.wait_until(lambda: has_version(venture, 8))
    for name in ('model-1', 'model-2'):
        await venture.register(name, 'models', state='draining')
    await venture.start_standin(
        'model-4', 'platform_server', '--server-id=model-4'
    )
    await venture.register('model-4', 'models', zone='b')
    await _start_slow_server(venture)
    await venture.wait_until(lambda: registered(venture, 'model-3'))
    await venture.wait_until(lambda: registered(venture, 'model-4'))
    headers = venture.request_headers('r1')
    async with venture.session.post(
        venture.url('entry-1', '/questions/x'), headers=headers
    ) as response:
        assert response.status == 200
        (run,) = await venture.runs('model-3')
        kept_at = venture.process('model-4').address
        assert run['headers']['Kv-Backup'] == kept_at
        await _pass_address_on(venture)
        await venture.process('model-3').kill()
        got = await read_until_cut(response)
    await venture.wait_until(lambda: _is_misdirected(venture, 'model-4'))
    assert got
    assert text_of_events(_MANY).startswith(got)
    assert not await venture.runs('model-5')


async def test_a_stopped_stream_without_a_length_never_looks_whole(
    venture: GatewayVenture,
) -> None:
    """Its connection ends in the same way as that of a whole answer."""
    for name in ('model-1', 'model-2'):
        await venture.register(name, 'models', state='draining')
    await venture.start_server(
        'model-3',
        'models',
        f'--events={_MANY}',
        '--pause-s=0.05',
        '--no-length',
    )
    await venture.wait_until(lambda: registered(venture, 'model-3'))
    stream = asyncio.create_task(
        venture.call('entry-1', 'POST', '/questions/x', 'r1')
    )
    await venture.wait_until(lambda: has_run(venture, 'r1'))
    await venture.start_server(
        'model-4', 'models', f'--events={_MANY}', '--no-length'
    )
    await venture.wait_until(lambda: registered(venture, 'model-4'))
    await venture.set_faults('model-3', leaving=True)
    await venture.register('model-3', 'models', state='draining', spot=True)
    _, _, text = await stream
    assert text == text_of_events(_MANY)
    (run,) = await venture.runs('model-4')
    assert 'Kv-From' in run['headers']
