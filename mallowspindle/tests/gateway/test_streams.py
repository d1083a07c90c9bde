"""Streams that are cut, moved, drained or left."""

import asyncio
import signal
import socket
import struct
from functools import partial
from typing import Any

import pytest
from aiohttp import ClientError, ClientResponse
from multidict import CIMultiDict

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import (
    EVENTS,
    WHOLE_STREAM,
    all_runs,
    has_run,
    has_version,
    registered,
)

_MANY = 70
_CALLERS = 40


def _events(count: int) -> str:
    return ''.join(
        f'id: {number}\ndata: t{number}\n\n' for number in range(1, count + 1)
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


async def test_a_failure_never_lands_in_a_begun_stream(
    venture: GatewayVenture,
) -> None:
    """Replays a crash beside a server that fails its requests."""
    for name in ('model-1', 'model-2'):
        await venture.set_faults(name, cuts=1, cut_after_tokens=2)
    headers = venture.request_headers('r1')
    async with venture.session.post(
        venture.url('entry-1', '/letters/x'), headers=headers
    ) as response:
        assert response.status == 200
        got = await response.content.readline()
        for name in ('model-1', 'model-2'):
            await venture.set_faults(name, truncate=1)
        with pytest.raises(ClientError):
            async with asyncio.timeout(10):
                while chunk := await response.content.readany():
                    got += chunk
    assert b'HTTP/' not in got
    assert b'failed' not in got


async def test_cuts_streams_that_must_not_run_again(
    venture: GatewayVenture,
) -> None:
    for name in ('model-1', 'model-2'):
        await venture.set_faults(name, cuts=1, cut_after_tokens=2)
    with pytest.raises(ClientError):
        await venture.call('entry-1', 'POST', '/questions/x', 'r1')
    assert len(await all_runs(venture, 'r1')) == 1


async def test_goes_on_from_the_copy_of_a_lost_server(
    venture: GatewayVenture,
) -> None:
    """Replays a crash: a stream that must not run again is cut."""
    engine = {'slots': 8, 'kv_capacity_tokens': 10_000, 'backups': True}
    services = [
        {'name': 'models', 'max_connections': 100, 'engine': engine},
        {'name': 'shop', 'max_connections': 100},
    ]
    await venture.configure(version=8, services=services)
    await venture.wait_until(lambda: has_version(venture, 8))
    for name in ('model-1', 'model-2'):
        await venture.set_faults(name, cuts=1, cut_after_tokens=2)
    _, _, text = await venture.call('entry-1', 'POST', '/questions/x', 'r1')
    assert text == WHOLE_STREAM
    runs = [
        CIMultiDict(run['headers']) for run in await all_runs(venture, 'r1')
    ]
    runs.sort(key=lambda headers: headers.get('Last-Event-Id', '0'))
    first, second, third = runs
    assert (second['Last-Event-Id'], third['Last-Event-Id']) == ('2', '4')
    assert second['Kv-From'] == f'{first["Kv-Backup"]}/r1'
    assert third['Kv-From'] == f'{second["Kv-Backup"]}/r1'


async def test_a_lost_stream_without_a_copy_is_cut(
    venture: GatewayVenture,
) -> None:
    engine = {'slots': 8, 'kv_capacity_tokens': 10_000, 'backups': True}
    services = [{'name': 'models', 'max_connections': 100, 'engine': engine}]
    await venture.configure(version=8, services=services)
    await venture.wait_until(lambda: has_version(venture, 8))
    await venture.start_server('model-3', 'models', f'--events={_MANY}')
    await venture.wait_until(lambda: registered(venture, 'model-3'))
    for name in ('model-1', 'model-2'):
        await venture.register(name, 'models', state='draining')
    await venture.set_faults('model-3', cuts=1, cut_after_tokens=20)
    await venture.wait_until(lambda: _is_draining(venture, 'model-2'))
    stream = asyncio.create_task(
        venture.call('entry-1', 'POST', '/questions/x', 'r1')
    )
    with pytest.raises(ClientError):
        await stream
    assert len(await venture.runs('model-3')) == 1


async def _is_draining(venture: GatewayVenture, server: str) -> bool:
    return any(
        line['server'] == server and line['draining']
        for line in venture.log_lines('entry-1', 'backend server registered')
    )


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
    assert text == _events(200)
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
    await venture.start_server(
        'model-3', 'models', f'--events={_MANY}', '--pause-s=0.05'
    )
    await venture.set_faults('model-3', leaving=True)
    text, runs = await _stream_off_a_reclaimed_server(venture)
    assert text == _events(_MANY)
    address = venture.process('model-3').address
    handles = [run['headers'].get('Kv-From') for run in runs]
    assert handles[0] is None
    assert set(handles[1:]) == {f'{address}/h1'}


async def test_a_stream_without_room_elsewhere_stays(
    venture: GatewayVenture,
) -> None:
    """Replays a full fleet: copies are refused before a run is stopped."""
    await venture.start_server(
        'model-3', 'models', f'--events={_MANY}', '--pause-s=0.05'
    )
    await venture.set_faults('model-3', leaving=True, no_room=1000)
    text, runs = await _stream_off_a_reclaimed_server(venture)
    assert text == _events(_MANY)
    assert len(runs) == 1


async def test_a_stopped_stream_without_room_goes_on_at_its_source(
    venture: GatewayVenture,
) -> None:
    await venture.start_server(
        'model-3', 'models', f'--events={_MANY}', '--pause-s=0.05'
    )
    await venture.set_faults('model-3', leaving=True, no_room_at_last=1)
    text, runs = await _stream_off_a_reclaimed_server(venture)
    assert text == _events(_MANY)
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
    await venture.start_server(
        'model-3', 'models', f'--events={_MANY}', '--pause-s=0.05'
    )
    await venture.wait_until(lambda: registered(venture, 'model-3'))
    stream = asyncio.create_task(
        venture.call('entry-1', 'POST', '/questions/x', 'r1')
    )
    await venture.wait_until(lambda: has_run(venture, 'r1'))
    await venture.start_server('model-4', 'models')
    await venture.wait_until(lambda: registered(venture, 'model-4'))
    await _pass_address_on(venture)
    await venture.set_faults('model-3', leaving=True)
    await venture.register('model-3', 'models', state='draining', spot=True)
    status, _, text = await stream
    await venture.wait_until(lambda: _is_misdirected(venture, 'model-4'))
    assert status == 200
    assert text == _events(_MANY)
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
    await venture.start_server(
        'model-3', 'models', f'--events={_MANY}', '--pause-s=0.05'
    )
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
        got = await _read_until_cut(response)
    await venture.wait_until(lambda: _is_misdirected(venture, 'model-4'))
    assert got
    assert _events(_MANY).startswith(got)
    assert not await venture.runs('model-5')


@pytest.mark.parametrize(
    ('path', 'fault'),
    [
        ('/questions/x', 'forgets'),
        ('/questions/x', 'skips'),
        ('/letters/x', 'forgets'),
    ],
)
async def test_events_are_never_repeated_or_skipped_by_a_resumed_stream(
    venture: GatewayVenture, path: str, fault: str
) -> None:
    """A server answers with other events than those that are due."""
    engine = {'slots': 8, 'kv_capacity_tokens': 10_000, 'backups': True}
    services = [{'name': 'models', 'max_connections': 100, 'engine': engine}]
    await venture.configure(version=8, services=services)
    await venture.wait_until(lambda: has_version(venture, 8))
    for name in ('model-1', 'model-2'):
        await venture.set_faults(
            name, cuts=1, cut_after_tokens=2, **{fault: 10}
        )
    headers = venture.request_headers('r1')
    async with venture.session.post(
        venture.url('entry-1', path), headers=headers
    ) as response:
        got = await _read_until_cut(response)
    assert got == _events(2)


async def test_events_without_ids_are_never_repeated(
    venture: GatewayVenture,
) -> None:
    """No id tells a further server what the caller has."""
    for name in ('model-3', 'model-4'):
        await venture.start_server(
            name, 'models', f'--events={EVENTS}', '--no-ids'
        )
        await venture.set_faults(name, cuts=1, cut_after_tokens=2)
        await venture.wait_until(partial(registered, venture, name))
    for name in ('model-1', 'model-2'):
        await venture.register(name, 'models', state='draining')
        await venture.wait_until(partial(_is_draining, venture, name))
    headers = venture.request_headers('r1')
    async with venture.session.post(
        venture.url('entry-1', '/letters/x'), headers=headers
    ) as response:
        got = await _read_until_cut(response)
    assert got == 'data: t1\n\ndata: t2\n\n'


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
    assert text == _events(_MANY)
    (run,) = await venture.runs('model-4')
    assert 'Kv-From' in run['headers']


async def test_a_stream_without_a_length_is_whole_only_behind_an_event(
    venture: GatewayVenture,
) -> None:
    await venture.start_server(
        'model-3', 'models', f'--events={EVENTS}', '--no-length'
    )
    await venture.wait_until(lambda: registered(venture, 'model-3'))
    for name in ('model-1', 'model-2'):
        await venture.register(name, 'models', state='draining')
        await venture.wait_until(partial(_is_draining, venture, name))
    _, _, text = await venture.call('entry-1', 'POST', '/questions/x', 'r1')
    assert text == WHOLE_STREAM
    await venture.set_faults('model-3', cuts=1, cut_after_tokens=2)
    headers = venture.request_headers('r2')
    async with venture.session.post(
        venture.url('entry-1', '/questions/x'), headers=headers
    ) as response:
        got = await _read_until_cut(response)
    assert got == _events(2)


async def _read_until_cut(response: ClientResponse) -> str:
    """Return what came of a stream that must not look whole."""
    got = b''
    with pytest.raises(ClientError):
        async with asyncio.timeout(10):
            while chunk := await response.content.readany():
                got += chunk
    return got.decode()


async def test_a_caller_that_leaves_is_no_failure_of_the_server(
    venture: GatewayVenture,
) -> None:
    """Callers reset their connections while events come fast."""
    for name in ('model-3', 'model-4'):
        await venture.start_server(
            name, 'models', '--events=100000', '--pause-s=0'
        )
        await venture.wait_until(partial(registered, venture, name))
    for name in ('model-1', 'model-2'):
        await venture.register(name, 'models', state='draining')
        await venture.wait_until(partial(_is_draining, venture, name))
    for number in range(_CALLERS):
        await _leave_stream(venture, f'r{number}')
    await venture.call('entry-1', 'GET', '/status/x', 'last')
    await asyncio.sleep(0.5)
    assert not venture.log_lines('entry-1', 'attempt lost')
    runs = await venture.runs('model-3') + await venture.runs('model-4')
    assert len(runs) == _CALLERS


async def _leave_stream(venture: GatewayVenture, request_id: str) -> None:
    """Reset the connection of a stream that is under way."""
    host, _, port = (
        venture.process('entry-1').endpoint('callers').partition(':')
    )
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = venture.request_headers(request_id)
    lines = [f'{name}: {text}\r\n' for name, text in headers.items()]
    head = ''.join(lines)
    writer.write(f'POST /letters/x HTTP/1.1\r\n{head}\r\n'.encode())
    await reader.readuntil(b'id: 3')
    # A close with a linger time of zero sends a reset.
    linger = struct.pack('ii', 1, 0)
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
    await asyncio.sleep(0.02)


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
