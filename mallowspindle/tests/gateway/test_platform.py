"""Tests of faults of the store, the duties and the settings file."""

import signal

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import (
    find_holder,
    has_version,
)


async def test_a_draining_server_gets_no_new_requests(
    venture: GatewayVenture,
) -> None:
    await venture.register('shop-1', 'shop', state='draining')

    async def is_draining_everywhere() -> bool:
        return all(
            any(
                line['server'] == 'shop-1' and line['draining']
                for line in venture.log_lines(name, 'backend server registered')
            )
            for name in ('entry-1', 'entry-2')
        )

    await venture.wait_until(is_draining_everywhere)
    for number in range(8):
        await venture.call('entry-1', 'POST', '/orders/x', f'r{number}')
        await venture.call('entry-2', 'POST', '/orders/x', f's{number}')
    assert not await venture.runs('shop-1')


async def test_invalid_entries_do_not_affect_the_others(
    venture: GatewayVenture,
) -> None:
    await venture.put_record('keyed.servers', 'odd-1', b'\xff\x00')
    await venture.put_record('keyed.servers', 'odd-2', b'{"service": 5}')
    await venture.put_record(
        'keyed.op', 'config', b'{"version": 9, "routes": 3}'
    )

    async def are_ignored() -> bool:
        # Only the node that reads a stream logs invalid records; it passes
        # on only valid ones.
        names = ('entry-1', 'entry-2')
        return all(
            any(venture.log_lines(name, message) for name in names)
            for message in ('server entry ignored', 'configuration ignored')
        )

    await venture.wait_until(are_ignored)
    status, _, _ = await venture.call('entry-1', 'POST', '/orders/x', 'r1')
    assert status == 200


async def test_usage_is_reported_once(venture: GatewayVenture) -> None:
    for number in range(6):
        await venture.call('entry-1', 'POST', '/orders/x', f'r{number}')
        await venture.call('entry-2', 'GET', '/status/x', f's{number}')

    async def is_counted() -> bool:
        calls = await venture.duty_calls()
        usage = [call for call in calls if call['duty'] == 'usage']
        return sum(call['body']['counts']['farm'] for call in usage) == 12

    await venture.wait_until(is_counted)
    calls = await venture.duty_calls()
    assert len({call['holder'] for call in calls}) == 1


async def test_a_successor_takes_the_duties_over(
    venture: GatewayVenture,
) -> None:
    holder = await find_holder(venture)
    venture.process(holder).send_signal(signal.SIGKILL)
    other = 'entry-2' if holder == 'entry-1' else 'entry-1'

    async def is_taken_over() -> bool:
        await venture.call(other, 'POST', '/orders/x', 'r1')
        calls = await venture.duty_calls()
        return any(call['holder'] == other for call in calls)

    await venture.wait_until(is_taken_over)
    calls = await venture.duty_calls()
    tokens = {call['holder']: call['token'] for call in calls}
    assert tokens[other] > tokens.get(holder, -1)


async def test_serves_while_the_store_is_down(
    venture: GatewayVenture,
) -> None:
    await venture.set_faults('store', down=True)

    async def is_outage_logged() -> bool:
        return bool(venture.log_lines('entry-1', 'store not reached'))

    await venture.wait_until(is_outage_logged)
    status, _, _ = await venture.call('entry-1', 'POST', '/orders/x', 'r1')
    assert status == 200
    await venture.set_faults('store', down=False)
    await venture.configure(version=8)
    await venture.wait_until(lambda: has_version(venture, 8))


async def test_all_keys_are_read_again_after_a_trim(
    venture: GatewayVenture,
) -> None:
    await venture.configure(version=8)
    url = f'{venture.process("store").url}/operator-trim/keyed.op'
    async with venture.session.post(url) as response:
        response.raise_for_status()
    await venture.configure(version=9)
    await venture.wait_until(lambda: has_version(venture, 9))


async def test_reloads_settings_and_keeps_the_old_if_invalid(
    venture: GatewayVenture,
) -> None:
    path = venture.write_settings(
        'entry-1',
        venture.gateway_settings('entry-1', 'a', connect_timeout_s=-1),
    )
    venture.process('entry-1').send_signal(signal.SIGHUP)
    refusal = 'settings not reloaded, the old ones stay in force'

    async def is_refusal_logged() -> bool:
        lines = venture.log_lines('entry-1', refusal)
        return any('connect_timeout_s' in line['problems'] for line in lines)

    await venture.wait_until(is_refusal_logged)
    venture.write_settings(
        'entry-1',
        venture.gateway_settings('entry-1', 'a', connect_timeout_s=0.7),
    )

    async def is_reload_logged() -> bool:
        return bool(venture.log_lines('entry-1', 'settings reloaded'))

    await venture.wait_until(is_reload_logged)
    assert path.exists()
    status, _, _ = await venture.call('entry-1', 'POST', '/orders/x', 'r1')
    assert status == 200
