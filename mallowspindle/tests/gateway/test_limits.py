"""Tests of the limits that servers state in their responses."""

from functools import partial

from mallowspindle.standins.gateways import GatewayVenture

_MESSAGE = 'backend server changed its limit'


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
