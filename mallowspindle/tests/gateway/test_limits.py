"""Tests of the limits that servers state in their responses."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from functools import partial
from itertools import cycle

from mallowspindle.standins.gateways import GatewayVenture

_MESSAGE = 'backend server changed its limit'
# What the operators tolerate: in some 4 s, one and a half times the limit and
# 5 requests more.
_WINDOW_S = 4.0
_TOLERANCE_FACTOR = 1.5
_TOLERANCE_REQUESTS = 5
_REQUESTS_PER_S = 12
_DURATION_S = 8.0


async def test_limits_that_servers_state_are_logged(
    venture: GatewayVenture,
) -> None:
    await venture.set_faults('shop-1', limit_per_s=2.5)
    await venture.set_faults('shop-2', limit_per_s=2.5)
    await venture.call('entry-1', 'POST', '/orders/x', 'r1')

    async def is_stated(*limits: float | None) -> bool:
        await venture.call('entry-1', 'POST', '/orders/x', 'r2')
        lines = venture.log_lines('entry-1', _MESSAGE)
        return set(limits) <= {line['limit_per_s'] for line in lines}

    await venture.wait_until(partial(is_stated, 2.5))
    await venture.set_faults('shop-1', limit_per_s=None)
    await venture.set_faults('shop-2', limit_per_s=None)
    await venture.wait_until(partial(is_stated, 2.5, None))


async def test_unreadable_limit_does_not_lift_the_known_one(
    venture: GatewayVenture,
) -> None:
    for name in ('shop-1', 'shop-2'):
        await venture.set_faults(name, limit_per_s=2.5)

    async def has_line(message: str) -> bool:
        await venture.call('entry-1', 'POST', '/orders/x', 'r1')
        return bool(venture.log_lines('entry-1', message))

    await venture.wait_until(partial(has_line, _MESSAGE))
    for name in ('shop-1', 'shop-2'):
        await venture.set_faults(name, limit_per_s='many')
    ignored = 'limit of a backend server ignored'
    await venture.wait_until(partial(has_line, ignored))
    lines = venture.log_lines('entry-1', _MESSAGE)
    assert {line['limit_per_s'] for line in lines} == {2.5}
    assert venture.log_lines('entry-1', ignored)[0]['found'] == 'many'


async def test_limited_server_gets_no_more_than_it_accepts_from_all_nodes(
    venture: GatewayVenture,
) -> None:
    """Guards against nodes that ignore a limit or each use all of it."""
    limit_per_s = 1.0
    await asyncio.gather(
        venture.start_gateway('entry-3'), venture.start_gateway('entry-4', 'b')
    )
    await venture.set_faults('shop-1', limit_per_s=limit_per_s)
    names = ('entry-1', 'entry-2', 'entry-3', 'entry-4')
    statuses = await _send_orders(venture, names)
    times_s = [run['began_at_s'] for run in await venture.runs('shop-1')]
    # The nodes learn of the limit from the first responses.
    first_s = min(times_s) + 1
    counts = [
        sum(start_s <= time_s < start_s + _WINDOW_S for time_s in times_s)
        for start_s in times_s
        if start_s >= first_s
    ]
    allowed = _TOLERANCE_FACTOR * limit_per_s * _WINDOW_S + _TOLERANCE_REQUESTS
    assert max(counts) <= allowed
    assert set(statuses) == {200}
    assert len(times_s) >= limit_per_s * _DURATION_S / 2


async def test_orders_beyond_all_limits_are_refused_with_a_true_time(
    venture: GatewayVenture,
) -> None:
    """All servers of a service state limits, so no server takes the excess."""
    for name in ('shop-1', 'shop-2'):
        await venture.set_faults(name, limit_per_s=1)
    statuses = await _send_orders(venture, ('entry-1', 'entry-2'))
    assert set(statuses) == {200, 503}
    began_at_s = asyncio.get_running_loop().time()
    pauses_s: list[float] = []
    status = 0
    while status != 200:
        status, headers, _ = await venture.call(
            'entry-1', 'POST', '/orders/x', f'again-{len(pauses_s)}'
        )
        pauses_s.append(float(headers.get('Retry-After', 0)))
        await asyncio.sleep(pauses_s[-1])
    assert asyncio.get_running_loop().time() - began_at_s <= _WINDOW_S
    reasons = {
        line['reason']
        for line in venture.log_lines('entry-1', 'request refused')
    }
    assert reasons == {'the servers are at their limits'}


async def _send_orders(
    venture: GatewayVenture, names: Sequence[str]
) -> Counter[int]:
    """Send orders at a constant rate; return the counts of the statuses."""
    gateways = cycle(names)
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    async with asyncio.TaskGroup() as group:
        calls = []
        for number in range(int(_DURATION_S * _REQUESTS_PER_S)):
            due_s = began_at_s + number / _REQUESTS_PER_S
            await asyncio.sleep(due_s - loop.time())
            calls.append(
                group.create_task(
                    venture.call(
                        next(gateways), 'POST', '/orders/x', f'order-{number}'
                    )
                )
            )
    return Counter(call.result()[0] for call in calls)
