"""The store comes back from an older copy while gateways serve."""

import asyncio
from functools import partial

from mallowspindle.standins.gateways import GatewayVenture
from mallowspindle.tests.gateway.observations import (
    all_runs,
    find_holder,
    has_version,
)

_OTHER_TENANTS = ({'name': 'farm', 'api_keys': ['another-key']},)


async def test_revoked_keys_stay_revoked_and_duties_go_on(
    venture: GatewayVenture,
) -> None:
    await find_holder(venture)
    await venture.call('entry-1', 'POST', '/orders/x', 'first')
    await venture.wait_until(partial(_has_reports, venture, 0))
    began_at_s = asyncio.get_running_loop().time()
    await venture.configure(version=8, tenants=_OTHER_TENANTS)
    await venture.wait_until(lambda: has_version(venture, 8))
    highest = max(call['token'] for call in await venture.duty_calls())
    age_s = asyncio.get_running_loop().time() - began_at_s
    await venture.restore_store(age_s)
    for number in range(20):
        status, _, _ = await venture.call(
            'entry-2', 'POST', '/orders/x', f'r{number}'
        )
        assert status in {401, 503}
        assert not await all_runs(venture, f'r{number}')
        await asyncio.sleep(0.05)
    await venture.call(
        'entry-1',
        'POST',
        '/orders/x',
        'allowed',
        changes={'Authorization': 'Token another-key'},
    )
    await venture.wait_until(partial(_has_reports, venture, highest))
    calls = await venture.duty_calls()
    tokens = [call['token'] for call in calls]
    assert tokens == sorted(tokens)
    holders = {(call['token'], call['holder']) for call in calls}
    assert len(holders) == len(set(tokens))
    counts = {
        (call['body']['window_id'], str(call['body']['counts']))
        for call in calls
        if call['duty'] == 'usage'
    }
    assert len(counts) == len({window for window, _ in counts})
    await venture.configure(version=9)
    await venture.wait_until(lambda: has_version(venture, 9))
    status, _, _ = await venture.call('entry-2', 'POST', '/orders/x', 'again')
    assert status == 200
    lines = venture.log_lines('entry-1', 'the store is in a new era')
    assert [line['era'] for line in lines] == [1, 2]


async def _has_reports(venture: GatewayVenture, above: int) -> bool:
    """Return whether usage was reported under a higher fencing number."""
    return any(
        call['token'] > above and call['duty'] == 'usage'
        for call in await venture.duty_calls()
    )
