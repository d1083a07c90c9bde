"""The daemon in front of stand-ins of the users' platform."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio
from aiohttp import ClientError

from mallowspindle.standins.gateways import GatewayVenture

EVENTS = 5
WHOLE_STREAM = ''.join(
    f'id: {number}\ndata: t{number}\n\n' for number in range(1, EVENTS + 1)
)


@pytest_asyncio.fixture
async def venture(tmp_path: Path) -> AsyncIterator[GatewayVenture]:
    """Give two gateways, two model servers and two shop servers."""
    async with GatewayVenture(tmp_path) as made:
        await made.start_platform()
        await made.configure()
        await asyncio.gather(
            made.start_server('model-1', 'models', f'--events={EVENTS}'),
            made.start_server('model-2', 'models', f'--events={EVENTS}'),
            made.start_server('shop-1', 'shop'),
            made.start_server('shop-2', 'shop'),
        )
        await made.start_gateway('entry-1')
        await made.start_gateway('entry-2', 'b')
        yield made


async def _all_runs(
    venture: GatewayVenture, request_id: str
) -> list[dict[str, object]]:
    names = ('model-1', 'model-2', 'shop-1', 'shop-2')
    runs = await asyncio.gather(*(venture.runs(name) for name in names))
    return [run for part in runs for run in part if run['id'] == request_id]


async def test_passes_requests_and_answers_through(
    venture: GatewayVenture,
) -> None:
    status, headers, text = await venture.call(
        'entry-1',
        'POST',
        '/orders/a%20b//c?x=1&y=%2F',
        'r1',
        b'a bird',
        changes={'X-Own': 'kept', 'Tenant': 'forged', 'Hold': 'forged'},
    )
    assert status == 200
    assert headers['Response-Signature'].endswith('-signature')
    assert text.startswith('answer of shop-')
    (run,) = await _all_runs(venture, 'r1')
    assert run['target'] == '/orders/a%20b//c?x=1&y=%2F'
    assert run['method'] == 'POST'
    assert run['body'] == 'a bird'
    sent = run['headers']
    assert isinstance(sent, dict)
    assert sent['Tenant'] == 'farm'
    assert sent['X-Own'] == 'kept'
    assert sent['Host'] == 'shop.example'
    assert 'Authorization' not in sent
    assert 'Hold' not in sent
    assert 0 < int(sent['Deadline-Ms']) <= 2000


async def test_streams_events(venture: GatewayVenture) -> None:
    status, _, text = await venture.call('entry-1', 'POST', '/letters/x', 'r1')
    assert status == 200
    assert text == WHOLE_STREAM


@pytest.mark.parametrize(
    ('path', 'changes', 'status'),
    [
        ('/nothing/x', {}, 404),
        ('/orders/x', {'Authorization': 'Token other'}, 401),
        ('/orders/x', {'Deadline-Ms': 'soon'}, 400),
        ('/orders/x', {'Prompt-Prefix': 'ab:many'}, 400),
        ('/orders/x', {'X-Large': 'x' * 20_000}, 431),
    ],
)
async def test_refuses_bad_requests(
    venture: GatewayVenture, path: str, changes: dict[str, str], status: int
) -> None:
    found, _, _ = await venture.call(
        'entry-1', 'POST', path, 'r1', changes=changes
    )
    assert found == status
    assert not await _all_runs(venture, 'r1')


async def test_refuses_large_bodies(venture: GatewayVenture) -> None:
    await venture.configure(version=8, limits={'max_body_bytes': 1000})
    await venture.wait_until(lambda: _has_version(venture, 8))
    status, _, _ = await venture.call(
        'entry-1', 'POST', '/orders/x', 'r1', b'x' * 2000
    )
    assert status == 413
    assert not await _all_runs(venture, 'r1')


async def test_refuses_both_framings(venture: GatewayVenture) -> None:
    url = venture.url('entry-1', '/')
    reader, writer = await asyncio.open_connection(url.host, url.port)
    head = ''.join(
        f'{name}: {text}\r\n'
        for name, text in venture.request_headers('r1').items()
    )
    writer.write(
        f'POST /orders/x HTTP/1.1\r\n{head}Content-Length: 5\r\n'
        'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /orders/y'.encode()
    )
    answer = await reader.read()
    writer.close()
    # One answer only: what follows the bad framing is no second request.
    assert answer.split()[1] == b'400'
    assert answer.count(b'HTTP/1.') == 1
    assert not await _all_runs(venture, 'r1')


async def test_repeats_what_was_not_run(venture: GatewayVenture) -> None:
    await venture.set_faults('shop-1', refuse=1)
    await venture.set_faults('shop-2', refuse=1)
    status, headers, _ = await venture.call(
        'entry-1', 'POST', '/orders/x', 'r1'
    )
    assert status == 503
    assert float(headers['Retry-After']) > 0
    assert not await _all_runs(venture, 'r1')
    await venture.set_faults('shop-1', refuse=1)
    statuses = [
        (await venture.call('entry-1', 'POST', '/orders/x', f's{number}'))[0]
        for number in range(6)
    ]
    assert set(statuses) == {200}


async def test_never_repeats_an_order_of_unknown_fate(
    venture: GatewayVenture,
) -> None:
    await venture.set_faults('shop-1', lose_answers=1)
    await venture.set_faults('shop-2', lose_answers=1)
    status, _, _ = await venture.call('entry-1', 'POST', '/orders/x', 'r1')
    assert status == 502
    assert len(await _all_runs(venture, 'r1')) == 1


@pytest.mark.parametrize('fault', ['truncate', 'lose_answers'])
async def test_repeats_failed_status_requests(
    venture: GatewayVenture, fault: str
) -> None:
    await venture.set_faults('shop-1', **{fault: 1})
    statuses = [
        (await venture.call('entry-1', 'GET', '/status/x', f'r{number}'))[0]
        for number in range(8)
    ]
    assert set(statuses) == {200}
    runs = await venture.runs('shop-1') + await venture.runs('shop-2')
    assert len(runs) == 9


async def test_passes_a_failure_on_rather_than_its_own(
    venture: GatewayVenture,
) -> None:
    await venture.set_faults('shop-1', truncate=1)
    await venture.set_faults('shop-2', truncate=1)
    status, headers, _ = await venture.call('entry-1', 'GET', '/status/x', 'r1')
    assert status == 500
    assert headers['Response-Signature'].endswith('-signature')


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
    assert len(await _all_runs(venture, 'r1')) == 1


async def test_a_draining_server_gets_nothing_new(
    venture: GatewayVenture,
) -> None:
    await venture.register('shop-1', 'shop', state='draining')

    async def heard() -> bool:
        return all(
            any(
                line['server'] == 'shop-1' and line['draining']
                for line in venture.log_lines(name, 'backend server registered')
            )
            for name in ('entry-1', 'entry-2')
        )

    await venture.wait_until(heard)
    for number in range(8):
        await venture.call('entry-1', 'POST', '/orders/x', f'r{number}')
        await venture.call('entry-2', 'POST', '/orders/x', f's{number}')
    assert not await venture.runs('shop-1')


async def test_unreadable_entries_leave_the_others(
    venture: GatewayVenture,
) -> None:
    await venture.put('keyed.servers', 'odd-1', b'\xff\x00')
    await venture.put('keyed.servers', 'odd-2', b'{"service": 5}')
    await venture.put('keyed.op', 'config', b'{"version": 9, "routes": 3}')

    async def ignored() -> bool:
        # The node that reads a stream tells the others only usable news.
        names = ('entry-1', 'entry-2')
        return all(
            any(venture.log_lines(name, message) for name in names)
            for message in ('server entry ignored', 'configuration ignored')
        )

    await venture.wait_until(ignored)
    status, _, _ = await venture.call('entry-1', 'POST', '/orders/x', 'r1')
    assert status == 200


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
    await venture.wait_until(lambda: _has_run(venture, 'r1'))
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
    await venture.wait_until(lambda: _registered(venture, 'model-3'))
    stream = asyncio.create_task(
        venture.call('entry-1', 'POST', '/questions/x', 'r1')
    )
    await venture.wait_until(lambda: _has_run(venture, 'r1'))
    await venture.start_server('model-4', 'models', '--events=200')
    await venture.wait_until(lambda: _registered(venture, 'model-4'))
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


async def test_usage_is_reported_once(venture: GatewayVenture) -> None:
    for number in range(6):
        await venture.call('entry-1', 'POST', '/orders/x', f'r{number}')
        await venture.call('entry-2', 'GET', '/status/x', f's{number}')

    async def counted() -> bool:
        calls = await venture.duty_calls()
        usage = [call for call in calls if call['duty'] == 'usage']
        return sum(call['body']['counts']['farm'] for call in usage) == 12

    await venture.wait_until(counted)
    calls = await venture.duty_calls()
    assert len({call['holder'] for call in calls}) == 1


async def test_a_successor_takes_the_duties_over(
    venture: GatewayVenture,
) -> None:
    holder = await _holder(venture)
    venture.process(holder).send_signal(signal.SIGKILL)
    other = 'entry-2' if holder == 'entry-1' else 'entry-1'

    async def taken_over() -> bool:
        await venture.call(other, 'POST', '/orders/x', 'r1')
        calls = await venture.duty_calls()
        return any(call['holder'] == other for call in calls)

    await venture.wait_until(taken_over)
    calls = await venture.duty_calls()
    tokens = {call['holder']: call['token'] for call in calls}
    assert tokens[other] > tokens.get(holder, -1)


async def test_serves_on_while_the_store_is_away(
    venture: GatewayVenture,
) -> None:
    await venture.set_faults('store', down=True)

    async def noticed() -> bool:
        return bool(venture.log_lines('entry-1', 'store not reached'))

    await venture.wait_until(noticed)
    status, _, _ = await venture.call('entry-1', 'POST', '/orders/x', 'r1')
    assert status == 200
    await venture.set_faults('store', down=False)
    await venture.configure(version=8)
    await venture.wait_until(lambda: _has_version(venture, 8))


async def test_history_gone_is_read_anew(venture: GatewayVenture) -> None:
    await venture.configure(version=8)
    url = f'{venture.process("store").url}/operator-trim/keyed.op'
    async with venture.session.post(url) as response:
        response.raise_for_status()
    await venture.configure(version=9)
    await venture.wait_until(lambda: _has_version(venture, 9))


async def test_reloads_settings_and_keeps_the_old_if_bad(
    venture: GatewayVenture,
) -> None:
    path = venture.write_settings('entry-1', 'a', connect_timeout_s=-1)
    venture.process('entry-1').send_signal(signal.SIGHUP)
    refused = 'settings not reloaded, the old ones stay in force'

    async def told() -> bool:
        lines = venture.log_lines('entry-1', refused)
        return any('connect_timeout_s' in line['problems'] for line in lines)

    await venture.wait_until(told)
    venture.write_settings('entry-1', 'a', connect_timeout_s=0.7)

    async def reloaded() -> bool:
        return bool(venture.log_lines('entry-1', 'settings reloaded'))

    await venture.wait_until(reloaded)
    assert path.exists()
    status, _, _ = await venture.call('entry-1', 'POST', '/orders/x', 'r1')
    assert status == 200


async def test_without_configuration_nothing_is_lost(tmp_path: Path) -> None:
    async with GatewayVenture(tmp_path) as venture:
        await venture.start_platform()
        await venture.start_gateway('entry-1', wait=False)
        status, headers, _ = await venture.call(
            'entry-1', 'POST', '/orders/x', 'r1', b'a bird'
        )
        assert status == 503
        assert float(headers['Retry-After']) > 0
        assert not await venture.is_ready('entry-1')


async def _holder(venture: GatewayVenture) -> str:
    async def known() -> bool:
        return any(
            venture.log_lines(name, 'duties taken over')
            for name in ('entry-1', 'entry-2')
        )

    await venture.wait_until(known)
    return next(
        name
        for name in ('entry-1', 'entry-2')
        if venture.log_lines(name, 'duties taken over')
    )


async def _has_version(venture: GatewayVenture, version: int) -> bool:
    return all(
        any(
            line['version'] == version
            for line in venture.log_lines(name, 'configuration in force')
        )
        for name in ('entry-1', 'entry-2')
    )


async def _registered(venture: GatewayVenture, server: str) -> bool:
    return any(
        line['server'] == server
        for line in venture.log_lines('entry-1', 'backend server registered')
    )


async def _has_run(venture: GatewayVenture, request_id: str) -> bool:
    return any(run['id'] == request_id for run in await venture.runs('model-3'))
